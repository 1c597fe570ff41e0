package condition

import (
	"math"
	"time"
)

// Condition is the condition of an upstream. The zero value is that of a healthy one.
type Condition struct {
	// Slow is the mean time of a request if the upstream is slower than usual, otherwise 0.
	Slow time.Duration
	// Failing is the failure rate in percent, rounded down to a multiple of failingStep.
	Failing uint32
}

const (
	// slowFactor is the ratio to the usual time from which an upstream is slow; random variation
	// of the requests stays below.
	slowFactor = 2.5
	// minSlowChange is the ratio by which the time of a slow upstream must change to be published
	// again.
	minSlowChange = 1.6
	// usualWeight is the weight of a request in the usual time; about the last 100 count.
	usualWeight = 0.01
	// recentWeight is the weight of a request in the recent time; about the last 10 count.
	recentWeight = 0.1
	// minRecent is the number of requests that the recent time needs before it is used.
	minRecent = 8
	// minUsual is the number of requests that the usual time needs before it is used.
	minUsual = 20
	// minFailing is the failure rate in percent from which it is published; single failures stay
	// below.
	minFailing  = 15
	failingStep = 15
	// priorOutcomes is the number of successful outcomes that are assumed, so that a single failure
	// does not make an upstream failing.
	priorOutcomes = 4.0
	// outcomeHalfLife is the half-life of counted outcomes.
	outcomeHalfLife = 2 * time.Second
	// idleReset is the time without an outcome after which a condition is cleared, so that other
	// nodes try the upstream again.
	idleReset = 3 * time.Second
	// minWorseInterval and minBetterInterval are the least times between publications, for a
	// condition that got worse and for any other change.
	minWorseInterval  = 200 * time.Millisecond
	minBetterInterval = time.Second
)

// Tracker derives the condition of one upstream. It is not safe for concurrent use.
type Tracker struct {
	// usual is the mean time of the last 100 or so successful requests, in seconds. While
	// Condition.Slow is published, slow requests are left out of it.
	usual       float64
	usualCount  int     // all successful requests, also those left out of usual
	recent      float64 // mean time of the last 10 or so successful requests, in seconds
	recentCount int     // successful requests since recent was last reset

	outcomes, failures float64 // decayed with outcomeHalfLife, as of countedAt
	countedAt          time.Time

	published   Condition
	publishedAt time.Time
}

// RecordOutcome records the outcome of a request. The latency of a failed one is ignored.
func (t *Tracker) RecordOutcome(now time.Time, latency time.Duration, failed bool) {
	decay := t.decay(now)
	t.outcomes, t.failures, t.countedAt = t.outcomes*decay+1, t.failures*decay, now
	if failed {
		t.failures++
		return
	}
	t.recentCount++
	t.recent += max(recentWeight, 1/float64(t.recentCount)) * (latency.Seconds() - t.recent)
	t.usualCount++
	switch s := latency.Seconds(); {
	case t.usualCount <= minUsual:
		t.usual += (s - t.usual) / float64(t.usualCount)
	case s < slowFactor*t.usual || t.published.Slow == 0:
		t.usual += usualWeight * (s - t.usual)
	}
}

// decay returns the factor by which counted outcomes have decayed since countedAt.
func (t *Tracker) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(t.countedAt)) / float64(outcomeHalfLife))
}

// Next returns the condition to publish and true, given the mean time that running requests
// have taken so far; 0 means that none runs. It returns the last published condition and false
// if there is nothing to publish now.
func (t *Tracker) Next(now time.Time, runningTime time.Duration) (Condition, bool) {
	if runningTime == 0 && now.Sub(t.countedAt) > idleReset {
		t.recent, t.recentCount, t.outcomes, t.failures = 0, 0, 0, 0
	}
	c := Condition{Slow: t.slow(runningTime), Failing: t.failing(now)}
	minInterval := minBetterInterval
	if c.Slow > t.published.Slow || c.Failing > t.published.Failing {
		minInterval = minWorseInterval
	}
	if c == t.published || now.Sub(t.publishedAt) < minInterval {
		return t.published, false
	}
	t.published, t.publishedAt = c, now
	return c, true
}

// slow returns Condition.Slow. The published time stays while the current one differs from it by
// less than a factor of minSlowChange.
func (t *Tracker) slow(runningTime time.Duration) time.Duration {
	s := runningTime.Seconds()
	if t.recentCount >= minRecent {
		s = max(s, t.recent)
	}
	if t.usualCount < minUsual || s < slowFactor*t.usual {
		return 0
	}
	if published := t.published.Slow.Seconds(); published > 0 && s < published*minSlowChange && s > published/minSlowChange {
		return t.published.Slow
	}
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond)
}

// failing returns Condition.Failing.
func (t *Tracker) failing(now time.Time) uint32 {
	decay := t.decay(now)
	percent := uint32(100 * t.failures * decay / (t.outcomes*decay + priorOutcomes))
	if percent < minFailing {
		return 0
	}
	return percent / failingStep * failingStep
}
