package consensus

import (
	"sync"
	"time"
)

// Limits of the comparison of both clocks.
const (
	clockWindow = time.Second
	// A wall clock that gains more than this in a window shows a pause that the
	// monotonic clock did not count. It is below the reserve of the leader lease.
	clockTolerance = 50 * time.Millisecond
)

// clock is a monotonic clock that does not stand still while its host is
// suspended: the system's monotonic clock may, and a leader would then hold on
// to a lease that has ended. A wall clock that is set forward only ends a lease early.
type clock struct {
	mu      sync.Mutex
	read    func() (mono, wall time.Duration)
	mono    time.Duration // at the start of the window
	wall    time.Duration
	skipped time.Duration
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

// now never decreases. It starts above 0, which stands for "no time" in messages.
func (c *clock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	mono, wall := c.read()
	if gained := (wall - c.wall) - (mono - c.mono); gained > clockTolerance {
		c.skipped += gained
		c.mono, c.wall = mono, wall
	} else if mono-c.mono > clockWindow {
		c.mono, c.wall = mono, wall
	}
	return mono + c.skipped + 1
}
