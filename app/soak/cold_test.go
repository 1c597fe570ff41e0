package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a check of cold upstreams that passes although one gets too many requests in a second, and against one that counts
// requests to warm ones and answers with status 421.
func TestRequestsToColdUpstreamsAreAViolation(t *testing.T) {
	is := is.New(t)
	judge := func(from, to float64, arrivals []arrival) int {
		phases := []coldPhase{{node: 0, from: second(from), until: second(to)}, {node: 2, from: second(0), until: second(1)}}
		out, _ := coldViolations(clock{testStart}, phases, arrivals)
		return len(out)
	}
	at := func(rate float64, misdirected, health bool) (out []arrival) { // 8 s long
		for i := range int(8 * rate) {
			out = append(out, arrival{id: "r-1", at: second(10 + float64(i)/rate), misdirected: misdirected, health: health})
		}
		return out
	}
	is.Equal(judge(10, 18, at(33, false, false)), 0) // 33.5 are allowed
	is.Equal(judge(10, 18, at(34.5, false, false)), 1)
	is.Equal(judge(10, 18, at(34.5, false, true)), 1)
	is.Equal(judge(10, 18, at(34.5, true, false)), 0)
	is.Equal(judge(2, 10, at(34.5, false, false)), 0)
	is.Equal(judge(18, 22, at(34.5, false, false)), 0)
	is.Equal(judge(17.5, 22, at(34.5, false, false)), 0)
	is.Equal(judge(17.5, 22, at(100, false, false)), 1) // the last half second
}

// Guards against slow starts that are judged before a node can know them, and against ones that are not judged.
func TestColdPhases(t *testing.T) {
	is := is.New(t)
	var c coldPhases
	c.replaced(0, false, time.Now().Add(time.Hour))
	c.replaced(1, false, time.Now().Add(time.Hour))
	is.Equal(len(c.list), 2)
	c.replaced(0, true, time.Now().Add(time.Hour)) // unknown until the announcement
	is.Equal(len(c.list), 2)
	is.True(!c.list[0].until.After(time.Now()))
	is.True(c.list[1].until.After(time.Now()))
	c.begin(0, time.Now().Add(time.Hour))
	is.Equal(len(c.list), 3)
}
