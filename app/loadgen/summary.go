package loadgen

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestLatency     = 1              // microseconds
	highestLatency    = 60 * 1_000_000 // microseconds
	significantDigits = 3              // of the latencies in a histogram
	maxPairs          = 1 << 20        // bounds the memory for differences within pairs
	msPerMicrosecond  = float64(time.Microsecond) / float64(time.Millisecond)
)

// Latencies holds the number of calls and quantiles of their latency in milliseconds.
type Latencies struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Added is the latency in milliseconds that the system adds, measured with pairs of a call
// through the system and a direct call.
type Added struct {
	// SampledPairs is the number of sampled differences, at most maxPairs; later pairs count in
	// QuantileP50 and QuantileP99 only.
	SampledPairs int `json:"pairs"`
	// P50 and P99 are quantiles of the differences within pairs.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// QuantileP50 and QuantileP99 are differences between the quantiles of both sides.
	QuantileP50 float64 `json:"quantile_p50_ms"`
	QuantileP99 float64 `json:"quantile_p99_ms"`
}

// Counts holds the number of calls by outcome.
type Counts struct {
	Sent     uint64 `json:"sent"`
	Answered uint64 `json:"answered"`
	Failed   uint64 `json:"failed"`
	Rejected uint64 `json:"rejected"`
	Unknown  uint64 `json:"unknown"`
	Lost     uint64 `json:"lost"`
	Corrupt  uint64 `json:"corrupt"`
}

// Group holds the figures of a group of calls: all, those of a tenant or those of a route.
type Group struct {
	Counts
	Latency Latencies `json:"latency"`
	latency *hdrhistogram.Histogram
}

// Summary holds the figures of a run.
type Summary struct {
	Seconds        float64            `json:"seconds"`
	Rate           float64            `json:"rate"`
	Skipped        uint64             `json:"skipped"` // calls not sent, because too many were in flight
	All            *Group             `json:"all"`
	FromSchedule   Latencies          `json:"from_schedule"` // measured from the scheduled time of the call
	Direct         Latencies          `json:"direct"`
	Added          Added              `json:"added"`
	Resends        uint64             `json:"resends"`     // attempts after the first one of each call, without failovers
	Failovers      uint64             `json:"failovers"`   // attempts that reached no listener or a stopping entry
	KeyResends     map[Outcome]uint64 `json:"key_resends"` // number of keyed calls sent again after their response, by outcome of the second sending
	Unmarked       uint64             `json:"unmarked"`    // answered calls without X-Rattanfield-Ran
	Reasons        map[string]uint64  `json:"reasons"`     // of calls that were not answered
	Versions       map[string]uint64  `json:"versions"`    // answered and failed calls by version
	Tenants        map[string]*Group  `json:"tenants"`
	Routes         map[string]*Group  `json:"routes"`
	options        Options
	fromSchedule   *hdrhistogram.Histogram
	direct, meshed *hdrhistogram.Histogram // both sides of the pairs
	differences    []int64                 // microseconds
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, significantDigits)
}

func newGroup() *Group { return &Group{latency: newHistogram()} }

func newSummary(o Options) *Summary {
	return &Summary{
		Rate: o.Rate, All: newGroup(), KeyResends: map[Outcome]uint64{}, Reasons: map[string]uint64{},
		Versions: map[string]uint64{}, Tenants: map[string]*Group{}, Routes: map[string]*Group{}, options: o,
		fromSchedule: newHistogram(), direct: newHistogram(), meshed: newHistogram(),
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

// add adds a result to all figures.
func (s *Summary) add(r *Result) {
	for _, g := range []*Group{s.All, groupFor(s.Tenants, r.Tenant), groupFor(s.Routes, r.Route)} {
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
		record(s.fromSchedule, r.Finished.Sub(r.Scheduled))
		s.addPair(r)
	}
}

// addPair adds the latencies of a pair. Calls with several attempts are left out, because
// the direct call has only one.
func (s *Summary) addPair(r *Result) {
	if r.Direct == 0 || r.Attempts > 1 {
		return
	}
	record(s.direct, r.Direct)
	record(s.meshed, r.Latency())
	if len(s.differences) < maxPairs {
		s.differences = append(s.differences, (r.Latency() - r.Direct).Microseconds())
	}
}

// reason returns the key of Summary.Reasons: the outcome with the reason of the response, or
// with the error if there is none.
func reason(r *Result) string {
	text := string(r.Outcome) + ": " + r.Reason
	if r.Reason == "" && r.Err != nil {
		text = string(r.Outcome) + ": " + r.Err.Error()
	}
	return text
}

func groupFor(groups map[string]*Group, name string) *Group {
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
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) * msPerMicrosecond }
	return Latencies{h.TotalCount(), at(50), at(90), at(99), at(99.9), float64(h.Max()) * msPerMicrosecond}
}

// finish computes the quantiles after the last result.
func (s *Summary) finish(elapsed time.Duration) {
	s.Seconds = elapsed.Seconds()
	s.FromSchedule, s.Direct = latencies(s.fromSchedule), latencies(s.direct)
	s.All.Latency = latencies(s.All.latency)
	for _, groups := range []map[string]*Group{s.Tenants, s.Routes} {
		for _, g := range groups {
			g.Latency = latencies(g.latency)
		}
	}
	meshed := latencies(s.meshed)
	s.Added = Added{SampledPairs: len(s.differences), QuantileP50: meshed.P50 - s.Direct.P50, QuantileP99: meshed.P99 - s.Direct.P99}
	if n := len(s.differences); n > 0 {
		slices.Sort(s.differences)
		s.Added.P50 = float64(s.differences[n/2]) * msPerMicrosecond
		s.Added.P99 = float64(s.differences[min(n-1, n*99/100)]) * msPerMicrosecond
	}
}
