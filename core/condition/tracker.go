package condition

import (
	"math"
	"time"
)

// Condition of an upstream; the zero value stands for one that does as usual.
type Condition struct {
	// Slow is the time of a request on an upstream that is slower than usual.
	Slow time.Duration
	// Failing is the share of failures in percent, in steps of failingStep.
	Failing uint32
}

const (
	// slowFactor over the usual time makes an upstream slow; random mixes of requests stay below.
	slowFactor = 2.5
	// slowStep is the change of the time of a slow upstream that is worth telling.
	slowStep = 1.6
	// usualWeight of a request in the usual time: about the last hundred.
	usualWeight = 0.01
	// recentWeight of a request in the present time: about the last ten.
	recentWeight = 0.1
	// recentFirst requests make up the present time before anything is judged by it.
	recentFirst = 8
	// usualFirst requests make up the usual time before anything is judged by it.
	usualFirst = 20
	// failingFrom is the share in percent from which failures are told; single ones stay below.
	failingFrom = 15
	failingStep = 15
	// priorOutcomes without a failure are assumed, so that a single failure is no condition.
	priorOutcomes = 4.0
	// halfLife of counted outcomes.
	halfLife = 2 * time.Second
	// forgetAfter is the time without an outcome after which a condition is taken back, so that
	// other nodes try the upstream again.
	forgetAfter = 3 * time.Second
	// worseAfter and betterAfter bound how often a condition is told.
	worseAfter  = 200 * time.Millisecond
	betterAfter = time.Second
)

// Tracker of one upstream. It is not safe for concurrent use.
type Tracker struct {
	usual    float64 // seconds
	measured int     // requests in usual
	recent   float64 // seconds
	lately   int     // requests in recent

	outcomes, failures float64 // counted with halfLife
	countedAt          time.Time

	told   Condition
	toldAt time.Time
}

// Answered takes an outcome; the latency counts only where the upstream answered well.
func (t *Tracker) Answered(now time.Time, latency time.Duration, failed bool) {
	fade := t.fade(now)
	t.outcomes, t.failures, t.countedAt = t.outcomes*fade+1, t.failures*fade, now
	if failed {
		t.failures++
		return
	}
	t.lately++
	t.recent += max(recentWeight, 1/float64(t.lately)) * (latency.Seconds() - t.recent)
	t.measured++
	switch s := latency.Seconds(); {
	case t.measured <= usualFirst:
		t.usual += (s - t.usual) / float64(t.measured)
	case s < slowFactor*t.usual || t.told.Slow == 0:
		t.usual += usualWeight * (s - t.usual)
	}
}

func (t *Tracker) fade(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(t.countedAt)) / float64(halfLife))
}

// Next returns the condition to tell, given the time that running requests have
// taken already; false when it is the one that was told last.
func (t *Tracker) Next(now time.Time, hanging time.Duration) (Condition, bool) {
	if hanging == 0 && now.Sub(t.countedAt) > forgetAfter {
		t.recent, t.lately, t.outcomes, t.failures = 0, 0, 0, 0
	}
	c := Condition{Slow: t.slow(hanging), Failing: t.failing(now)}
	wait := betterAfter
	if c.Slow > t.told.Slow || c.Failing > t.told.Failing {
		wait = worseAfter
	}
	if c == t.told || now.Sub(t.toldAt) < wait {
		return t.told, false
	}
	t.told, t.toldAt = c, now
	return c, true
}

func (t *Tracker) slow(hanging time.Duration) time.Duration {
	s := hanging.Seconds()
	if t.lately >= recentFirst {
		s = max(s, t.recent)
	}
	if t.measured < usualFirst || s < slowFactor*t.usual {
		return 0
	}
	if told := t.told.Slow.Seconds(); told > 0 && s < told*slowStep && s > told/slowStep {
		return t.told.Slow
	}
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond)
}

func (t *Tracker) failing(now time.Time) uint32 {
	fade := t.fade(now)
	percent := uint32(100 * t.failures * fade / (t.outcomes*fade + priorOutcomes))
	if percent < failingFrom {
		return 0
	}
	return percent / failingStep * failingStep
}
