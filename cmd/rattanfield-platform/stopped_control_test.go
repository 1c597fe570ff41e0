package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// Guards against an order that a control host which stood still carries out after its sender gave up and gave newer orders at
// another host. When the process continues, it finds the order, the end of its connection and the newer orders at once.
func TestStoppedControlHostDoesNotUndoNewerOrders(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "program")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ips, processes := make([]string, 3), make([]*exec.Cmd, 3)
	for i := range ips {
		ips[i] = fmt.Sprint(platformtest.Subnet(10), i+1)
	}
	for i, ip := range ips {
		processes[i] = startProcess(t, binary, "control", platformtest.Host{IP: ip, FailureDomain: fmt.Sprint("d", i), Region: "r", FirstStart: true, Seeds: ips}, 0)
	}
	accept := func(active bool) { // a leader may have to be elected
		is.True(reached(func() bool {
			return platformtest.ChangeEvacuation(platformtest.ControlAddress(ips[0]), "d1", active, 2*time.Second) == http.StatusOK
		}))
	}
	for i := range 3 {
		accept(false)
		stopped, lost := 1+i%2, fmt.Sprint("lost-", i)
		is.NoErr(processes[stopped].Process.Signal(syscall.SIGSTOP))
		time.Sleep(100 * time.Millisecond) // until all threads stand still
		conn, err := net.Dial("tcp", platformtest.PeerAddress(ips[stopped]))
		is.NoErr(err)
		body := fmt.Sprintf(`{"command":{"commandId":%q,"changeEvacuation":{"failureDomain":"d1","active":true}}}`, lost)
		_, err = fmt.Fprintf(conn, "POST %s/Submit HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", operatorPath, len(body), body)
		is.NoErr(err)
		is.NoErr(conn.Close())
		accept(true)
		accept(false)
		is.NoErr(processes[stopped].Process.Signal(syscall.SIGCONT))
		time.Sleep(1500 * time.Millisecond) // the time in which the order would be carried out
		r, err := http.Post("http://"+platformtest.PeerAddress(ips[0])+operatorPath+"/Query", "application/json", strings.NewReader(`{"subjects":["SUBJECT_HISTORY"]}`))
		is.NoErr(err)
		history, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.NoErr(r.Body.Close())
		is.True(strings.Contains(string(history), "withdraw evacuation of d1"))
		is.True(!strings.Contains(string(history), lost)) // carried out after newer orders
	}
}

// operatorPath is the path of the operator service.
const operatorPath = "/rattanfield.v1.OperatorService"
