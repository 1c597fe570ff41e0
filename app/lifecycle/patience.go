package lifecycle

import "time"

// PollDeadline bounds how long a peer may leave polls unanswered, also when new polls
// take the place of unanswered ones. The zero value is ready; it is not safe for
// concurrent use.
type PollDeadline struct{ since time.Time }

// Limits of a poll that begins now: how long the peer may hold it, and when it is
// lost if it has not answered. A poll that takes the place of one that was not
// answered gets no more time than that one had.
func (p *PollDeadline) Limits(now time.Time, wait, timeout time.Duration) (hold time.Duration, lost time.Time) {
	if p.since.IsZero() {
		p.since = now
	}
	return max(0, wait-now.Sub(p.since)), p.since.Add(wait + timeout)
}

// Reset ends the wait; so does a failure, or the choice of another peer.
func (p *PollDeadline) Reset() { p.since = time.Time{} }
