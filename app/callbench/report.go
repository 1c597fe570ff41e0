package callbench

import (
	"os"
	"runtime"
	"slices"
	"strings"
	"time"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Duration of each measured phase.
	Duration time.Duration
	// LatencyRate is the number of pairs of calls per second.
	LatencyRate int
	// Stops is the number of planned stops, each with a seed of its own.
	Stops int
}

// Report holds the results of a run.
type Report struct {
	Command     string          `json:"command"`
	Seed        uint64          `json:"seed"`
	Cores       int             `json:"cores"`
	GoVersion   string          `json:"go_version"`
	LoadBefore  string          `json:"load_average_before"`
	LoadAfter   string          `json:"load_average_after"`
	Latency     Latency         `json:"latency"`
	Overload    []Overload      `json:"overload"`
	Imbalance   []Imbalance     `json:"imbalance"`
	Depth       []Amplification `json:"amplification"`
	Poison      []Poison        `json:"poison"`
	Stops       []Stops         `json:"planned_stops"`
	TookSeconds float64         `json:"took_seconds"`
}

// Values of the Variant fields: the measured system and the baseline.
const (
	System   = "system"
	Baseline = "baseline"
)

func variant(baseline bool) string {
	if baseline {
		return Baseline
	}
	return System
}

// Run runs all scenarios one after the other. command is only copied to the report.
func Run(o Options, command string) (*Report, error) {
	started := time.Now()
	r := &Report{Command: command, Seed: o.Seed, Cores: runtime.NumCPU(), GoVersion: runtime.Version(), LoadBefore: loadAverage()}
	var err error
	if r.Latency, err = measureLatency(o); err != nil {
		return nil, err
	}
	for _, baseline := range []bool{false, true} {
		for _, load := range []float64{0.5, 1, 2, 4} {
			v, err := measureOverload(o, baseline, load)
			if err != nil {
				return nil, err
			}
			r.Overload = append(r.Overload, v)
		}
		i, err := measureImbalance(o, baseline)
		if err != nil {
			return nil, err
		}
		r.Imbalance = append(r.Imbalance, i)
		d, err := measureDepth(o, baseline)
		if err != nil {
			return nil, err
		}
		r.Depth = append(r.Depth, d...)
		p, err := measurePoison(o, baseline)
		if err != nil {
			return nil, err
		}
		r.Poison = append(r.Poison, p)
		s, err := measureStops(o, baseline)
		if err != nil {
			return nil, err
		}
		r.Stops = append(r.Stops, s)
	}
	r.LoadAfter = loadAverage()
	r.TookSeconds = time.Since(started).Seconds()
	return r, nil
}

// loadAverage returns the load averages of the machine over 1, 5 and 15 minutes. They show
// how much other processes disturbed the run.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(b))[:3], " ")
}

// Quantiles holds quantiles of durations in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

func quantiles(d []time.Duration) Quantiles {
	slices.Sort(d)
	return Quantiles{P50: quantile(d, 0.5), P99: quantile(d, 0.99), P999: quantile(d, 0.999)}
}

// quantile returns a quantile of a sorted slice in milliseconds, 0 if the slice is empty.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	i := min(int(q*float64(len(d))), len(d)-1)
	return float64(d[i]) / float64(time.Millisecond)
}
