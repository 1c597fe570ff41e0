package limit

import "time"

const (
	shedFactor    = 0.7 // decrease when the upstream sheds load
	latencyFactor = 0.9 // decrease when latency rises
	// latencyTolerance is the ratio of present to lowest recent latency that counts as overload.
	// Routes of one service differ in latency by less than that on average.
	latencyTolerance = 2.5
	// decreaseInterval lets a decrease take effect before the next one.
	decreaseInterval = 100 * time.Millisecond
	// baselineWindow is how long the lowest latency is remembered, so that an
	// upstream that became slower for another reason than load gets its slots back.
	baselineWindow = 10 * time.Second
	minSamples     = 20 // before latency is judged
)

// adaptive is an additive-increase, multiplicative-decrease limit of
// concurrency between 1 and the slots of the upstream.
type adaptive struct {
	max          int
	limit        float64
	lastDecrease time.Time
	latency      average
	baseline     float64 // lowest average latency of this and the last window
	windowMin    float64
	windowStart  time.Time
}

func newAdaptive(slots int) adaptive { return adaptive{max: slots, limit: float64(slots)} }

func (a *adaptive) slots() int { return max(int(a.limit), 1) }

func (a *adaptive) setMax(slots int) {
	grown := slots > a.max
	a.max = slots
	if grown {
		a.limit = float64(slots) // observed outcomes lower it again if the upstream cannot do that
	}
	a.limit = min(a.limit, float64(slots))
}

// observe adapts the limit to one finished request.
func (a *adaptive) observe(now time.Time, r Result, saturated bool) {
	if r.Shed {
		a.decrease(now, shedFactor)
		return
	}
	if !r.Valid {
		return
	}
	a.latency.add(r.Latency)
	a.updateBaseline(now)
	if saturated && a.latency.samples >= minSamples && a.latency.seconds > latencyTolerance*a.baseline {
		a.decrease(now, latencyFactor)
		return
	}
	if saturated {
		a.limit = min(a.limit+1/a.limit, float64(a.max))
	}
}

func (a *adaptive) decrease(now time.Time, factor float64) {
	if now.Sub(a.lastDecrease) < decreaseInterval {
		return
	}
	a.lastDecrease = now
	a.limit = max(a.limit*factor, 1)
}

func (a *adaptive) updateBaseline(now time.Time) {
	v := a.latency.seconds
	switch {
	case a.windowStart.IsZero():
		a.windowStart, a.windowMin, a.baseline = now, v, v
	case now.Sub(a.windowStart) >= baselineWindow:
		a.baseline = min(a.windowMin, v)
		a.windowStart, a.windowMin = now, v
	default:
		a.windowMin = min(a.windowMin, v)
		a.baseline = min(a.baseline, v)
	}
}
