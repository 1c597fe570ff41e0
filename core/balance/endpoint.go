package balance

import (
	"math"
	"time"
)

// slots is what the endpoint can run at once: what its gate reported last, within what the caller allows.
func (e *endpoint) slots() int {
	if e.load.Slots > 0 && e.load.Slots < e.Slots {
		return e.load.Slots
	}
	return max(e.Slots, 1)
}

// pending is the number of requests at the endpoint: own ones plus those of
// others as of the last report, which fades out as it ages.
func (e *endpoint) pending(now time.Time) float64 {
	own := float64(e.inFlight)
	age := now.Sub(e.loadAt)
	if e.loadAt.IsZero() || age >= loadAge {
		return own
	}
	others := max(float64(e.load.InFlight+e.load.Queue-e.loadLocal), 0)
	return own + others*(1-age.Seconds()/loadAge.Seconds())
}

// work is the expected time until a new request would be done, relative to other endpoints.
func (e *endpoint) work(now time.Time) float64 {
	latency := e.latency
	if latency == 0 {
		latency = defaultLatency.Seconds()
	}
	fade := e.fade(now)
	work := (e.pending(now) + 1) / float64(e.slots()) * latency * fade
	work *= 1 + errorWork*e.failureRate*fade
	return work / e.warmth(now)
}

// fade is what is left of the weight of the last sample.
func (e *endpoint) fade(now time.Time) float64 {
	if e.sampledAt.IsZero() {
		return unsampledFade
	}
	return math.Exp2(-now.Sub(e.sampledAt).Seconds() / sampleHalfLife.Seconds())
}

// warmth grows from slowStartFloor to 1 during slow start.
func (e *endpoint) warmth(now time.Time) float64 {
	if !e.fresh(now) {
		return 1
	}
	return max(now.Sub(e.ServingSince).Seconds()/slowStartTime.Seconds(), slowStartFloor)
}

func (e *endpoint) fresh(now time.Time) bool {
	return !e.ServingSince.IsZero() && now.Sub(e.ServingSince) < slowStartTime
}

// tokens is a bucket of bytes that may go into debt by one request, because
// the size of a response is known only afterwards.
type tokens struct {
	rate  float64 // bytes per second; the bucket holds one second
	level float64
	last  time.Time
}

func (t *tokens) refill(now time.Time) {
	if t.last.IsZero() {
		t.level = t.rate
	} else if d := now.Sub(t.last); d > 0 {
		t.level = min(t.level+d.Seconds()*t.rate, t.rate)
	}
	t.last = now
}

func (t *tokens) available(now time.Time) bool {
	t.refill(now)
	return t.level > 0
}

func (t *tokens) use(now time.Time, bytes float64) {
	t.refill(now)
	t.level -= bytes
}
