package proxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/throttle"
)

// throttleKey identifies the throttle of the request.
func (f *forwarding) throttleKey() throttleKey {
	return throttleKey{route: f.route.GetName(), service: f.service, version: f.versions.only, upload: f.info.upload}
}

// maxQueueWait returns the function that tells how long the request may wait in a queue. While few requests of its kind
// are rejected it may wait beyond its goal, as at a gate. The caller must hold the mutex of the entry.
func (f *forwarding) maxQueueWait(now time.Time) func(service time.Duration) time.Duration {
	patience := admission.Patience(f.entry.throttle(f.throttleKey()).RejectedShare())
	r := admission.Request{Goal: f.goal, Deadline: f.deadline, GoalDuration: time.Duration(f.route.GetGoalMs()) * time.Millisecond}
	return func(service time.Duration) time.Duration { return r.MaxWaitInPeak(now, service, patience) }
}

// retryAfter returns the Retry-After of a rejection. For lack of capacity it follows the backlog of the service and the
// number of clients that are to come back before this one.
func (f *forwarding) retryAfter(reason string) time.Duration {
	e := f.entry
	if reason != reasonOverload && !lacksCapacity(reason) {
		return e.randomRetryAfter()
	}
	now, key := time.Now(), f.throttleKey()
	left := f.deadline.Sub(now)
	if f.remaining > 0 {
		left = f.x.Received.Add(f.remaining).Sub(now)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.comebacks[key]
	if c == nil {
		if len(e.comebacks) >= maxRoutes {
			clear(e.comebacks)
		}
		c = &throttle.Comeback{}
		e.comebacks[key] = c
	}
	return c.After(now, e.picker.ExpectedWait(key.service), e.throttle(key).AcceptedPerSecond(), left, e.random.Float64())
}

// maxQuickBody is the size of a body up to which the time of a rejection tells how busy a link is: 10 ms on a link of
// 6 Mbit/s.
const maxQuickBody = 8 << 10

// waitedThere reports whether an attempt that did not run took longer than its way, because it was queued, reached the
// upstream or had a large body.
func (f *forwarding) waitedThere(a attempt) bool {
	switch a.reason {
	case reasonEvicted, reasonDeadline, reasonUpstreamNotRun:
		return true
	}
	return len(f.x.Request.Body()) > maxQuickBody
}

// learnServiceTime records how long the upstream took for the request. Failures often take another time.
func (f *forwarding) learnServiceTime(a attempt) {
	us, err := strconv.ParseInt(string(f.x.Response.Header.Peek(hopTook)), 10, 64)
	if err == nil && us > 0 && us < int64(maxMs)*1000 && a.ran == ranYes && a.status < fasthttp.StatusInternalServerError {
		f.entry.onUpstream.record(f.kind(), time.Duration(us)*time.Microsecond)
	}
}
