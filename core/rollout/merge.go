package rollout

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Merger adds the reports of nodes into one cumulative report per move and
// failure domain. A report counts only as the difference to the report with the
// sequence number before it. The first report of an incarnation and a report
// after a gap only become the new base, because another relay may already have
// counted that interval: a lost interval costs both versions the same calls, a
// doubled one would be false evidence.
//
// Senders number their reports by NextSequence, so that no two relays can both
// have two consecutive reports.
type Merger struct {
	moves map[string]map[string]*domainMerge // move id, failure domain
}

type domainMerge struct {
	totals routeCounts
	nodes  map[string]*nodeState
}

type nodeState struct {
	incarnation int64
	sequence    uint64
	last        routeCounts
	braked      bool
	heard       time.Time
}

// NextSequence is the number of the report after one that was delivered. A report
// that was sent more than once can be known to two relays, so the next one leaves
// a gap.
func NextSequence(last uint64, resent bool) uint64 {
	if resent {
		return last + 2
	}
	return last + 1
}

// NewMerger returns an empty Merger.
func NewMerger() *Merger { return &Merger{moves: make(map[string]map[string]*domainMerge)} }

// Take adds one report of a node; it reports false for a duplicate or late one.
func (m *Merger) Take(r *pb.OutcomeReport, now time.Time) bool {
	domains := m.moves[r.GetMoveId()]
	if domains == nil {
		domains = make(map[string]*domainMerge)
		m.moves[r.GetMoveId()] = domains
	}
	d := domains[r.GetFailureDomain()]
	if d == nil {
		d = &domainMerge{totals: make(routeCounts), nodes: make(map[string]*nodeState)}
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
		braked: r.GetBraked() || (n != nil && n.braked && n.incarnation == r.GetIncarnation()), heard: now,
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

// Nodes that braked a move are believed when they are at least brakeNodes, or
// half of the nodes of the failure domain: one node can be the fault itself.
const brakeNodes = 2

func (d *domainMerge) braked() bool {
	n := 0
	for _, s := range d.nodes {
		if s.braked {
			n++
		}
	}
	return n >= brakeNodes || (n > 0 && 2*n >= len(d.nodes))
}

// Braked reports that the nodes of a failure domain have braked a move.
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

// Domains lists the failure domains that reported a move.
func (m *Merger) Domains(moveID string) []string {
	out := make([]string, 0, len(m.moves[moveID]))
	for d := range m.moves[moveID] {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// Retain forgets every move that keep rejects.
func (m *Merger) Retain(keep func(moveID string) bool) {
	for id := range m.moves {
		if !keep(id) {
			delete(m.moves, id)
		}
	}
}
