package callbench

import (
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Imbalance holds how evenly the work is spread over four upstreams. The first one is five
// times slower than the others, and the second one has 3 slots but announces 9.
type Imbalance struct {
	Variant string `json:"variant"`
	// Utilization is the fraction of the time of its real slots that each upstream was busy.
	Utilization []float64 `json:"utilization"`
	// MaxToMean is the ratio of the largest to the mean utilization; 1 is perfectly even.
	MaxToMean float64   `json:"max_to_mean"`
	Latency   Quantiles `json:"latency"`
	Answered  float64   `json:"answered_of_offered"`
}

const (
	imbalanceRate     = 800 // calls/s; about 40% of the capacity
	imbalanceWork     = 10 * time.Millisecond
	imbalanceSlow     = 50 * time.Millisecond
	imbalanceDeadline = 500 * time.Millisecond
	misreportedSlots  = 3
)

func measureImbalance(o Options, baseline bool) (Imbalance, error) {
	m, err := newMesh(baseline, &pb.Limits{Slots: slots, MaxQueue: 64, MaxConnections: 4096}, 0)
	if err != nil {
		return Imbalance{}, err
	}
	defer m.close()
	for i, work := range []time.Duration{imbalanceSlow, imbalanceWork, imbalanceWork, imbalanceWork} {
		n, err := m.addNode(o.Seed + uint64(i))
		if err != nil {
			return Imbalance{}, err
		}
		actualSlots := slots
		if i == 1 {
			actualSlots = misreportedSlots
		}
		if _, err := n.addUpstream(actualSlots, slots, work, nil); err != nil {
			return Imbalance{}, err
		}
	}
	results, elapsed := openLoop(o, m, imbalanceRate, imbalanceDeadline)
	out := Imbalance{Variant: variant(baseline)}
	var latency []time.Duration
	for _, r := range results {
		if r.status == 200 {
			latency = append(latency, r.latency)
		}
	}
	out.Latency = quantiles(latency)
	out.Answered = float64(len(latency)) / float64(len(results))
	sum, highest := 0.0, 0.0
	for _, u := range m.upstreams {
		utilization := time.Duration(u.busyTime.Load()).Seconds() / elapsed.Seconds() / float64(u.realSlots)
		out.Utilization = append(out.Utilization, utilization)
		sum += utilization
		highest = max(highest, utilization)
	}
	out.MaxToMean = highest / (sum / float64(len(m.upstreams)))
	return out, nil
}
