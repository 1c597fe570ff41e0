package callbench

import (
	"math/rand/v2"
	"sync"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Overload holds the goodput when the offered load is a multiple of the capacity.
type Overload struct {
	Variant  string  `json:"variant"`
	Load     float64 `json:"load"` // offered rate as a multiple of the capacity
	Capacity float64 `json:"capacity_per_second"`
	Offered  int     `json:"offered"`
	// Goodput is the rate of responses within the deadline, as a fraction of the capacity.
	Goodput  float64   `json:"goodput_of_capacity"`
	Admitted Quantiles `json:"admitted"` // latency of responses with status 200
	Rejected int       `json:"rejected_not_run"`
	Late     int       `json:"late_or_failed"`
	// RunMs is the mean run time of a request at the upstream. On a busy machine it is longer
	// than the simulated work. Utilization is the fraction of the slots' time that was used.
	RunMs       float64 `json:"run_ms"`
	Utilization float64 `json:"utilization"`
	// GoodputOfReal is the goodput as a fraction of the capacity at the run time RunMs. It is 0
	// for the baseline, where it would have no meaning: its requests take longer because too
	// many run at once.
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
	inTime := 0
	for _, r := range results {
		switch {
		case r.status == 200:
			admitted = append(admitted, r.latency)
			if r.latency <= overloadDeadline {
				inTime++
			} else {
				out.Late++
			}
		case r.ran == "not-run":
			out.Rejected++
		default:
			out.Late++
		}
	}
	out.Goodput = float64(inTime) / elapsed.Seconds() / capacity
	out.Admitted = quantiles(admitted)
	busyTime, calls := time.Duration(0), int64(0)
	for _, u := range m.upstreams {
		busyTime += time.Duration(u.busyTime.Load())
		calls += u.calls.Load()
	}
	out.RunMs = busyTime.Seconds() * 1000 / float64(max(calls, 1))
	out.Utilization = busyTime.Seconds() / elapsed.Seconds() / (overloadNodes * slots)
	if baseline {
		return out, nil
	}
	out.GoodputOfReal = out.Goodput * out.RunMs / 1000 / overloadWork.Seconds()
	return out, nil
}

// openLoop sends calls at random times with exponential gaps for o.Duration, without waiting
// for responses. It returns all results and the time in which the calls were sent.
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
