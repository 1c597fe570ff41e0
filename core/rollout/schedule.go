package rollout

import (
	"cmp"
	"time"
)

// stage is a share of the new version and the fraction of the duration from which it applies.
type stage struct {
	from  float64
	share uint32 // permille
}

// schedule holds the shares of a rollout over time. A fault may begin at any time, and the
// requests that the new version received before count against the exposure bound too.
// Therefore the version runs at a small canary share for most of the duration, a larger one
// at first because most faults show at once, and ramps up late. The integral of the shares
// up to completeAt is 0.96 of the bound, so a version that is reverted at any moment before
// stays within the bound.
type schedule struct {
	canary, ramp []stage // in the order of time
	// minStageFraction is the least fraction of the duration for which a judge observes one
	// share before it raises it, and minFullFraction the same for the full share before the
	// rollout is complete. In this time requests that still run on the old version end and
	// the counts of all nodes arrive.
	minStageFraction, minFullFraction float64
}

// newSchedule returns the schedule for an exposure bound, the fraction of all requests that a
// bad version may receive; 0 stands for DefaultBound.
func newSchedule(bound float64) schedule {
	scale := min(max(cmp.Or(bound, DefaultBound)/DefaultBound, minScale), maxScale)
	share := func(permille float64) uint32 { return uint32(permille*scale + roundingError) }
	// beforeCompletion returns the start of a stage of the ramp: completeAt minus a fraction of
	// the duration, which grows with the bound.
	beforeCompletion := func(fraction float64) float64 { return completeAt - fraction*scale }
	return schedule{
		canary:           []stage{{0, share(40)}, {0.5, share(20)}},
		ramp:             []stage{{beforeCompletion(0.11), 100}, {beforeCompletion(0.085), 300}, {beforeCompletion(0.06), fullShare}},
		minStageFraction: 0.02 * scale,
		minFullFraction:  0.04 * scale,
	}
}

const (
	fullShare = 1000
	// DefaultBound is the exposure bound of a rollout for which none is set, as a fraction of
	// all requests.
	DefaultBound = 0.1
	// minScale leaves enough time between raises for counts to arrive in a rollout of 12 s; a
	// bound below 0.08 is therefore not kept for every fault. maxScale keeps the canary share
	// below the first share of the ramp.
	minScale = 0.8
	maxScale = 2.0
	// roundingError exceeds the binary rounding error of a share of decimal numbers: 40 * (0.11 / 0.1) is below 44.
	roundingError = 1e-6
	// completeAt is the fraction of the duration from which a rollout may complete. It leaves
	// time for a few decisions after the last step.
	completeAt = 0.92
	// holdEvidence is the log likelihood ratio from which the share is not raised. It equals
	// revertEvidenceMany, so that a version whose failures are still too few to revert it at
	// that ratio receives no more requests until they are enough or the ratio has fallen.
	holdEvidence = revertEvidenceMany
	// holdDeadline is the fraction of the duration from which a version with holdEvidence is
	// reverted.
	holdDeadline = 0.97
)

// scheduleProgress is the progress of a rollout through its schedule, as its judge has
// observed it.
type scheduleProgress struct {
	schedule
	share        uint32        // in force, permille
	since        time.Duration // elapsed time at which the judge decided or first observed it
	decidedAt    time.Duration // elapsed time at which the judge last decided another share
	decidedShare uint32        // the share that it decided then
}

// observeShare records the share in force and since when it is in force. first is true at the
// first decision of the judge.
func (p *scheduleProgress) observeShare(in Input, first bool) {
	switch {
	case !first && p.share == in.SharePermille:
		return
	case !first && p.decidedShare == in.SharePermille:
		p.since = p.decidedAt
	default:
		p.since = in.Elapsed
	}
	p.share = in.SharePermille
}

// recordDecision records a share that the judge has decided, and when, if it differs from the
// one before.
func (p *scheduleProgress) recordDecision(in Input, share uint32) {
	if share != p.decidedShare {
		p.decidedShare, p.decidedAt = share, in.Elapsed
	}
}

// heldFor reports whether the share has been in force for at least a fraction of the duration.
func (p *scheduleProgress) heldFor(in Input, fraction float64) bool {
	return in.Elapsed-p.since >= time.Duration(fraction*float64(in.Duration))
}

// nextShare returns the share of the offered requests that applies from now on. It takes the
// stages of the ramp one by one, holds each for minStageFraction, and never lowers a share of
// the ramp, so that a new leader whose clock is behind does not undo one.
func (p *scheduleProgress) nextShare(in Input, fraction, skew float64) uint32 {
	if fraction < p.ramp[0].from && p.share <= p.canary[0].share {
		decidedShare := scaleShare(p.canaryShare(fraction), skew)
		if ratio := float64(p.share) / float64(decidedShare); skew > 1 && ratio > 1/minChangeRatio && ratio < minChangeRatio {
			return p.share
		}
		return decidedShare
	}
	for _, s := range p.ramp {
		if share := scaleShare(s.share, skew); share > p.share {
			if fraction >= s.from && p.heldFor(in, p.minStageFraction) {
				return share
			}
			break
		}
	}
	return max(p.share, scaleShare(p.canaryShare(fraction), skew))
}

// canaryShare returns the canary share that applies at a fraction of the duration.
func (p *schedule) canaryShare(fraction float64) uint32 {
	share := p.canary[0].share
	for _, s := range p.canary {
		if fraction >= s.from {
			share = s.share
		}
	}
	return share
}

// scaleShare converts a stage's share, a share of the requests that run, into a share of the
// offered requests. The new version runs skew times its share of the offered requests, so
// the share is divided by skew. The full share stays as it is.
func scaleShare(share uint32, skew float64) uint32 {
	if share == fullShare {
		return share
	}
	return max(1, uint32(float64(share)/skew))
}

const (
	// minSkew is the least skew that is corrected; lower ones may be chance.
	minSkew = 1.5
	// minChangeRatio is the least factor by which the canary share changes while it is corrected
	// for a skew. If the share in force is between 1/minChangeRatio and minChangeRatio times
	// the computed one, it stays as it is.
	minChangeRatio = 1.4
	// skewIntervals is the number of decision intervals over which the skew is averaged, and
	// minSkewRequests the number of expected requests that it needs.
	skewIntervals   = 12
	minSkewRequests = 10
)

// loadSkew measures how much more than its share of the offered requests the new version runs.
// Under overload the old version rejects most of the requests it receives, and the new one
// does not. ran is the decayed number of requests that ran on the new version, and expected
// the number according to its share of all requests that ran.
type loadSkew struct{ ran, expected float64 }

// add adds the counts of one decision interval. Callers must only add intervals before the
// ramp: at larger shares than those of the canary the new version rejects requests too.
func (c *loadSkew) add(increment Route, sharePermille uint32) {
	keep := 1 - 1.0/skewIntervals
	c.ran = c.ran*keep + float64(increment.New.Requests)
	c.expected = c.expected*keep + float64(increment.New.Requests+increment.Old.Requests)*float64(sharePermille)/fullShare
}

// skew returns what the new version runs as a multiple of its share, or 1 if that is not
// known or below minSkew.
func (c *loadSkew) skew() float64 {
	if c.expected < minSkewRequests || c.ran < minSkew*c.expected {
		return 1
	}
	return c.ran / c.expected
}
