package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rattanfield/rattanfield/adapters/request/requesttest"
)

// Limits of the process that the crowd meets. The settings state no memory; the bound is less than half of what the bodies of the
// crowd have together, plus the program.
const (
	crowdBodyBytes = 4 << 20
	crowdMemory    = 300_000_000
	crowdMaxFiles  = 300
	crowdOpenFiles = 200
)

// nodeProcess is a node that knows no configuration, so it rejects ordinary calls; an answer is what counts.
type nodeProcess struct {
	entry, gate, admin string
	process            *exec.Cmd
	client             *http.Client
}

// startNode starts a node, which ends with the test. memory is a part of its settings.
func startNode(t *testing.T, memory string) *nodeProcess {
	dir := t.TempDir()
	binary, settings := filepath.Join(dir, "program"), filepath.Join(dir, "node.hujson")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	subnet := fmt.Sprintf("127.%d.8.", 180+os.Getpid()%40)
	n := &nodeProcess{entry: subnet + "2:8000", gate: subnet + "2:8001", admin: subnet + "2:7001", client: &http.Client{Timeout: 10 * time.Second}}
	content := fmt.Sprintf(`{"id": "n", "failure_domain": "d", "entry_services": ["s"], "seeds": [], %s
		"addresses": {"entry": %q, "gate": %q, "peer": %q, "admin": %q},
		"site": {"name": "site", "regions": [{"name": "r", "failure_domains": [{"name": "d", "networks": [%q]}]}], "urgency": "urgent",
			"control_hosts": [{"id": "c", "address": %q, "failure_domain": "d"}], "compression": "none", "risk": "cautious"}}`,
		memory, n.entry, n.gate, subnet+"2:7000", n.admin, subnet+"0/24", subnet+"1:7000")
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	n.process = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s --settings %s", crowdMaxFiles, binary, settings))
	n.process.Stdout, n.process.Stderr = t.Output(), t.Output()
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = n.process.Process.Kill()
		_ = n.process.Wait()
	})
	if !n.answers() {
		t.Fatal("the node does not start")
	}
	return n
}

// answers reports whether an ordinary call is answered.
func (n *nodeProcess) answers() bool {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := n.client.Get("http://" + n.entry + "/page"); err == nil {
			return resp.Body.Close() == nil
		}
	}
	return false
}

// Guards against clients that are not controlled and that end the older entry, or make it stop answering, through the memory or
// the descriptors that it gives them.
func TestCrowd(t *testing.T) {
	n := startNode(t, "")
	for _, form := range requesttest.CrowdForms(crowdBodyBytes) {
		t.Run(form.Name, func(t *testing.T) { n.testCrowd(t, form, crowdMemory) })
	}
}

// testCrowd runs a form of the crowd. The process must live, stay within its memory and its descriptors, and answer an ordinary
// call afterwards.
func (n *nodeProcess) testCrowd(t *testing.T, form requesttest.CrowdForm, memoryBytes int) {
	proc := fmt.Sprintf("/proc/%d/", n.process.Process.Pid)
	if err := os.WriteFile(proc+"clear_refs", []byte("5"), 0); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		requesttest.RunCrowd(n.entry, "POST /page HTTP/1.1\r\nHost: h\r\n", form)
	}()
	files := 0
	for ended := false; !ended; {
		open, err := os.ReadDir(proc + "fd")
		if err != nil {
			t.Fatal(err)
		}
		files = max(files, len(open))
		select {
		case <-done:
			ended = true
		case <-time.After(20 * time.Millisecond):
		}
	}
	if !n.answers() {
		t.Error("no ordinary call was answered afterwards")
	}
	status, err := os.ReadFile(proc + "status")
	if err != nil {
		t.Fatal(err)
	}
	_, line, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(line)[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak of %d MB, %d descriptors", kilobytes<<10/1_000_000, files)
	if kilobytes<<10 > memoryBytes || files > crowdOpenFiles {
		t.Errorf("%d KB, %d descriptors", kilobytes, files)
	}
}

// Forms of the crowd that hold the most memory.
var largeForms = map[string]bool{"whole body that stops short": true, "body in pieces that stops short": true, "large chunks": true}

// Guards against a node whose entry and gate do not count in one account, and against bodies of the largest legal size that take
// more than the memory that its settings state.
func TestCrowdStaysWithinStatedMemory(t *testing.T) {
	const memoryMB, largestBody, connBytes = 128, 8 << 20, 32 << 10
	n := startNode(t, fmt.Sprintf(`"memory_mb": %d,`, memoryMB))
	if limit := n.metric("go_memlimit_bytes"); limit <= 0 || limit > memoryMB*1_000_000 {
		t.Errorf("the limit of the heap is %d", limit)
	}
	if !n.holds(0) {
		t.Fatal("closed connections count")
	}
	for i, address := range []string{n.entry, n.gate} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
		if !n.holds((i + 1) * connBytes) {
			t.Fatalf("the connection to %s does not count", address)
		}
	}
	for _, form := range requesttest.CrowdForms(largestBody) {
		if largeForms[form.Name] {
			t.Run(form.Name, func(t *testing.T) { n.testCrowd(t, form, memoryMB*1_000_000) })
		}
	}
}

// holds reports whether the connections of the node hold a number of bytes.
func (n *nodeProcess) holds(want int) bool {
	n.client.CloseIdleConnections()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.metric("rattanfield_connection_memory_bytes") == want {
			return true
		}
	}
	return false
}

// metric returns the value of a metric, or -1.
func (n *nodeProcess) metric(name string) int {
	resp, err := n.client.Get("http://" + n.admin + "/metrics")
	if err != nil {
		return -1
	}
	content, _ := io.ReadAll(resp.Body) // what is missing is not found
	_ = resp.Body.Close()
	_, line, _ := strings.Cut(string(content), "\n"+name+" ")
	line, _, _ = strings.Cut(line, "\n")
	value, err := strconv.ParseFloat(line, 64)
	if err != nil {
		return -1
	}
	return int(value)
}

// Guards against requests of legal size that are made of very many header lines and that end the older entry, or make it stop
// answering, because the decoded lines take many times the memory of the header.
func TestCrowdOfHeaderLinesOnTheOlderEntry(t *testing.T) {
	const memoryMB = 64
	n := startNode(t, fmt.Sprintf(`"memory_mb": %d,`, memoryMB))
	fillers := requesttest.HeaderFillers()
	for _, name := range slices.Sorted(maps.Keys(fillers)) {
		for _, form := range requesttest.HeaderForms(name, fillers[name]) {
			t.Run(form.Name, func(t *testing.T) { n.testCrowd(t, form, memoryMB*1_000_000) })
		}
	}
}
