package consensus

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// Guards against a host without a quorum that answers only after the caller's
// deadline: the caller would not learn that its command was not accepted.
func TestSubmitAnswersBeforeTheCallersDeadline(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "kingston", "kingston", "kingston")
	id := c.members[0].GetId()
	h := c.start(id)
	service := rattanfieldv1connect.NewOperatorServiceClient(h.client.HTTP(), rpc.URL(c.address(id)))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := service.Submit(ctx, connect.NewRequest(&pb.SubmitRequest{Command: putService("a", 1, "bookings", "v1")}))
	is.NoErr(err)
	is.Equal(r.Msg.GetResult().GetOutcome(), pb.Outcome_OUTCOME_UNAVAILABLE)
}
