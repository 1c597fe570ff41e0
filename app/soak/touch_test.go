package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// testStart is the start of the runs of these tests. Their times are seconds since then, and nodes are in touch from touchTime on.
var testStart = time.Unix(1_000_000, 0)

func second(s float64) time.Time { return testStart.Add(time.Duration(s * float64(time.Second))) }

func newTestTouch() *touch {
	t := &touch{controls: 4}
	t.record(false, []int{0, 1, 2, 3}, time.Time{}, testStart)
	return t
}

// Guards against checks that excuse nodes in touch, and against ones that accuse others.
func TestInTouch(t *testing.T) {
	is := is.New(t)
	c := newTestTouch()
	is.True(!c.inTouch(0, second(3.9), second(3.9))) // it has just started
	is.True(c.inTouch(0, second(4.1), second(20)))
	c.record(false, []int{1}, second(30), second(31))
	is.True(c.inTouch(1, second(20), second(29.9)))
	is.True(!c.inTouch(1, second(20), second(30.1)))
	is.True(!c.inTouch(1, second(34.9), second(34.9)))
	is.True(c.inTouch(1, second(35.1), second(35.1)))
	is.True(c.inTouch(0, second(31), second(31)))
	c.record(true, []int{2}, second(40), second(50)) // a majority is left
	is.True(c.inTouch(0, second(45), second(60)))
	c.record(true, []int{1}, second(49), second(52))
	is.True(c.inTouch(0, second(45), second(48.9)))
	is.True(!c.inTouch(0, second(45), second(51)))
	is.True(!c.inTouch(0, second(53.9), second(53.9)))
	is.True(c.inTouch(0, second(54.1), second(54.1)))
	is.Equal(c.deadline(second(60), applyBound), second(62.5))
	d := &timerDelays{history: []timerDelay{{second(59), time.Second}, {second(61), minStall}, {second(61.5), minStall - 1}, {second(63), time.Second}}}
	c.delays = d.stalls
	is.Equal(c.deadline(second(60), applyBound), second(62.5).Add(minStall))
}
