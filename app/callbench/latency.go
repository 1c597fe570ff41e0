package callbench

import (
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Latency compares calls through entry and gate with direct calls to the same
// upstream. Each pair is sent at the same moment, in turn first and second.
type Latency struct {
	RatePerSecond int       `json:"pairs_per_second"`
	Pairs         int       `json:"pairs"`
	Direct        Quantiles `json:"direct"`
	Meshed        Quantiles `json:"meshed"`
	Added         Quantiles `json:"added"` // of the differences within the pairs
	// AddedP99Windows are the p99 of the differences in windows of the run; on a busy
	// machine they show how much of the p99 comes from other processes.
	AddedP99Windows []float64 `json:"added_p99_ms_windows"`
	// Per call, the difference between calls through the mesh and direct calls in a closed loop.
	AddedCPUMicros   float64 `json:"added_cpu_us_per_call"`
	AddedAllocations float64 `json:"added_allocations_per_call"`
	AddedBytes       float64 `json:"added_bytes_per_call"`
}

const (
	closedLoopCalls = 10_000
	windowPairs     = 250
	latencyPhases   = 3 // a quantile of 0.999 needs more calls than the other scenarios
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
	out := pairs(o, direct, meshed)
	cpuD, allocsD, bytesD := closedLoop(direct)
	cpuM, allocsM, bytesM := closedLoop(meshed)
	out.AddedCPUMicros, out.AddedAllocations, out.AddedBytes = cpuM-cpuD, allocsM-allocsD, bytesM-bytesD
	return out, nil
}

func pairs(o Options, direct, meshed *caller) Latency {
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
	warm := n / 10 // connections are opened in the first tenth
	var windows []float64
	for w := added[warm:]; len(w) >= windowPairs; w = w[windowPairs:] {
		windows = append(windows, quantiles(slices.Clone(w[:windowPairs])).P99)
	}
	return Latency{
		RatePerSecond: o.LatencyRate, Pairs: n - warm, AddedP99Windows: windows,
		Direct: quantiles(d[warm:]), Meshed: quantiles(m[warm:]), Added: quantiles(added[warm:]),
	}
}

// closedLoop returns CPU time in microseconds, allocations and bytes per call of the whole process.
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

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
