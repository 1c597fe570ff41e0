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

// target is the process with which an exchange takes place.
type target struct {
	key     string // id of the process, or the address of a seed whose id is unknown
	address string
	relay   bool
}

// pushOnly is the wait of an exchange that only sends the changes of this table and
// requests nothing.
const pushOnly = -1

func (m *Members) clientOf(address string) rattanfieldv1connect.MembershipServiceClient {
	return m.clients.Get(address)
}

// exchange sends the changes of this table to a peer and merges the changes that
// the peer returns. The peer may hold the request for up to wait until it has
// changes.
func (m *Members) exchange(ctx context.Context, t target, wait time.Duration) error {
	request, sent, filterID := m.request(t, wait)
	ctx, cancel := context.WithTimeout(ctx, m.options.Timing.Timeout+max(wait, 0))
	defer cancel()
	response, err := m.clientOf(t.address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	m.handleResponse(t, request, response.Msg, sent, filterID)
	return nil
}

// sentStamps are the local stamps up to which a request contains all changes.
type sentStamps struct{ records, summaries uint64 }

// request builds the request of an exchange. It also returns the local stamps that
// the request covers and the number of the filter that it asks for.
func (m *Members) request(t target, wait time.Duration) (*pb.ExchangeRequest, sentStamps, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerLocked(t.key)
	if !p.withServices && (t.relay || m.options.Relay || !m.relayReachable) {
		p.withServices, p.have = true, 0
	}
	r := &pb.ExchangeRequest{
		From: m.options.ID, FailureDomain: m.options.FailureDomain, Region: m.options.Region,
		FromInstance: m.table.Instance(), HaveInstance: p.instance, HaveStamp: p.have,
		Relay: m.options.Relay, AppliedRevision: m.options.Applied(),
	}
	if p.withServices {
		r.Services = m.services
	}
	if wait == pushOnly {
		r.HaveStamp = math.MaxUint64
	} else {
		r.WaitMs = uint32(wait.Milliseconds())
	}
	if p.have == 0 {
		r.Digests = m.table.Digests(m.ownFilter(p.withServices))
	}
	r.Records, r.Stamp = m.recordsFor(t, p)
	r.Suspects = m.table.SuspectsSince(p.acked, t.key)
	sent := sentStamps{records: r.GetStamp()}
	if m.options.Summaries != nil {
		r.Summaries, sent.summaries = m.options.Summaries.SummariesSince(p.summaries)
	}
	return r, sent, m.filterIDOf(p)
}

// filterIDOf returns a number that identifies the filter with which a peer is asked
// for records. The stamp of a response to a request with another filter does not
// cover the records that are asked for now.
func (m *Members) filterIDOf(p *peer) uint64 {
	if p.withServices {
		return 2*m.serviceChanges + 1
	}
	return 2 * m.serviceChanges
}

// ownFilter returns the filter for the records that this process asks a peer for.
func (m *Members) ownFilter(withServices bool) membership.Filter {
	f := membership.Filter{All: m.options.Relay, FailureDomain: m.options.FailureDomain}
	if withServices {
		f.Services = m.services
	}
	return f
}

// recordsFor returns the records to send to a peer, and the stamp after which changes must be
// sent to it later. A peer that this node has not exchanged with yet receives only the node's
// own record, because every owner reports itself and a peer asks for what it lacks. Relays
// first send each other the records that differ according to the digests in the first
// response.
func (m *Members) recordsFor(t target, p *peer) ([]*pb.EndpointRecord, uint64) {
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
		// Relays exchange their records with each other. If a node repeated what it
		// received from one relay to the next one, the failure of a relay would cost the
		// transfer of one table per node.
		return m.table.Since(p.acked, membership.Filter{
			Peer: t.key, FailureDomain: m.options.FailureDomain, Skip: m.relayIDs,
		})
	default:
		return m.table.Since(p.acked, membership.Filter{Peer: t.key, FailureDomain: m.options.FailureDomain})
	}
}

// handleResponse merges the response of a peer and updates the stamps kept for the peer.
func (m *Members) handleResponse(t target, req *pb.ExchangeRequest, r *pb.ExchangeResponse, sent sentStamps, filterID uint64) {
	m.mu.Lock()
	p := m.peerLocked(t.key)
	// The instance for which the request was built is the one that answered.
	sameInstance := r.GetInstance() == req.GetHaveInstance()
	switch {
	case r.GetInstance() != p.instance:
		// The peer restarted or is new, and lacks what a former instance received. A request
		// built for the former instance omitted what that one already had, so it acknowledges
		// nothing; one built for no instance omitted nothing.
		*p = peer{instance: r.GetInstance(), digests: r.GetDigests(), withServices: p.withServices}
		if req.GetHaveInstance() == 0 {
			p.acked, p.summaries = sent.records, sent.summaries
		}
	case sameInstance:
		p.acked = max(p.acked, sent.records)
		p.summaries = max(p.summaries, sent.summaries)
	}
	if filterID == m.filterIDOf(p) && (!sameInstance || req.GetHaveStamp() <= p.have) {
		p.have = max(p.have, r.GetStamp())
	}
	p.exchangedAt = m.now()
	m.detector.RecordContact(m.now())
	suspects := m.mergeLocked(r.GetRecords(), r.GetSuspects(), t.key)
	m.mu.Unlock()
	m.deliver(suspects, r.GetSummaries())
}

// mergeLocked merges the records and suspects that a peer sent. It returns the
// suspects that changed the table.
func (m *Members) mergeLocked(records []*pb.EndpointRecord, suspects []*pb.SuspectRecord, from string) []*pb.SuspectRecord {
	own := m.table.Get(m.options.ID)
	before := make([]*pb.EndpointRecord, 0, 2*len(records))
	for _, r := range records {
		before = append(before, m.table.Get(r.GetNodeId()))
	}
	changed := m.table.Merge(records, from, m.now())
	newSuspects := m.table.MergeSuspects(suspects, from, m.now())
	if len(changed)+len(newSuspects) > 0 {
		m.recordsChangedLocked(append(before, changed...))
	}
	if m.table.Get(m.options.ID) != own {
		notify(m.localChanged)
		_ = m.logger.Log("msg", "refuted a record about this node", "sequence", m.table.Get(m.options.ID).GetSequence())
	}
	return newSuspects
}

// deliver passes suspects to the receiver and summaries to the relay.
func (m *Members) deliver(suspects []*pb.SuspectRecord, summaries []*pb.RelaySummary) {
	if len(suspects) > 0 && m.suspectReceiver != nil {
		m.suspectReceiver.Merge(suspects)
	}
	if len(summaries) > 0 && m.options.Summaries != nil {
		m.options.Summaries.MergeSummaries(summaries)
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
