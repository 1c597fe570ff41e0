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

// nodeStatusTTL is how long the status of a node is kept after its last request to this
// relay.
const nodeStatusTTL = 10 * time.Minute

// lagGrace is how long a node may take to apply a revision before summaries list the
// node as lagging. A change is in force everywhere within 6 s.
const lagGrace = 3 * time.Second

// followTTL is how long after a long poll a node counts as following this relay. Its
// next long poll is due within half of this time.
const followTTL = 2 * maxWait

// nodeStatus is the configuration status of one node as known to this relay.
type nodeStatus struct {
	applied  uint64
	seenAt   time.Time
	syncedAt time.Time // time of the last long poll of the node at this relay
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

// recordRequest updates the status of a node from its request.
func (r *Relay) recordRequest(m *pb.SyncRequest) {
	if m.GetNodeId() == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodeLocked(m.GetNodeId())
	n.seenAt = r.options.Now()
	if m.GetWaitMs() > 0 {
		// A starting node asks several relays without a wait. It follows the relay at which
		// it waits.
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

// summarize stores a new summary of this relay if it changed, and drops the statuses of
// nodes that have not sent a request for a long time.
func (r *Relay) summarize() {
	records := r.members.Records()
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.nodes, func(_ string, n *nodeStatus) bool { return now.Sub(n.seenAt) > nodeStatusTTL })
	next := r.ownSummaryLocked(records, now)
	old := r.summaries.byRelay[r.options.ID].summary
	next.Sequence = old.GetSequence()
	if old != nil && proto.Equal(old, next) {
		return
	}
	next.Sequence++
	r.storeLocked(next) // the next exchange sends it to the other relays
}

// ownSummaryLocked returns the summary of this relay. It states a common revision that
// most nodes of the failure domain have applied and lists the other nodes as exceptions,
// so that its size grows with the number of lagging nodes. While a change is being
// distributed it states the revision before the change, because otherwise every change
// would briefly list most nodes.
func (r *Relay) ownSummaryLocked(records []*pb.EndpointRecord, now time.Time) *pb.RelaySummary {
	s := &pb.RelaySummary{
		RelayId: r.options.ID, Instance: r.options.Incarnation, FailureDomain: r.options.FailureDomain,
	}
	applied := make(map[string]uint64)
	otherDomain := make(map[string]bool)
	common := r.history.current().configuration.GetRevision()
	for _, e := range records {
		if !membership.IsLive(e) {
			continue
		}
		id := e.GetNodeId()
		n := r.nodes[id]
		follows := n != nil && now.Sub(n.syncedAt) <= followTTL
		otherDomain[id] = e.GetFailureDomain() != r.options.FailureDomain
		if otherDomain[id] && !follows {
			continue
		}
		applied[id] = 0
		if follows {
			applied[id] = n.applied
		}
		if !otherDomain[id] {
			common = min(common, applied[id])
		}
	}
	s.Revision = max(common, r.publishedBeforeLocked(now.Add(-lagGrace)))
	for id, revision := range applied {
		if !otherDomain[id] && revision >= s.GetRevision() {
			s.CoveredHash ^= xxhash.Sum64String(id)
			continue
		}
		s.Exceptions = append(s.Exceptions, &pb.NodeApplied{NodeId: id, Revision: revision})
	}
	slices.SortFunc(s.Exceptions, func(a, b *pb.NodeApplied) int { return cmp.Compare(a.GetNodeId(), b.GetNodeId()) })
	return s
}

// publishedBeforeLocked returns the newest revision published before t, or 0.
func (r *Relay) publishedBeforeLocked(t time.Time) uint64 {
	for _, p := range slices.Backward(r.history) {
		if p.at.Before(t) {
			return p.configuration.GetRevision()
		}
	}
	return 0
}

// storeLocked stores the summary of a relay with the next stamp.
func (r *Relay) storeLocked(s *pb.RelaySummary) {
	r.summaries.stamp++
	r.summaries.byRelay[s.GetRelayId()] = stampedSummary{summary: s, stamp: r.summaries.stamp}
}

// SummariesSince returns the summaries that changed after a stamp, and the stamp of the
// last change. The exchange between relays uses it.
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

// MergeSummaries stores the summaries of other relays that are newer than the known ones.
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

// NodeStatuses returns the applied revision and the lag of every node, including nodes
// that follow other relays.
func (r *Relay) NodeStatuses() []*pb.NodeStatus {
	records := r.members.Records()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.summaries.byRelay {
		r.applySummaryLocked(s.summary, records)
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

// applySummaryLocked raises the applied revisions of nodes to those of a summary. The
// common revision is used only if both relays know the same nodes of the failure
// domain.
func (r *Relay) applySummaryLocked(s *pb.RelaySummary, records []*pb.EndpointRecord) {
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

// publishedAfterLocked returns the time at which the first revision above the given one
// was published.
func (r *Relay) publishedAfterLocked(revision uint64) time.Time {
	i, found := slices.BinarySearchFunc(r.history, revision, func(p publication, v uint64) int {
		return cmp.Compare(p.configuration.GetRevision(), v)
	})
	if found {
		i++
	}
	return r.history[min(i, len(r.history)-1)].at
}
