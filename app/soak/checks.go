package soak

import (
	"fmt"
	"sync"

	"github.com/rattanfield/rattanfield/platform/standin"
)

// checks collects what clients, upstreams and operators see.
type checks struct {
	mu       sync.Mutex
	ran      map[string]int  // by request id
	refused  map[string]bool // answered as not run
	asked    int
	answered int
	acked    uint64 // highest acknowledged plan
	broken   []string
}

func newChecks() *checks {
	return &checks{ran: make(map[string]int), refused: make(map[string]bool)}
}

func (c *checks) fail(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// run notes that an upstream began a request.
func (c *checks) run(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[id]++
	if c.ran[id] > 1 && isWrite(id) {
		c.fail("request %s ran %d times", id, c.ran[id])
	}
	if c.refused[id] {
		c.fail("request %s ran after its refusal", id)
	}
}

// writePrefix begins the ids of requests that may run once at most.
const writePrefix = "w-"

func isWrite(id string) bool {
	return len(id) > len(writePrefix) && id[:len(writePrefix)] == writePrefix
}

// answer notes what a client got.
func (c *checks) answer(id string, a standin.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	switch {
	case a.Status == 200:
		c.answered++
		if !a.Signed || a.Body != "body-"+id {
			c.fail("request %s: an answer that is not its own: signed %v, body %q", id, a.Signed, a.Body)
		}
	case (a.Status == 429 || a.Status == 503) && isWrite(id):
		c.refused[id] = true
		if c.ran[id] > 0 {
			c.fail("request %s was refused as not run, and ran", id)
		}
	case a.Status >= 400 && a.Status < 500:
		c.fail("request %s: status %d for an allowed request", id, a.Status)
	}
}

// acknowledged notes an accepted plan.
func (c *checks) acknowledged(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acked = max(c.acked, number)
}

func (c *checks) newest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acked
}

// read notes the number that a control host answered with, asked when a plan was acknowledged.
func (c *checks) read(ip string, number, before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number < before {
		c.fail("%s read plan %d after %d was acknowledged", ip, number, before)
	}
}

func (c *checks) counts() (asked, answered int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked, c.answered
}

func (c *checks) problems() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}
