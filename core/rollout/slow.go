package rollout

import (
	"fmt"
	"time"
)

const (
	// maxTimeRatio is the ratio of the mean response times from which the new version is
	// reverted. coldStartTimeRatio applies in the first coldStartTime of a rollout, during the
	// slow start of new upstreams, which doubles their response times.
	maxTimeRatio       = 3.0
	coldStartTimeRatio = 6.0
	coldStartTime      = 4 * time.Second
	// meanRequests is the weight, in requests, of past requests in the mean of the new version.
	// It is small so that a fault which begins late shows in the mean.
	meanRequests  = 24
	minNewForMean = 16 // requests to the new version that its mean needs
	minOldForMean = 5  // requests to the old version that its mean needs
)

// decayingMean is an exponentially weighted mean of the response times of the new version.
type decayingMean struct{ requests, seconds float64 }

// add adds the counts of one decision interval.
func (r decayingMean) add(c Counts) decayingMean {
	n := float64(c.Requests)
	keep := meanRequests / (meanRequests + n)
	return decayingMean{requests: r.requests*keep + n, seconds: r.seconds*keep + c.Time.Seconds()}
}

// mean returns the mean response time, or 0 before the first request.
func (r decayingMean) mean() time.Duration {
	if r.requests == 0 {
		return 0
	}
	return time.Duration(r.seconds / r.requests * float64(time.Second))
}

// slowness adds the counts of one decision interval. It returns why the new version must be
// reverted if its answers take much longer than those of the old one, or "".
func (r *route) slowness(name string, increment Route, elapsed time.Duration) string {
	r.newTimes = r.newTimes.add(increment.New)
	old := increment.Old
	if old.Requests < minOldForMean {
		old = r.total.Old
	}
	if old.Requests < minOldForMean || r.newTimes.requests < minNewForMean {
		return ""
	}
	ratio := r.newTimes.mean().Seconds() / max(0.001, meanSeconds(r.total.Old), meanSeconds(old))
	bound := maxTimeRatio
	if elapsed < coldStartTime {
		bound = coldStartTimeRatio
	}
	if ratio < bound {
		return ""
	}
	return fmt.Sprintf("route %s: answers take %.1f times as long as on the old version", name, ratio)
}

// meanSeconds returns the mean response time of counts, or 0 if they are empty.
func meanSeconds(c Counts) float64 { return c.Time.Seconds() / float64(max(1, c.Requests)) }
