package placement

import (
	"math"
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/ports"
)

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
	// silentCost of a node that control hosts do not hear: it may be cut off.
	silentCost = 0.5
	// refusedCost of a refusal: the request is asked for again elsewhere, or comes back late.
	refusedCost = 0.5
	// slowCost per second of expected time prefers the faster one of two nodes that are both in time.
	slowCost = 0.1
	// hopCost of another node on the way: its processor time.
	hopCost = 0.01
	// noise keeps nodes with the same view from choosing the same target.
	noise = 0.02
)

const (
	// loadHalfLife of a stated number of requests: they end within a few times that.
	loadHalfLife = 400 * time.Millisecond
	// serviceHalfLife of a stated time of a request: without new statements a node that was slow is
	// tried again after a few of them.
	serviceHalfLife = 2 * time.Second
	// statedValid is how long a stated load decides that a node is not even asked; after that one
	// request finds out.
	statedValid = 150 * time.Millisecond
	// refuseSlack lets a request try a node whose queue is about as long as it may be.
	refuseSlack = 15 * time.Millisecond
	remoteTime  = 40 * time.Millisecond // round trip between regions
	// roomValid is how long a stated free slot in another region counts: about as long as a
	// request takes there.
	roomValid = 300 * time.Millisecond
)

// classWorth of the priorities; the class sheets of both deployments agree on it.
var classWorth = [...]float64{3, 2, 1}

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
	return admission.RejectionProbability(queue+linkTime(c), a.Wait(service), a.Priority)
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
