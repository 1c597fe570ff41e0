package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

type service struct{ r *Relay }

// Sync returns the changes since the revision that the node has.
func (s service) Sync(ctx context.Context, req *connect.Request[pb.SyncRequest]) (*connect.Response[pb.SyncResponse], error) {
	r, m := s.r, req.Msg
	r.recordRequest(m)
	var response *pb.SyncResponse
	var err error
	if m.GetConfirmed() && r.confirm(ctx) != nil {
		response = r.noUsableRevision(m)
	} else {
		response, err = r.wait(ctx, m)
	}
	if err != nil {
		return nil, err
	}
	age := r.deps.Quorum.ConfirmedAge()
	response.Confirmed = age <= r.options.Lease && response.GetKind() != pb.SyncKind_SYNC_KIND_UNCONFIRMED
	response.ConfirmedAgeMs = uint32(min(age.Milliseconds(), int64(^uint32(0))))
	response.BrakedMoves = r.brakedMoves(m.GetFailureDomain())
	return connect.NewResponse(response), nil
}

// wait returns the response as soon as there is something new for the node, the wait of
// the request has passed, or this host loses its quorum.
func (r *Relay) wait(ctx context.Context, m *pb.SyncRequest) (*pb.SyncResponse, error) {
	timer := time.NewTimer(min(time.Duration(m.GetWaitMs())*time.Millisecond, maxWait))
	defer timer.Stop()
	confirmed := r.isConfirmed()
	for expired := m.GetWaitMs() == 0; ; {
		h, changed := r.published()
		response, hasChanges, err := r.answer(h, m)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		if expired || hasChanges || (confirmed && !r.isConfirmed()) {
			return response, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// answer returns the response for the published state. hasChanges reports whether it
// contains anything new for the node, or tells the node to retry later.
func (r *Relay) answer(h history, m *pb.SyncRequest) (response *pb.SyncResponse, hasChanges bool, err error) {
	if h.current().configuration.GetRevision() < max(m.GetFloor(), m.GetHaveRevision()) {
		return r.noUsableRevision(m), false, nil
	}
	a, err := r.caches.get(m.GetInterests()).answer(h, m.GetHaveRevision(), m.GetHaveHash(), m.GetSnapshot(),
		!r.options.FullSnapshots, !r.options.NoCompression, r.options.Now())
	if err != nil {
		return nil, false, err
	}
	if a.kind == pb.SyncKind_SYNC_KIND_SNAPSHOT {
		if after := r.reserveSnapshot(); after > 0 {
			return &pb.SyncResponse{
				Kind: pb.SyncKind_SYNC_KIND_RETRY_LATER, RetryAfterMs: uint32(after.Milliseconds()) + 1,
			}, true, nil
		}
	}
	hasChanges = a.kind != pb.SyncKind_SYNC_KIND_UNCHANGED || a.revision > m.GetHaveRevision() ||
		!slices.Equal(m.GetBrakedMoves(), r.brakedMoves(m.GetFailureDomain()))
	return &pb.SyncResponse{
		Kind: a.kind, Revision: a.revision, Hash: a.hash, Payload: a.payload, Compressed: a.compressed,
	}, hasChanges, nil
}

// noUsableRevision returns the response UNCONFIRMED. It is sent when this host has no quorum for
// a confirmed read, and when the revision of this relay is below the floor or the revision of the node.
func (r *Relay) noUsableRevision(*pb.SyncRequest) *pb.SyncResponse {
	return &pb.SyncResponse{Kind: pb.SyncKind_SYNC_KIND_UNCONFIRMED, Revision: r.revision()}
}

// reserveSnapshot takes a token for a snapshot and returns 0. If there is none, it
// returns the delay after which the node should ask again: the time until a token is
// free plus up to one second of jitter, so that the nodes of a reconnect storm do not
// all return at the same time.
func (r *Relay) reserveSnapshot() time.Duration {
	reservation := r.limiter.Reserve()
	delay := reservation.Delay()
	if delay <= 0 {
		return 0
	}
	reservation.Cancel()
	return delay + rand.N(time.Second)
}

// brakedMoves returns the braked moves of the failure domain of a node. After the first
// call for a failure domain it is watched: checkBrakes keeps its braked moves current.
func (r *Relay) brakedMoves(domain string) []string {
	if r.deps.Brakes == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	moves, watched := r.braked[domain]
	if !watched {
		moves = slices.Clone(r.deps.Brakes.BrakedMoves(domain))
		r.braked[domain] = moves
	}
	return moves
}

// RecordFloor records the revision that a node is about to apply.
func (s service) RecordFloor(_ context.Context, req *connect.Request[pb.RecordFloorRequest]) (*connect.Response[pb.RecordFloorResponse], error) {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	floor := s.r.recorder.Record(req.Msg.GetNodeId(), req.Msg.GetRevision())
	return connect.NewResponse(&pb.RecordFloorResponse{Floor: floor}), nil
}

// ReadFloor returns the floor that this relay has recorded for a node, and whether the
// recorder is complete. It is after a quorum has confirmed a revision since the start: the
// floors that were recorded before the start are at most that revision, which is a lower
// bound of every answer from then on. Only answers of a complete recorder count.
func (s service) ReadFloor(_ context.Context, req *connect.Request[pb.ReadFloorRequest]) (*connect.Response[pb.ReadFloorResponse], error) {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	a := s.r.recorder.Read(req.Msg.GetNodeId())
	return connect.NewResponse(&pb.ReadFloorResponse{
		Known: a.Known, Floor: a.Floor, Complete: a.Complete,
		OwnRevision: s.r.history.current().configuration.GetRevision(),
	}), nil
}

// Report forwards the outcome counts of nodes to the sink.
func (s service) Report(_ context.Context, req *connect.Request[pb.ReportRequest]) (*connect.Response[pb.ReportResponse], error) {
	if s.r.deps.Sink != nil {
		s.r.deps.Sink.ReceiveReports(req.Msg.GetReports())
	}
	return connect.NewResponse(&pb.ReportResponse{}), nil
}
