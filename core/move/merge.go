package move

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Merger sums the reports of nodes into one cumulative report per move and failure
// domain. Of a report, only the difference to the report with the preceding sequence
// number counts. The first report of an incarnation and a report after a gap only
// become the new reference, because another relay may already have counted that
// interval: a lost interval loses calls of both versions alike, an interval that is
// counted twice would be false evidence.
//
// Senders number their reports with NextSequence, so that no interval between two
// consecutive reports is counted by two relays.
type Merger struct {
	moves map[string]map[string]*domainCounts // move id, failure domain
}

type domainCounts struct {
	totals routeCounts           // sum of the counted intervals
	nodes  map[string]*nodeState // by node id
}

// nodeState is the state of a node as of its last report.
type nodeState struct {
	incarnation int64
	sequence    uint64
	last        routeCounts // cumulative counts of the report
	// braked is set if the node has reported that its circuit breaker is open for the move. It
	// stays set until the node restarts with another incarnation.
	braked     bool
	lastReport time.Time // arrival of the report
}

// NextSequence returns the sequence number of the report after one that was delivered. A
// report that was sent more than once may have reached two relays, so the number after it
// leaves a gap: then neither relay counts the interval that follows the report.
func NextSequence(last uint64, resent bool) uint64 {
	if resent {
		return last + 2
	}
	return last + 1
}

// NewMerger returns an empty Merger.
func NewMerger() *Merger { return &Merger{moves: make(map[string]map[string]*domainCounts)} }

// Add adds one report of a node. It returns false and ignores the report if it is a
// duplicate or older than the last one.
func (m *Merger) Add(r *pb.OutcomeReport, now time.Time) bool {
	domains := m.moves[r.GetMoveId()]
	if domains == nil {
		domains = make(map[string]*domainCounts)
		m.moves[r.GetMoveId()] = domains
	}
	d := domains[r.GetFailureDomain()]
	if d == nil {
		d = &domainCounts{totals: make(routeCounts), nodes: make(map[string]*nodeState)}
		domains[r.GetFailureDomain()] = d
	}
	n := d.nodes[r.GetNodeId()]
	if n != nil && cmp.Or(cmp.Compare(r.GetIncarnation(), n.incarnation), cmp.Compare(r.GetSequence(), n.sequence)) <= 0 {
		return false
	}
	current := routesOf(r)
	if n != nil && n.incarnation == r.GetIncarnation() && n.sequence+1 == r.GetSequence() {
		d.totals.add(current.minus(n.last))
	}
	d.nodes[r.GetNodeId()] = &nodeState{
		incarnation: r.GetIncarnation(), sequence: r.GetSequence(), last: current,
		braked: r.GetBraked() || (n != nil && n.braked && n.incarnation == r.GetIncarnation()), lastReport: now,
	}
	return true
}

// Reports returns the merged cumulative reports of a move, one per failure domain.
func (m *Merger) Reports(moveID string) []*pb.OutcomeReport {
	var out []*pb.OutcomeReport
	for domain, d := range m.moves[moveID] {
		out = append(out, &pb.OutcomeReport{MoveId: moveID, FailureDomain: domain, Routes: d.totals.toProto(), Braked: d.braked()})
	}
	slices.SortFunc(out, func(a, b *pb.OutcomeReport) int { return cmp.Compare(a.GetFailureDomain(), b.GetFailureDomain()) })
	return out
}

// minBrakedNodes is the number of nodes with an open circuit breaker from which the circuit
// breaker of their failure domain is open; half of its nodes are enough too. A single node
// does not suffice in a larger failure domain, since that node itself may be faulty.
const minBrakedNodes = 2

// braked reports whether the circuit breakers of enough nodes are open.
func (d *domainCounts) braked() bool {
	n := 0
	for _, s := range d.nodes {
		if s.braked {
			n++
		}
	}
	return n >= minBrakedNodes || (n > 0 && 2*n >= len(d.nodes))
}

// Braked reports whether the circuit breakers of enough nodes in a failure domain are open for
// a move, so that the whole failure domain stops calls to the new version.
func (m *Merger) Braked(moveID, domain string) bool {
	d := m.moves[moveID][domain]
	return d != nil && d.braked()
}

// Cells returns the merged counts of a move in one failure domain.
func (m *Merger) Cells(moveID, domain string) []CellCounts {
	d := m.moves[moveID][domain]
	if d == nil {
		return nil
	}
	out := make([]CellCounts, 0, len(d.totals))
	for route, p := range d.totals {
		out = append(out, CellCounts{Cell: Cell{Route: route, Domain: domain}, Pair: *p})
	}
	SortCells(out)
	return out
}

// Domains returns the sorted failure domains that have reported on a move.
func (m *Merger) Domains(moveID string) []string {
	out := make([]string, 0, len(m.moves[moveID]))
	for d := range m.moves[moveID] {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// Retain deletes the counts of every move for which keep returns false.
func (m *Merger) Retain(keep func(moveID string) bool) {
	for id := range m.moves {
		if !keep(id) {
			delete(m.moves, id)
		}
	}
}
