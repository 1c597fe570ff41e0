package placement

import (
	"math"
	"time"
)

const (
	// busyCost is the cost of a node all of whose slots are busy, beyond that of the expected wait. Without it, a node with
	// one free slot costs as little as an idle one, so that requests leave a failure domain only when queues have formed.
	busyCost = 0.2
	// busySteepness is the exponent by which busyCost grows with the share of busy slots. With 4, nearly three times as
	// many bytes crossed between failure domains in calm (TestWorkMovesBeforeQueuesForm), at no gain under load.
	busySteepness = 8
)

// smallKilobytes is the size of a request with its answer from which on busyCost decreases. A large one needs more time on the
// links to another node than the small ones that its move makes room for.
const smallKilobytes = 16

// busyCost returns the cost of a node all of whose slots are busy for this request.
func (r PickRequest) busyCost() float64 { return busyCost / max(1, r.Kilobytes/smallKilobytes) }

// slots returns the number of requests that the node runs at the same time.
func (n *node) slots(c Candidate) int {
	slots := max(1, c.Slots)
	if n.load.Slots > 0 {
		slots = n.load.Slots
	}
	if c.Cold {
		slots = max(1, slots/2)
	}
	return slots
}

// busy returns the expected number of running and queued requests. As the last report of the node ages, the average
// over the nodes of the service gains weight against it.
func (n *node) busy(now time.Time, slots int, avg *average) float64 {
	freshness := math.Exp2(-float64(now.Sub(n.loadAt)) / float64(loadHalfLife))
	reported := float64(n.load.Running+n.load.Queued-n.outstandingAtLoad)*freshness + avg.busy*float64(slots)*(1-freshness) + float64(n.outstanding)
	return max(reported, float64(n.outstanding))
}

// busyCostFactor grows from 0 to 1 as the slots of the node become busy.
func (n *node) busyCostFactor(now time.Time, c Candidate, avg *average) float64 {
	slots := n.slots(c)
	share := min(1, n.busy(now, slots, avg)/float64(slots))
	return math.Pow(share, busySteepness)
}

// ownServiceTime returns the expected time of the request on a node on which all requests take a mean time.
func (r PickRequest) ownServiceTime(mean time.Duration, avg *average) time.Duration {
	if r.ServiceTime <= 0 || avg.serviceTime <= 0 {
		return mean
	}
	return time.Duration(float64(mean) * r.ServiceTime.Seconds() / avg.serviceTime)
}
