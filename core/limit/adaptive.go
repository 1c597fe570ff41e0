package limit

import "time"

const (
	shedFactor    = 0.7 // multiplies the limit when the upstream sheds load
	latencyFactor = 0.9 // multiplies the limit when latency rises
	// latencyTolerance is the ratio of the lowest latency of the last round to the baseline above
	// which the upstream counts as overloaded.
	latencyTolerance = 2.5
	// latencyMinShare is the share of the slots below which rising latency alone does not lower the
	// limit. Latency also rises when the mix of requests changes, which is no reason to stop an upstream.
	latencyMinShare = 1.0 / 3
	// decreaseInterval is the least time between two decreases, so that one takes effect before the next.
	decreaseInterval = 100 * time.Millisecond
	// baselineWindow is how long the lowest latency serves as the baseline, so that an
	// upstream that became slower for another reason than load gets its slots back.
	baselineWindow = 10 * time.Second
	// roundSamples is the number of samples in a round, whose lowest latency is compared with
	// the baseline. Overload raises the lowest latency too; a few slow requests among fast ones do not.
	roundSamples = 20
)

// adaptive is an additive-increase, multiplicative-decrease (AIMD) limit of the
// concurrency between 1 and the slots of the upstream.
type adaptive struct {
	max          int
	limit        float64
	lastDecrease time.Time

	samples      int           // of the current round
	roundMin     time.Duration // lowest latency of the current round
	lastRoundMin time.Duration // lowest latency of the last complete round; 0: none yet
	baseline     time.Duration // lowest latency of a round in the current and the previous window
	windowMin    time.Duration // lowest latency of a round in the current window
	windowStart  time.Time
}

func newAdaptive(slots int) adaptive { return adaptive{max: slots, limit: float64(slots)} }

func (a *adaptive) slots() int { return max(int(a.limit), 1) }

func (a *adaptive) setMax(slots int) {
	grown := slots > a.max
	a.max = slots
	if grown {
		a.limit = float64(slots) // results lower it again if the upstream cannot run that many
	}
	a.limit = min(a.limit, float64(slots))
}

// observe adapts the limit to the result of a request. saturated tells that all
// slots were in use; only then does the latency change the limit.
func (a *adaptive) observe(now time.Time, r Result, saturated bool) {
	if r.Shed {
		a.decrease(now, shedFactor, 1)
		return
	}
	if !r.Valid {
		return
	}
	a.addSample(now, r.Latency)
	if !saturated {
		return
	}
	if float64(a.lastRoundMin) > latencyTolerance*float64(a.baseline) {
		a.decrease(now, latencyFactor, latencyMinShare*float64(a.max))
		return
	}
	a.limit = min(a.limit+1/a.limit, float64(a.max))
}

// decrease multiplies the limit by factor, but does not lower it below minLimit or 1. It
// does nothing within decreaseInterval of the last decrease.
func (a *adaptive) decrease(now time.Time, factor, minLimit float64) {
	if now.Sub(a.lastDecrease) < decreaseInterval {
		return
	}
	a.lastDecrease = now
	a.limit = max(a.limit*factor, min(minLimit, a.limit), 1)
}

func (a *adaptive) addSample(now time.Time, d time.Duration) {
	if a.samples == 0 || d < a.roundMin {
		a.roundMin = d
	}
	a.samples++
	if a.samples == roundSamples {
		a.samples = 0
		a.lastRoundMin = a.roundMin
		a.updateBaseline(now)
	}
}

func (a *adaptive) updateBaseline(now time.Time) {
	switch {
	case a.windowStart.IsZero():
		a.windowStart, a.windowMin, a.baseline = now, a.lastRoundMin, a.lastRoundMin
	case now.Sub(a.windowStart) >= baselineWindow:
		a.baseline = min(a.windowMin, a.lastRoundMin)
		a.windowStart, a.windowMin = now, a.lastRoundMin
	default:
		a.windowMin = min(a.windowMin, a.lastRoundMin)
		a.baseline = min(a.baseline, a.lastRoundMin)
	}
}
