// Package placement picks the node that runs a request: the one where the
// request costs least in waiting time, distance and risk, as far as the node
// that asks can know. It does no I/O and reads no clock.
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

// Costs are shares of what a request of the least urgent class is worth.
const (
	// lateCost is lost when an answer comes after the goal; the class sheets value a late answer at
	// 0.3 of a timely one.
	lateCost = 0.7
	// lateSteepness of the share of late answers over the ratio of the mean time to the time left:
	// the upper tail of the spread that the class sheets state (a log-normal of 0.8).
	lateSteepness = 3
	// regionKilobyte and remoteKilobyte are the prices of a kilobyte between failure domains and,
	// beside it, between regions.
	regionKilobyte = 0.025
	remoteKilobyte = 0.09
	// failureCost at a failure rate of 1: the request is lost or repeated.
	failureCost = 1.2
	silentCost  = 0.5
	// refusedCost of a refusal: the request is asked for again elsewhere, or comes back late.
	refusedCost = 0.5
	// slowCost per second of expected time prefers the faster one of two nodes that are both in time.
	slowCost = 0.1
	// hopCost of another node on the way: its processor time.
	hopCost = 0.01
	// noise keeps nodes with the same view from choosing the same target.
	noise = 0.02
)

// classWorth of the priorities; the class sheets of both deployments agree on it.
var classWorth = [...]float64{3, 2, 1}

const (
	// priorOutcomes without a failure are assumed of a node, so that one failure among few requests
	// is not taken for a failing node.
	priorOutcomes   = 4.0
	failureHalfLife = 3 * time.Second // of counted outcomes, so that a node is tried again
	loadHalfLife    = 400 * time.Millisecond
	// serviceHalfLife of a stated time of a request: without new statements a node that was slow is
	// tried again after a few of them.
	serviceHalfLife = 2 * time.Second
	firstDown       = 250 * time.Millisecond
	maxDown         = 2 * time.Second
	// averageWeight of one stated load in the averages over the nodes.
	averageWeight = 0.05
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

type average struct {
	service float64 // seconds; 0: none was stated yet
	busy    float64 // requests that run or wait, per slot
}

func (a *average) take(l admission.Load) {
	busy := float64(l.Running+l.Queued) / float64(max(1, l.Slots))
	a.busy += averageWeight * (busy - a.busy)
	switch {
	case l.Service <= 0:
	case a.service == 0:
		a.service = l.Service.Seconds()
	default:
		a.service += averageWeight * (l.Service.Seconds() - a.service)
	}
}

// New returns a picker without memory.
func New() *Picker {
	return &Picker{nodes: make(map[string]*node), averages: make(map[string]*average)}
}

func (p *Picker) average(service string) *average {
	a := p.averages[service]
	if a == nil {
		if len(p.averages) >= maxNodes {
			clear(p.averages)
		}
		a = &average{}
		p.averages[service] = a
	}
	return a
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

// hasRoom reports that a node recently stated a free slot. Under overload of
// both regions, a request that crosses between them only displaces another one.
func (n *node) hasRoom(now time.Time, c Candidate) bool {
	if now.Sub(n.loadAt) > roomValid {
		return false
	}
	return n.load.Running+n.load.Queued+n.outstanding-n.atReport < max(n.load.Slots, 1) && !now.Before(n.refusedUntil)
}

// wouldRefuse predicts the decision of a gate from what it recently stated.
func (n *node) wouldRefuse(now time.Time, c Candidate, a Ask, avg *average) bool {
	if a.Wait == nil || now.Sub(n.loadAt) > statedValid {
		return false
	}
	service, queue := n.wait(now, c, avg)
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

func (n *node) cost(now time.Time, c Candidate, a Ask, avg *average) float64 {
	service, queue := n.wait(now, c, avg)
	cost := lateCost*lateShare(service, a.Left-queue-linkTime(c)) + slowCost*(service+queue).Seconds()
	cost += failureCost * max(n.failureRate(now), float64(c.Condition.Failing)/100)
	if !c.Own {
		cost += hopCost
	}
	if c.Silent {
		cost += silentCost
	}
	cost += refusedCost * n.refusedShare(now, service, queue, c, a)
	return cost + crossing(c)*a.Kilobytes/classWorth[min(int(a.Priority), len(classWorth)-1)]
}

// refusedShare predicts how likely the node refuses the request for lack of room.
func (n *node) refusedShare(now time.Time, service, queue time.Duration, c Candidate, a Ask) float64 {
	if now.Before(n.refusedUntil) {
		return 1
	}
	if a.Wait == nil {
		return 0
	}
	return admission.RefusedShare(queue+linkTime(c), a.Wait(service), a.Priority)
}

// crossing is the price of a kilobyte on the way to a node.
func crossing(c Candidate) float64 {
	switch {
	case c.Own || c.Link == ports.LinkDomain:
		return 0
	case c.Link == ports.LinkRegion:
		return regionKilobyte
	}
	return regionKilobyte + remoteKilobyte
}

// lateShare is the expected share of answers that take longer than the time that
// is left, where they take the mean time on average.
func lateShare(mean, left time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	r := math.Pow(float64(mean)/float64(left), lateSteepness)
	return r / (1 + r)
}

// wait is the expected time on the upstream and in its queue. What a node stated
// gives way, as it ages, to the average of the service's nodes.
func (n *node) wait(now time.Time, c Candidate, avg *average) (service, queue time.Duration) {
	slots := max(1, c.Slots)
	if n.load.Slots > 0 {
		slots = n.load.Slots
	}
	mean := avg.service
	if stated := n.load.Service.Seconds(); stated > 0 {
		mean += (stated - mean) * math.Exp2(-float64(now.Sub(n.loadAt))/float64(serviceHalfLife))
	}
	service = max(time.Duration(mean*float64(time.Second)), c.Condition.Slow)
	if c.Cold {
		slots = max(1, slots/2)
	}
	age := math.Exp2(-float64(now.Sub(n.loadAt)) / float64(loadHalfLife))
	stated := float64(n.load.Running+n.load.Queued-n.atReport)*age + avg.busy*float64(slots)*(1-age) + float64(n.outstanding)
	busy := max(stated, float64(n.outstanding))
	ahead := max(0, busy+1-float64(slots))
	return service, time.Duration(ahead / float64(slots) * float64(service))
}

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
