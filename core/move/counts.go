package move

import (
	"cmp"
	"slices"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Counts holds the counts of calls of one version.
type Counts struct {
	Calls     uint64 // calls that ended, without rejections
	Errors    uint64 // of Calls: those that failed
	Overloads uint64 // rejections by limits; not among Calls
	// Latency counts successful calls on upstreams past their slow start.
	Latency [BucketCount]uint64
}

// Pair holds the counts of both versions over the same period.
type Pair struct{ Old, New Counts }

// Cell identifies the smallest unit of evidence: one route in one failure domain. It is also
// the key of a stream of comparisons: there an empty Route or Domain stands for all of them,
// and Cell{} for all calls.
type Cell struct{ Route, Domain string }

// CellCounts holds the cumulative counts of a cell.
type CellCounts struct {
	Cell
	Pair
}

// sameCalls reports whether p and q have the same numbers of calls, that is, whether no call
// ended in between. Every call increments one of these counters.
func (p *Pair) sameCalls(q *Pair) bool {
	return p.Old.Calls == q.Old.Calls && p.Old.Overloads == q.Old.Overloads &&
		p.New.Calls == q.New.Calls && p.New.Overloads == q.New.Overloads
}

// Add adds the counts d to c.
func (c *Counts) Add(d *Counts) {
	c.Calls += d.Calls
	c.Errors += d.Errors
	c.Overloads += d.Overloads
	for i, n := range d.Latency {
		c.Latency[i] += n
	}
}

// restartedSince reports whether a counter is lower than in the earlier counts, so that the
// counts have started from zero in between. It ignores the latency buckets.
func (c *Counts) restartedSince(earlier *Counts) bool {
	return c.Calls < earlier.Calls || c.Errors < earlier.Errors || c.Overloads < earlier.Overloads
}

// minus returns c minus the earlier counts, or c itself if a counter would become negative,
// because the counts have then started from zero in between.
func (c *Counts) minus(earlier *Counts) Counts {
	d := *c
	if c.restartedSince(earlier) {
		return d
	}
	d.Calls -= earlier.Calls
	d.Errors -= earlier.Errors
	d.Overloads -= earlier.Overloads
	for i := range d.Latency {
		if c.Latency[i] < earlier.Latency[i] {
			return *c
		}
		d.Latency[i] = c.Latency[i] - earlier.Latency[i]
	}
	return d
}

// ToProto converts the counts to their message. Trailing empty buckets are left out.
func (c *Counts) ToProto() *pb.VersionOutcome {
	end := BucketCount
	for end > 0 && c.Latency[end-1] == 0 {
		end--
	}
	return &pb.VersionOutcome{
		Calls: c.Calls, Errors: c.Errors, Overloads: c.Overloads,
		LatencyBuckets: slices.Clone(c.Latency[:end]),
	}
}

// CountsOf converts a message to counts. Buckets beyond the last are counted in the last.
func CountsOf(m *pb.VersionOutcome) Counts {
	c := Counts{Calls: m.GetCalls(), Errors: m.GetErrors(), Overloads: m.GetOverloads()}
	for i, n := range m.GetLatencyBuckets() {
		c.Latency[min(i, BucketCount-1)] += n
	}
	return c
}

// routeCounts holds the cumulative counts of one sender by route.
type routeCounts map[string]*Pair

// routesOf returns the counts of a report.
func routesOf(report *pb.OutcomeReport) routeCounts {
	out := make(routeCounts, len(report.GetRoutes()))
	for _, r := range report.GetRoutes() {
		out[r.GetRoute()] = &Pair{Old: CountsOf(r.GetOld()), New: CountsOf(r.GetNew())}
	}
	return out
}

func (r routeCounts) add(other routeCounts) {
	for route, p := range other {
		sum := r[route]
		if sum == nil {
			sum = &Pair{}
			r[route] = sum
		}
		sum.Old.Add(&p.Old)
		sum.New.Add(&p.New)
	}
}

// minus returns what was added to each route since the earlier counts.
func (r routeCounts) minus(earlier routeCounts) routeCounts {
	out := make(routeCounts, len(r))
	for route, p := range r {
		b := earlier[route]
		if b == nil {
			b = &Pair{}
		}
		out[route] = &Pair{Old: p.Old.minus(&b.Old), New: p.New.minus(&b.New)}
	}
	return out
}

// toProto converts the counts to messages, sorted by route.
func (r routeCounts) toProto() []*pb.RouteOutcome {
	out := make([]*pb.RouteOutcome, 0, len(r))
	for route, p := range r {
		out = append(out, &pb.RouteOutcome{Route: route, Old: p.Old.ToProto(), New: p.New.ToProto()})
	}
	slices.SortFunc(out, func(a, b *pb.RouteOutcome) int { return cmp.Compare(a.GetRoute(), b.GetRoute()) })
	return out
}

// SortCells sorts cells by route, then failure domain.
func SortCells(cells []CellCounts) {
	slices.SortFunc(cells, func(a, b CellCounts) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Domain, b.Domain))
	})
}
