package consensus

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against a leader that does not report to operators what a move is
// waiting for, and against a response that modifies the replicated state.
func TestQueryReportsMoveWaits(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "kingston").startAll()
	h := c.leader().Host
	h.SetMoveWaitReader(func(id string) string { return map[string]string{"m1": "observing for 3s more"}[id] })
	moves := []*pb.Move{{MoveId: "m1", Reason: "first calls"}, {MoveId: "m2", Reason: "done"}}
	out := h.addWaitReasons(moves)
	is.Equal(out[0].GetReason(), "first calls; now: observing for 3s more")
	is.Equal(out[1].GetReason(), "done")
	is.Equal(moves[0].GetReason(), "first calls")
	r, err := operatorService{h}.Query(context.Background(), connect.NewRequest(&pb.QueryRequest{Subjects: []pb.Subject{pb.Subject_SUBJECT_MOVES}}))
	is.NoErr(err)
	is.Equal(len(r.Msg.GetMoves()), 0)
}

// Guards against a host without an accepted plan that operators take for one that does not know the subject.
func TestQueryReportsPlan(t *testing.T) {
	is := is.New(t)
	h := newCluster(t, "kingston").startAll().leader().Host
	query := func() *pb.StoredPlan {
		r, err := operatorService{h}.Query(context.Background(), connect.NewRequest(&pb.QueryRequest{Subjects: []pb.Subject{pb.Subject_SUBJECT_PLAN}}))
		is.NoErr(err)
		return r.Msg.GetPlan()
	}
	is.True(proto.Equal(query(), &pb.StoredPlan{}) && query() != nil)
	r := h.Submit(context.Background(), &pb.Command{CommandId: "p", Command: &pb.Command_ReplacePlan{ReplacePlan: &pb.ReplacePlan{Number: 7, Payload: []byte("plan"), Digest: 3}}})
	is.Equal(r.GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	is.True(proto.Equal(query(), &pb.StoredPlan{Number: 7, Serial: 1, Payload: []byte("plan"), Digest: 3}))
}
