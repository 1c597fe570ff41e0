package attach

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/condition"
	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

func newAtHosts() *Attachment {
	a := New(Options{Node: "n", FailureDomain: "d1", Region: "r1", Seeds: func() []string { return nil }}, rpc.NewClient(rpc.Options{}), log.NewNopLogger())
	a.hosts = []*pb.Member{
		{Address: "home", FailureDomain: "d1", Region: "r1"},
		{Address: "near", FailureDomain: "d2", Region: "r1"},
		{Address: "far", FailureDomain: "d3", Region: "r2"},
	}
	return a
}

func (a *Attachment) moveTo(index int) {
	a.hostIndex = index
	a.choose()
}

func (a *Attachment) getPlan() {
	v := *a.view.Load()
	v.Plan = plan.NewTable(&pb.Plan{}, 1)
	a.view.Store(&v)
}

// Guards against nodes that stay with a control host of another region after all
// hosts restarted, so that the table and each plan cross the link for each of them.
func TestFirstPlanFromAfarLeadsHome(t *testing.T) {
	is := is.New(t)
	a := newAtHosts()
	a.moveTo(0)
	a.goHome() // it answers and has no plan yet
	a.moveTo(2)
	is.Equal(a.host, "far")
	a.getPlan()
	a.goHome()
	a.choose()
	is.Equal(a.host, "home")
	is.True(!a.request().GetNoTable())
}

// Guards against a node that goes back at once to a control host without a
// quorum, because it has been there for long, and gets no plan meanwhile.
func TestHostWithoutQuorumIsLeft(t *testing.T) {
	is := is.New(t)
	a := newAtHosts()
	a.moveTo(0)
	a.getPlan()
	a.lastSwitch = time.Now().Add(-2 * homeRetry)
	a.tryOther(context.Background())
	a.choose()
	is.Equal(a.host, "near")
}

// Guards against a node without endpoints that waits for its own control host
// while another one would give them.
func TestHostThatFailedIsNotHome(t *testing.T) {
	is := is.New(t)
	a := newAtHosts()
	a.moveTo(0)
	a.goHome()
	a.moveTo(0)
	a.fail(context.Background(), errors.New("connection refused"))
	a.moveTo(2)
	a.getPlan()
	a.goHome()
	a.choose()
	is.Equal(a.host, "far")
	is.True(!a.request().GetNoTable())
}

// Guards against a node that stays with a control host that is frozen, on an old
// plan, because each report of its upstream begins a new poll with its full time.
func TestReportsDoNotKeepASilentHost(t *testing.T) {
	silent, next := listen(t), listen(t)
	server := rpc.NewServer(rpc.NewHandler(rattanfieldv1connect.NewMeshServiceHandler(stuck{})))
	go func() { _ = server.Serve(silent) }()
	t.Cleanup(func() { _ = server.Close() })
	a := New(Options{Node: "n", Seeds: func() []string { return []string{silent.Addr().String(), next.Addr().String()} }}, rpc.NewClient(rpc.Options{}), log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() {
		_ = a.Run(ctx)
		ended <- struct{}{}
	}()
	go func() {
		for ctx.Err() == nil {
			a.Report(condition.Condition{})
			lifecycle.Pause(ctx, pollTimeout/4)
		}
		ended <- struct{}{}
	}()
	defer func() {
		cancel()
		<-ended
		<-ended
	}()
	turned := make(chan struct{})
	go func() {
		if c, err := next.Accept(); err == nil {
			defer c.Close()
			close(turned)
			<-ctx.Done()
		}
	}()
	select {
	case <-turned:
	case <-time.After(20 * time.Second):
		t.Fatal("the node still waits for the silent host")
	}
}

// stuck is a control host that answers no poll.
type stuck struct {
	rattanfieldv1connect.UnimplementedMeshServiceHandler
}

func (stuck) Sync(ctx context.Context, _ *connect.Request[pb.MeshServiceSyncRequest]) (*connect.Response[pb.MeshServiceSyncResponse], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}
