package loadgen

import (
	"net/http"
	"time"
)

// Outcome of a call as its caller sees it.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered" // whole response to this call
	Failed   Outcome = "failed"   // the upstream ran the request and answered with an error
	Rejected Outcome = "rejected" // surely not run
	Unknown  Outcome = "unknown"  // the system does not know whether it ran
	Lost     Outcome = "lost"     // no response at all
	Corrupt  Outcome = "corrupt"  // response of another call, or an incomplete one
)

// Values of HeaderRan.
const (
	ranRun     = "run"
	ranNotRun  = "not-run"
	ranUnknown = "unknown"
)

// Headers of the system that the caller reads or sets.
const (
	HeaderRan      = "X-Rattanfield-Ran"
	HeaderReason   = "X-Rattanfield-Reason"
	HeaderTenant   = "X-Rattanfield-Tenant"
	HeaderDeadline = "X-Rattanfield-Deadline-Ms"
	headerCallID   = "X-Rattanfield-Call-Id"
)

// Result of one call.
type Result struct {
	Token     string
	Tenant    string
	Route     string
	Entry     string
	Scheduled time.Time
	Sent      time.Time
	Finished  time.Time
	Outcome   Outcome
	Status    int
	Ran       string
	Reason    string
	Version   string
	Attempts  int
	Failovers int // attempts that found no listener or a stopping entry, so surely did nothing
	Err       error
	FirstLoss error // of an attempt that was repeated
	// Direct is the latency of the paired direct call; 0 means that there is none.
	Direct time.Duration
	// Resent is the outcome of the resend of a keyed call; empty means that there was none.
	Resent Outcome
	warmup bool
}

// Latency from sending to the last byte.
func (r *Result) Latency() time.Duration { return r.Finished.Sub(r.Sent) }

// classify tells the outcome of a response whose body was verified or not.
func classify(status int, ran string, verified error) Outcome {
	switch {
	case ran == ranNotRun:
		return Rejected
	case ran == ranUnknown:
		return Unknown
	case status >= http.StatusInternalServerError:
		return Failed
	case status >= http.StatusBadRequest:
		return Answered
	case verified != nil:
		return Corrupt
	default:
		return Answered
	}
}
