package lifecycle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a healthy peer that counts as lost because each poll is replaced
// before it is answered, and against a silent one that never does.
func TestReplacedPollsShareOneLimit(t *testing.T) {
	is := is.New(t)
	const wait, timeout = time.Second, 600 * time.Millisecond
	var p PollDeadline
	start := time.Now()
	hold, lost := p.Limits(start, wait, timeout)
	is.Equal(hold, wait)
	is.Equal(lost, start.Add(wait+timeout))
	hold, again := p.Limits(start.Add(wait*9/10), wait, timeout)
	is.Equal(hold, wait/10) // answered well before it counts as lost
	is.Equal(again, lost)
	hold, again = p.Limits(start.Add(2*wait), wait, timeout)
	is.Equal(hold, time.Duration(0))
	is.Equal(again, lost)
	p.Reset()
	_, again = p.Limits(start.Add(2*wait), wait, timeout)
	is.Equal(again, start.Add(3*wait+timeout))
}
