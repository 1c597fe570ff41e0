package admission

import (
	"math"
	"time"
)

const (
	// pressureHalfLife is the half-life of counted requests: long against a service time, so that a few rejections in a
	// row do not move the shares, and short against the overloads of tens of seconds that callers notice.
	pressureHalfLife = 2 * time.Second
	// pressurePrior is the number of accepted requests that are assumed beside the counted ones.
	pressurePrior = 10
	// pressureTolerance is how much less often a less urgent request may be rejected than a more urgent one. Callers accept
	// 5 in 100; the rest covers the noise of the counts.
	pressureTolerance = 0.03
	// lastingShare is the share of rejected requests at which an overload counts as lasting. Waiting beyond the goal then
	// only makes later requests late as well.
	lastingShare = 0.2
	// lateWaitShare is the share of the time between goal and deadline that a request may wait in a short peak. The rest
	// covers the requests that go before it meanwhile.
	lateWaitShare = 0.5
	priorities    = len(rejectionWeight)
)

// pressure counts by priority how many requests were offered and rejected recently.
type pressure struct {
	offered, rejected [priorities]float64 // decayed with pressureHalfLife, as of countedAt
	countedAt         time.Time
}

func (p *pressure) decay(now time.Time) {
	if elapsed := now.Sub(p.countedAt); elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(pressureHalfLife))
		for i := range priorities {
			p.offered[i], p.rejected[i] = p.offered[i]*keep, p.rejected[i]*keep
		}
		p.countedAt = now
	}
}

func (p *pressure) countOffered(now time.Time, r Request) {
	p.decay(now)
	if !r.Nested {
		p.offered[r.level()]++
	}
}

func (p *pressure) countRejected(r Request) {
	if !r.Nested {
		p.rejected[r.level()]++
	}
}

// rejectedShare returns the share of rejected requests of a priority.
func (p *pressure) rejectedShare(priority int) float64 {
	return min(1, p.rejected[priority]/(p.offered[priority]+pressurePrior))
}

// shareOfMoreUrgent returns the largest share of rejected requests of the priorities that are more urgent than this one.
func (p *pressure) shareOfMoreUrgent(priority int) float64 {
	share := 0.0
	for i := range priority {
		share = max(share, p.rejectedShare(i)-pressureTolerance)
	}
	return share
}

// patience returns the share of lateWaitShare that applies: 1 without rejections, 0 from lastingShare on.
func (p *pressure) patience() float64 {
	offered, rejected := float64(pressurePrior), 0.0
	for i := range priorities {
		offered, rejected = offered+p.offered[i], rejected+p.rejected[i]
	}
	return Patience(rejected / offered)
}

// Patience returns the patience of requests, from 0 to 1, if this share of requests was rejected recently.
func Patience(rejectedShare float64) float64 { return max(0, 1-rejectedShare/lastingShare) }

// level returns the priority as an index.
func (r Request) level() int { return min(int(r.Priority), priorities-1) }

// RejectedShares returns by priority the shares of the requests, without nested calls, that were rejected recently.
func (q *Queue) RejectedShares(now time.Time) [priorities]float64 {
	q.pressure.decay(now)
	var out [priorities]float64
	for i := range out {
		out[i] = q.pressure.rejectedShare(i)
	}
	return out
}
