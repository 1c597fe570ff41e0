package balance

import (
	"math"
	"time"
)

// slots returns the number of requests that the endpoint can run at once: the
// last number that its gate reported, but at most Endpoint.Slots.
func (e *endpoint) slots() int {
	if e.load.Slots > 0 && e.load.Slots < e.Slots {
		return e.load.Slots
	}
	return max(e.Slots, 1)
}

// pendingRequests estimates the number of requests at the endpoint: those of this
// balancer plus those of others in the last report, whose weight falls to 0 within
// maxLoadAge.
func (e *endpoint) pendingRequests(now time.Time) float64 {
	own := float64(e.inFlight)
	age := now.Sub(e.loadAt)
	if e.loadAt.IsZero() || age >= maxLoadAge {
		return own
	}
	others := max(float64(e.load.InFlight+e.load.Queue-e.ownAtReport), 0)
	return own + others*(1-age.Seconds()/maxLoadAge.Seconds())
}

// expectedWork returns the expected time until a new request is done. It only
// serves to compare endpoints.
func (e *endpoint) expectedWork(now time.Time) float64 {
	latency := e.latency
	if latency == 0 {
		latency = defaultLatency.Seconds()
	}
	weight := e.sampleWeight(now)
	work := (e.pendingRequests(now) + 1) / float64(e.slots()) * latency * weight
	work *= 1 + errorPenalty*e.failureRate*weight
	return work / e.slowStartFactor(now)
}

// sampleWeight returns the remaining weight of the last sample, which decays with
// sampleHalfLife.
func (e *endpoint) sampleWeight(now time.Time) float64 {
	if e.sampledAt.IsZero() {
		return unsampledWeight
	}
	return math.Exp2(-now.Sub(e.sampledAt).Seconds() / sampleHalfLife.Seconds())
}

// slowStartFactor returns the share of its capacity that the endpoint is given; it
// grows from slowStartMinShare to 1 during slow start.
func (e *endpoint) slowStartFactor(now time.Time) float64 {
	if !e.inSlowStart(now) {
		return 1
	}
	return max(now.Sub(e.ServingSince).Seconds()/slowStartTime.Seconds(), slowStartMinShare)
}

func (e *endpoint) inSlowStart(now time.Time) bool {
	return !e.ServingSince.IsZero() && now.Sub(e.ServingSince) < slowStartTime
}

// byteBucket is a token bucket of bytes. Its level may become negative, because
// the size of a response is known only afterwards.
type byteBucket struct {
	rate  float64 // bytes per second; the bucket holds one second
	level float64
	last  time.Time
}

func (t *byteBucket) refill(now time.Time) {
	if t.last.IsZero() {
		t.level = t.rate
	} else if d := now.Sub(t.last); d > 0 {
		t.level = min(t.level+d.Seconds()*t.rate, t.rate)
	}
	t.last = now
}

func (t *byteBucket) available(now time.Time) bool {
	t.refill(now)
	return t.level > 0
}

func (t *byteBucket) use(now time.Time, bytes float64) {
	t.refill(now)
	t.level -= bytes
}
