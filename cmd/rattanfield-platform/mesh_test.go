package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// meshOptions configure the processes of a mesh. A limit of 0 is not set.
type meshOptions struct {
	memoryMB  int // of the node and of the control host
	bodyBytes int // limit of the plan for request bodies
	maxFiles  int // limit of file descriptors, in the settings and of the operating system
	// keys are those of the organisations of the plan, one each. Requests have the first one.
	keys []string
}

// mesh is one control host and one node with their processes, and an upstream in the process of the test.
type mesh struct {
	t                           *testing.T
	control, node               string // IPs
	controlProcess, nodeProcess *exec.Cmd
	requests                    atomic.Int64
	sequence                    atomic.Uint64
	born                        int64
	transport                   *http.Transport
	keys                        []string
	key                         string // of the requests; "": none
}

// startMesh starts a mesh that serves requests. It ends with the test.
func startMesh(t *testing.T, o meshOptions) *mesh {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "program")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	subnet := platformtest.Subnet(9)
	m := &mesh{t: t, control: subnet + "1", node: subnet + "2", born: time.Now().UnixMilli(), transport: &http.Transport{}, keys: o.keys}
	if len(o.keys) > 0 {
		m.key = o.keys[0]
	}
	t.Cleanup(m.transport.CloseIdleConnections)
	h := platformtest.Host{IP: m.control, FailureDomain: "d", Region: "r", FirstStart: true, Seeds: []string{m.control}, MemoryMB: o.memoryMB}
	m.controlProcess = startProcess(t, binary, "control", h, o.maxFiles)
	h.IP, h.Service = m.node, "s"
	m.nodeProcess = startProcess(t, binary, "node", h, o.maxFiles)
	l, err := net.Listen("tcp", platformtest.AppAddress(m.node))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveUpstream(c)
		}
	}()
	m.await("the plan is accepted", func() bool {
		return platformtest.ReplacePlan(m.control, m.plan(o.bodyBytes)) == http.StatusOK
	})
	m.await("the upstream is announced", m.announce)
	var announcing sync.WaitGroup
	stop := make(chan struct{})
	announcing.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
				m.announce() // a lost one is made up by the next one
			}
		}
	})
	t.Cleanup(func() { close(stop); announcing.Wait() })
	m.await("the node serves", func() bool { return m.get("page", m.nextID()) == http.StatusOK })
	return m
}

// plan returns a plan with a limit for request bodies; 0: the usual one.
func (m *mesh) plan(bodyBytes int) []byte {
	plan := platformtest.Plan{Number: 1, Service: "s"}.Encode()
	if bodyBytes == 0 && len(m.keys) == 0 {
		return plan
	}
	var out map[string]any
	if err := json.Unmarshal(plan, &out); err != nil {
		m.t.Fatal(err)
	}
	if bodyBytes > 0 {
		out["limits"].(map[string]any)["max_body_bytes"] = bodyBytes
	}
	var organisations []any
	for _, key := range m.keys {
		organisations = append(organisations, map[string]any{"name": "organisation of " + key, "api_keys": []string{key}})
	}
	if len(organisations) > 0 {
		out["tenants"] = organisations
	}
	plan, err := json.Marshal(out)
	if err != nil {
		m.t.Fatal(err)
	}
	return plan
}

// startProcess starts a process of the platform, which ends with the test. maxFiles limits its file descriptors; 0: no limit.
func startProcess(t *testing.T, binary, role string, h platformtest.Host, maxFiles int) *exec.Cmd {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	if role == "control" {
		h.DataDir = t.TempDir()
	}
	content := h.Settings()
	c := exec.Command(binary, role)
	if maxFiles > 0 {
		content = fmt.Appendf(content, "max_fds = %d\n", maxFiles) // the limits are the last table
		c = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s %s", maxFiles, binary, role))
	}
	if err := os.WriteFile(settings, content, 0o600); err != nil {
		t.Fatal(err)
	}
	c.Env = append(os.Environ(), platformtest.SettingsVariable+"="+settings)
	c.Stdout, c.Stderr = t.Output(), t.Output()
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c
}

// await waits until ok returns true.
func (m *mesh) await(what string, ok func() bool) {
	m.t.Helper()
	if !reached(ok) {
		m.t.Fatalf("not reached: %s", what)
	}
}

// reached reports whether ok returns true within the overall limit.
func reached(ok func() bool) bool {
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

func (m *mesh) nextID() string { return fmt.Sprint("request-", m.requests.Add(1)) }

// announce sends an announcement of the upstream to the node and reports whether it was acknowledged.
func (m *mesh) announce() bool {
	return platformtest.SendAnnouncement(m.node, "i", platformtest.Announcement{
		Service: "s", Zone: "d", Version: "v1", Slots: 64, Seq: m.sequence.Add(1), Born: m.born,
	}, false)
}

// get sends an ordinary request to the entry and returns the status; 0: no answer.
func (m *mesh) get(path, id string) int {
	return m.send(http.MethodGet, platformtest.ReadPath+path, id, 1500*time.Millisecond, nil, 0)
}

// send sends a request to the entry and returns the status; 0: no answer. A length of -1 sends the body in chunks.
func (m *mesh) send(method, path, id string, left time.Duration, body io.Reader, length int64) int {
	r, err := http.NewRequest(method, "http://"+platformtest.EntryAddress(m.node)+path, body)
	if err != nil {
		m.t.Error(err)
		return 0
	}
	r.Host, r.ContentLength = platformtest.HostName, length
	r.Header.Set(names.ID, id)
	r.Header.Set(names.RemainingMs, strconv.FormatInt(left.Milliseconds(), 10))
	if m.key != "" {
		r.Header.Set(names.Key, m.key)
	}
	resp, err := m.transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
	return resp.StatusCode
}

// peakMemory returns the largest resident size of a process in bytes.
func peakMemory(t *testing.T, c *exec.Cmd) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatal("the process has no peak memory")
	return 0
}

// resetPeakMemory sets the largest resident size of a process to the present one.
func resetPeakMemory(t *testing.T, c *exec.Cmd) {
	t.Helper()
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", c.Process.Pid), []byte("5"), 0); err != nil {
		t.Fatal(err)
	}
}

// openFiles returns the number of open file descriptors of a process.
func openFiles(t *testing.T, c *exec.Cmd) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}
