// Package drain decides which requests a stopping process still starts. A stop has three parts: until
// Stop.CloseAt callers are still learning of it, so requests are admitted as usual; from then on only those
// are admitted that cannot outlast the work in progress; and at Stop.EndAt every request has been answered.
// The package does no I/O and reads no clock.
package drain

import "time"

const (
	// endShare is the share of the time until the process is killed in which requests must end. The rest covers
	// the close of the connections and a process that waits for processor time.
	endShare = 0.92
	// maxCloseShare bounds the part in which requests are admitted as usual, so that in a short stop the last
	// ones have time to end.
	maxCloseShare = 0.4
	// answerTime is how long before Stop.EndAt an upstream must have answered: the way back to the caller
	// through another region, on links that queue.
	answerTime = 200 * time.Millisecond
	// callSlack is how much later than its parent a nested call may seem to expire. The upstream computes the time
	// limit of the call from the time at which it read the parent, and the call waits for processor time.
	callSlack = 100 * time.Millisecond
	// successorStart is the time from the end of a process until its successor accepts requests.
	successorStart = 700 * time.Millisecond
)

// Stop is the schedule of a planned stop.
type Stop struct {
	Begin   time.Time // the stop signal
	CloseAt time.Time // callers have learned of the stop
	EndAt   time.Time // every request has been answered
}

// NewStop returns the schedule of a stop that begins now, for a process that is killed after the bound. notice is
// the time that callers need to learn of the stop.
func NewStop(now time.Time, bound, notice time.Duration) Stop {
	return Stop{
		Begin:   now,
		CloseAt: now.Add(min(notice, time.Duration(maxCloseShare*float64(bound)))),
		EndAt:   now.Add(time.Duration(endShare * float64(bound))),
	}
}

// Request is a request that a stopping process has read.
type Request struct {
	Deadline time.Time     // its time limit
	Usual    time.Duration // time that requests of its kind take; 0: unknown
	// ParentDeadline is the latest time limit of the requests that may be its parent; the zero time if
	// there is none.
	ParentDeadline time.Time
}

// Admit reports whether a request is started, and the time limit that it then has. Before CloseAt it is started if it
// can end in time: by its time limit or, for a longer one, as its kind usually does. From CloseAt on it must
// besides be a nested call, by its time limit: a parent in progress fails without its calls, and they end with
// it. The time limit is the request's own or an earlier one, so that the upstream answers before the process ends
// and late requests do not prolong the stop.
func (s Stop) Admit(now time.Time, r Request) (limit time.Time, admitted bool) {
	latest := s.LatestAnswer()
	open := !Passed(now, s.CloseAt)
	fits := !r.Deadline.After(latest) || ((open || r.Usual > 0) && !Passed(now.Add(r.Usual), latest))
	if open {
		return s.Limit(r.Deadline), fits
	}
	nested := !r.Deadline.After(r.ParentDeadline.Add(callSlack))
	return s.Limit(earlier(r.Deadline, r.ParentDeadline)), nested && fits && !Passed(now, latest)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Passed reports whether a time limit has passed by the monotonic or by the wall clock. The monotonic
// clock excludes the time in which the host was suspended; if the wall clock is set forward, a
// permission only ends early.
func Passed(now, limit time.Time) bool {
	return !now.Before(limit) || !now.Round(0).Before(limit.Round(0))
}

// Limit returns a time limit that ends with the stop, so that the end of the process does not cut the request.
func (s Stop) Limit(deadline time.Time) time.Time { return earlier(deadline, s.LatestAnswer()) }

// LatestAnswer returns the time by which upstreams must have answered.
func (s Stop) LatestAnswer() time.Time { return s.EndAt.Add(-answerTime) }

// RetryAfter returns the time after which a rejected request can be sent again: when the work in progress, which
// usually takes this long, has ended and the successor of the process has started.
func (s Stop) RetryAfter(now time.Time, usual time.Duration) time.Duration {
	end := s.CloseAt.Add(usual)
	if end.Before(now) {
		end = now
	}
	if end.After(s.EndAt) {
		end = s.EndAt
	}
	return end.Add(successorStart).Sub(now)
}
