package proxy

import (
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
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
