// Package throttle limits the requests that an entry sends to a service that rejects most of
// them. Each rejected request costs bytes and time on the links of both nodes, so under
// overload it is better rejected where it arrives. The package does no I/O and reads no clock.
package throttle

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of counted requests: short enough to end soon after an overload.
	halfLife = time.Second
	// sendRatio is the number of requests that are sent for each one that was accepted. The excess
	// finds out when more are accepted again. It grows to sendRatioAfter as the share of the sent
	// requests that are accepted grows from recovering to 1, so that an overload that has ended is
	// noticed soon.
	sendRatio      = 1.4
	sendRatioAfter = 3.0
	recovering     = 0.8
	// prior is the number of accepted requests that are assumed beside the counted ones, so that a few
	// rejections do not throttle a service with few requests.
	prior = 5.0
)

// Throttle decides which requests of one kind are rejected without being sent. The zero value
// sends all requests. It is not safe for concurrent use.
type Throttle struct {
	// CountAtEnd counts a request that is sent only when it ends. Requests that take seconds to send would otherwise count
	// as not accepted meanwhile: of 8 uploads that started at once, one or two were rejected although the service was idle.
	CountAtEnd bool

	offered, ended, accepted float64 // decayed with halfLife, as of countedAt
	countedAt                time.Time
}

// Offer counts a new request and reports whether it may be sent; sample is a uniform number in
// [0,1). Done must be called for a request that is sent.
func (t *Throttle) Offer(now time.Time, sample float64) bool {
	t.decay(now)
	send := sample >= t.RejectionProbability()
	if !send || !t.CountAtEnd {
		t.offered++
	}
	return send
}

// Done counts the outcome of a request that was sent. accepted is false if it was rejected for
// lack of capacity.
func (t *Throttle) Done(now time.Time, accepted bool) {
	t.decay(now)
	t.ended++
	if t.CountAtEnd {
		t.offered++
	}
	if accepted {
		t.accepted++
	}
}

// RejectionProbability returns the probability, from 0 to 1, with which Offer rejects a request,
// as of the last call of Offer or Done.
func (t *Throttle) RejectionProbability() float64 {
	ratio := sendRatio
	if share := t.accepted / max(1, t.ended); share > recovering {
		ratio += (sendRatioAfter - sendRatio) * (share - recovering) / (1 - recovering)
	}
	return max(0, 1-ratio*(t.accepted+prior)/(t.offered+prior))
}

// RejectedShare returns the share of the sent requests that were rejected for lack of capacity, as of the last call of
// Offer or Done.
func (t *Throttle) RejectedShare() float64 {
	return max(0, t.ended-t.accepted) / (t.ended + prior)
}

// AcceptedPerSecond returns the number of requests per second that were accepted recently, with the assumed ones.
func (t *Throttle) AcceptedPerSecond() float64 {
	return (t.accepted + prior) * math.Ln2 / halfLife.Seconds()
}

func (t *Throttle) decay(now time.Time) {
	if elapsed := now.Sub(t.countedAt); elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(halfLife))
		t.offered, t.ended, t.accepted, t.countedAt = t.offered*keep, t.ended*keep, t.accepted*keep, now
	}
}
