package lifecycle

import "time"

// PollDeadline bounds how long a peer may leave long polls unanswered. Polls that
// replace an unanswered one share its deadline. The zero value is ready to use; it is
// not safe for concurrent use.
type PollDeadline struct{ firstPoll time.Time }

// Limits returns how long the peer may hold a poll that starts now, and the time at
// which the peer counts as lost if it has not answered. A poll that replaces an
// unanswered one does not extend the deadline of that one.
func (p *PollDeadline) Limits(now time.Time, wait, timeout time.Duration) (hold time.Duration, deadline time.Time) {
	if p.firstPoll.IsZero() {
		p.firstPoll = now
	}
	return max(0, wait-now.Sub(p.firstPoll)), p.firstPoll.Add(wait + timeout)
}

// Reset gives the next poll a full wait and timeout. It is called when the peer
// answered, when a poll failed and when another peer was chosen.
func (p *PollDeadline) Reset() { p.firstPoll = time.Time{} }
