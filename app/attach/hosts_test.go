package attach

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
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
