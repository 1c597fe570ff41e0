package consensus

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func evacuate(id, domain string, active bool) *pb.Command {
	return &pb.Command{CommandId: id, Command: &pb.Command_ChangeEvacuation{ChangeEvacuation: &pb.ChangeEvacuation{
		FailureDomain: domain, Active: active, FailureDomains: []string{domain, "invented"}, // as a sender may claim
	}}}
}

// Guards against an operator's order that the operator service does not complete: it would evacuate the last failure domain,
// or undo a newer order. Also against an order that conflicts with the operator's own previous one at a follower, which gets
// the result of the leader before the log entry.
func TestOperatorServiceCompletesEvacuations(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "kingston", "kingston", "kingston")
	c.tune = func(o *Options) { o.AcceptEvacuations, o.FailureDomains = true, []string{"d1", "d2"} }
	s := operatorService{c.startAll().follower().Host}
	submit := func(command *pb.Command) *pb.CommandResult {
		r, err := s.Submit(t.Context(), connect.NewRequest(&pb.SubmitRequest{Command: command}))
		is.NoErr(err)
		return r.Msg.GetResult()
	}
	for i := range 20 {
		r := submit(evacuate(fmt.Sprint("c", i), "d1", i%2 == 0))
		is.Equal(r.GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
		is.Equal(r.GetEvacuationSerial(), uint64(i+1))
	}
	is.Equal(submit(evacuate("c18", "d1", true)).GetEvacuationSerial(), uint64(19)) // sent again
	is.True(!s.h.State().Evacuations[0].GetActive())
	is.Equal(submit(evacuate("a", "d9", true)).GetProblems()[0].GetMessage(), "failure domain d9 is not known; this site has d1, d2")
	is.Equal(submit(evacuate("b", "d1", true)).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	is.True(strings.Contains(submit(evacuate("c", "d2", true)).GetMessage(), "d2 is the last failure domain"))
	base, older := uint64(3), evacuate("d", "d1", false)
	older.GetChangeEvacuation().BaseSerial = &base
	is.Equal(submit(older).GetOutcome(), pb.Outcome_OUTCOME_CONFLICT)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(s.h.submitOrder(gone, evacuate("e", "d1", false)).GetOutcome(), pb.Outcome_OUTCOME_UNAVAILABLE)
	is.True(s.h.State().Evacuations[0].GetActive())
}

// Guards against accepted orders without effect: nodes of the product's own scheme do not follow evacuations.
func TestEvacuationsAreRejectedInTheOwnScheme(t *testing.T) {
	is := is.New(t)
	h := newCluster(t, "kingston").startAll().leader().Host
	r := h.submitOrder(t.Context(), evacuate("a", "d1", true))
	is.Equal(r.GetOutcome(), pb.Outcome_OUTCOME_INVALID)
	is.Equal(len(h.State().Evacuations), 0)
}
