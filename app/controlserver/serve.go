package controlserver

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/nodetable"
	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// Handlers returns the RPC handlers for the peer listener. Exchanges are compressed, because each control host sends its records to
// each other one: with 300 nodes and 16 hosts they were two thirds of the bytes between regions.
func (s *Server) Handlers() []rpc.Handler {
	return []rpc.Handler{rpc.NewHandler(rattanfieldv1connect.NewMeshServiceHandler(
		service{server: s}, rpc.ZstdFor(rattanfieldv1connect.MeshServiceExchangeProcedure),
	))}
}

type service struct {
	rattanfieldv1connect.UnimplementedMeshServiceHandler
	server *Server
}

// announceRequest returns the request with which this host, as a client of a node,
// forwards an announcement to it.
func announceRequest(a *pb.Announcement) *connect.Request[pb.AnnounceRequest] {
	return connect.NewRequest(&pb.AnnounceRequest{Announcement: a})
}

// Sync stores the record of the node and returns what the node lacks. It answers at
// once if there is anything, and otherwise waits as long as the request allows.
func (s service) Sync(ctx context.Context, req *connect.Request[pb.MeshServiceSyncRequest]) (*connect.Response[pb.MeshServiceSyncResponse], error) {
	server, m := s.server, req.Msg
	server.storeRecord(m.GetSelf())
	server.mergeSuspects(m.GetSuspects(), true)
	server.storeDemands(m)
	totalsDue := len(m.GetDemands()) > 0
	timer := time.NewTimer(min(time.Duration(m.GetWaitMs())*time.Millisecond, maxWait))
	defer timer.Stop()
	for expired := m.GetWaitMs() == 0; ; {
		response, hasChanges, signals := server.buildResponse(m)
		if hasChanges || expired || (totalsDue && len(response.GetTotals()) > 0) {
			return connect.NewResponse(response), nil
		}
		select {
		case <-signals.planChanged:
		case <-signals.quotasChanged:
			expired = signals.coalesce(ctx, timer.C, quotasWait, nil)
			totalsDue = true
		case <-urgentTotals(response):
			totalsDue = true
		case <-signals.suspectsChanged:
			expired = signals.coalesce(ctx, timer.C, signals.suspectsWait, nil)
		case <-signals.changed:
			expired = signals.coalesce(ctx, timer.C, signals.wait, signals.suspectsChanged)
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// pollSignals holds the channels that a poll waits on.
type pollSignals struct {
	changed, planChanged, suspectsChanged <-chan struct{}
	quotasChanged                         <-chan struct{} // nil if the node needs no totals
	wait, suspectsWait                    time.Duration   // time over which changes of the table and of suspects are collected
}

// coalesce waits for further changes. It ends early when the plan or a rollout changes, when urgent is closed, or when the
// poll expires, which it reports: with a table of many records, it would otherwise wait longer than the node does.
func (s pollSignals) coalesce(ctx context.Context, expiry <-chan time.Time, wait time.Duration, urgent <-chan struct{}) (expired bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.planChanged:
	case <-urgent:
	case <-expiry:
		return true
	case <-ctx.Done():
	}
	return false
}

// buildResponse returns the response to a poll, whether it contains anything new for
// the node, and the signals to wait for if it does not.
func (s *Server) buildResponse(m *pb.MeshServiceSyncRequest) (*pb.MeshServiceSyncResponse, bool, pollSignals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := time.Duration(s.table.Len())
	signals := pollSignals{
		changed: s.changed, planChanged: s.planChanged, suspectsChanged: s.suspectsChanged,
		wait: coalesceTime + nodes*coalesceTimePerNode, suspectsWait: coalesceTime + nodes*suspectsTimePerNode,
	}
	st := s.state.State()
	out := &pb.MeshServiceSyncResponse{
		Confirmed: s.state.ConfirmedAge() <= lease, StateIndex: st.PlanChanges, PlanSerial: st.Plan.GetSerial(),
		Rollouts: st.Rollouts, Evacuations: st.Evacuations, ControlHosts: st.Members,
	}
	if out.GetPlanSerial() > m.GetHavePlan() {
		out.PlanPayload = st.Plan.GetPayload()
	}
	hasChanges := out.GetStateIndex() > m.GetHaveState()
	if m.GetNoTable() {
		signals.changed, signals.suspectsChanged = nil, nil
		return out, hasChanges, signals
	}
	since, suspectsSince := m.GetTableVersion(), m.GetSuspectsVersion()
	if m.GetTableEpoch() != s.epoch {
		since, suspectsSince, out.TableWhole = 0, 0, true
	}
	out.TableEpoch, out.TableVersion, out.SuspectsVersion = s.epoch, s.table.Version(), s.suspects.Version()
	out.Records, out.Suspects = s.table.Since(since), s.suspects.Since(time.Now(), suspectsSince)
	s.addTotalsLocked(m, out, &signals)
	return out, hasChanges || out.GetTableWhole() || len(out.GetRecords())+len(out.GetSuspects()) > 0, signals
}

// Exchange returns the records and suspects that this host received directly from nodes, and not
// from other control hosts.
func (s service) Exchange(ctx context.Context, req *connect.Request[pb.MeshServiceExchangeRequest]) (*connect.Response[pb.MeshServiceExchangeResponse], error) {
	server, m := s.server, req.Msg
	timer := time.NewTimer(min(time.Duration(m.GetWaitMs())*time.Millisecond, maxWait))
	defer timer.Stop()
	demandsDue := false
	for expired := m.GetWaitMs() == 0; ; {
		response, changed, suspectsChanged, quotasChanged := server.ownRecords(m)
		if expired || demandsDue || len(response.GetRecords())+len(response.GetSuspects()) > 0 {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
			lifecycle.Pause(ctx, coalesceTime)
		case <-suspectsChanged:
			lifecycle.Pause(ctx, coalesceTime)
		case <-quotasChanged:
			lifecycle.Pause(ctx, demandsWait)
			demandsDue = true
		case <-urgentDemands(response):
			demandsDue = true
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// ownRecords returns the response to an exchange, and channels that are closed at the
// next change of the table, of suspects and of an urgent demand. Its version combines the own versions of the node table and
// of the outcomes table.
func (s *Server) ownRecords(m *pb.MeshServiceExchangeRequest) (out *pb.MeshServiceExchangeResponse, changed, suspectsChanged, quotasChanged <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tableSince, outcomesSince := unpackVersions(m.GetTableVersion())
	suspectsSince := m.GetSuspectsVersion()
	if m.GetTableEpoch() != s.epoch {
		tableSince, outcomesSince, suspectsSince = 0, 0, 0
	}
	out = &pb.MeshServiceExchangeResponse{
		TableEpoch: s.epoch, TableVersion: packVersions(s.table.OwnVersion(), s.outcomes.OwnVersion()), SuspectsVersion: s.suspects.OwnVersion(),
		Records:  append(s.table.OwnSince(tableSince), s.outcomes.OwnSince(outcomesSince)...),
		Suspects: s.suspects.OwnSince(time.Now(), suspectsSince),
	}
	s.addDemandsLocked(m, out)
	return out, s.changed, s.suspectsChanged, s.quotasChanged
}

// versionBits is the number of bits of a combined version that hold the version of the
// outcomes table. A process makes far fewer than 2^32 changes in its lifetime; beyond
// that, a peer would miss the changes of one poll.
const versionBits = 32

func packVersions(table, outcomes uint64) uint64 {
	return table<<versionBits | outcomes&(1<<versionBits-1)
}

func unpackVersions(v uint64) (table, outcomes uint64) {
	return v >> versionBits, v & (1<<versionBits - 1)
}

// Join admits a control host if this host leads. The response states the members and
// the address of the leader.
func (s service) Join(ctx context.Context, req *connect.Request[pb.JoinRequest]) (*connect.Response[pb.JoinResponse], error) {
	server := s.server
	m := req.Msg.GetMember()
	if err := nodetable.CheckMember(m); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := server.state.Admit(ctx, m); err != nil && !errors.Is(err, raft.ErrNotLeader) && !errors.Is(err, raft.ErrMemberPending) {
		_ = server.logger.Log("event", "join not possible now", "member", m.GetId(), "err", err)
	}
	_, leader := server.state.Leader()
	return connect.NewResponse(&pb.JoinResponse{Members: server.state.State().Members, LeaderAddress: leader}), nil
}
