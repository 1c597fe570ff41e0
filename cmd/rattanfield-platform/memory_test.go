package main

import (
	"bufio"
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
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/platform"
	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// startProcess starts a process of the platform, which ends with the test.
func startProcess(t *testing.T, binary, role string, h platformtest.Host) *exec.Cmd {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	if role == "control" {
		h.DataDir = t.TempDir()
	}
	if err := os.WriteFile(settings, h.Settings(), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(binary, role)
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

const endless = "endless" // part of the paths that the upstream answers without end

// names are the header names of the platform.
var names = platform.Headers

// serveUpstream answers ordinary requests, and those for endless paths with bytes until the connection is closed.
func serveUpstream(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		var r fasthttp.Request
		if err := r.Read(br); err != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\n" + names.Signature + ": s\r\n" + names.ID + ": " + string(r.Header.Peek(names.ID)) + "\r\n"
		if !strings.Contains(string(r.RequestURI()), endless) {
			if _, err := io.WriteString(c, head+"Content-Length: 4\r\n\r\nbody"); err != nil {
				return
			}
			continue
		}
		_, err := io.WriteString(c, head+"\r\n")
		for block := strings.Repeat("x", 64<<10); err == nil; {
			_, err = io.WriteString(c, block)
		}
		return
	}
}

// Guards against a node that uses up its memory, and ends with the requests of all its clients, while an upstream
// answers several requests at once with bytes without end.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	is := is.New(t)
	const memoryMB, clients, rounds = 128, 16, 40
	binary := filepath.Join(t.TempDir(), "program")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	subnet := fmt.Sprintf("127.%d.9.", 180+os.Getpid()%40)
	control, node := subnet+"1", subnet+"2"
	h := platformtest.Host{IP: control, FailureDomain: "d", Region: "r", FirstStart: true, Seeds: []string{control}}
	startProcess(t, binary, "control", h)
	h.IP, h.Service, h.MemoryMB = node, "s", memoryMB
	process := startProcess(t, binary, "node", h)
	l, err := net.Listen("tcp", platformtest.AppAddress(node))
	is.NoErr(err)
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
	await := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not reached: %s", what)
			}
		}
	}
	await("the plan is accepted", func() bool {
		return platformtest.ReplacePlan(control, platformtest.Plan(1, 0, "s", 0)) == http.StatusOK
	})
	born, seq := time.Now().UnixMilli(), uint64(0)
	announce := func() bool {
		seq++
		return platformtest.SendAnnouncement(node, "i", platformtest.Announcement{Service: "s", Zone: "d", Version: "v1", Slots: 64, Seq: seq, Born: born}, false)
	}
	await("the upstream is announced", announce)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
				announce() // a lost one is made up by the next one
			}
		}
	}()
	get := func(path, id string) int {
		r, err := http.NewRequest(http.MethodGet, "http://"+platformtest.EntryAddress(node)+platformtest.ReadPath+path, nil)
		if err != nil {
			t.Error(err)
			return 0
		}
		r.Host = platformtest.HostName
		r.Header.Set(names.ID, id)
		r.Header.Set(names.RemainingMs, "1500")
		resp, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			return 0
		}
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.Copy(io.Discard, resp.Body) // only the memory of the node matters
		return resp.StatusCode
	}
	n := 0
	await("the node serves", func() bool { n++; return get("page", fmt.Sprint("first-", n)) == http.StatusOK })
	for round := range rounds {
		var group sync.WaitGroup
		for i := range clients {
			group.Go(func() {
				if status := get(endless, fmt.Sprintf("%s-%d-%d", endless, round, i)); status == http.StatusOK {
					t.Error("an endless response was passed on as complete")
				}
			})
		}
		group.Wait()
	}
	await("the node still serves", func() bool { n++; return get("page", fmt.Sprint("last-", n)) == http.StatusOK })
	close(stop)
	<-stopped
	peak := peakMemory(t, process)
	if peak > memoryMB*1_000_000 {
		t.Fatalf("the node used %d MB, its limit is %d", peak/1_000_000, memoryMB)
	}
	t.Logf("the node used %d of %d MB", peak/1_000_000, memoryMB)
}
