package rollout

import (
	"cmp"
	"slices"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Counts of the calls of one version.
type Counts struct {
	Calls     uint64
	Errors    uint64
	Overloads uint64 // rejections by limits; not among Calls
	// Latency counts successful calls on upstreams past their slow start.
	Latency [BucketCount]uint64
}

// Pair holds the counts of both versions over the same calls.
type Pair struct{ Old, New Counts }

// Cell is the smallest unit of evidence.
type Cell struct{ Route, Domain string }

// CellCounts are the cumulative counts of a cell.
type CellCounts struct {
	Cell
	Pair
}

// same reports that no call was added: every call raises one of these counters.
func (p *Pair) same(q *Pair) bool {
	return p.Old.Calls == q.Old.Calls && p.Old.Overloads == q.Old.Overloads &&
		p.New.Calls == q.New.Calls && p.New.Overloads == q.New.Overloads
}

// Add adds the calls of d.
func (c *Counts) Add(d *Counts) {
	c.Calls += d.Calls
	c.Errors += d.Errors
	c.Overloads += d.Overloads
	for i, n := range d.Latency {
		c.Latency[i] += n
	}
}

// shrunk reports counts that have restarted since base.
func (c *Counts) shrunk(base *Counts) bool {
	return c.Calls < base.Calls || c.Errors < base.Errors || c.Overloads < base.Overloads
}

// minus returns c - base, or c itself when a counter would become negative:
// counts that shrink have restarted.
func (c *Counts) minus(base *Counts) Counts {
	d := *c
	if c.shrunk(base) {
		return d
	}
	d.Calls -= base.Calls
	d.Errors -= base.Errors
	d.Overloads -= base.Overloads
	for i := range d.Latency {
		if c.Latency[i] < base.Latency[i] {
			return *c
		}
		d.Latency[i] = c.Latency[i] - base.Latency[i]
	}
	return d
}

// ToProto returns the message form; trailing empty buckets are left out.
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

// CountsOf reads the message form; buckets beyond the last are counted in the last.
func CountsOf(m *pb.VersionOutcome) Counts {
	c := Counts{Calls: m.GetCalls(), Errors: m.GetErrors(), Overloads: m.GetOverloads()}
	for i, n := range m.GetLatencyBuckets() {
		c.Latency[min(i, BucketCount-1)] += n
	}
	return c
}

// routeCounts are the cumulative counts of one sender by route.
type routeCounts map[string]*Pair

func routesOf(report *pb.OutcomeReport) routeCounts {
	out := make(routeCounts, len(report.GetRoutes()))
	for _, r := range report.GetRoutes() {
		out[r.GetRoute()] = &Pair{Old: CountsOf(r.GetOld()), New: CountsOf(r.GetNew())}
	}
	return out
}

func (r routeCounts) add(other routeCounts) {
	for route, p := range other {
		mine := r[route]
		if mine == nil {
			mine = &Pair{}
			r[route] = mine
		}
		mine.Old.Add(&p.Old)
		mine.New.Add(&p.New)
	}
}

func (r routeCounts) minus(base routeCounts) routeCounts {
	out := make(routeCounts, len(r))
	for route, p := range r {
		b := base[route]
		if b == nil {
			b = &Pair{}
		}
		out[route] = &Pair{Old: p.Old.minus(&b.Old), New: p.New.minus(&b.New)}
	}
	return out
}

func (r routeCounts) toProto() []*pb.RouteOutcome {
	out := make([]*pb.RouteOutcome, 0, len(r))
	for route, p := range r {
		out = append(out, &pb.RouteOutcome{Route: route, Old: p.Old.ToProto(), New: p.New.ToProto()})
	}
	slices.SortFunc(out, func(a, b *pb.RouteOutcome) int { return cmp.Compare(a.GetRoute(), b.GetRoute()) })
	return out
}

// SortCells brings cells into the order of Evidence.
func SortCells(cells []CellCounts) {
	slices.SortFunc(cells, func(a, b CellCounts) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Domain, b.Domain))
	})
}
