package soak

import (
	"fmt"
	"sync"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// checks records the observations of clients, upstreams and operators, and the
// guarantees that they show to be violated.
type checks struct {
	mu             sync.Mutex
	ran            map[string]int  // executions by request id
	rejectedWrites map[string]bool // ids of writes that were rejected as not run
	requests       int             // requests that clients sent
	answered       int             // requests with status 200
	acked          uint64          // highest number of an acknowledged plan
	violations     []string
}

func newChecks() *checks {
	return &checks{ran: make(map[string]int), rejectedWrites: make(map[string]bool)}
}

// addViolation records a violated guarantee. The caller holds mu.
func (c *checks) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordRun records that an upstream began to run a request.
func (c *checks) recordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[id]++
	if c.ran[id] > 1 && isWrite(id) {
		c.addViolation("request %s ran %d times", id, c.ran[id])
	}
	if c.rejectedWrites[id] {
		c.addViolation("request %s ran after it was rejected as not run", id)
	}
}

// writePrefix is the prefix of the ids of requests that may run at most once.
const writePrefix = "w-"

func isWrite(id string) bool {
	return len(id) > len(writePrefix) && id[:len(writePrefix)] == writePrefix
}

// recordAnswer records the answer that a client received. A rejection is recorded only for
// writes; of reads only the answer itself is checked, and a read with status 503 passes.
func (c *checks) recordAnswer(id string, a platformtest.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	switch {
	case a.Status == 200:
		c.answered++
		if !a.Signed || a.Body != "body-"+id {
			c.addViolation("request %s received an answer that is not its own: signed %v, body %q", id, a.Signed, a.Body)
		}
	case (a.Status == 429 || a.Status == 503) && isWrite(id):
		c.rejectedWrites[id] = true
		if c.ran[id] > 0 {
			c.addViolation("request %s was rejected as not run, but it had run", id)
		}
	case a.Status >= 400 && a.Status < 500:
		c.addViolation("request %s: status %d for an allowed request", id, a.Status)
	}
}

// recordAcknowledged records the number of a plan that a control host accepted.
func (c *checks) recordAcknowledged(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acked = max(c.acked, number)
}

// newestAcknowledged returns the highest number of an acknowledged plan.
func (c *checks) newestAcknowledged() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acked
}

// checkRead checks the plan number that a control host returned against before, the
// newest number that was acknowledged when the read began.
func (c *checks) checkRead(ip string, number, before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number < before {
		c.addViolation("control host %s returned plan %d after plan %d was acknowledged", ip, number, before)
	}
}

func (c *checks) counts() (requests, answered int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests, c.answered
}

func (c *checks) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}
