// Package placement picks the node that runs a request: the one where the
// request costs least in waiting time, distance and risk, as far as the node
// that asks can know. It does no I/O and reads no clock.
package placement

import (
	"math"
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
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
}

// Outcome of a request that was sent to a node.
type Outcome struct {
	Load        *admission.Load // as the node stated it
	Failed      bool            // the upstream failed, or its answer was lost
	Unreachable bool            // the node could not be reached
	Refused     bool            // the node did not run the request
	Latency     time.Duration
}

// Costs in terms of waiting time. Distance stands for the round trip and for
// what bytes cost between failure domains and, three to four times as much,
// between regions; waiting costs nothing while the answer comes in time.
const (
	ownCost    = 0
	domainCost = 4 * time.Millisecond
	regionCost = 45 * time.Millisecond
	remoteCost = 180 * time.Millisecond
	// failureCost at a failure rate of 1.
	failureCost = 1500 * time.Millisecond
	silentCost  = 800 * time.Millisecond
	// noise keeps nodes with the same view from choosing the same target.
	noise = 6 * time.Millisecond
)

const (
	failureWeight   = 0.12            // of one outcome in the failure rate
	failureHalfLife = 3 * time.Second // of the failure rate without new outcomes, so that a node is tried again
	loadHalfLife    = 400 * time.Millisecond
	firstDown       = 250 * time.Millisecond
	maxDown         = 2 * time.Second
	defaultService  = 50 * time.Millisecond
	// refusedHold avoids a node that has just refused a request for lack of room.
	refusedHold = 40 * time.Millisecond
	// statedValid is how long a stated load decides that a node is not even asked; after that one
	// request finds out.
	statedValid = 150 * time.Millisecond
	// refuseSlack lets a request try a node whose queue is about as long as it may be.
	refuseSlack = 15 * time.Millisecond
	remoteTime  = 40 * time.Millisecond
	// roomValid is how long a stated free slot in another region counts: about as long as a
	// request takes there.
	roomValid = 300 * time.Millisecond
	// remoteExplore of the requests may find out whether another region has room.
	remoteExplore = 0.02
	maxNodes      = 4096 // bounds the memory of nodes that are gone
)

type node struct {
	outstanding  int
	load         admission.Load
	loadAt       time.Time
	atReport     int // outstanding when the load was stated
	failures     float64
	failuresAt   time.Time
	downUntil    time.Time
	downs        int
	refusedUntil time.Time
}

// Picker remembers how nodes answered. It is not safe for concurrent use.
type Picker struct {
	nodes map[string]*node
}

// New returns a picker without memory.
func New() *Picker { return &Picker{nodes: make(map[string]*node)} }

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
	Tried func(gate string) bool
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
	best, bestCost := -1, time.Duration(math.MaxInt64)
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
		if n.wouldRefuse(now, c, a) {
			full = true
			continue
		}
		if cost := n.cost(now, c) + time.Duration(a.Random()*float64(noise)); cost < bestCost {
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

// hasRoom reports that a node recently stated a free slot. Under overload of
// both regions, a request that crosses between them only displaces another one.
func (n *node) hasRoom(now time.Time, c Candidate) bool {
	if now.Sub(n.loadAt) > roomValid {
		return false
	}
	return n.load.Running+n.load.Queued+n.outstanding-n.atReport < max(n.load.Slots, 1) && !now.Before(n.refusedUntil)
}

// wouldRefuse predicts the decision of a gate from what it recently stated.
func (n *node) wouldRefuse(now time.Time, c Candidate, a Ask) bool {
	if a.Wait == nil || now.Sub(n.loadAt) > statedValid {
		return false
	}
	service, queue := n.wait(now, c)
	queue -= now.Sub(n.loadAt) // what was stated has moved on
	return queue+linkTime(c) > a.Wait(service)+refuseSlack
}

// linkTime is the round trip to a node, roughly.
func linkTime(c Candidate) time.Duration {
	if isRemote(c) {
		return remoteTime
	}
	return 0
}

func (n *node) cost(now time.Time, c Candidate) time.Duration {
	cost := time.Duration(ownCost)
	switch {
	case c.Own:
	case c.Link == ports.LinkDomain:
		cost = domainCost
	case c.Link == ports.LinkRegion:
		cost = regionCost
	default:
		cost = remoteCost
	}
	if c.Silent {
		cost += silentCost
	}
	if now.Before(n.refusedUntil) {
		cost += refusedHold
	}
	service, queue := n.wait(now, c)
	return cost + service + queue + time.Duration(n.failureRate(now)*float64(failureCost))
}

// wait is the expected time on the upstream and in its queue.
func (n *node) wait(now time.Time, c Candidate) (service, queue time.Duration) {
	slots := max(1, c.Slots)
	service = defaultService
	if n.load.Slots > 0 {
		slots = n.load.Slots
	}
	if n.load.Service > 0 {
		service = n.load.Service
	}
	if c.Cold {
		slots = max(1, slots/2)
	}
	age := math.Exp2(-float64(now.Sub(n.loadAt)) / float64(loadHalfLife))
	stated := float64(n.load.Running+n.load.Queued)*age + float64(n.outstanding) - float64(n.atReport)*age
	busy := max(stated, float64(n.outstanding))
	// A request that finds a free slot still slows the others down a little.
	ahead := max(0, busy+1-float64(slots)) + 0.25*busy/float64(slots)
	return service, time.Duration(ahead / float64(slots) * float64(service))
}

func (n *node) failureRate(now time.Time) float64 {
	if n.failures == 0 {
		return 0
	}
	return n.failures * math.Exp2(-float64(now.Sub(n.failuresAt))/float64(failureHalfLife))
}

// Sent counts a request on its way to a node.
func (p *Picker) Sent(gate string) { p.node(gate).outstanding++ }

// Done takes the outcome of a request that Sent counted.
func (p *Picker) Done(now time.Time, gate string, o Outcome) {
	n := p.node(gate)
	n.outstanding = max(0, n.outstanding-1)
	if o.Load != nil {
		n.load, n.loadAt, n.atReport = *o.Load, now, n.outstanding
	}
	switch {
	case o.Unreachable:
		n.down(now)
		return
	case o.Refused && !o.Failed:
		n.refusedUntil = now.Add(refusedHold)
	default:
		rate, failed := n.failureRate(now), 0.0
		if o.Failed {
			failed = 1
		}
		n.failures, n.failuresAt = rate+failureWeight*(failed-rate), now
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
