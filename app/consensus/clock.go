package consensus

import (
	"sync"
	"time"
)

// Limits of the comparison between the wall clock and the monotonic clock.
const (
	clockWindow = time.Second
	// clockTolerance is the gain of the wall clock over the monotonic clock within a window
	// above which the difference counts as a suspension. It is smaller than the margin
	// between the leader lease and the election timeout.
	clockTolerance = 50 * time.Millisecond
)

// clock is a monotonic clock that includes the time during which the host is
// suspended. The monotonic clock of the operating system may exclude it, and a
// leader would then rely on a lease that has expired. If the wall clock is set
// forward, a lease only expires early.
type clock struct {
	mu        sync.Mutex
	read      func() (mono, wall time.Duration)
	mono      time.Duration // monotonic clock at the start of the window
	wall      time.Duration // wall clock at the start of the window
	suspended time.Duration
}

func newClock() *clock {
	start := time.Now()
	return newClockFrom(func() (time.Duration, time.Duration) {
		t := time.Now()
		return t.Sub(start), t.Round(0).Sub(start.Round(0))
	})
}

func newClockFrom(read func() (mono, wall time.Duration)) *clock {
	c := &clock{read: read}
	c.mono, c.wall = read()
	return c
}

// now returns the time since the clock was created. It never decreases, and is
// above 0, because 0 means "no time" in messages.
func (c *clock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	mono, wall := c.read()
	if gained := (wall - c.wall) - (mono - c.mono); gained > clockTolerance {
		c.suspended += gained
		c.mono, c.wall = mono, wall
	} else if mono-c.mono > clockWindow {
		c.mono, c.wall = mono, wall
	}
	return mono + c.suspended + 1
}
