package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// forgetNode is how long the status of a node is kept after its last sign here.
const forgetNode = 10 * time.Minute

// lagGrace is how long a node may take to apply a revision before summaries list
// it; a change is in force everywhere within 6 s.
const lagGrace = 3 * time.Second

// attachedFor is how long a node counts as one that follows this relay; its
// next long poll is due within half of this time.
const attachedFor = 2 * maxWait

// nodeStatus is what this relay knows of the configuration in one node.
type nodeStatus struct {
	applied  uint64
	seenAt   time.Time
	syncedAt time.Time // last long poll of the node at this relay
}

type stampedSummary struct {
	summary *pb.RelaySummary
	stamp   uint64
}

// summaries holds the summaries of all relays, with a local stamp for each change.
type summaries struct {
	stamp   uint64
	byRelay map[string]stampedSummary
}

// note remembers what a request says about its node.
func (r *Relay) note(m *pb.SyncRequest) {
	if m.GetNodeId() == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodeLocked(m.GetNodeId())
	n.seenAt = r.options.Now()
	if m.GetWaitMs() > 0 {
		// A starting node asks several relays; it follows the one where it waits.
		n.syncedAt = n.seenAt
	}
	n.applied = max(n.applied, m.GetHaveRevision())
}

func (r *Relay) nodeLocked(id string) *nodeStatus {
	n := r.nodes[id]
	if n == nil {
		n = &nodeStatus{seenAt: r.options.Now()}
		r.nodes[id] = n
	}
	return n
}

// summarize publishes this relay's summary when it changed.
func (r *Relay) summarize() {
	records := r.members.Records()
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.nodes, func(_ string, n *nodeStatus) bool { return now.Sub(n.seenAt) > forgetNode })
	next := r.ownSummaryLocked(records, now)
	old := r.summaries.byRelay[r.options.ID].summary
	next.Sequence = old.GetSequence()
	if old != nil && proto.Equal(old, next) {
		return
	}
	next.Sequence++
	r.storeLocked(next) // the next exchange between relays carries it
}

// ownSummaryLocked states a revision that nearly all nodes of the domain have
// applied and lists the others, so that its size grows with the nodes that lag.
// While a change is on its way the revision before it is stated, or each change
// would list most nodes for a moment.
func (r *Relay) ownSummaryLocked(records []*pb.EndpointRecord, now time.Time) *pb.RelaySummary {
	s := &pb.RelaySummary{
		RelayId: r.options.ID, Instance: r.options.Incarnation, FailureDomain: r.options.FailureDomain,
	}
	applied := make(map[string]uint64)
	foreign := make(map[string]bool)
	all := r.history.current().configuration.GetRevision()
	for _, e := range records {
		if !membership.IsLive(e) {
			continue
		}
		id := e.GetNodeId()
		n := r.nodes[id]
		attached := n != nil && now.Sub(n.syncedAt) <= attachedFor
		foreign[id] = e.GetFailureDomain() != r.options.FailureDomain
		if foreign[id] && !attached {
			continue
		}
		applied[id] = 0
		if attached {
			applied[id] = n.applied
		}
		if !foreign[id] {
			all = min(all, applied[id])
		}
	}
	s.Revision = max(all, r.publishedBeforeLocked(now.Add(-lagGrace)))
	for id, revision := range applied {
		if !foreign[id] && revision >= s.GetRevision() {
			s.CoveredHash ^= xxhash.Sum64String(id)
			continue
		}
		s.Exceptions = append(s.Exceptions, &pb.NodeApplied{NodeId: id, Revision: revision})
	}
	slices.SortFunc(s.Exceptions, func(a, b *pb.NodeApplied) int { return cmp.Compare(a.GetNodeId(), b.GetNodeId()) })
	return s
}

// publishedBeforeLocked is the newest revision that was published before a time.
func (r *Relay) publishedBeforeLocked(t time.Time) uint64 {
	for _, p := range slices.Backward(r.history) {
		if p.at.Before(t) {
			return p.configuration.GetRevision()
		}
	}
	return 0
}

func (r *Relay) storeLocked(s *pb.RelaySummary) {
	r.summaries.stamp++
	r.summaries.byRelay[s.GetRelayId()] = stampedSummary{summary: s, stamp: r.summaries.stamp}
}

// SummariesSince returns the summaries that changed after a stamp, for the exchange between relays.
func (r *Relay) SummariesSince(after uint64) ([]*pb.RelaySummary, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*pb.RelaySummary
	for _, id := range slices.Sorted(maps.Keys(r.summaries.byRelay)) {
		if s := r.summaries.byRelay[id]; s.stamp > after {
			out = append(out, s.summary)
		}
	}
	return out, r.summaries.stamp
}

// MergeSummaries merges summaries of other relays.
func (r *Relay) MergeSummaries(summaries []*pb.RelaySummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range summaries {
		old := r.summaries.byRelay[s.GetRelayId()].summary
		newer := cmp.Or(cmp.Compare(s.GetInstance(), old.GetInstance()),
			cmp.Compare(s.GetSequence(), old.GetSequence())) > 0
		if s.GetRelayId() != r.options.ID && newer {
			r.storeLocked(s)
		}
	}
}

// NodeStatuses returns the applied revision and lag of every node, also of
// those that follow other relays.
func (r *Relay) NodeStatuses() []*pb.NodeStatus {
	records := r.members.Records()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.summaries.byRelay {
		r.creditLocked(s.summary, records)
	}
	var out []*pb.NodeStatus
	current := r.history.current().configuration.GetRevision()
	for _, e := range records {
		status := &pb.NodeStatus{Endpoint: e}
		if n := r.nodes[e.GetNodeId()]; n != nil {
			status.AppliedRevision = n.applied
		}
		if status.AppliedRevision < current && membership.IsLive(e) {
			status.LaggingSinceUnixMs = r.publishedAfterLocked(status.AppliedRevision).UnixMilli()
		}
		out = append(out, status)
	}
	return out
}

// creditLocked takes the revisions of a summary over. The common revision
// counts only when both relays know the same nodes of the failure domain.
func (r *Relay) creditLocked(s *pb.RelaySummary, records []*pb.EndpointRecord) {
	exceptions := make(map[string]bool, len(s.GetExceptions()))
	for _, e := range s.GetExceptions() {
		exceptions[e.GetNodeId()] = true
		n := r.nodeLocked(e.GetNodeId())
		n.applied = max(n.applied, e.GetRevision())
	}
	var covered []string
	var hash uint64
	for _, e := range records {
		id := e.GetNodeId()
		if e.GetFailureDomain() == s.GetFailureDomain() && membership.IsLive(e) && !exceptions[id] {
			covered = append(covered, id)
			hash ^= xxhash.Sum64String(id)
		}
	}
	if hash != s.GetCoveredHash() {
		return
	}
	for _, id := range covered {
		n := r.nodeLocked(id)
		n.applied = max(n.applied, s.GetRevision())
	}
}

// publishedAfterLocked is when the first revision above this one was published.
func (r *Relay) publishedAfterLocked(revision uint64) time.Time {
	i, found := slices.BinarySearchFunc(r.history, revision, func(p publication, v uint64) int {
		return cmp.Compare(p.configuration.GetRevision(), v)
	})
	if found {
		i++
	}
	return r.history[min(i, len(r.history)-1)].at
}
