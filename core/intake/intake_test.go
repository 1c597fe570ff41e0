package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against a queue that counts as standing although it was empty in between, and against one that goes on to reject then.
func TestOnlyAQueueThatStandsIsRejected(t *testing.T) {
	is := is.New(t)
	var q Queue
	is.True(!q.Rejects(at(time.Hour))) // nothing was accepted yet
	is.Equal(q.Accepted(at(0)), time.Duration(0))
	is.Equal(q.Accepted(at(40*time.Millisecond)), 40*time.Millisecond)
	is.True(!q.Rejects(at(MaxWait - 1)))
	is.True(q.Rejects(at(MaxWait)))
	q.Empty()
	is.True(!q.Rejects(at(time.Hour)))
	is.Equal(q.Accepted(at(time.Hour)), time.Duration(0))
}

// Guards against a share of served connections that depends on when the queue was empty.
func TestOneOfManyRejectedConnectionsIsServed(t *testing.T) {
	is := is.New(t)
	var q Queue
	served := 0
	for i := range 10 * servedEvery {
		if i%3 == 0 {
			q.Empty()
		}
		if q.ServesNext() {
			served++
		}
	}
	is.Equal(served, 10)
}
