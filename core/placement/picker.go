package placement

import (
	"math"
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/condition"
	"github.com/rattanfield/rattanfield/ports"
)

// Candidate is a node with an upstream of the wanted service and version.
type Candidate struct {
	Gate   string
	Slots  int
	Link   ports.Link
	Own    bool // the upstream on the host that asks
	Silent bool // control hosts do not hear from the node
	Cold   bool // the upstream is in its slow start
	// Condition of the upstream as its node told it to all.
	Condition condition.Condition
}

// Outcome of a request that was sent to a node.
type Outcome struct {
	Load        *admission.Load // as the node stated it
	Failed      bool            // the upstream failed, or its answer was lost
	Unreachable bool            // the node could not be reached
	Refused     bool            // the node did not run the request
	Latency     time.Duration
}

const (
	// priorOutcomes without a failure are assumed of a node, so that one failure among few requests
	// is not taken for a failing node.
	priorOutcomes   = 4.0
	failureHalfLife = 3 * time.Second // of counted outcomes, so that a node is tried again
	// firstDown is how long a node is avoided that could not be reached, doubled each time up to
	// maxDown; a check of the connection ends it earlier.
	firstDown = 250 * time.Millisecond
	maxDown   = 2 * time.Second
	// refusedHold avoids a node that has just refused a request for lack of room.
	refusedHold = 40 * time.Millisecond
	// remoteExplore of the requests may find out whether another region has room.
	remoteExplore = 0.02
	maxNodes      = 4096 // bounds the memory of nodes that are gone
)

type node struct {
	outstanding  int
	load         admission.Load
	loadAt       time.Time
	atReport     int     // outstanding when the load was stated
	outcomes     float64 // counted with failureHalfLife, at outcomesAt
	failures     float64 // of them
	outcomesAt   time.Time
	downUntil    time.Time
	downs        int
	refusedUntil time.Time
}

// Picker remembers how nodes answered. It is not safe for concurrent use.
type Picker struct {
	nodes map[string]*node
	// Averages by service over what nodes stated; they stand for nodes that stated nothing lately.
	averages map[string]*average
}

// New returns a picker without memory.
func New() *Picker {
	return &Picker{nodes: make(map[string]*node), averages: make(map[string]*average)}
}

func (p *Picker) node(gate string) *node {
	n := p.nodes[gate]
	if n == nil {
		if len(p.nodes) >= maxNodes {
			clear(p.nodes)
		}
		n = &node{}
		p.nodes[gate] = n
	}
	return n
}

// Ask describes a request that needs a node.
type Ask struct {
	Tried   func(gate string) bool
	Service string
	// Left is the time until the answer should be there; where that has passed, until it must.
	Left time.Duration
	// Kilobytes that the request and its answer are expected to have together.
	Kilobytes float64
	Priority  uint32 // 0 is the most urgent
	// Wait is how long the request may wait in a queue and still be answered in time, given
	// the time that the upstream takes. A node that recently stated a longer queue would
	// refuse it and is not asked.
	Wait func(service time.Duration) time.Duration
	// Random returns uniform numbers in [0,1).
	Random func() float64
}

// Pick returns the index of the cheapest candidate, or -1. Full tells that
// nodes were left out because their queues are too long.
func (p *Picker) Pick(now time.Time, candidates []Candidate, a Ask) (best int, full bool) {
	best, bestCost := -1, math.Inf(1)
	avg := p.average(a.Service)
	stay := p.servedInRegion(now, candidates, a) && a.Random() >= remoteExplore
	for i, c := range candidates {
		n := p.node(c.Gate)
		if a.Tried(c.Gate) || now.Before(n.downUntil) {
			continue
		}
		if stay && isRemote(c) && !n.hasRoom(now, c) {
			full = true
			continue
		}
		if n.wouldRefuse(now, c, a, avg) {
			full = true
			continue
		}
		if cost := n.cost(now, c, a, avg) + a.Random()*noise; cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, full
}

// servedInRegion reports a node of the own region that may take the request now or soon.
func (p *Picker) servedInRegion(now time.Time, candidates []Candidate, a Ask) bool {
	for _, c := range candidates {
		if !isRemote(c) && !a.Tried(c.Gate) && !now.Before(p.node(c.Gate).downUntil) {
			return true
		}
	}
	return false
}

func isRemote(c Candidate) bool { return !c.Own && c.Link == ports.LinkRemote }

func (n *node) failureRate(now time.Time) float64 {
	if n.failures == 0 {
		return 0
	}
	fade := n.fade(now)
	return n.failures * fade / (n.outcomes*fade + priorOutcomes)
}

func (n *node) fade(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(n.outcomesAt)) / float64(failureHalfLife))
}

func (n *node) count(now time.Time, failed bool) {
	fade := n.fade(now)
	n.outcomes, n.failures, n.outcomesAt = n.outcomes*fade+1, n.failures*fade, now
	if failed {
		n.failures++
	}
}

// Sent counts a request on its way to a node.
func (p *Picker) Sent(gate string) { p.node(gate).outstanding++ }

// Done takes the outcome of a request that Sent counted.
func (p *Picker) Done(now time.Time, gate, service string, o Outcome) {
	n := p.node(gate)
	n.outstanding = max(0, n.outstanding-1)
	if o.Load != nil {
		p.average(service).take(*o.Load)
		n.load, n.loadAt, n.atReport = *o.Load, now, n.outstanding
	}
	switch {
	case o.Unreachable:
		n.down(now)
		return
	case o.Refused && !o.Failed:
		n.refusedUntil = now.Add(refusedHold)
	default:
		n.count(now, o.Failed)
	}
	n.downs, n.downUntil = 0, time.Time{}
}

func (n *node) down(now time.Time) {
	if now.Before(n.downUntil) {
		return
	}
	n.downUntil = now.Add(min(firstDown<<min(n.downs, 8), maxDown))
	n.downs++
}

// Down returns the nodes that are avoided because they could not be reached.
func (p *Picker) Down(now time.Time) []string {
	var out []string
	for gate, n := range p.nodes {
		if now.Before(n.downUntil) {
			out = append(out, gate)
		}
	}
	return out
}

// Up notes that a node can be reached again.
func (p *Picker) Up(gate string) {
	if n := p.nodes[gate]; n != nil {
		n.downs, n.downUntil = 0, time.Time{}
	}
}
