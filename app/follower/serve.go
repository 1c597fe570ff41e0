package follower

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// Handlers returns the DistributionService that this node serves to its peers.
func (f *Follower) Handlers() []rpc.Handler {
	return []rpc.Handler{rpc.NewHandler(rattanfieldv1connect.NewDistributionServiceHandler(service{f}, rpc.NoCompression()))}
}

type service struct{ f *Follower }

// Sync answers from the projection of this node at once. Its response never states a
// quorum. Its kind is UNCONFIRMED if the request asks for confirmation by a quorum, or
// if the projection does not cover what the peer needs.
func (s service) Sync(_ context.Context, req *connect.Request[pb.SyncRequest]) (*connect.Response[pb.SyncResponse], error) {
	f, m := s.f, req.Msg
	f.mu.Lock()
	covered := f.projectionInterests
	p := f.projection.Load()
	f.mu.Unlock()
	none := connect.NewResponse(&pb.SyncResponse{Kind: pb.SyncKind_SYNC_KIND_UNCONFIRMED, Revision: p.Revision()})
	if m.GetConfirmed() || p == nil || p.Revision() < max(m.GetFloor(), m.GetHaveRevision()) {
		return none, nil
	}
	response, err := config.AnswerPeer(p, covered, m.GetInterests())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	if response == nil {
		return none, nil
	}
	if response.GetHash() == m.GetHaveHash() && !m.GetSnapshot() {
		response.Kind, response.Payload, response.Compressed = pb.SyncKind_SYNC_KIND_UNCHANGED, nil, false
	}
	return connect.NewResponse(response), nil
}

// RecordFloor records the revision that a peer is about to apply.
func (s service) RecordFloor(_ context.Context, req *connect.Request[pb.RecordFloorRequest]) (*connect.Response[pb.RecordFloorResponse], error) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	floor := s.f.recorder.Record(req.Msg.GetNodeId(), req.Msg.GetRevision())
	return connect.NewResponse(&pb.RecordFloorResponse{Floor: floor}), nil
}

// ReadFloor returns the floor that this node has recorded for a peer.
func (s service) ReadFloor(_ context.Context, req *connect.Request[pb.ReadFloorRequest]) (*connect.Response[pb.ReadFloorResponse], error) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	a := s.f.recorder.Read(req.Msg.GetNodeId())
	return connect.NewResponse(&pb.ReadFloorResponse{
		Known: a.Known, Floor: a.Floor, Complete: a.Complete, OwnRevision: s.f.Revision(),
	}), nil
}

// Report returns an error, because only relays accept reports.
func (s service) Report(context.Context, *connect.Request[pb.ReportRequest]) (*connect.Response[pb.ReportResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("a node takes no reports"))
}
