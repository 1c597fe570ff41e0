package callbench

import (
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Latency compares calls through entry and gate with direct calls to the same upstream. The
// two calls of a pair follow each other; which one is first alternates.
type Latency struct {
	RatePerSecond int       `json:"pairs_per_second"`
	Pairs         int       `json:"pairs"`
	Direct        Quantiles `json:"direct"`
	Meshed        Quantiles `json:"meshed"`
	Added         Quantiles `json:"added"` // of the differences within the pairs
	// AddedP99Windows holds the p99 of the differences in milliseconds for each window of the
	// run. On a busy machine it shows how much of the p99 other processes cause.
	AddedP99Windows []float64 `json:"added_p99_ms_windows"`
	// The following fields are differences per call between calls through the mesh and direct
	// calls in a closed loop.
	AddedCPUMicros   float64 `json:"added_cpu_us_per_call"`
	AddedAllocations float64 `json:"added_allocations_per_call"`
	AddedBytes       float64 `json:"added_bytes_per_call"`
}

const (
	closedLoopCalls = 10_000
	pairsPerWindow  = 250
	latencyPhases   = 3 // run time in phases; the 0.999 quantile needs more calls than other scenarios
)

func measureLatency(o Options) (Latency, error) {
	m, err := newMesh(false, &pb.Limits{Slots: 64, MaxQueue: 64, MaxConnections: 4096}, 0)
	if err != nil {
		return Latency{}, err
	}
	defer m.close()
	entry, err := m.addNode(o.Seed)
	if err != nil {
		return Latency{}, err
	}
	gate, err := m.addNode(o.Seed + 1)
	if err != nil {
		return Latency{}, err
	}
	u, err := gate.addUpstream(64, 64, 0, nil)
	if err != nil {
		return Latency{}, err
	}
	direct, meshed := newCaller(u.Address), newCaller(entry.entryAddr)
	out := measurePairs(o, direct, meshed)
	cpuD, allocsD, bytesD := closedLoop(direct)
	cpuM, allocsM, bytesM := closedLoop(meshed)
	out.AddedCPUMicros, out.AddedAllocations, out.AddedBytes = cpuM-cpuD, allocsM-allocsD, bytesM-bytesD
	return out, nil
}

// measurePairs sends the calls of a pair one after the other, and pairs at a fixed rate.
func measurePairs(o Options, direct, meshed *caller) Latency {
	n := int(latencyPhases * o.Duration.Seconds() * float64(o.LatencyRate))
	d, m, added := make([]time.Duration, n), make([]time.Duration, n), make([]time.Duration, n)
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(o.LatencyRate))))
		wg.Go(func() {
			if i%2 == 0 {
				d[i] = direct.call("/climb", "x", 0).latency
				m[i] = meshed.call("/climb", "x", 0).latency
			} else {
				m[i] = meshed.call("/climb", "x", 0).latency
				d[i] = direct.call("/climb", "x", 0).latency
			}
			added[i] = m[i] - d[i]
		})
	}
	wg.Wait()
	warmup := n / 10 // connections are opened in the first tenth
	var windows []float64
	for w := added[warmup:]; len(w) >= pairsPerWindow; w = w[pairsPerWindow:] {
		windows = append(windows, quantiles(slices.Clone(w[:pairsPerWindow])).P99)
	}
	return Latency{
		RatePerSecond: o.LatencyRate, Pairs: n - warmup, AddedP99Windows: windows,
		Direct: quantiles(d[warmup:]), Meshed: quantiles(m[warmup:]), Added: quantiles(added[warmup:]),
	}
}

// closedLoop sends calls one after the other. It returns the CPU time in microseconds, the
// allocations and the allocated bytes per call, each of the whole process.
func closedLoop(c *caller) (cpu, allocations, bytes float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := cpuTime()
	for range closedLoopCalls {
		c.call("/climb", "x", 0)
	}
	used := cpuTime() - start
	runtime.ReadMemStats(&after)
	return float64(used.Microseconds()) / closedLoopCalls,
		float64(after.Mallocs-before.Mallocs) / closedLoopCalls,
		float64(after.TotalAlloc-before.TotalAlloc) / closedLoopCalls
}

// cpuTime returns the user and system time of the process, 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
