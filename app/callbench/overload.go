package callbench

import (
	"math/rand/v2"
	"sync"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Overload is the goodput at a multiple of the capacity.
type Overload struct {
	Variant  string  `json:"variant"`
	Load     float64 `json:"load"` // offered calls per capacity
	Capacity float64 `json:"capacity_per_second"`
	Offered  int     `json:"offered"`
	// Goodput is the number of responses in time per second, as a share of the capacity.
	Goodput  float64   `json:"goodput_of_capacity"`
	Admitted Quantiles `json:"admitted"` // latency of responses with status 200
	Rejected int       `json:"rejected_not_run"`
	Late     int       `json:"late_or_failed"`
	// RunMs is the mean time of a request at the upstream, and Utilization the part of the
	// slots' time that was used. On a busy machine requests take longer than the simulated work.
	RunMs       float64 `json:"run_ms"`
	Utilization float64 `json:"utilization"`
	// GoodputOfReal relates the goodput to the capacity at that time of a request; it has no
	// meaning for the baseline, whose requests take longer because too many run at once.
	GoodputOfReal float64 `json:"goodput_of_real_capacity,omitempty"`
}

const (
	overloadWork     = 10 * time.Millisecond
	overloadDeadline = 100 * time.Millisecond
	overloadNodes    = 2
)

func measureOverload(o Options, baseline bool, load float64) (Overload, error) {
	m, err := newMesh(baseline, &pb.Limits{Slots: slots, MaxQueue: 64, MaxConnections: 4096}, 0)
	if err != nil {
		return Overload{}, err
	}
	defer m.close()
	for i := range overloadNodes {
		n, err := m.addNode(o.Seed + uint64(i))
		if err != nil {
			return Overload{}, err
		}
		if _, err := n.addUpstream(slots, slots, overloadWork, nil); err != nil {
			return Overload{}, err
		}
	}
	capacity := overloadNodes * slots / overloadWork.Seconds()
	results, elapsed := openLoop(o, m, capacity*load, overloadDeadline)
	out := Overload{Variant: variant(baseline), Load: load, Capacity: capacity, Offered: len(results)}
	var admitted []time.Duration
	good := 0
	for _, r := range results {
		switch {
		case r.status == 200:
			admitted = append(admitted, r.latency)
			if r.latency <= overloadDeadline {
				good++
			} else {
				out.Late++
			}
		case r.ran == "not-run":
			out.Rejected++
		default:
			out.Late++
		}
	}
	out.Goodput = float64(good) / elapsed.Seconds() / capacity
	out.Admitted = quantiles(admitted)
	busy, calls := time.Duration(0), int64(0)
	for _, u := range m.upstreams {
		busy += time.Duration(u.busy.Load())
		calls += u.calls.Load()
	}
	out.RunMs = busy.Seconds() * 1000 / float64(max(calls, 1))
	out.Utilization = busy.Seconds() / elapsed.Seconds() / (overloadNodes * slots)
	if baseline {
		return out, nil
	}
	out.GoodputOfReal = out.Goodput * out.RunMs / 1000 / overloadWork.Seconds()
	return out, nil
}

// openLoop offers calls at random times at a rate, whatever becomes of them.
func openLoop(o Options, m *mesh, rate float64, deadline time.Duration) ([]result, time.Duration) {
	random := rand.New(rand.NewPCG(o.Seed, uint64(rate)))
	callers := make([]*caller, len(m.nodes))
	for i, n := range m.nodes {
		callers[i] = newCaller(n.entryAddr)
	}
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	start := time.Now()
	at := time.Duration(0)
	for i := 0; at < o.Duration; i++ {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(start.Add(at)))
		wg.Go(func() {
			r := callers[i%len(callers)].call("/climb", "x", deadline)
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
	}
	elapsed := time.Since(start)
	wg.Wait()
	return results, elapsed
}
