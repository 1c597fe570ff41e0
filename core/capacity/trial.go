package capacity

import (
	"math"
	"time"
)

const (
	// trialRatio is the ratio of the two limits of a trial. A wider one needs fewer samples, a narrower one costs less.
	trialRatio = 0.55
	// raiseRatio bounds the step by which a limit is raised after a trial.
	raiseRatio = 1.4
	// windowTimes is the length of a window of a trial in service times. Requests that run in two windows say less.
	windowTimes = 2
	minWindow   = 200 * time.Millisecond
	maxWindow   = 2 * time.Second
	// trialTime bounds a trial.
	trialTime = 30 * time.Second
	// A trial ends after probationTime if the limits are reached too rarely for usefulError, because it holds back the
	// upstream while it runs.
	probationTime = 10 * time.Second
	usefulError   = 0.5
	// maxBadShare is the share of errors and refusals above which a trial is given up, from minBad on.
	maxBadShare = 0.1
	minBad      = 5
)

// result is the result of a trial.
type result string

const (
	undecided    result = "undecided"
	noGrowth     result = "no-growth"    // the higher limit completes no more requests
	growth       result = "growth"       // it completes more
	inconclusive result = "inconclusive" // out of time
	abandoned    result = "abandoned"    // too many errors, or the limits were reached too rarely
)

// trial alternates two limits.
type trial struct {
	lo, hi int
	down   bool // asks for a lower limit

	length    time.Duration
	high      bool // the present window has the higher limit
	windowEnd time.Time
	begin     time.Time
	good, bad int
}

func newTrial(now time.Time, lo, hi int, down bool, service time.Duration) *trial {
	length := min(maxWindow, max(minWindow, windowTimes*service))
	return &trial{lo: lo, hi: hi, down: down, length: length, high: !down, windowEnd: now.Add(length), begin: now}
}

func (t *trial) inForce() int {
	if t.high {
		return t.hi
	}
	return t.lo
}

// raised returns the limit after a trial for a higher one.
func (t *trial) raised() int {
	return min(t.hi, max(t.lo+1, int(math.Round(raiseRatio*float64(t.lo)))))
}

func (t *trial) count(good bool) {
	if good {
		t.good++
	} else {
		t.bad++
	}
}

// tick lets time pass and returns the result for a slope with this standard error, as soon as there is one.
func (t *trial) tick(now time.Time, value, e float64) result {
	if !now.Before(t.windowEnd) {
		t.high, t.windowEnd = !t.high, now.Add(t.length)
	}
	elapsed := now.Sub(t.begin)
	switch {
	case t.bad >= minBad && float64(t.bad) > maxBadShare*float64(t.good+t.bad):
		return abandoned
	case elapsed > probationTime && e*e*float64(elapsed) > usefulError*usefulError*float64(trialTime):
		return abandoned // the error falls with the root of the time
	case elapsed < 2*t.length:
		return undecided
	case t.down && showsKnee(value, e):
		return noGrowth
	case t.down && value+e < keepSlope:
		return growth
	case !t.down && e < raiseError && value < raiseSlope:
		return growth
	case !t.down && e < raiseError:
		return noGrowth
	case elapsed >= trialTime && !t.down && value > raiseSlope && value > keepErrors*e:
		return noGrowth
	case elapsed >= trialTime:
		return inconclusive
	}
	return undecided
}
