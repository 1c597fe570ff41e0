package move

import (
	"cmp"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// MoveCounts holds the cumulative counts of one move at the leader, from the merged reports of
// the relays. Only the report with the highest (incarnation, sequence) of a relay counts. The
// counts of its earlier incarnations are added, since each incarnation starts from zero.
type MoveCounts struct {
	senders map[sender]*senderState
	domains map[string]*DomainStatus
}

// sender identifies the source of cumulative counts: a relay's merged report on one failure
// domain.
type sender struct{ relay, domain string }

type senderState struct {
	incarnation int64
	sequence    uint64
	ended       routeCounts // sum of earlier incarnations
	current     routeCounts
}

// DomainStatus is the state of a failure domain at the leader, besides its counts.
type DomainStatus struct {
	LastReport time.Time // arrival of the last report
	// Braked reports whether a relay has reported that the circuit breaker of the failure domain
	// is open for the move. It stays set, since a decision to roll back follows.
	Braked bool
}

// NewMoveCounts returns counts of a move without any reports.
func NewMoveCounts() *MoveCounts {
	return &MoveCounts{senders: make(map[sender]*senderState), domains: make(map[string]*DomainStatus)}
}

// Add adds one merged report that arrived now. It returns false and ignores the report if it
// is a duplicate or older than the last one.
func (c *MoveCounts) Add(r *pb.OutcomeReport, now time.Time) bool {
	key := sender{r.GetNodeId(), r.GetFailureDomain()}
	s := c.senders[key]
	if s == nil {
		s = &senderState{ended: make(routeCounts)}
		c.senders[key] = s
	} else {
		if cmp.Or(cmp.Compare(r.GetIncarnation(), s.incarnation), cmp.Compare(r.GetSequence(), s.sequence)) <= 0 {
			return false
		}
		if r.GetIncarnation() != s.incarnation {
			s.ended.add(s.current)
		}
	}
	s.incarnation, s.sequence, s.current = r.GetIncarnation(), r.GetSequence(), routesOf(r)
	d := c.domains[r.GetFailureDomain()]
	if d == nil {
		d = &DomainStatus{}
		c.domains[r.GetFailureDomain()] = d
	}
	d.LastReport = now
	d.Braked = d.Braked || r.GetBraked()
	return true
}

// Evidence returns the sum of the counts and the state of the failure domains.
func (c *MoveCounts) Evidence() *Evidence {
	sums := make(map[string]routeCounts)
	for key, s := range c.senders {
		if sums[key.domain] == nil {
			sums[key.domain] = make(routeCounts)
		}
		sums[key.domain].add(s.ended)
		sums[key.domain].add(s.current)
	}
	e := &Evidence{Domains: make(map[string]DomainStatus, len(c.domains))}
	for domain, routes := range sums {
		for route, p := range routes {
			e.Cells = append(e.Cells, CellCounts{Cell: Cell{route, domain}, Pair: *p})
		}
	}
	SortCells(e.Cells)
	for name, d := range c.domains {
		e.Domains[name] = *d
	}
	return e
}

// Evidence is the input of a decision: cumulative counts and the state of the
// failure domains.
type Evidence struct {
	Cells   []CellCounts // sorted by route, then failure domain
	Domains map[string]DomainStatus
}

// TotalNew returns the number of calls of the new version over all cells.
func (e *Evidence) TotalNew() uint64 {
	n := uint64(0)
	for i := range e.Cells {
		n += e.Cells[i].New.Calls
	}
	return n
}
