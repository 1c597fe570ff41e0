package main

import (
	"io"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/request/requesttest"
	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// Limits of the processes that the crowd meets.
const (
	crowdMemoryMB  = 64
	crowdBodyBytes = 4 << 20
	crowdMaxFiles  = 300
	// crowdOpenFiles bounds the descriptors of a process: the platform reserves 200 of its limit for files.
	crowdOpenFiles = crowdMaxFiles - 200
)

// crowdTarget is a listener that a crowd uses. ordinary reports whether an ordinary request is answered.
type crowdTarget struct {
	name, address, head string
	process             *exec.Cmd
	ordinary            func() bool
	maxOpenFiles        int // 0: not bounded
}

// testCrowd runs all forms against a listener, one behind the other. After each, the process must live, its memory and its
// descriptors must have stayed within their bounds, and an ordinary request must be answered.
func testCrowd(t *testing.T, target crowdTarget) {
	testCrowdForms(t, target, requesttest.CrowdForms(crowdBodyBytes))
}

// testCrowdForms is testCrowd for some forms.
func testCrowdForms(t *testing.T, target crowdTarget, forms []requesttest.CrowdForm) {
	for _, form := range forms {
		t.Run(form.Name, func(t *testing.T) {
			files := runCrowd(t, target, form)
			if !reached(target.ordinary) {
				t.Error("no ordinary request was answered afterwards")
			}
			peak := peakMemory(t, target.process)
			t.Logf("peak of %d MB, %d descriptors", peak/1_000_000, files)
			if peak > crowdMemoryMB*1_000_000 {
				t.Errorf("the process used %d MB, its limit is %d", peak/1_000_000, crowdMemoryMB)
			}
			if target.maxOpenFiles > 0 && files > target.maxOpenFiles {
				t.Errorf("the process opened %d descriptors, its bound is %d", files, target.maxOpenFiles)
			}
		})
	}
}

// runCrowd runs one form against a listener and returns the largest number of descriptors that the process had open. The peak of
// its memory counts from the start of the crowd.
func runCrowd(t *testing.T, target crowdTarget, form requesttest.CrowdForm) (files int) {
	t.Helper()
	resetPeakMemory(t, target.process)
	done := make(chan struct{})
	go func() {
		defer close(done)
		requesttest.RunCrowd(target.address, target.head, form)
	}()
	for {
		files = max(files, openFiles(t, target.process))
		select {
		case <-done:
			return files
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Guards against clients that are not controlled and that end a process, or make it stop answering, through the memory or the
// descriptors that it gives them.
func TestCrowd(t *testing.T) {
	t.Run("few descriptors", func(t *testing.T) { testListeners(t, crowdMaxFiles) })
	t.Run("many descriptors", func(t *testing.T) { testListeners(t, 0) })
}

// testListeners runs the crowd against all listeners of a node and a control host. Without a limit of descriptors, only the
// memory bounds what the crowd gets.
func testListeners(t *testing.T, maxFiles int) {
	m := startMesh(t, meshOptions{memoryMB: crowdMemoryMB, bodyBytes: crowdBodyBytes, maxFiles: maxFiles})
	answers := func(url string) func() bool {
		return func() bool {
			r, err := http.NewRequest(http.MethodGet, url, nil)
			if err != nil {
				t.Error(err)
				return true
			}
			resp, err := m.transport.RoundTrip(r)
			if err != nil {
				return false
			}
			_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
			return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
		}
	}
	serves := func() bool { return m.get("page", m.nextID()) == http.StatusOK }
	request := "POST " + platformtest.LongWritePath + largePage + " HTTP/1.1\r\nHost: " + platformtest.HostName + "\r\n"
	post := func(path string) string { return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" }
	for _, target := range []crowdTarget{
		{"entry", platformtest.EntryAddress(m.node), request, m.nodeProcess, serves, 0},
		{"gate", platformtest.GateAddress(m.node), request, m.nodeProcess, serves, 0},
		{"announcements", platformtest.ControlAddress(m.node), post(platformtest.CallPath("instances.heartbeat", "j")), m.nodeProcess, m.announce, 0},
		{"readiness", platformtest.ReadyAddress(m.node), post(platformtest.ReadyPath), m.nodeProcess, func() bool { return platformtest.Ready(m.node) }, 0},
		{"metrics", platformtest.MetricsAddress(m.node), post("/metrics"), m.nodeProcess, answers("http://" + platformtest.MetricsAddress(m.node) + "/metrics"), 0},
		{"operators", platformtest.ControlAddress(m.control), post(platformtest.CallPath("config.get", "")), m.controlProcess, func() bool {
			return platformtest.ReadPlan(m.control) == 1
		}, 0},
	} {
		if maxFiles > 0 {
			target.maxOpenFiles = crowdOpenFiles
		}
		t.Run(target.name, func(t *testing.T) { testCrowd(t, target) })
	}
}

// Guards against clients that keep a process from ending in time after a stop signal.
func TestStopDuringCrowd(t *testing.T) {
	for _, form := range requesttest.CrowdForms(crowdBodyBytes) {
		t.Run(form.Name, func(t *testing.T) {
			m := startMesh(t, meshOptions{memoryMB: crowdMemoryMB, bodyBytes: crowdBodyBytes, maxFiles: crowdMaxFiles})
			request := "POST " + platformtest.LongWritePath + largePage + " HTTP/1.1\r\nHost: " + platformtest.HostName + "\r\n"
			done := make(chan struct{})
			go func() {
				defer close(done)
				requesttest.RunCrowd(platformtest.EntryAddress(m.node), request, form)
			}()
			time.Sleep(requesttest.CrowdTime / 2)
			if err := m.nodeProcess.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- m.nodeProcess.Wait() }()
			select {
			case err := <-ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(platformtest.Grace):
				t.Error("the process would have been killed")
			}
			<-done
		})
	}
}

// Guards against a limit that refuses a legal request in calm on the smallest node of the deployments, or that a node exceeds
// by serving it.
func TestLargestBodyIsServed(t *testing.T) {
	is := is.New(t)
	const memoryMB, size, runs = 184, 64 << 20, 3
	m := startMesh(t, meshOptions{memoryMB: memoryMB, bodyBytes: size})
	for _, length := range []int64{size, -1} {
		for range runs {
			body := io.LimitReader(zeros{}, size)
			is.Equal(m.send(http.MethodPost, platformtest.LongWritePath+"page", m.nextID(), platformtest.LongTimeout, body, length), http.StatusOK)
		}
	}
	peak := peakMemory(t, m.nodeProcess)
	t.Logf("the node used %d of %d MB", peak/1_000_000, memoryMB)
	is.True(peak <= memoryMB*1_000_000)
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
