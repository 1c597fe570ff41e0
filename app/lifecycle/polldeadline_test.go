package lifecycle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a healthy peer that counts as lost because each of its polls is replaced
// before the answer, and against a silent peer whose deadline each replacement extends.
func TestReplacedPollsShareOneLimit(t *testing.T) {
	is := is.New(t)
	const wait, timeout = time.Second, 600 * time.Millisecond
	var d PollDeadline
	start := time.Now()
	hold, first := d.Limits(start, wait, timeout)
	is.Equal(hold, wait)
	is.Equal(first, start.Add(wait+timeout))
	hold, deadline := d.Limits(start.Add(wait*9/10), wait, timeout)
	is.Equal(hold, wait/10) // the answer is due well before the deadline
	is.Equal(deadline, first)
	hold, deadline = d.Limits(start.Add(2*wait), wait, timeout)
	is.Equal(hold, time.Duration(0))
	is.Equal(deadline, first)
	d.Reset()
	_, deadline = d.Limits(start.Add(2*wait), wait, timeout)
	is.Equal(deadline, start.Add(3*wait+timeout))
}
