package members

import (
	"context"
	"math"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// target of an exchange.
type target struct {
	key     string // id, or address of a seed whose id is not known
	address string
	relay   bool
}

// push as wait of an exchange only delivers this table's changes.
const push = -1

func (m *Members) clientOf(address string) rattanfieldv1connect.MembershipServiceClient {
	return m.clients.Get(address)
}

// exchange sends this table's changes to a peer and takes the peer's. It waits
// for changes of the peer up to wait.
func (m *Members) exchange(ctx context.Context, t target, wait time.Duration) error {
	request, sent, filter := m.request(t, wait)
	ctx, cancel := context.WithTimeout(ctx, m.options.Timing.Timeout+max(wait, 0))
	defer cancel()
	response, err := m.clientOf(t.address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	m.take(t, request, response.Msg, sent, filter)
	return nil
}

// sentStamps are the local stamps that a request covers.
type sentStamps struct{ records, summaries uint64 }

func (m *Members) request(t target, wait time.Duration) (*pb.ExchangeRequest, sentStamps, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerLocked(t.key)
	if !p.full && (t.relay || m.options.Relay || !m.relayOK) {
		p.full, p.have = true, 0
	}
	r := &pb.ExchangeRequest{
		From: m.options.ID, FailureDomain: m.options.FailureDomain, Region: m.options.Region,
		FromInstance: m.table.Instance(), HaveInstance: p.instance, HaveStamp: p.have,
		Relay: m.options.Relay, AppliedRevision: m.options.Applied(),
	}
	if p.full {
		r.Services = m.services
	}
	if wait == push {
		r.HaveStamp = math.MaxUint64
	} else {
		r.WaitMs = uint32(wait.Milliseconds())
	}
	if p.have == 0 {
		r.Digests = m.table.Digests(m.wants(p.full))
	}
	r.Records, r.Stamp = m.toSend(t, p)
	r.Suspects = m.table.SuspectsSince(p.acked, t.key)
	sent := sentStamps{records: r.GetStamp()}
	if m.options.Summaries != nil {
		r.Summaries, sent.summaries = m.options.Summaries.Changed(p.summaries)
	}
	return r, sent, m.filterOf(p)
}

// filterOf numbers what a peer is asked for; a response to another question says
// nothing about the records that are asked for now.
func (m *Members) filterOf(p *peer) uint64 {
	if p.full {
		return 2*m.filter + 1
	}
	return 2 * m.filter
}

// wants selects the records that this process asks of a peer.
func (m *Members) wants(full bool) membership.Filter {
	f := membership.Filter{All: m.options.Relay, FailureDomain: m.options.FailureDomain}
	if full {
		f.Services = m.services
	}
	return f
}

// toSend selects the records that a peer gets from this table. A peer that does
// not know this node yet gets the node's own record only: every owner reports
// itself, and a peer asks for what it lacks. Between relays the first records
// are those that differ by the digests of the peer's first response.
func (m *Members) toSend(t target, p *peer) ([]*pb.EndpointRecord, uint64) {
	switch {
	case m.options.Relay && p.acked == 0 && p.digests == nil:
		return nil, 0
	case m.options.Relay:
		f := membership.Filter{Peer: t.key, All: true}
		if p.acked == 0 {
			f.Digests = p.digests
		}
		return m.table.Since(p.acked, f)
	case p.acked == 0:
		return []*pb.EndpointRecord{m.table.Get(m.options.ID)}, m.table.Stamp()
	case t.relay:
		// What came from one relay reaches the others among relays; repeating it to
		// the next relay would cost a table per node when a relay is lost.
		return m.table.Since(p.acked, membership.Filter{
			Peer: t.key, FailureDomain: m.options.FailureDomain, Skip: m.relayIDs,
		})
	default:
		return m.table.Since(p.acked, membership.Filter{Peer: t.key, FailureDomain: m.options.FailureDomain})
	}
}

func (m *Members) take(t target, req *pb.ExchangeRequest, r *pb.ExchangeResponse, sent sentStamps, filter uint64) {
	m.mu.Lock()
	p := m.peerLocked(t.key)
	known := r.GetInstance() == req.GetHaveInstance()
	switch {
	case r.GetInstance() != p.instance:
		// The peer restarted, or is new: what it got before is lost, and a request
		// that was built on that is not complete.
		*p = peer{instance: r.GetInstance(), digests: r.GetDigests(), full: p.full}
		if req.GetHaveInstance() == 0 {
			p.acked, p.summaries = sent.records, sent.summaries
		}
	case known:
		p.acked = max(p.acked, sent.records)
		p.summaries = max(p.summaries, sent.summaries)
	}
	if filter == m.filterOf(p) && (!known || req.GetHaveStamp() <= p.have) {
		p.have = max(p.have, r.GetStamp())
	}
	p.exchange = m.now()
	m.detector.RecordContact(m.now())
	suspects := m.mergeLocked(r.GetRecords(), r.GetSuspects(), t.key)
	m.mu.Unlock()
	m.deliver(suspects, r.GetSummaries())
}

// mergeLocked takes what a peer sent and returns the suspects that were news.
func (m *Members) mergeLocked(records []*pb.EndpointRecord, suspects []*pb.SuspectRecord, from string) []*pb.SuspectRecord {
	own := m.table.Get(m.options.ID)
	before := make([]*pb.EndpointRecord, 0, 2*len(records))
	for _, r := range records {
		before = append(before, m.table.Get(r.GetNodeId()))
	}
	changed := m.table.Merge(records, from, m.now())
	news := m.table.MergeSuspects(suspects, from, m.now())
	if len(changed)+len(news) > 0 {
		m.noteLocked(append(before, changed...))
	}
	if m.table.Get(m.options.ID) != own {
		notify(m.local)
		_ = m.logger.Log("msg", "refuted a record about this node", "sequence", m.table.Get(m.options.ID).GetSequence())
	}
	return news
}

func (m *Members) deliver(suspects []*pb.SuspectRecord, summaries []*pb.RelaySummary) {
	if len(suspects) > 0 && m.receiver != nil {
		m.receiver.Merge(suspects)
	}
	if len(summaries) > 0 && m.options.Summaries != nil {
		m.options.Summaries.Take(summaries)
	}
}

func (m *Members) peerLocked(key string) *peer {
	p := m.peers[key]
	if p == nil {
		p = &peer{}
		m.peers[key] = p
	}
	return p
}
