package limit

import "time"

const (
	shedFactor    = 0.7 // decrease when the upstream sheds load
	latencyFactor = 0.9 // decrease when latency rises
	// latencyTolerance is the ratio of present to lowest recent latency that counts as overload.
	latencyTolerance = 2.5
	// latencyFloor is the part of the slots that rising latency alone leaves. Latency also rises
	// when the mix of requests changes, which is no reason to stop an upstream.
	latencyFloor = 1.0 / 3
	// decreaseInterval lets a decrease take effect before the next one.
	decreaseInterval = 100 * time.Millisecond
	// baselineWindow is how long the lowest latency is remembered, so that an
	// upstream that became slower for another reason than load gets its slots back.
	baselineWindow = 10 * time.Second
	// roundSamples is the number of requests whose lowest latency is compared. Overload
	// raises the lowest latency too; a few slow requests among fast ones do not.
	roundSamples = 20
)

// adaptive is an additive-increase, multiplicative-decrease limit of
// concurrency between 1 and the slots of the upstream.
type adaptive struct {
	max          int
	limit        float64
	lastDecrease time.Time

	samples     int // of the present round
	roundMin    time.Duration
	lowest      time.Duration // of the last complete round; 0: none yet
	baseline    time.Duration // lowest of this and the last window
	windowMin   time.Duration
	windowStart time.Time
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
		a.decrease(now, shedFactor, 1)
		return
	}
	if !r.Valid {
		return
	}
	a.sample(now, r.Latency)
	if !saturated {
		return
	}
	if float64(a.lowest) > latencyTolerance*float64(a.baseline) {
		a.decrease(now, latencyFactor, latencyFloor*float64(a.max))
		return
	}
	a.limit = min(a.limit+1/a.limit, float64(a.max))
}

func (a *adaptive) decrease(now time.Time, factor, floor float64) {
	if now.Sub(a.lastDecrease) < decreaseInterval {
		return
	}
	a.lastDecrease = now
	a.limit = max(a.limit*factor, min(floor, a.limit), 1)
}

func (a *adaptive) sample(now time.Time, d time.Duration) {
	if a.samples == 0 || d < a.roundMin {
		a.roundMin = d
	}
	a.samples++
	if a.samples == roundSamples {
		a.samples = 0
		a.lowest = a.roundMin
		a.updateBaseline(now)
	}
}

func (a *adaptive) updateBaseline(now time.Time) {
	switch {
	case a.windowStart.IsZero():
		a.windowStart, a.windowMin, a.baseline = now, a.lowest, a.lowest
	case now.Sub(a.windowStart) >= baselineWindow:
		a.baseline = min(a.windowMin, a.lowest)
		a.windowStart, a.windowMin = now, a.lowest
	default:
		a.windowMin = min(a.windowMin, a.lowest)
		a.baseline = min(a.baseline, a.lowest)
	}
}
