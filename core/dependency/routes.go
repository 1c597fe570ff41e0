// Package dependency rejects requests whose nested calls would go to a service that is overloaded. Nested calls of requests in
// progress go before others at the service that they call, because refusing one wastes the work of its parent. Without a
// limit on the parents they would displace more urgent requests there. The package does no I/O and reads no clock.
package dependency

import (
	"math"
	"time"
)

// Priorities is the number of priorities that are told apart; the last one stands for all less urgent ones.
const Priorities = 3

// Shares are the shares of the requests that a service rejects, from 0 to 1, by priority.
type Shares [Priorities]float64

const (
	// halfLife is the half-life of what was learned about a route while no nested call tells more.
	halfLife = time.Second
	// sampleWeight is the least weight of one nested call, and sampleTime the time that doubles the weight of one after a
	// pause, so that routes with few calls learn as fast.
	sampleWeight = 0.05
	sampleTime   = 250 * time.Millisecond
	// urgencyGain is by how much more the requests of a route are rejected for each priority that they are less urgent than the
	// requests that the called service rejects.
	urgencyGain = 1.5
	// gatesAsked is the number of gates that a request is offered to. What one gate rejects is mostly served by another while demand
	// is uneven, so the share of the requests that are rejected in the end is smaller than that of one gate.
	gatesAsked = 2
	// maxRejection leaves some requests, whose nested calls find out when the service has capacity again.
	maxRejection = 0.9
	// least is the rejection below which none applies: a few rejections are no overload.
	least     = 0.03
	maxRoutes = 4096 // bounds memory, since routes that no longer exist are not removed
)

type route struct {
	shares   Shares  // of the services that its nested calls go to, after the last call
	rejected float64 // share of the nested calls that were rejected or late themselves
	at       time.Time
}

// Routes holds what the nested calls of a node tell about the routes of their parents. The zero value knows no route. It is
// not safe for concurrent use.
type Routes struct{ known map[string]*route }

// Learn applies the end of a nested call: the shares that the called service rejects, and whether the call itself was
// rejected or late.
func (r *Routes) Learn(now time.Time, name string, s Shares, rejected bool) {
	x := r.known[name]
	if x == nil {
		if r.known == nil || len(r.known) >= maxRoutes {
			r.known = make(map[string]*route)
		}
		x = &route{at: now}
		r.known[name] = x
	}
	weight := max(sampleWeight, 1-math.Exp2(-float64(now.Sub(x.at))/float64(sampleTime)))
	for p := range s {
		x.shares[p] += weight * (s[p] - x.shares[p])
	}
	own := 0.0
	if rejected {
		own = 1
	}
	x.rejected, x.at = x.rejected+weight*(own-x.rejected), now
}

// Rejection returns the share of new requests of a route and a priority that should be rejected, from 0 to maxRejection: as
// large as that of requests of the same priority that the called service rejects in the end, and larger than that of more urgent
// ones.
func (r *Routes) Rejection(now time.Time, name string, priority int) float64 {
	x := r.known[name]
	if x == nil {
		return 0
	}
	rejection := x.rejected
	for p := range min(priority, Priorities-1) + 1 {
		rejection = max(rejection, math.Pow(x.shares[p], gatesAsked)*(1+urgencyGain*float64(priority-p)))
	}
	rejection *= math.Exp2(-float64(max(0, now.Sub(x.at))) / float64(halfLife))
	if rejection < least {
		return 0
	}
	return min(rejection, maxRejection)
}
