package loadgen

import (
	"net/http"
	"time"
)

// Outcome is the outcome of a call as its caller sees it.
type Outcome string

// The outcomes of a call.
const (
	Answered Outcome = "answered" // complete response to this call
	Failed   Outcome = "failed"   // the upstream ran the request and answered with an error
	Rejected Outcome = "rejected" // the system states that the request was not run
	Unknown  Outcome = "unknown"  // the system does not know whether the request was run
	Lost     Outcome = "lost"     // no response
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

// Result describes one call. Status, Ran, Reason and Version are those of the last response.
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
	Failovers int // attempts that reached no listener or a stopping entry, so that nothing was run
	Err       error
	FirstLoss error // of the first attempt whose outcome was Lost or Unknown
	// Direct is the latency of the paired direct call; 0 means that there is none.
	Direct time.Duration
	// Resent is the outcome of the resend of a keyed call; empty means that there was none.
	Resent Outcome
	warmup bool
}

// Latency returns the time from sending the first attempt to the end of the last one.
func (r *Result) Latency() time.Duration { return r.Finished.Sub(r.Sent) }

// classify returns the outcome of a response; verifyErr is the result of verifying its body.
func classify(status int, ran string, verifyErr error) Outcome {
	switch {
	case ran == ranNotRun:
		return Rejected
	case ran == ranUnknown:
		return Unknown
	case status >= http.StatusInternalServerError:
		return Failed
	case status >= http.StatusBadRequest:
		return Answered
	case verifyErr != nil:
		return Corrupt
	default:
		return Answered
	}
}
