package consensus

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	maxQueryWait     = 30 * time.Second
	confirmTimeout   = time.Second
	membersTimeout   = 500 * time.Millisecond
	defaultHistory   = 100
	roleLeader       = "leader"
	roleFollower     = "follower"
	roleLearner      = "learner"
	roleUnreachable  = "unreachable"
	roleUnknown      = "unknown"
	maxAgeMs         = math.MaxUint32
	maxContactMillis = math.MaxUint32
)

// localHeader marks a query from another control host. It is answered from local
// state, so that two hosts that consider each other the leader do not forward a
// query back and forth.
const localHeader = "X-Rattanfield-Local"

type operatorService struct{ h *Host }

// Submit submits an operator's command. See Host.Submit.
func (s operatorService) Submit(ctx context.Context, req *connect.Request[pb.SubmitRequest]) (*connect.Response[pb.SubmitResponse], error) {
	r := s.h.submitOrder(ctx, req.Msg.GetCommand())
	return connect.NewResponse(&pb.SubmitResponse{Result: r, Freshness: s.h.freshness()}), nil
}

// GetCommand returns the stored result of a command. Without a result it is
// certain that the command was not accepted only if the freshness is confirmed.
func (s operatorService) GetCommand(ctx context.Context, req *connect.Request[pb.GetCommandRequest]) (*connect.Response[pb.GetCommandResponse], error) {
	r := s.h.result(req.Msg.GetCommandId())
	confirmed := true
	if r == nil {
		confirm, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		confirmed = s.h.ConfirmRead(confirm) == nil
		r = s.h.result(req.Msg.GetCommandId())
	}
	f := s.h.freshness()
	f.Confirmed = f.Confirmed && confirmed
	return connect.NewResponse(&pb.GetCommandResponse{Found: r != nil, Result: r, Freshness: f}), nil
}

// Query answers from the state of this host and reports its age. While a quorum
// is reachable, the response includes every change that was accepted before the
// query, so that operators see their own changes. Without a quorum it is the
// state that this host has.
func (s operatorService) Query(ctx context.Context, req *connect.Request[pb.QueryRequest]) (*connect.Response[pb.QueryResponse], error) {
	q := req.Msg
	if q.GetWaitMs() > 0 {
		s.h.waitRevision(ctx, q.GetHaveRevision(), time.Duration(q.GetWaitMs())*time.Millisecond)
	}
	confirm, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed := s.h.ConfirmRead(confirm) == nil
	f := s.h.freshness() // read before the state, so that the state is not older than reported
	f.Confirmed = f.Confirmed && confirmed
	st := s.h.State()
	out := &pb.QueryResponse{Freshness: f}
	f.Revision = st.Configuration.GetRevision()
	for _, subject := range q.GetSubjects() {
		switch subject {
		case pb.Subject_SUBJECT_CONFIGURATION:
			out.Configuration = st.Configuration
		case pb.Subject_SUBJECT_MOVES:
			out.Moves = s.h.addWaitReasons(st.Moves)
		case pb.Subject_SUBJECT_HISTORY:
			out.History = newest(st.History, int(q.GetHistoryLimit()))
		case pb.Subject_SUBJECT_MEMBERS:
			if req.Header().Get(localHeader) != "" {
				out.Members = s.h.memberStatuses(st)
			} else {
				out.Members = s.h.memberStatusesOfLeader(ctx, st)
			}
		case pb.Subject_SUBJECT_PLAN:
			out.Plan = cmp.Or(st.Plan, &pb.StoredPlan{})
		case pb.Subject_SUBJECT_NODES:
			if r := s.h.nodes.Load(); r != nil {
				out.Nodes = (*r).NodeStatuses()
			}
		}
	}
	if err := s.h.addMeshSubjects(out, q.GetSubjects(), st); err != nil {
		return nil, connect.NewError(connect.CodeDataLoss, err)
	}
	return connect.NewResponse(out), nil
}

// addWaitReasons appends to the reason of each move what the move is waiting for
// now. Only the leader knows that.
func (h *Host) addWaitReasons(moves []*pb.Move) []*pb.Move {
	waitReasons := h.waitReasons.Load()
	if waitReasons == nil || !h.IsLeader() {
		return moves
	}
	out := slices.Clone(moves)
	for i, m := range out {
		if wait := (*waitReasons)(m.GetMoveId()); wait != "" {
			out[i] = proto.CloneOf(m)
			out[i].Reason = m.GetReason() + "; now: " + wait
		}
	}
	return out
}

func newest(history []*pb.Decision, limit int) []*pb.Decision {
	if limit == 0 {
		limit = defaultHistory
	}
	return history[max(0, len(history)-limit):]
}

// waitRevision returns when the revision differs from have, or when the wait is
// over. It waits for at most maxQueryWait.
func (h *Host) waitRevision(ctx context.Context, have uint64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxQueryWait))
	defer cancel()
	for {
		changed := h.Changed()
		if h.State().Configuration.GetRevision() != have {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-h.done:
			return
		}
	}
}

func (h *Host) freshness() *pb.Freshness {
	age := h.ConfirmedAge()
	leader, _ := h.Leader()
	return &pb.Freshness{
		Host: h.options.ID, Leader: leader, Confirmed: age < h.options.ElectionTimeout*leasePercent/100,
		AgeMs: uint32(min(age.Milliseconds(), maxAgeMs)), Revision: h.State().Configuration.GetRevision(),
	}
}

// memberStatusesOfLeader asks the leader, because only the leader is in contact
// with all members. If that fails, it returns what this host knows.
func (h *Host) memberStatusesOfLeader(ctx context.Context, st *ports.AppliedState) []*pb.MemberStatus {
	id, address := h.Leader()
	if id == "" || id == h.options.ID {
		return h.memberStatuses(st)
	}
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	client := rattanfieldv1connect.NewOperatorServiceClient(h.client.HTTP(), rpc.URL(address))
	req := connect.NewRequest(&pb.QueryRequest{Subjects: []pb.Subject{pb.Subject_SUBJECT_MEMBERS}})
	req.Header().Set(localHeader, "1")
	resp, err := client.Query(ctx, req)
	if err != nil || resp.Msg.GetFreshness().GetLeader() != id {
		return h.memberStatuses(st)
	}
	return resp.Msg.GetMembers()
}

// memberStatuses returns the member statuses that this host knows. They are
// complete on the leader; other hosts know only the roles.
func (h *Host) memberStatuses(st *ports.AppliedState) []*pb.MemberStatus {
	s := h.Status()
	now := h.clock.now()
	out := make([]*pb.MemberStatus, 0, len(st.Members))
	for _, m := range st.Members {
		ms := &pb.MemberStatus{Member: m, Role: roleFollower}
		p, known := s.Progress[m.GetId()]
		switch {
		case m.GetId() == s.Leader:
			ms.Role = roleLeader
		case !m.GetVoter():
			ms.Role = roleLearner
		case !known && m.GetId() != h.options.ID:
			ms.Role = roleUnknown
		}
		if known {
			ms.MatchIndex = p.Match
			if m.GetId() != h.options.ID {
				ms.LastContactMs = uint64(min((now - p.LastContact).Milliseconds(), maxContactMillis))
			}
			if s.Role == raft.Leader && m.GetId() != h.options.ID && (!p.Contacted || now-p.LastContact > h.options.ElectionTimeout) {
				ms.Role = roleUnreachable
			}
		}
		out = append(out, ms)
	}
	slices.SortFunc(out, func(a, b *pb.MemberStatus) int { return compareIDs(a.GetMember(), b.GetMember()) })
	return out
}

func compareIDs(a, b *pb.Member) int {
	switch {
	case a.GetId() < b.GetId():
		return -1
	case a.GetId() > b.GetId():
		return 1
	}
	return 0
}
