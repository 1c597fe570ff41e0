package loadgen

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestLatency  = 1              // microseconds
	highestLatency = 60 * 1_000_000 // microseconds
	digits         = 3              // significant digits of latencies
	maxPairs       = 1 << 20        // differences that are kept
	microsecond    = float64(time.Microsecond) / float64(time.Millisecond)
)

// Latencies in milliseconds.
type Latencies struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Added is the latency that the system adds, from pairs of calls.
type Added struct {
	Pairs int `json:"pairs"`
	// Quantiles of the differences within pairs.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// Differences of the quantiles of both sides of the pairs.
	QuantileP50 float64 `json:"quantile_p50_ms"`
	QuantileP99 float64 `json:"quantile_p99_ms"`
}

// Counts of outcomes.
type Counts struct {
	Sent     uint64 `json:"sent"`
	Answered uint64 `json:"answered"`
	Failed   uint64 `json:"failed"`
	Rejected uint64 `json:"rejected"`
	Unknown  uint64 `json:"unknown"`
	Lost     uint64 `json:"lost"`
	Corrupt  uint64 `json:"corrupt"`
}

// Group is a part of the calls.
type Group struct {
	Counts
	Latency Latencies `json:"latency"`
	latency *hdrhistogram.Histogram
}

// Summary of a run.
type Summary struct {
	Seconds        float64            `json:"seconds"`
	Rate           float64            `json:"rate"`
	Skipped        uint64             `json:"skipped"` // not sent, because too many were in flight
	All            *Group             `json:"all"`
	FromSchedule   Latencies          `json:"from_schedule"` // measured from the time that the call was due
	Direct         Latencies          `json:"direct"`
	Added          Added              `json:"added"`
	Resends        uint64             `json:"resends"`     // repeated attempts
	Failovers      uint64             `json:"failovers"`   // attempts that reached no listener or a stopping entry
	KeyResends     map[Outcome]uint64 `json:"key_resends"` // outcomes of resent keyed calls
	Unmarked       uint64             `json:"unmarked"`    // answers without X-Rattanfield-Ran
	Reasons        map[string]uint64  `json:"reasons"`     // of calls that were not answered
	Versions       map[string]uint64  `json:"versions"`    // answered and failed calls by version
	Tenants        map[string]*Group  `json:"tenants"`
	Routes         map[string]*Group  `json:"routes"`
	options        Options
	schedule       *hdrhistogram.Histogram
	direct, meshed *hdrhistogram.Histogram // both sides of the pairs
	differences    []int64                 // microseconds
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, digits)
}

func newGroup() *Group { return &Group{latency: newHistogram()} }

func newSummary(o Options) *Summary {
	return &Summary{
		Rate: o.Rate, All: newGroup(), KeyResends: map[Outcome]uint64{}, Reasons: map[string]uint64{},
		Versions: map[string]uint64{}, Tenants: map[string]*Group{}, Routes: map[string]*Group{}, options: o,
		schedule: newHistogram(), direct: newHistogram(), meshed: newHistogram(),
	}
}

func (c *Counts) add(o Outcome) {
	c.Sent++
	switch o {
	case Answered:
		c.Answered++
	case Failed:
		c.Failed++
	case Rejected:
		c.Rejected++
	case Unknown:
		c.Unknown++
	case Corrupt:
		c.Corrupt++
	default:
		c.Lost++
	}
}

func (s *Summary) add(r *Result) {
	for _, g := range []*Group{s.All, group(s.Tenants, r.Tenant), group(s.Routes, r.Route)} {
		g.Counts.add(r.Outcome)
		if r.Outcome == Answered && !r.warmup {
			record(g.latency, r.Latency())
		}
	}
	s.Resends += uint64(r.Attempts - 1 - min(r.Failovers, r.Attempts-1))
	s.Failovers += uint64(r.Failovers)
	if r.Resent != "" {
		s.KeyResends[r.Resent]++
	}
	if r.Outcome != Answered {
		s.Reasons[reason(r)]++
	}
	if r.Version != "" && (r.Outcome == Answered || r.Outcome == Failed) {
		s.Versions[r.Version]++
	}
	if r.Outcome == Answered && r.Ran == "" {
		s.Unmarked++
	}
	if r.Outcome == Answered && !r.warmup {
		record(s.schedule, r.Finished.Sub(r.Scheduled))
		s.pair(r)
	}
}

func (s *Summary) pair(r *Result) {
	if r.Direct == 0 || r.Attempts > 1 {
		return
	}
	record(s.direct, r.Direct)
	record(s.meshed, r.Latency())
	if len(s.differences) < maxPairs {
		s.differences = append(s.differences, (r.Latency() - r.Direct).Microseconds())
	}
}

func reason(r *Result) string {
	text := string(r.Outcome) + ": " + r.Reason
	if r.Reason == "" && r.Err != nil {
		text = string(r.Outcome) + ": " + r.Err.Error()
	}
	return text
}

func group(groups map[string]*Group, name string) *Group {
	g := groups[name]
	if g == nil {
		g = newGroup()
		groups[name] = g
	}
	return g
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Clamped to the bounds of the histogram, so that recording cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestLatency), highestLatency))
}

func latencies(h *hdrhistogram.Histogram) Latencies {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) * microsecond }
	return Latencies{h.TotalCount(), at(50), at(90), at(99), at(99.9), float64(h.Max()) * microsecond}
}

func (s *Summary) finish(elapsed time.Duration) {
	s.Seconds = elapsed.Seconds()
	s.FromSchedule, s.Direct = latencies(s.schedule), latencies(s.direct)
	s.All.Latency = latencies(s.All.latency)
	for _, groups := range []map[string]*Group{s.Tenants, s.Routes} {
		for _, g := range groups {
			g.Latency = latencies(g.latency)
		}
	}
	meshed := latencies(s.meshed)
	s.Added = Added{Pairs: len(s.differences), QuantileP50: meshed.P50 - s.Direct.P50, QuantileP99: meshed.P99 - s.Direct.P99}
	if n := len(s.differences); n > 0 {
		slices.Sort(s.differences)
		s.Added.P50 = float64(s.differences[n/2]) * microsecond
		s.Added.P99 = float64(s.differences[min(n-1, n*99/100)]) * microsecond
	}
}
