// Package intake decides which connections of a listener are served and which are only rejected, when a process accepts them later than
// they arrive because it lacks processor time. No time limit counts while a connection waits to be accepted, and a queue that
// does not get shorter makes callers give up and come back, which makes it longer. A rejection costs a fraction of a request, so that
// the queue empties. The package reads no clock and does no I/O.
package intake

import "time"

// MaxWait is how long a queue may stand until its connections are only rejected. It is above the time slices in which an operating
// system shares a processor, and far below the time limits of callers.
const MaxWait = 100 * time.Millisecond

// servedEvery is the number of connections of a queue that is rejected, one of which is served: few enough to reject most in
// time, enough to use the upstreams while a queue never empties.
const servedEvery = 32

// Queue follows the connections that wait to be accepted. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	busySince time.Time // acceptance of the first connection since the queue was empty; zero: it is empty
	passed    int       // connections for which ServesNext was called
}

// Empty records that no connection waits.
func (q *Queue) Empty() { q.busySince = time.Time{} }

// Accepted records that a connection was accepted, and returns the longest time for which it can have waited behind others.
func (q *Queue) Accepted(now time.Time) (wait time.Duration) {
	if q.busySince.IsZero() {
		q.busySince = now
	}
	return now.Sub(q.busySince)
}

// Rejects reports whether the connections that wait are only to be rejected, until the queue is empty.
func (q *Queue) Rejects(now time.Time) bool {
	return !q.busySince.IsZero() && now.Sub(q.busySince) >= MaxWait
}

// ServesNext decides, for each connection of a queue that is rejected and whose client is still there, whether it is served all the same.
func (q *Queue) ServesNext() bool {
	q.passed++
	return q.passed%servedEvery == 0
}
