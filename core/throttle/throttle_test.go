package throttle

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// Checks that all requests are sent while most are accepted.
func TestAcceptedRequestsAreNotThrottled(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		is.True(throttle.Offer(now, random.Float64()))
		throttle.Done(now, random.Float64() < 0.85)
	}
}

// Guards against uploads that are rejected because others are still being sent. Load: 60 that start within 0.6 s and end after it.
func TestRequestsBeingSentAreNoRejections(t *testing.T) {
	is := is.New(t)
	throttle := Throttle{CountAtEnd: true}
	for i := range 60 {
		is.True(throttle.Offer(start.Add(time.Duration(i)*10*time.Millisecond), 0))
	}
	for range 60 {
		throttle.Done(start.Add(time.Second), false)
	}
	is.True(!throttle.Offer(start.Add(time.Second), 0.5)) // their rejections count
}

// Guards against a service that receives many times the requests that it accepts, and against one
// that receives too few to use its capacity.
func TestSentRequestsStayNearTheAccepted(t *testing.T) {
	is := is.New(t)
	for i, capacity := range []float64{10, 40, 70, 10, 40, 70} { // accepted of 100 requests per second
		throttle := Throttle{CountAtEnd: i >= 3}
		random := rand.New(rand.NewPCG(1, 2))
		tokens, sent, accepted := 0.0, 0, 0
		for i := range 3000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			tokens = min(tokens+capacity/100, 5)
			if !throttle.Offer(now, random.Float64()) {
				continue
			}
			sent++
			runs := tokens >= 1
			throttle.Done(now, runs)
			if runs {
				tokens--
				accepted++
			}
		}
		is.True(float64(accepted) > 0.93*capacity*30)
		priorPerSecond := prior * math.Ln2 / halfLife.Seconds() // accepted requests of which prior is the decayed count
		is.True(float64(sent) < 1.1*sendRatio*(float64(accepted)+30*priorPerSecond))
	}
}

// Guards against requests that are rejected long after an overload has ended.
func TestThrottleEndsWithTheOverload(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
	for i := range 500 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if throttle.Offer(now, 0.5) {
			throttle.Done(now, false)
		}
	}
	is.True(throttle.RejectionProbability() > 0.8)
	random := rand.New(rand.NewPCG(1, 3))
	for i := range 400 {
		now := start.Add(5*time.Second + time.Duration(i)*10*time.Millisecond)
		if throttle.Offer(now, random.Float64()) {
			throttle.Done(now, true)
		}
	}
	is.Equal(throttle.RejectionProbability(), 0.0)
}

// Guards against ordinary requests that are rejected for long after a crowd has left, although upstreams are idle. Load: 2 s with
// 10,000 requests per second, of which 20 per second are accepted, and then 10 per second.
func TestThrottleEndsAfterACrowd(t *testing.T) {
	var th Throttle
	random := rand.New(rand.NewPCG(3, 3))
	now := start
	for i := range 20_000 {
		now = now.Add(100 * time.Microsecond)
		if th.Offer(now, random.Float64()) {
			th.Done(now, i%500 == 0)
		}
	}
	left := now
	rejected := 0
	for now.Sub(left) < 6*time.Second {
		now = now.Add(100 * time.Millisecond)
		if th.Offer(now, random.Float64()) {
			th.Done(now, true)
		} else if now.Sub(left) > 3*time.Second {
			rejected++
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 30 requests were rejected from 3 to 6 s after the crowd had left", rejected)
	}
}
