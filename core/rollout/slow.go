package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// slowQuantile is the fraction of the old version's answers, on its fastest upstreams, above whose
	// response time an answer is slow. minSlowFactor is the least ratio of that time to their mean.
	// During coldStartTime, in which new upstreams take twice as long, the time is larger by
	// coldStartFactor.
	slowQuantile    = 0.985
	minSlowFactor   = 2.5
	minSlowTime     = 20 * time.Millisecond // faster answers are never slow
	coldStartFactor = 2.0
	coldStartTime   = 4 * time.Second
	// referenceShare is the fraction of the old version's upstreams, the fastest ones, whose
	// response times are used: they do not change when fewer than half of them are slow.
	referenceShare = 0.5
	// slowUpstreamShare is the fraction of the upstreams of a version, those with the most slow
	// answers, that are left out of the comparison: slow hosts are no fault of a version.
	slowUpstreamShare = 0.25
	// slowExcess is the fraction of requests that may be slow on the new version beyond those on
	// the old one, such as on hosts of lower speed.
	slowExcess = 0.03
	// revertSlowEvidence is the log likelihood ratio at which a version is reverted for its slow
	// answers: 2.4 standard deviations. From holdSlowEvidence on, the share is not raised. While no
	// upstream can be left out, because there are fewer than 1/slowUpstreamShare, the evidence
	// counts for a share of fewUpstreamsWeight: a slow host may cause it.
	revertSlowEvidence = 3.0
	holdSlowEvidence   = 1.0
	fewUpstreamsWeight = 0.5
	minOldForTimes     = 20 // requests to the old version that the comparison needs
	minSlowAnswers     = 6  // slow answers beyond those expected that it needs
	// maxTrackedUpstreams bounds the memory for upstreams that no longer report.
	maxTrackedUpstreams = 4096
	// allRoutes names the comparison over all routes together.
	allRoutes = "all"
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

// slowness ends the decision interval and compares the response times of the versions on each
// route and on all routes together. It returns why the new version must be reverted if more of
// its answers are slow than on the old one, or "".
func (j *Judge) slowness(elapsed time.Duration) string {
	j.slowEvidence, j.slowRoute = 0, ""
	var all []*responseTimes
	reason := ""
	for name, r := range j.routes {
		if !r.times.endInterval(elapsed) {
			continue
		}
		all = append(all, &r.times)
		r.times.compared, _ = compareTimes([]*responseTimes{&r.times}, maxHistory)
		reason = cmp.Or(reason, j.compareSlow(name, []*responseTimes{&r.times}))
	}
	if len(all) > 1 {
		reason = cmp.Or(reason, j.compareSlow(allRoutes, all))
	}
	return reason
}

// compareSlow compares the versions over all windows. It returns why the new version must be
// reverted, or "".
func (j *Judge) compareSlow(name string, times []*responseTimes) string {
	for _, w := range windows {
		s, upstreams := compareTimes(times, w.intervals)
		if s.excessFailures() < minSlowAnswers {
			continue
		}
		evidence := excessEvidence(s, slowExcess)
		if slowUpstreamShare*float64(upstreams) < 1 {
			evidence *= fewUpstreamsWeight
		}
		if evidence > j.slowEvidence {
			j.slowEvidence, j.slowRoute = evidence, name
		}
		if evidence >= revertSlowEvidence {
			return fmt.Sprintf("route %s: %.0f of %.0f answers were slow; %.1f%% on the old version", name, s.newFailed, s.newRequests, 100*s.oldRate())
		}
	}
	return ""
}

// endInterval ends the current decision interval of all upstreams. It returns false if too few
// requests to the old version have ended to tell which answers are slow.
func (t *responseTimes) endInterval(elapsed time.Duration) bool {
	bucket, known := t.slowBucket(elapsed)
	for _, u := range t.upstreams {
		u.endInterval(bucket)
	}
	if known {
		t.bound = bucketBound(bucket)
	}
	return known
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
	bucket := reference.Times.quantile(slowQuantile)
	bound := max(bucketBound(bucket), time.Duration(minSlowFactor*float64(reference.meanTime())), minSlowTime)
	if elapsed < coldStartTime {
		bound = time.Duration(coldStartFactor * float64(bound))
	}
	return TimeBucket(bound), true
}

// compareTimes returns the numbers of slow answers and of requests of both versions on the given
// routes in the last decision intervals, without the upstreams with the most slow answers. It also
// returns the number of upstreams of the new version.
func compareTimes(times []*responseTimes, intervals int) (s sample, newUpstreams int) {
	newCounts, oldCounts := make(map[string]slowCount), make(map[string]slowCount)
	for _, t := range times {
		for name, u := range t.upstreams {
			counts := oldCounts
			if u.isNew {
				counts = newCounts
			}
			c := counts[name]
			for _, interval := range u.slow[max(0, len(u.slow)-intervals):] {
				c.requests, c.slow = c.requests+interval.requests, c.slow+interval.slow
			}
			if c.requests > 0 {
				counts[name] = c
			}
		}
	}
	s.newFailed, s.newRequests = sumTypical(slices.Collect(maps.Values(newCounts)))
	s.oldFailed, s.oldRequests = sumTypical(slices.Collect(maps.Values(oldCounts)))
	return s, len(newCounts)
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
