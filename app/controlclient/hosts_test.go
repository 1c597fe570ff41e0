package controlclient

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

func newTestClient() *Client {
	c := New(Options{Node: "n", FailureDomain: "d1", Region: "r1", Seeds: func() []string { return nil }}, rpc.NewClient(rpc.Options{}), log.NewNopLogger())
	c.hosts = []*pb.Member{
		{Address: "home", FailureDomain: "d1", Region: "r1"},
		{Address: "near", FailureDomain: "d2", Region: "r1"},
		{Address: "far", FailureDomain: "d3", Region: "r2"},
	}
	return c
}

func (c *Client) switchTo(index int) {
	c.hostIndex = index
	c.selectHost()
}

func (c *Client) setPlan() {
	v := *c.view.Load()
	v.Plan = plan.NewTable(&pb.Plan{}, 1)
	c.view.Store(&v)
}

// TestFirstPlanFromRemoteHostReturnsToOwnDomainHost guards against nodes that stay with a
// control host of another region after all control hosts restarted, so that the table
// and each plan cross the link between regions once per node.
func TestFirstPlanFromRemoteHostReturnsToOwnDomainHost(t *testing.T) {
	is := is.New(t)
	c := newTestClient()
	c.switchTo(0)
	c.returnToOwnDomainHost() // the control host answers but has no plan yet
	c.switchTo(2)
	is.Equal(c.host, "far")
	c.setPlan()
	c.returnToOwnDomainHost()
	c.selectHost()
	is.Equal(c.host, "home")
	is.True(!c.request().GetNoTable())
}

// TestHostWithoutQuorumIsLeft guards against a node that returns at once to a control
// host without a quorum, because its last switch was long ago, and so receives no plan.
func TestHostWithoutQuorumIsLeft(t *testing.T) {
	is := is.New(t)
	c := newTestClient()
	c.switchTo(0)
	c.setPlan()
	c.lastSwitch = time.Now().Add(-2 * preferredRetry)
	c.switchWithoutQuorum(context.Background())
	c.selectHost()
	is.Equal(c.host, "near")
}

// TestFailedOwnDomainHostIsNotPreferred guards against a node without endpoints that waits for
// the failed control host of its failure domain while another one could send them.
func TestFailedOwnDomainHostIsNotPreferred(t *testing.T) {
	is := is.New(t)
	c := newTestClient()
	c.switchTo(0)
	c.returnToOwnDomainHost()
	c.switchTo(0)
	c.switchAfterFailure(context.Background(), errors.New("connection refused"))
	c.switchTo(2)
	c.setPlan()
	c.returnToOwnDomainHost()
	c.selectHost()
	is.Equal(c.host, "far")
	is.True(!c.request().GetNoTable())
}

// TestReportsDoNotExtendPollsOfSilentHost guards against a node that stays with a frozen
// control host, and so with an old plan, because each report of its upstream starts a
// new poll with the full timeout.
func TestReportsDoNotExtendPollsOfSilentHost(t *testing.T) {
	silent, other := listen(t), listen(t)
	server := rpc.NewServer(rpc.NewHandler(rattanfieldv1connect.NewMeshServiceHandler(unresponsive{})))
	go func() { _ = server.Serve(silent) }()
	t.Cleanup(func() { _ = server.Close() })
	c := New(Options{Node: "n", Seeds: func() []string { return []string{silent.Addr().String(), other.Addr().String()} }}, rpc.NewClient(rpc.Options{}), log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() {
		_ = c.Run(ctx)
		ended <- struct{}{}
	}()
	go func() {
		for ctx.Err() == nil {
			c.Report(condition.Condition{})
			lifecycle.Pause(ctx, pollTimeout/4)
		}
		ended <- struct{}{}
	}()
	defer func() {
		cancel()
		<-ended
		<-ended
	}()
	accepted := make(chan struct{})
	go func() {
		if conn, err := other.Accept(); err == nil {
			defer conn.Close()
			close(accepted)
			<-ctx.Done()
		}
	}()
	select {
	case <-accepted:
	case <-time.After(20 * time.Second):
		t.Fatal("the node did not switch to the other control host")
	}
}

// unresponsive is a control host that never answers a poll.
type unresponsive struct {
	rattanfieldv1connect.UnimplementedMeshServiceHandler
}

func (unresponsive) Sync(ctx context.Context, _ *connect.Request[pb.MeshServiceSyncRequest]) (*connect.Response[pb.MeshServiceSyncResponse], error) {
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
