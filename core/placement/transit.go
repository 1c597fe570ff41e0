package placement

import (
	"math"
	"time"
)

// transitHalfLife is the half-life of a measured transit time. A link that was busy is tried again after a few of them.
const transitHalfLife = time.Second

// recordTransit measures how long requests take to a node and back. A rejection takes only that time. It shows that the
// link of a node is busy while the load that its gate reports is unremarkable, since requests wait before the gate.
func (n *node) recordTransit(now time.Time, o Outcome) {
	switch {
	case o.Unavailable || o.Latency <= 0:
	case (o.NotRun && !o.Waited) || o.Latency < n.expectedTransit(now):
		n.transit, n.transitAt = o.Latency, now
	}
}

// expectedTransit returns the expected time to a node and back, as far as it was measured recently.
func (n *node) expectedTransit(now time.Time) time.Duration {
	return time.Duration(float64(n.transit) * math.Exp2(-float64(now.Sub(n.transitAt))/float64(transitHalfLife)))
}
