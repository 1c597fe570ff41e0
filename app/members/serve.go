package members

import (
	"context"
	"math"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// maxWait bounds the long poll that a peer may ask for.
const maxWait = 30 * time.Second

// Handlers returns the MembershipService of this process.
func (m *Members) Handlers() []rpc.Handler {
	return []rpc.Handler{rpc.NewHandler(rattanfieldv1connect.NewMembershipServiceHandler(service{m}, rpc.HandlerOptions()))}
}

type service struct{ m *Members }

// Exchange merges what the peer sent and answers with what it does not have.
func (s service) Exchange(ctx context.Context, req *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	m, r := s.m, req.Msg
	m.accept(r)
	deadline := m.now().Add(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxWait))
	for {
		response, changed := m.response(r)
		wait := deadline.Sub(m.now())
		if wait <= 0 || response.GetStamp() == 0 || len(response.Records)+len(response.Suspects)+len(response.Summaries) > 0 {
			return connect.NewResponse(response), nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
			timer.Stop()
			if !lifecycle.Pause(ctx, min(wait, m.options.Timing.Batch)) {
				return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
			}
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

func (m *Members) accept(r *pb.ExchangeRequest) {
	m.mu.Lock()
	m.detector.RecordContact(m.now())
	if m.options.Relay && r.GetRelay() && r.GetHaveInstance() == m.table.Instance() {
		// The sender included everything after what this table had acknowledged, so
		// an exchange in the other direction need not repeat it.
		p := m.peerLocked(r.GetFrom())
		if p.instance == r.GetFromInstance() {
			p.have = max(p.have, r.GetStamp())
		}
	}
	suspects := m.mergeLocked(r.GetRecords(), r.GetSuspects(), r.GetFrom())
	m.mu.Unlock()
	m.deliver(suspects, r.GetSummaries())
}

func (m *Members) response(r *pb.ExchangeRequest) (*pb.ExchangeResponse, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	have := r.GetHaveStamp()
	pushed := have == math.MaxUint64
	if r.GetHaveInstance() != m.table.Instance() {
		have = 0
	}
	out := &pb.ExchangeResponse{Instance: m.table.Instance(), AppliedRevision: m.options.Applied()}
	if m.options.Relay && r.GetRelay() && r.GetHaveInstance() != m.table.Instance() {
		out.Digests = m.table.Digests(membership.Filter{All: true})
	}
	if pushed {
		return out, m.changed // the sender asks for nothing
	}
	if have == 0 && r.GetHaveInstance() != 0 && len(r.GetDigests()) == 0 {
		// The sender knows an earlier table of this process. With stamp 0 it asks
		// again, with digests, and gets only what differs.
		return out, m.changed
	}
	filter := membership.Filter{
		Peer: r.GetFrom(), All: r.GetRelay(), FailureDomain: r.GetFailureDomain(), Services: r.GetServices(),
	}
	if have == 0 {
		filter.Digests = r.GetDigests()
	}
	out.Records, out.Stamp = m.table.Since(have, filter)
	out.Suspects = m.table.SuspectsSince(have, r.GetFrom())
	return out, m.changed
}

// Probe answers for this process, or asks another member on behalf of the sender.
func (s service) Probe(ctx context.Context, req *connect.Request[pb.ProbeRequest]) (*connect.Response[pb.ProbeResponse], error) {
	m, r := s.m, req.Msg
	if r.GetTarget() == "" || r.GetTarget() == m.options.ID {
		m.mu.Lock()
		own := m.table.Get(m.options.ID)
		m.mu.Unlock()
		return connect.NewResponse(&pb.ProbeResponse{
			Alive: true, Incarnation: own.GetIncarnation(), Sequence: own.GetSequence(),
		}), nil
	}
	if r.GetTargetAddress() == "" { // another process took over the address
		return connect.NewResponse(&pb.ProbeResponse{}), nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.Timing.ProbeTimeout)
	defer cancel()
	answer, err := m.clientOf(r.GetTargetAddress()).Probe(ctx,
		connect.NewRequest(&pb.ProbeRequest{From: m.options.ID, Target: r.GetTarget()}))
	if err != nil { // an unreachable target is the answer, not a fault of this call
		return connect.NewResponse(&pb.ProbeResponse{}), nil
	}
	return connect.NewResponse(answer.Msg), nil
}
