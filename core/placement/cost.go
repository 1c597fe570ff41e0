package placement

import (
	"math"
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/ports"
)

// Costs are fractions of the value of the request. Only the costs per kilobyte are fractions of the
// value of a request of the least urgent priority; cost divides them by the priorityValue.
const (
	// lateCost is the cost of an answer after the latency goal; the requirements of the traffic
	// classes value a late answer at 0.3 of a timely one.
	lateCost = 0.7
	// lateSteepness is the exponent of lateProbability. It fits the upper tail of the response
	// times in the requirements of the traffic classes, a log-normal with a sigma of 0.8.
	lateSteepness = 3
	// crossDomainCostPerKB is the cost of a kilobyte between failure domains;
	// crossRegionCostPerKB is added to it between regions.
	crossDomainCostPerKB = 0.025
	crossRegionCostPerKB = 0.09
	// failureCost is the cost at a failure rate of 1: the request is lost or retried.
	failureCost = 1.2
	// silentCost is the cost of a node from which control hosts receive no reports: it may be
	// cut off.
	silentCost = 0.5
	// rejectionCost is the cost of a rejection: the request is sent to another node, or answered late.
	rejectionCost = 0.5
	// timeCost is the cost per second of expected time. It prefers the faster of two nodes that
	// would both answer in time.
	timeCost = 0.1
	// hopCost is the cost of a second node on the path, which is its CPU time.
	hopCost = 0.01
	// noise is the range of a random cost that keeps nodes with the same view from choosing the
	// same target.
	noise = 0.02
)

const (
	// loadHalfLife is the half-life of a reported number of requests, which end within a few times
	// that.
	loadHalfLife = 400 * time.Millisecond
	// serviceHalfLife is the half-life of a reported service time. Without new reports, a node
	// that was slow is tried again after a few of them.
	serviceHalfLife = 2 * time.Second
	// loadMaxAge is the greatest age of a reported load that can exclude a node; with an older one,
	// a request is sent to find out.
	loadMaxAge = 150 * time.Millisecond
	// rejectionTolerance lets a request try a node whose queue is only slightly too long.
	rejectionTolerance   = 15 * time.Millisecond
	crossRegionRoundTrip = 40 * time.Millisecond // round trip between regions
	// freeSlotMaxAge is the greatest age of a reported free slot in another region, about the time
	// that a request takes there.
	freeSlotMaxAge = 300 * time.Millisecond
)

// priorityValue is the value of a request by priority, relative to one of the least urgent
// priority.
var priorityValue = [...]float64{3, 2, 1}

// hasFreeSlot reports whether a node has a free slot according to a report that is not older
// than freeSlotMaxAge, and is not in its rejectionPenaltyTime. When both regions are overloaded,
// a request that is sent to the other one only displaces another request there.
func (n *node) hasFreeSlot(now time.Time, c Candidate) bool {
	if now.Sub(n.loadAt) > freeSlotMaxAge {
		return false
	}
	return n.load.Running+n.load.Queued+n.outstanding-n.outstandingAtLoad < max(n.load.Slots, 1) && !now.Before(n.rejectionPenaltyUntil)
}

// predictsRejection reports whether the gate of a node would reject the request, judging by the
// load that it recently reported.
func (n *node) predictsRejection(now time.Time, c Candidate, req PickRequest, avg *average) bool {
	if req.MaxQueueWait == nil || now.Sub(n.loadAt) > loadMaxAge {
		return false
	}
	serviceTime, queueTime := n.expectedTimes(now, c, avg)
	serviceTime = req.ownServiceTime(serviceTime, avg)
	queueTime -= now.Sub(n.loadAt) // the queue has advanced since the report
	return queueTime+wayTime(c, req) > req.MaxQueueWait(serviceTime)+rejectionTolerance
}

// roundTrip returns the approximate round-trip time to a node.
func roundTrip(c Candidate) time.Duration {
	if isRemote(c) {
		return crossRegionRoundTrip
	}
	return 0
}

// wayTime returns the approximate time on the way to a node and back.
func wayTime(c Candidate, req PickRequest) time.Duration { return roundTrip(c) + transferTime(c, req) }

// transferTime returns the time that the bodies take on the link of the node that picks. It is 0 for its own upstream.
func transferTime(c Candidate, req PickRequest) time.Duration {
	if c.Own || req.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(req.Kilobytes * 8 / req.LinkMbps * float64(time.Millisecond))
}

// cost returns the expected cost of sending the request to the node, excluding noise.
func (n *node) cost(now time.Time, c Candidate, req PickRequest, avg *average) float64 {
	serviceTime, queueTime := n.expectedTimes(now, c, avg)
	serviceTime = req.ownServiceTime(serviceTime, avg)
	cost := lateCost*lateProbability(serviceTime, req.TimeLeft-queueTime-wayTime(c, req)) + timeCost*(serviceTime+queueTime+transferTime(c, req)).Seconds()
	cost += failureCost * max(n.failureRate(now), float64(c.Condition.Failing)/100)
	if !c.Own {
		cost += hopCost
	}
	if c.Silent {
		cost += silentCost
	}
	cost += rejectionCost * n.rejectionProbability(now, serviceTime, queueTime, c, req)
	return cost + transferCostPerKB(c)*req.Kilobytes/priorityValue[min(int(req.Priority), len(priorityValue)-1)]
}

// rejectionProbability returns the expected probability that the node rejects the request for
// lack of capacity: 1 in the rejectionPenaltyTime after it did not run one.
func (n *node) rejectionProbability(now time.Time, serviceTime, queueTime time.Duration, c Candidate, req PickRequest) float64 {
	if now.Before(n.rejectionPenaltyUntil) {
		return 1
	}
	if req.MaxQueueWait == nil {
		return 0
	}
	return admission.RejectionProbability(queueTime+wayTime(c, req), req.MaxQueueWait(serviceTime), req.Priority)
}

// transferCostPerKB returns the cost of a kilobyte on the path to a node, for a request of the
// least urgent priority.
func transferCostPerKB(c Candidate) float64 {
	switch {
	case c.Own || c.Link == ports.LinkDomain:
		return 0
	case c.Link == ports.LinkRegion:
		return crossDomainCostPerKB
	}
	return crossDomainCostPerKB + crossRegionCostPerKB
}

// lateProbability returns the expected fraction of answers that take longer than the time
// left, if they take the given mean time.
func lateProbability(mean, left time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	r := math.Pow(float64(mean)/float64(left), lateSteepness)
	return r / (1 + r)
}

// expectedTimes returns the expected time on the upstream and in its queue. As the last report
// of the node ages, the average over the nodes of the service gains weight against it.
func (n *node) expectedTimes(now time.Time, c Candidate, avg *average) (serviceTime, queueTime time.Duration) {
	slots := n.slots(c)
	mean := avg.serviceTime
	if reported := n.load.ServiceTime.Seconds(); reported > 0 {
		mean += (reported - mean) * math.Exp2(-float64(now.Sub(n.loadAt))/float64(serviceHalfLife))
	}
	serviceTime = max(time.Duration(mean*float64(time.Second)), c.Condition.Slow)
	ahead := max(0, n.busy(now, slots, avg)+1-float64(slots))
	return serviceTime, time.Duration(ahead/float64(slots)*float64(serviceTime)) + max(0, n.expectedTransit(now)-roundTrip(c))
}
