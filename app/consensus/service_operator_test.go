package consensus

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

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
