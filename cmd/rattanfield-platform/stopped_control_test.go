package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
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
	ips := make([]string, 3)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.%d.11.%d", 180+os.Getpid()%40, i+1)
	}
	processes := make([]*exec.Cmd, len(ips))
	for i, ip := range ips {
		h := platformtest.Host{IP: ip, FailureDomain: fmt.Sprint("d", i), Region: "r", FirstStart: true, Seeds: ips}
		processes[i] = startProcess(t, binary, "control", h, 0)
	}
	transport := rpc.NewClient(rpc.Options{})
	defer transport.Close()
	first := rattanfieldv1connect.NewOperatorServiceClient(transport.HTTP(), rpc.URL(platformtest.PeerAddress(ips[0])))
	id := 0
	accept := func(active bool) {
		for end := time.Now().Add(20 * time.Second); ; { // a leader may have to be elected
			id++
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			r, err := first.Submit(ctx, connect.NewRequest(&pb.SubmitRequest{Command: &pb.Command{
				CommandId: fmt.Sprint("order-", id), Operator: "desk",
				Command: &pb.Command_ChangeEvacuation{ChangeEvacuation: &pb.ChangeEvacuation{FailureDomain: "d1", Active: active}},
			}}))
			cancel()
			if err == nil && r.Msg.GetResult().GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED {
				return
			}
			is.True(time.Now().Before(end))
			time.Sleep(50 * time.Millisecond)
		}
	}
	history := func() string {
		r, err := first.Query(t.Context(), connect.NewRequest(&pb.QueryRequest{Subjects: []pb.Subject{pb.Subject_SUBJECT_HISTORY}}))
		is.NoErr(err)
		var b strings.Builder
		for _, d := range r.Msg.GetHistory() {
			b.WriteString(d.GetCommandId() + " " + d.GetSummary() + "\n")
		}
		return b.String()
	}
	for i := range 3 {
		accept(false)
		stopped := 1 + i%2
		is.NoErr(processes[stopped].Process.Signal(syscall.SIGSTOP))
		time.Sleep(100 * time.Millisecond) // until all threads stand still
		lost := fmt.Sprint("lost-", i)
		sendAndLeave(t, platformtest.PeerAddress(ips[stopped]), lost)
		accept(true)
		accept(false)
		is.NoErr(processes[stopped].Process.Signal(syscall.SIGCONT))
		time.Sleep(1500 * time.Millisecond) // the time in which the order would be carried out
		if h := history(); strings.Contains(h, lost) {
			t.Fatalf("%s was carried out after newer orders:\n%s", lost, h)
		}
	}
}

// sendAndLeave sends an order to start the evacuation of d1 to a control host and closes the connection.
func sendAndLeave(t *testing.T, address, id string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	body := fmt.Sprintf(`{"command":{"commandId":%q,"changeEvacuation":{"failureDomain":"d1","active":true}}}`, id)
	_, err = fmt.Fprintf(conn, "POST /rattanfield.v1.OperatorService/Submit HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err != nil {
		t.Fatal(err)
	}
}
