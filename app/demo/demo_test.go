package demo

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// childMode is the environment variable that makes the test binary act as a child
// process of the demo.
const childMode = "RATTANFIELD_DEMO_TEST_CHILD"

func TestMain(m *testing.M) {
	switch os.Getenv(childMode) {
	case "":
		os.Exit(m.Run())
	case "graceful":
		c := make(chan os.Signal, 1)
		signal.Notify(c, syscall.SIGTERM)
		os.Stdout.WriteString("running\n")
		<-c
		os.Stdout.WriteString("stopped\n")
	case "failing":
		os.Exit(7)
	}
}

// Checks that the generated settings pass the validation of the programs that read
// them, and that a ledger group keeps a majority when a failure domain is lost.
func TestLayoutIsValid(t *testing.T) {
	is := is.New(t)
	l, err := newLayout(t.TempDir())
	is.NoErr(err)
	is.Equal(len(l.controls), 3)
	is.Equal(len(l.nodes), 16)
	is.Equal(len(l.callerEntries()), 8)
	for _, c := range l.controls {
		_, err := settings.LoadControl(c.file)
		is.NoErr(err)
	}
	nodeDomain := map[string]string{}
	for _, n := range l.nodes {
		s, err := settings.LoadNode(n.file)
		is.NoErr(err)
		nodeDomain[s.ID] = s.FailureDomain
	}
	data, err := os.ReadFile(l.configuration)
	is.NoErr(err)
	var c pb.Configuration
	is.NoErr(protojson.Unmarshal(data, &c))
	is.Equal(len(config.Validate(&c)), 0)
	for _, s := range c.GetServices() {
		is.Equal(len(s.GetLedgerMembers()), ledgerSize)
		seen, perDomain := map[string]bool{}, map[string]int{}
		for _, m := range s.GetLedgerMembers() {
			is.True(nodeDomain[m] != "" && !seen[m])
			seen[m] = true
			perDomain[nodeDomain[m]]++
			is.True(perDomain[nodeDomain[m]] <= ledgerSize/2) // a majority remains when a failure domain is lost
		}
	}
}

func await(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in 5 s")
		}
	}
}

// Checks that child processes end on SIGTERM, that killAll kills the rest, and that a
// process that ends unasked is reported.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	self, err := os.Executable()
	is.NoErr(err)
	p := newProcesses(filepath.Dir(self), t.TempDir())
	defer close(p.start)
	run := func(name, mode string) *process {
		t.Setenv(childMode, mode)
		c, err := p.startProcess(name, filepath.Base(self))
		is.NoErr(err)
		return c
	}
	stopped, killed, failing := run("a-stopped", "graceful"), run("b-killed", "graceful"), run("a-failing", "failing")
	for _, c := range []*process{stopped, killed} {
		await(t, func() bool { return strings.Contains(c.tail(), "running") })
	}
	<-failing.done
	is.Equal(len(p.unexpected()), 1)
	is.Equal(p.unexpected()[0], failing)
	is.Equal(len(p.stopAll("a-")), 0)
	is.True(stopped.ended() && !killed.ended())
	is.True(strings.Contains(stopped.tail(), "stopped"))
	p.killAll()
	is.True(killed.ended())
	is.Equal(len(p.unexpected()), 1)
	is.True(syscall.Kill(killed.cmd.Process.Pid, 0) != nil)
}

// Guards against a report that passes although a check failed, or although the run
// ended before any check.
func TestReport(t *testing.T) {
	is := is.New(t)
	r := &Report{}
	is.True(!r.Passed())
	r.check("a", true, "x")
	is.True(r.Passed())
	r.check("b", false, "y %d", 3)
	is.True(!r.Passed())
	var out strings.Builder
	is.NoErr(r.Write(&out))
	is.True(strings.Contains(out.String(), "FAILED"))
	empty := &demo{processes: &processes{}, layout: &layout{}}
	is.True(!empty.report(nil).Passed())
}

// Checks that linkBytes sums both directions and selects the link class.
func TestLinkBytes(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "rattanfield_link_bytes_total{link=\"remote\",direction=\"sent\"} 5\n"+
			"rattanfield_link_bytes_total{link=\"remote\",direction=\"received\"} 7\n"+
			"rattanfield_link_bytes_total{link=\"domain\",direction=\"sent\"} 1e3\nother 9\n")
	}))
	defer s.Close()
	a := newAdmin()
	all, err := a.linkBytes(context.Background(), strings.TrimPrefix(s.URL, "http://"), "")
	is.NoErr(err)
	is.Equal(all, 1012.0)
	remote, err := a.linkBytes(context.Background(), strings.TrimPrefix(s.URL, "http://"), "remote")
	is.NoErr(err)
	is.Equal(remote, 12.0)
}

// Guards against a demo that takes an invalid response of an admin listener for an answer.
func TestInvalidAdminResponseIsAnError(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\n")
			_ = c.Close()
		}
	}()
	_, _, err = newAdmin().get(t.Context(), "http://"+l.Addr().String()+"/readyz")
	is.True(err != nil)
}
