package hub

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// Handlers of the peer listener.
func (h *Hub) Handlers() []rpc.Handler {
	return []rpc.Handler{rpc.NewHandler(rattanfieldv1connect.NewMeshServiceHandler(service{h: h}, rpc.NoCompression()))}
}

type service struct {
	rattanfieldv1connect.UnimplementedMeshServiceHandler
	h *Hub
}

func announceRequest(a *pb.Announcement) *connect.Request[pb.AnnounceRequest] {
	return connect.NewRequest(&pb.AnnounceRequest{Announcement: a})
}

// Sync answers at once when the node lacks something.
func (s service) Sync(ctx context.Context, req *connect.Request[pb.MeshServiceSyncRequest]) (*connect.Response[pb.MeshServiceSyncResponse], error) {
	h, m := s.h, req.Msg
	h.take(m.GetSelf())
	timer := time.NewTimer(min(time.Duration(m.GetWaitMs())*time.Millisecond, maxWait))
	defer timer.Stop()
	for over := m.GetWaitMs() == 0; ; {
		response, news, next := h.answer(m)
		if news || over {
			return connect.NewResponse(response), nil
		}
		select {
		case <-next.decided:
		case <-next.changed:
			next.settle(ctx)
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// next change that a poll waits for.
type next struct {
	changed, decided <-chan struct{}
	wait             time.Duration // in which changes of the table are joined
}

// settle waits for further changes of the table, but not beyond a decision.
func (n next) settle(ctx context.Context) {
	timer := time.NewTimer(n.wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.decided:
	case <-ctx.Done():
	}
}

func (h *Hub) answer(m *pb.MeshServiceSyncRequest) (*pb.MeshServiceSyncResponse, bool, next) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := next{changed: h.changed, decided: h.decided, wait: settle + time.Duration(h.table.Len())*settlePerNode}
	st := h.state.State()
	out := &pb.MeshServiceSyncResponse{
		Confirmed: h.state.ConfirmedAge() <= lease, StateIndex: st.PlanChanges, PlanSerial: st.Plan.GetSerial(),
		Rollouts: st.Rollouts, ControlHosts: st.Members,
	}
	if out.GetPlanSerial() > m.GetHavePlan() {
		out.PlanPayload = st.Plan.GetPayload()
	}
	news := out.GetStateIndex() > m.GetHaveState()
	if m.GetNoTable() {
		n.changed = nil
		return out, news, n
	}
	since := m.GetTableVersion()
	if m.GetTableEpoch() != h.epoch {
		since, out.TableWhole = 0, true
	}
	out.TableEpoch, out.TableVersion = h.epoch, h.table.Version()
	out.Records = h.table.Since(since)
	return out, news || out.GetTableWhole() || len(out.GetRecords()) > 0, n
}

// Exchange gives the records that this host has from the nodes themselves.
func (s service) Exchange(ctx context.Context, req *connect.Request[pb.MeshServiceExchangeRequest]) (*connect.Response[pb.MeshServiceExchangeResponse], error) {
	h, m := s.h, req.Msg
	timer := time.NewTimer(min(time.Duration(m.GetWaitMs())*time.Millisecond, maxWait))
	defer timer.Stop()
	for over := m.GetWaitMs() == 0; ; {
		response, changed := h.ownRecords(m)
		if over || len(response.GetRecords()) > 0 {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
			lifecycle.Pause(ctx, settle)
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// ownRecords: the own versions of both tables are joined into one that grows with either.
func (h *Hub) ownRecords(m *pb.MeshServiceExchangeRequest) (*pb.MeshServiceExchangeResponse, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tableSince, outcomesSince := unpack(m.GetTableVersion())
	if m.GetTableEpoch() != h.epoch {
		tableSince, outcomesSince = 0, 0
	}
	out := &pb.MeshServiceExchangeResponse{TableEpoch: h.epoch, TableVersion: pack(h.table.OwnVersion(), h.outcomes.OwnVersion())}
	out.Records = append(h.table.OwnSince(tableSince), h.outcomes.OwnSince(outcomesSince)...)
	return out, h.changed
}

// versionBits of the outcomes table in a joined version. A host makes far fewer
// than 2^32 changes in its life; after that a peer would miss changes of one poll.
const versionBits = 32

func pack(table, outcomes uint64) uint64 { return table<<versionBits | outcomes&(1<<versionBits-1) }

func unpack(v uint64) (table, outcomes uint64) { return v >> versionBits, v & (1<<versionBits - 1) }

// Join admits a control host if this one leads, and tells who does otherwise.
func (s service) Join(ctx context.Context, req *connect.Request[pb.JoinRequest]) (*connect.Response[pb.JoinResponse], error) {
	h := s.h
	m := req.Msg.GetMember()
	if m.GetId() == "" || m.GetAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoMember)
	}
	if err := h.state.Admit(ctx, m); err != nil && !errors.Is(err, raft.ErrNotLeader) && !errors.Is(err, raft.ErrMemberPending) {
		_ = h.logger.Log("event", "join not possible now", "member", m.GetId(), "err", err)
	}
	_, leader := h.state.Leader()
	return connect.NewResponse(&pb.JoinResponse{Members: h.state.State().Members, LeaderAddress: leader}), nil
}
