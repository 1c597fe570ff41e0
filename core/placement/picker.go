package placement

import (
	"math"
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/condition"
	"github.com/rattanfield/rattanfield/ports"
)

// Candidate is a node with an upstream of the requested service and version.
type Candidate struct {
	Gate   string     // address of the node's gate, which identifies the node
	Slots  int        // most requests that the upstream runs at the same time
	Link   ports.Link // path to the node
	Own    bool       // the upstream of the node that picks
	Silent bool       // control hosts receive no reports from the node
	Cold   bool       // the upstream is in its slow start
	// Condition is the condition of the upstream that its node published.
	Condition condition.Condition
}

// Outcome is the outcome of a request that was sent to a node.
type Outcome struct {
	Load   *admission.Load // the load that the node reported; nil: none
	Failed bool            // the upstream failed or shed the request, or no answer arrived
	// Unavailable is set if the node could not be reached, has no upstream or is stopping.
	Unavailable bool
	// NotRun is set if the node did not run the request, such as for lack of capacity.
	NotRun  bool
	Latency time.Duration
	// Waited is set if Latency includes more than the way to the node and back although the node did not run the request,
	// such as a wait in the queue or a large body.
	Waited bool
}

const (
	// priorOutcomes is the number of successful requests that are assumed of a node, so that one
	// failure among few requests does not make it a failing node.
	priorOutcomes   = 4.0
	failureHalfLife = 3 * time.Second // of counted outcomes, so that a failing node is tried again
	// minAvoidTime is how long a node is not picked after it was unavailable. It doubles each time
	// up to maxAvoidTime; a successful check of the connection ends it earlier.
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = 2 * time.Second
	// rejectionPenaltyTime is how long a node is expected to reject every request after it did not
	// run one, mostly for lack of capacity. In this time a node in this region costs rejectionCost
	// more but can be picked; one in another region counts as having no free slot.
	rejectionPenaltyTime = 40 * time.Millisecond
	// crossRegionExploreShare is the fraction of requests that may be sent to another region to
	// find out whether it has free slots.
	crossRegionExploreShare = 0.02
	maxNodes                = 4096 // bounds the memory for nodes that no longer exist
)

// node is what the picker knows about a node from the outcomes of requests.
type node struct {
	outstanding           int            // requests that this picker sent and that have not ended
	load                  admission.Load // last reported load
	loadAt                time.Time      // when it was reported
	outstandingAtLoad     int            // value of outstanding when the load was reported
	outcomes              float64        // decayed with failureHalfLife, as of outcomesAt
	failures              float64        // of them
	outcomesAt            time.Time
	avoidUntil            time.Time // not picked until then, because it was unavailable
	unavailableCount      int       // times that avoidUntil was set since the node was last available
	rejectionPenaltyUntil time.Time
	transit               time.Duration // time of the last rejection on its way to the node and back, or of a faster answer
	transitAt             time.Time
}

// Picker picks nodes for requests by the outcomes of earlier ones. It is not safe for
// concurrent use.
type Picker struct {
	nodes map[string]*node // by gate
	// averages are the average loads by service, used for nodes without a recent report.
	averages map[string]*average
	// IgnoreBusy omits busyCost, for simulations that compare with it.
	IgnoreBusy bool
}

// New returns a picker that knows no outcomes.
func New() *Picker {
	return &Picker{nodes: make(map[string]*node), averages: make(map[string]*average)}
}

// node returns what is known about a node. Beyond maxNodes, everything known is discarded.
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

// PickRequest describes a request for which a node is picked.
type PickRequest struct {
	Tried   func(gate string) bool // reports whether the request was sent to a gate before; those are skipped
	Service string
	// TimeLeft is the time until the latency goal or, if that has passed, until the deadline.
	TimeLeft time.Duration
	// ServiceTime is the mean time of this kind of request on the upstreams; 0: that of all requests.
	ServiceTime time.Duration
	// Kilobytes is the expected size of the request and its answer together.
	Kilobytes float64
	// LinkMbps is the rate in Mbit/s at which the node that picks sends and receives; 0: unknown.
	LinkMbps float64
	Priority uint32 // 0 is the most urgent
	// MaxQueueWait returns how long the request may wait in a queue and still be answered in
	// time, given the time that the upstream takes. A node that recently reported a longer queue
	// would reject it and is skipped. Nil: unknown.
	MaxQueueWait func(serviceTime time.Duration) time.Duration
	// Random returns uniform numbers in [0,1).
	Random func() float64
}

// Pick returns the index of the candidate with the lowest cost, or -1 if there is none. full
// reports whether nodes were skipped because their queues are too long or, in another region,
// because they have no free slot. While a node in this region is available, all but
// crossRegionExploreShare of the requests go to another region only for a free slot.
func (p *Picker) Pick(now time.Time, candidates []Candidate, req PickRequest) (best int, full bool) {
	best, bestCost := -1, math.Inf(1)
	avg := p.average(req.Service)
	stayInRegion := p.availableInRegion(now, candidates, req) && req.Random() >= crossRegionExploreShare
	for i, c := range candidates {
		n := p.node(c.Gate)
		if req.Tried(c.Gate) || now.Before(n.avoidUntil) {
			continue
		}
		if stayInRegion && isRemote(c) && !n.hasFreeSlot(now, c) {
			full = true
			continue
		}
		if n.predictsRejection(now, c, req, avg) {
			full = true
			continue
		}
		cost := n.cost(now, c, req, avg) + req.Random()*noise
		if !p.IgnoreBusy {
			cost += req.busyCost() * n.busyCostFactor(now, c, avg)
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, full
}

// availableInRegion reports whether a node in this region is not tried yet and not avoided.
func (p *Picker) availableInRegion(now time.Time, candidates []Candidate, req PickRequest) bool {
	for _, c := range candidates {
		if !isRemote(c) && !req.Tried(c.Gate) && !now.Before(p.node(c.Gate).avoidUntil) {
			return true
		}
	}
	return false
}

// isRemote reports whether a node is in another region.
func isRemote(c Candidate) bool { return !c.Own && c.Link == ports.LinkRemote }

// failureRate returns the decayed rate of failed outcomes, from 0 to 1.
func (n *node) failureRate(now time.Time) float64 {
	if n.failures == 0 {
		return 0
	}
	decay := n.decay(now)
	return n.failures * decay / (n.outcomes*decay + priorOutcomes)
}

// decay returns the factor by which counted outcomes have decayed since outcomesAt.
func (n *node) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(n.outcomesAt)) / float64(failureHalfLife))
}

func (n *node) countOutcome(now time.Time, failed bool) {
	decay := n.decay(now)
	n.outcomes, n.failures, n.outcomesAt = n.outcomes*decay+1, n.failures*decay, now
	if failed {
		n.failures++
	}
}

// Sent records that a request is sent to a node.
func (p *Picker) Sent(gate string) { p.node(gate).outstanding++ }

// Done records the outcome of a request for which Sent was called.
func (p *Picker) Done(now time.Time, gate, service string, o Outcome) {
	n := p.node(gate)
	n.outstanding = max(0, n.outstanding-1)
	if o.Load != nil {
		p.average(service).add(*o.Load)
		n.load, n.loadAt, n.outstandingAtLoad = *o.Load, now, n.outstanding
	}
	n.recordTransit(now, o)
	switch {
	case o.Unavailable:
		n.markUnavailable(now)
		return
	case o.NotRun && !o.Failed:
		n.rejectionPenaltyUntil = now.Add(rejectionPenaltyTime)
	default:
		n.countOutcome(now, o.Failed)
	}
	n.unavailableCount, n.avoidUntil = 0, time.Time{}
}

// Abandoned ends a request for which Sent was called and that tells nothing about the node.
func (p *Picker) Abandoned(gate string) {
	n := p.node(gate)
	n.outstanding = max(0, n.outstanding-1)
}

// markUnavailable starts or extends the time in which the node is avoided. While it is avoided,
// further outcomes of concurrent requests change nothing.
func (n *node) markUnavailable(now time.Time) {
	if now.Before(n.avoidUntil) {
		return
	}
	n.avoidUntil = now.Add(min(minAvoidTime<<min(n.unavailableCount, 8), maxAvoidTime))
	n.unavailableCount++
}

// UnavailableGates returns the gates of the nodes that are avoided because they were unavailable.
func (p *Picker) UnavailableGates(now time.Time) []string {
	var out []string
	for gate, n := range p.nodes {
		if now.Before(n.avoidUntil) {
			out = append(out, gate)
		}
	}
	return out
}

// MarkReachable records that a connection to a node succeeded, so that it can be picked again.
func (p *Picker) MarkReachable(gate string) {
	if n := p.nodes[gate]; n != nil {
		n.unavailableCount, n.avoidUntil = 0, time.Time{}
	}
}
