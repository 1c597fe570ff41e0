package lifecycle

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
)

const (
	// slowWait is the wait for the process that is logged: half of a short response-time goal of 250 ms.
	slowWait = 125 * time.Millisecond
	// waitLogInterval is the time between two lines about the same listener.
	waitLogInterval = time.Second
	// tickInterval is the interval of the timer whose lateness is measured.
	tickInterval = 100 * time.Millisecond
)

// Waits measures how long requests wait for the process itself, because it lacks processor time: where neither the time that a
// request takes nor the load of upstreams shows it.
type Waits struct {
	listener string
	stages   [meshhttp.Stages]*metrics.Histogram // nil: none
	longest  [meshhttp.Stages]atomic.Int64       // in nanoseconds since the last line
}

// NewWaits returns the waits of the requests of a listener, with their metrics in a set; nil: they are only logged, as those of
// listeners with few calls. Its method Observe is for ServerOptions.OnWait.
func (r *Resources) NewWaits(set *metrics.Set, listener string) *Waits {
	w := &Waits{listener: listener}
	for s := range meshhttp.Stages {
		if set == nil {
			break
		}
		w.stages[s] = set.NewHistogram(fmt.Sprintf("rattanfield_wait_seconds{listener=%q,stage=%q}", listener, s))
	}
	r.waits = append(r.waits, w)
	return w
}

// Observe records a wait.
func (w *Waits) Observe(stage meshhttp.Stage, wait time.Duration) {
	if h := w.stages[stage]; h != nil {
		h.Update(wait.Seconds())
	}
	for {
		longest := w.longest[stage].Load()
		if int64(wait) <= longest || w.longest[stage].CompareAndSwap(longest, int64(wait)) {
			return
		}
	}
}

// log writes a line if a request waited for long since the last call. timer is how late a timer fired, scheduling how long
// one in a hundred goroutines waited for a processor.
func (w *Waits) log(logger log.Logger, timer, scheduling time.Duration) {
	line := []any{"event", "requests wait for the process", "listener", w.listener}
	slow := max(timer, scheduling) >= slowWait
	for s := range meshhttp.Stages {
		longest := time.Duration(w.longest[s].Swap(0))
		slow = slow || longest >= slowWait && s != meshhttp.StageOrder // which is a wait for the process only in part
		line = append(line, s.String(), longest.Round(time.Millisecond))
	}
	if slow {
		_ = logger.Log(append(line, "timer", timer.Round(time.Millisecond), "scheduling", scheduling.Round(time.Millisecond))...)
	}
}

// scheduledQuantile is the quantile of the waits of goroutines that is logged.
const scheduledQuantile = 0.99

// logWaits logs long waits until the context ends.
func (r *Resources) logWaits(ctx context.Context, logger log.Logger) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	late, logged, scheduling := time.Duration(0), time.Now(), newSchedulingWaits()
	for {
		select {
		case due := <-ticker.C:
			now := time.Now()
			late = max(late, now.Sub(due))
			if now.Sub(logged) < waitLogInterval {
				continue
			}
			wait := scheduling.quantile(scheduledQuantile)
			for _, w := range r.waits {
				w.log(logger, late, wait)
			}
			late, logged = 0, now
		case <-ctx.Done():
			return
		}
	}
}
