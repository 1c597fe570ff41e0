package coldstart

import "time"

const (
	// window is the time over which the sends to a cold upstream are counted. It is longer than the second of the bound: a
	// request may arrive up to the difference later than it was sent, and never more than the limit arrive in a second.
	window = 1250 * time.Millisecond
	// limitShare is the share of the bound that is used. The rest covers requests that were on their way when the slow start
	// began, and health probes.
	limitShare = 0.8
	// burstWindow is a part of the window in which at most a burstDivisor of the limit is sent, so that the requests are
	// spread over the window.
	burstWindow  = 250 * time.Millisecond
	burstDivisor = 3
)

// Bound is the number of requests that a cold upstream takes. The zero value stands for no bound.
type Bound struct{ limit int }

// NewBound returns the bound of an upstream that takes perSecond requests per second in its slow start and may get at most
// perSecond*excess + slack in any second. Without excess and slack, that is perSecond. There is no bound if perSecond is 0.
func NewBound(perSecond, excess, slack float64) Bound {
	if !(perSecond > 0) {
		return Bound{}
	}
	if excess == 0 && slack == 0 {
		excess = 1
	}
	return Bound{limit: int(min(max(1, limitShare*(perSecond*excess+slack)), maxLimit))}
}

// maxLimit bounds the memory for the times of sends. No upstream that takes more needs a bound.
const maxLimit = 1 << 12

// Applies reports whether there is a bound.
func (b Bound) Applies() bool { return b.limit > 0 }

// Rate returns the requests per second that the bound admits.
func (b Bound) Rate() float64 { return float64(b.limit) / window.Seconds() }

// burst returns the limit of burstWindow.
func (b Bound) burst() int { return (b.limit + burstDivisor - 1) / burstDivisor }
