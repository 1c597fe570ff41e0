package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

const (
	// An upstream that was replaced or has crashed is cold for coldStart and takes coldPerSecond requests per second.
	coldStart     = 4 * time.Second
	coldPerSecond = 17
)

// coldPhase is a time in which an upstream was cold and its node could know it.
type coldPhase struct {
	node        int
	from, until time.Time
}

// coldPhases are those of a run.
type coldPhases struct {
	mu   sync.Mutex
	list []coldPhase
}

// all returns the phases that have begun.
func (c *coldPhases) all() []coldPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.list)
}

// begin records that the upstream of a node is cold from now until a time. It ends the phase before.
func (c *coldPhases) begin(node int, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(node)
	c.list = append(c.list, coldPhase{node: node, from: time.Now(), until: until})
}

// end ends the phase of a node now. The caller holds mu.
func (c *coldPhases) end(node int) {
	now := time.Now()
	for i := range c.list {
		if p := &c.list[i]; p.node == node && p.until.After(now) {
			p.until = now
		}
	}
}

// replaced records that the upstream of a node was replaced by one that is cold from now on. Nothing but its first announcement tells
// the node if the new process has the same instance id and the connections stay open; the phase then begins with that.
func (c *coldPhases) replaced(node int, sameID bool, until time.Time) {
	if !sameID {
		c.begin(node, until)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(node)
}

// coldViolations returns, for each phase, the second in which most requests arrived, if they are more than a cold upstream may get, and the
// highest number of all phases. Health probes count, answers with status 421 do not. The arrivals are in the order of their times.
func coldViolations(c clock, phases []coldPhase, arrivals []arrival) (out []string, most int) {
	allowed := coldPerSecond*platformtest.ColdExcess + platformtest.ColdSlack
	for _, p := range phases {
		var got []arrival
		for _, a := range arrivals {
			if a.node == p.node && !a.misdirected && !a.at.Before(p.from) && a.at.Before(p.until) {
				got = append(got, a)
			}
		}
		window, count := maxWindow(got, time.Second, false)
		most = max(most, count)
		if float64(count) > allowed {
			out = append(out, fmt.Sprintf("%d requests arrived at the upstream of node %d within 1s %s, %.1f are allowed; it is cold since %v before",
				count, p.node, c.at(window[0].at), allowed, window[0].at.Sub(p.from).Round(time.Millisecond)))
		}
	}
	return out, most
}
