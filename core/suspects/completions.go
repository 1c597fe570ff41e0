package suspects

import "time"

const (
	// completionMemory is how long a completed request is remembered at least, unless there are too many.
	completionMemory = 5 * time.Minute
	// maxCompletions bounds the requests of one generation; there are two.
	maxCompletions = 8192
)

// completions remembers the requests that completed recently. It forgets them by generations: the older one is dropped when
// the newer one is full or completionMemory old.
type completions struct {
	newer, older map[uint64]time.Time // time of the last completion by fingerprint
	begin        time.Time            // of the newer generation
}

func (c *completions) add(now time.Time, fingerprint uint64) {
	c.rotate(now)
	c.newer[fingerprint] = now
}

// last returns the time of the last completion of a request that is remembered.
func (c *completions) last(now time.Time, fingerprint uint64) (time.Time, bool) {
	c.rotate(now)
	if at, ok := c.newer[fingerprint]; ok {
		return at, true
	}
	at, ok := c.older[fingerprint]
	return at, ok
}

func (c *completions) rotate(now time.Time) {
	age := now.Sub(c.begin)
	if c.newer != nil && age < completionMemory && len(c.newer) < maxCompletions {
		return
	}
	c.older, c.newer, c.begin = c.newer, make(map[uint64]time.Time), now
	if age >= 2*completionMemory {
		c.older = nil
	}
}
