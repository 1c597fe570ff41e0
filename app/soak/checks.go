package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// checks records the observations of clients, upstreams and operators, and the
// guarantees that they show to be violated.
type checks struct {
	mu         sync.Mutex
	ran        map[string]int  // executions by request id
	rejected   map[string]bool // ids of requests that were rejected as not run
	requests   int             // requests that clients sent
	answered   int             // requests with status 200
	acked      uint64          // highest number of an acknowledged plan
	violations []string
	clock      clock
}

func newChecks() *checks {
	return &checks{ran: make(map[string]int), rejected: make(map[string]bool), clock: clock{start: time.Now()}}
}

// setClock sets the clock of the violations that are found from now on.
func (c *checks) setClock(of clock) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock = of
}

// addViolation records a guarantee that was found to be violated now. The caller holds mu.
func (c *checks) addViolation(format string, args ...any) {
	c.violations = append(c.violations, c.clock.at(time.Now())+": "+fmt.Sprintf(format, args...))
}

// add is addViolation for callers that do not hold mu.
func (c *checks) add(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *checks) addViolations(texts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, texts...)
}

// recordRun records that the upstream of a node began to run a request.
func (c *checks) recordRun(id string, node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[id]++
	if c.ran[id] > 1 && isWrite(id) {
		c.addViolation("request %s ran %d times, the last time at the upstream of node %d", id, c.ran[id], node)
	}
	if c.rejected[id] {
		c.addViolation("request %s ran at the upstream of node %d after it was rejected as not run", id, node)
	}
}

// writePrefix is the prefix of the ids of requests that may run at most once.
const writePrefix = "w-"

func isWrite(id string) bool {
	return len(id) > len(writePrefix) && id[:len(writePrefix)] == writePrefix
}

// isRejection reports whether a status says that the request did not run and will not run.
func isRejection(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordAnswer records the answer that a client received from a node; status 0 stands for none.
func (c *checks) recordAnswer(id string, node int, a platformtest.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if isRejection(a.Status) && !a.Signed {
		c.rejected[id] = true
		if c.ran[id] > 0 {
			c.addViolation("request %s to node %d was rejected as not run with status %d, but it had run", id, node, a.Status)
		}
	}
	switch {
	case a.Status == http.StatusOK:
		c.answered++
		if !a.Signed || a.Body != "body-"+id {
			c.addViolation("request %s to node %d received an answer that is not its own: signed %v, body %q", id, node, a.Signed, a.Body)
		}
	case a.Status == http.StatusTooManyRequests && isWrite(id):
	case isKeyed(id): // see keyCheck
	case a.Status >= 400 && a.Status < 500:
		c.addViolation("request %s to node %d: status %d for an allowed request", id, node, a.Status)
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
