package pace

import (
	"fmt"
	"time"
)

const (
	// slowRatio of the mean response times condemns a version; coldRatio while the new
	// upstreams are in their slow start, which doubles their time.
	slowRatio = 3.0
	coldRatio = 6.0
	coldTime  = 4 * time.Second
	// recentAnswers of the new version make up its mean, so that a fault that begins late shows.
	recentAnswers = 24
	minNew        = 16 // answers of the new version that its mean needs
	minOld        = 5  // answers of the old version that its mean needs
)

// recent answers of the new version, with those before fading out.
type recent struct{ answers, seconds float64 }

func (r recent) add(c Counts) recent {
	n := float64(c.Answered)
	keep := recentAnswers / (recentAnswers + n)
	return recent{answers: r.answers*keep + n, seconds: r.seconds*keep + c.Time.Seconds()}
}

// mean is 0 before the first answer.
func (r recent) mean() time.Duration {
	if r.answers == 0 {
		return 0
	}
	return time.Duration(r.seconds / r.answers * float64(time.Second))
}

// slowness condemns a version whose answers take much longer than those of the old one.
func (r *route) slowness(name string, step Route, elapsed time.Duration) string {
	r.slow = r.slow.add(step.New)
	old := step.Old
	if old.Answered < minOld {
		old = r.total.Old
	}
	if old.Answered < minOld || r.slow.answers < minNew {
		return ""
	}
	ratio := r.slow.mean().Seconds() / max(0.001, meanSeconds(r.total.Old), meanSeconds(old))
	bound := slowRatio
	if elapsed < coldTime {
		bound = coldRatio
	}
	if ratio < bound {
		return ""
	}
	return fmt.Sprintf("route %s: answers take %.1f times as long as on the old version", name, ratio)
}

func meanSeconds(c Counts) float64 { return c.Time.Seconds() / float64(max(1, c.Answered)) }
