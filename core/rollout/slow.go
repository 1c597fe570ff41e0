package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// slowFactor is the ratio to the mean response time of the old version above which an answer is
	// slow. During coldStartTime, in which new upstreams take twice as long, it is larger by
	// coldStartFactor.
	slowFactor      = 5.0
	coldStartFactor = 2.0
	coldStartTime   = 4 * time.Second
	// referenceShare is the fraction of the old version's upstreams, the fastest ones, whose mean
	// response time is used: it does not change when fewer than half of them are slow.
	referenceShare = 0.5
	// slowUpstreamShare is the fraction of the upstreams of a version, those with the most slow
	// answers, that are left out of the comparison: slow hosts are no fault of a version.
	slowUpstreamShare = 0.25
	// slowExcess is the fraction of requests that may be slow on the new version beyond those on
	// the old one, such as on hosts of lower speed.
	slowExcess = 0.03
	// revertSlowEvidence is the log likelihood ratio at which a version is reverted for its slow
	// answers: 2.4 standard deviations.
	revertSlowEvidence = 3.5
	// holdSlowEvidence is the log likelihood ratio from which the share is not raised.
	holdSlowEvidence   = 1.5
	minOldForTimes     = 20 // requests to the old version that the comparison needs
	minSlowAnswers     = 6  // slow answers beyond those expected that it needs
	// maxTrackedUpstreams bounds the memory for upstreams that no longer report.
	maxTrackedUpstreams = 4096
)

// upstreamTimes holds the response times of one upstream on one route.
type upstreamTimes struct {
	isNew   bool
	total   Counts      // since the judge began
	pending Histogram   // since the last decision
	slow    []slowCount // of the last maxHistory decision intervals, oldest first
}

// slowCount holds the number of requests in one decision interval and how many were slow.
type slowCount struct{ requests, slow uint32 }

// responseTimes compares the response times of the versions on one route by the share of slow
// answers on their typical upstreams. A mean over all upstreams would take a version for slow
// because of a few slow hosts, and would hide a fault that slows only a part of the requests.
type responseTimes struct {
	upstreams map[string]*upstreamTimes
	bound     time.Duration // response time above which an answer is slow; 0: not known yet
	compared  sample        // of the last comparison
	evidence  float64       // log likelihood ratio at the last decision
}

// add adds the counts of one upstream in the current decision interval.
func (t *responseTimes) add(upstream string, isNew bool, added Counts) {
	u := t.upstreams[upstream]
	if u == nil {
		if t.upstreams == nil || len(t.upstreams) >= maxTrackedUpstreams {
			t.upstreams = make(map[string]*upstreamTimes)
		}
		u = &upstreamTimes{isNew: isNew}
		t.upstreams[upstream] = u
	}
	u.total = u.total.plus(added)
	u.pending = u.pending.plus(added.Times)
}

// slowness ends the current decision interval. It returns why the new version must be reverted
// if more of its answers are slow than on the old one, or "".
func (t *responseTimes) slowness(name string, elapsed time.Duration) string {
	bucket, known := t.slowBucket(elapsed)
	for _, u := range t.upstreams {
		u.endInterval(bucket)
	}
	if !known {
		return ""
	}
	t.bound, t.evidence = bucketBound(bucket), 0
	for _, w := range windows {
		s := t.compare(w.intervals)
		if s.excessFailures() < minSlowAnswers {
			continue
		}
		evidence := excessEvidence(s, slowExcess)
		t.evidence = max(t.evidence, evidence)
		if evidence >= revertSlowEvidence {
			t.compared = s
			return fmt.Sprintf("route %s: %.0f of %.0f answers took over %v; %.1f%% on the old version", name, s.newFailed, s.newRequests, t.bound.Round(time.Millisecond), 100*s.oldRate())
		}
	}
	t.compared = t.compare(maxHistory)
	return ""
}

// endInterval moves the pending response times to the history; those above the bucket are slow.
func (u *upstreamTimes) endInterval(bucket int) {
	u.slow = append(u.slow, slowCount{requests: uint32(u.pending.total()), slow: uint32(u.pending.above(bucket))})
	u.slow = u.slow[max(0, len(u.slow)-maxHistory):]
	u.pending = Histogram{}
}

// slowBucket returns the bucket above which an answer is slow. It returns false if too few
// requests to the old version have ended.
func (t *responseTimes) slowBucket(elapsed time.Duration) (int, bool) {
	var old []Counts
	requests := uint64(0)
	for _, u := range t.upstreams {
		if !u.isNew && u.total.Requests > 0 {
			old, requests = append(old, u.total), requests+u.total.Requests
		}
	}
	if requests < minOldForTimes {
		return TimeBuckets - 1, false
	}
	slices.SortFunc(old, func(a, b Counts) int { return cmp.Compare(a.meanTime(), b.meanTime()) })
	reference := Counts{}
	for i, c := range old {
		if i > 0 && float64(i) >= referenceShare*float64(len(old)) && reference.Requests >= minOldForTimes {
			break
		}
		reference = reference.plus(c)
	}
	factor := slowFactor
	if elapsed < coldStartTime {
		factor *= coldStartFactor
	}
	return TimeBucket(time.Duration(factor * float64(reference.meanTime()))), true
}

// compare returns the numbers of slow answers and of requests of both versions in the last
// decision intervals, without the upstreams with the most slow answers.
func (t *responseTimes) compare(intervals int) sample {
	var newCounts, oldCounts []slowCount
	for _, u := range t.upstreams {
		c := slowCount{}
		for _, interval := range u.slow[max(0, len(u.slow)-intervals):] {
			c.requests, c.slow = c.requests+interval.requests, c.slow+interval.slow
		}
		switch {
		case c.requests == 0:
		case u.isNew:
			newCounts = append(newCounts, c)
		default:
			oldCounts = append(oldCounts, c)
		}
	}
	s := sample{}
	s.newFailed, s.newRequests = sumTypical(newCounts)
	s.oldFailed, s.oldRequests = sumTypical(oldCounts)
	return s
}

// sumTypical sums the counts without the slowUpstreamShare of upstreams with the most slow
// answers.
func sumTypical(counts []slowCount) (slow, requests float64) {
	slices.SortFunc(counts, func(a, b slowCount) int {
		return cmp.Or(cmp.Compare(a.slow, b.slow), cmp.Compare(b.requests, a.requests))
	})
	leftOut := int(slowUpstreamShare * float64(len(counts)))
	for _, c := range counts[:len(counts)-leftOut] {
		slow, requests = slow+float64(c.slow), requests+float64(c.requests)
	}
	return slow, requests
}

func (s sample) newRate() float64 { return s.newFailed / max(1, s.newRequests) }
func (s sample) oldRate() float64 { return s.oldFailed / max(1, s.oldRequests) }

// meanTime returns the mean response time, or 0 without requests.
func (c Counts) meanTime() time.Duration { return c.Time / time.Duration(max(1, c.Requests)) }
