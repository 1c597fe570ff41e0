package pace

import (
	"fmt"
	"time"
)

const (
	// maxTimeRatio is the ratio of the mean response times from which the new version is
	// reverted. coldStartTimeRatio applies during the slow start of new upstreams, which
	// doubles their response times.
	maxTimeRatio       = 3.0
	coldStartTimeRatio = 6.0
	coldStartTime      = 4 * time.Second
	// meanAnswers is the weight, in answers, of past answers in the mean of the new version.
	// It is small so that a fault which begins late shows in the mean.
	meanAnswers   = 24
	minNewForMean = 16 // answers of the new version that its mean needs
	minOldForMean = 5  // answers of the old version that its mean needs
)

// decayingMean is an exponentially weighted mean of the response times of the new version.
type decayingMean struct{ answers, seconds float64 }

func (r decayingMean) add(c Counts) decayingMean {
	n := float64(c.Requests)
	keep := meanAnswers / (meanAnswers + n)
	return decayingMean{answers: r.answers*keep + n, seconds: r.seconds*keep + c.Time.Seconds()}
}

// mean returns the mean response time, or 0 before the first answer.
func (r decayingMean) mean() time.Duration {
	if r.answers == 0 {
		return 0
	}
	return time.Duration(r.seconds / r.answers * float64(time.Second))
}

// slowness adds the counts of one decision interval. It returns why the new version must be
// reverted if its answers take much longer than those of the old one, or "".
func (r *route) slowness(name string, increment Route, elapsed time.Duration) string {
	r.newTimes = r.newTimes.add(increment.New)
	old := increment.Old
	if old.Requests < minOldForMean {
		old = r.total.Old
	}
	if old.Requests < minOldForMean || r.newTimes.answers < minNewForMean {
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

func meanSeconds(c Counts) float64 { return c.Time.Seconds() / float64(max(1, c.Requests)) }
