package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rattanfield/rattanfield/adapters/request/requesttest"
)

// Limits of the process that the crowd meets. The program has no setting for its memory; the bound is less than half of what the
// bodies of the crowd have together, plus the program.
const (
	crowdBodyBytes = 4 << 20
	crowdMemory    = 300_000_000
	crowdMaxFiles  = 300
	crowdOpenFiles = 200
)

// Guards against clients that are not controlled and that end the older entry, or make it stop answering, through the memory or
// the descriptors that it gives them. The node knows no configuration, so it rejects ordinary calls; an answer is what counts.
func TestCrowd(t *testing.T) {
	dir := t.TempDir()
	binary, settings := filepath.Join(dir, "program"), filepath.Join(dir, "node.hujson")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	subnet := fmt.Sprintf("127.%d.8.", 180+os.Getpid()%40)
	entry := subnet + "2:8000"
	content := fmt.Sprintf(`{"id": "n", "failure_domain": "d", "entry_services": ["s"], "seeds": [],
		"addresses": {"entry": %q, "gate": %q, "peer": %q, "admin": %q},
		"site": {"name": "site", "regions": [{"name": "r", "failure_domains": [{"name": "d", "networks": [%q]}]}], "urgency": "urgent",
			"control_hosts": [{"id": "c", "address": %q, "failure_domain": "d"}], "compression": "none", "risk": "cautious"}}`,
		entry, subnet+"2:8001", subnet+"2:7000", subnet+"2:7001", subnet+"0/24", subnet+"1:7000")
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s --settings %s", crowdMaxFiles, binary, settings))
	c.Stdout, c.Stderr = t.Output(), t.Output()
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	client := &http.Client{Timeout: 10 * time.Second}
	answered := func() bool {
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if resp, err := client.Get("http://" + entry + "/page"); err == nil {
				return resp.Body.Close() == nil
			}
		}
		return false
	}
	if !answered() {
		t.Fatal("the node does not start")
	}
	proc := fmt.Sprintf("/proc/%d/", c.Process.Pid)
	for _, form := range requesttest.CrowdForms(crowdBodyBytes) {
		t.Run(form.Name, func(t *testing.T) {
			if err := os.WriteFile(proc+"clear_refs", []byte("5"), 0); err != nil {
				t.Fatal(err)
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				requesttest.RunCrowd(entry, "POST /page HTTP/1.1\r\nHost: h\r\n", form)
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
			if !answered() {
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
			if kilobytes<<10 > crowdMemory || files > crowdOpenFiles {
				t.Errorf("%d KB, %d descriptors", kilobytes, files)
			}
		})
	}
}
