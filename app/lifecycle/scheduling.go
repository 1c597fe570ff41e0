package lifecycle

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedulingWaits tells how long goroutines that were ready waited for a processor.
type schedulingWaits struct {
	sample []metrics.Sample
	counts []uint64 // at the last call
}

// schedulingMetric is the histogram of the runtime, in seconds.
const schedulingMetric = "/sched/latencies:seconds"

func newSchedulingWaits() *schedulingWaits {
	w := &schedulingWaits{sample: []metrics.Sample{{Name: schedulingMetric}}}
	w.quantile(1)
	return w
}

// quantile returns a quantile of the waits since the last call, to the resolution of the histogram; 0 if there were none.
func (w *schedulingWaits) quantile(q float64) time.Duration {
	metrics.Read(w.sample)
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := w.sample[0].Value.Float64Histogram()
	since, total := make([]uint64, len(h.Counts)), uint64(0)
	for i, n := range h.Counts {
		if w.counts != nil {
			n -= w.counts[i]
		}
		since[i] = n
		total += n
	}
	w.counts = append(w.counts[:0], h.Counts...)
	reached := uint64(0)
	for i, n := range since {
		if reached += n; n > 0 && float64(reached) >= q*float64(total) {
			return seconds(h.Buckets[i])
		}
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(math.Max(0, s) * float64(time.Second)) }
