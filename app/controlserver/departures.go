package controlserver

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/rattanfield/rattanfield/core/nodetable"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// maxDeparturesPerNode bounds the departures that a node receives. It is below what nodetable.Upstream keeps.
const maxDeparturesPerNode = 32

// RecordDeparture stores a departure in the replicated log and responds once it is accepted.
func (s service) RecordDeparture(ctx context.Context, req *connect.Request[pb.RecordDepartureRequest]) (*connect.Response[pb.RecordDepartureResponse], error) {
	d := req.Msg.GetDeparture()
	if !nodetable.ValidDeparture(d) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the departure is not valid"))
	}
	r := s.server.state.Submit(ctx, &pb.Command{
		CommandId: fmt.Sprintf("departure/%016x/%d", xxhash.Sum64String(d.GetNode()+" "+d.GetInstance()), d.GetBornUntilUnixMs()), Operator: "node",
		Command: &pb.Command_RecordDeparture{RecordDeparture: d},
	})
	if r.GetOutcome() != pb.Outcome_OUTCOME_ACCEPTED {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("%v: %s", r.GetOutcome(), r.GetMessage()))
	}
	return connect.NewResponse(&pb.RecordDepartureResponse{}), nil
}

// ListDepartures returns the departures of the host of a node, after a quorum has confirmed that none is missing.
func (s service) ListDepartures(ctx context.Context, req *connect.Request[pb.ListDeparturesRequest]) (*connect.Response[pb.ListDeparturesResponse], error) {
	if err := s.server.state.ConfirmRead(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	own := slices.DeleteFunc(slices.Clone(s.server.state.State().Departures), func(d *pb.Departure) bool {
		return d.GetNode() != req.Msg.GetNode()
	})
	return connect.NewResponse(&pb.ListDeparturesResponse{Departures: own[max(0, len(own)-maxDeparturesPerNode):]}), nil
}
