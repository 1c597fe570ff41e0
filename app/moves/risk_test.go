package moves

import (
	"context"
	"testing"

	"github.com/matryer/is"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against a deployment's risk preference that is ignored, or that overrides a service's own.
func TestRiskOf(t *testing.T) {
	is := is.New(t)
	cautious, punctual := pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS, pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL
	c := &pb.Configuration{Services: []*pb.Service{{Name: "own", Risk: cautious}, {Name: "none"}}}
	is.Equal(riskOf(c, "own", punctual), cautious)
	is.Equal(riskOf(c, "none", punctual), punctual)
	is.Equal(riskOf(c, "none", cautious), cautious)
}

// Guards against a move that does not progress without a stated reason, and against an outdated
// reason from a host that no longer leads.
func TestWaitReason(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	_, _, d := c.components(1)
	d.decideAll(context.Background())
	is.Equal(d.WaitReason("m1"), "waiting for reports of calls")
	c.move.Phase = pb.MovePhase_MOVE_PHASE_STOPPED
	d.decideAll(context.Background())
	is.Equal(d.WaitReason("m1"), "") // it has ended
	c.move.Phase = pb.MovePhase_MOVE_PHASE_RUNNING
	d.decideAll(context.Background())
	c.leads = false
	d.decideAll(context.Background())
	is.Equal(d.WaitReason("m1"), "") // another host decides
}
