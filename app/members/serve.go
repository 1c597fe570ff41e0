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

// maxWait is the longest long poll that a peer may ask for.
const maxWait = 30 * time.Second

// Handlers returns the MembershipService of this process.
func (m *Members) Handlers() []rpc.Handler {
	return []rpc.Handler{rpc.NewHandler(rattanfieldv1connect.NewMembershipServiceHandler(service{m}, rpc.LargeMessageCompression()))}
}

type service struct{ m *Members }

// Exchange merges what the peer sent and returns what the peer lacks. It waits for
// changes for as long as the request allows.
func (s service) Exchange(ctx context.Context, req *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	m, r := s.m, req.Msg
	m.handleRequest(r)
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

// handleRequest merges the records, suspects and summaries of a request.
func (m *Members) handleRequest(r *pb.ExchangeRequest) {
	m.mu.Lock()
	m.detector.RecordContact(m.now())
	if m.options.Relay && r.GetRelay() && r.GetHaveInstance() == m.table.Instance() {
		// The request contains everything that this table had not acknowledged, so that an
		// exchange in the other direction need not repeat it.
		p := m.peerLocked(r.GetFrom())
		if p.instance == r.GetFromInstance() {
			p.have = max(p.have, r.GetStamp())
		}
	}
	suspects := m.mergeLocked(r.GetRecords(), r.GetSuspects(), r.GetFrom())
	m.mu.Unlock()
	m.deliver(suspects, r.GetSummaries())
}

// response returns the response to a request, and a channel that is closed at the
// next change of the table.
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
		return out, m.changed // a push-only exchange requests nothing
	}
	if have == 0 && r.GetHaveInstance() != 0 && len(r.GetDigests()) == 0 {
		// The sender knows an earlier table of this process. It then repeats the request
		// with stamp 0 and digests, and receives only what differs.
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

// Probe answers that this process is alive, or probes another member on behalf of
// the sender.
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
	if r.GetTargetAddress() == "" { // the address now belongs to a process with another id
		return connect.NewResponse(&pb.ProbeResponse{}), nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.Timing.ProbeTimeout)
	defer cancel()
	answer, err := m.clientOf(r.GetTargetAddress()).Probe(ctx,
		connect.NewRequest(&pb.ProbeRequest{From: m.options.ID, Target: r.GetTarget()}))
	if err != nil { // an unreachable target is a valid result of an indirect probe, not an error
		return connect.NewResponse(&pb.ProbeResponse{}), nil
	}
	return connect.NewResponse(answer.Msg), nil
}
