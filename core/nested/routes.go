package nested

import "math"

const (
	// averageWeight is the weight of a new request in the averages of a route: about the last 500 count. With them,
	// the difference of two equal averages stays within 0.05 of 0.
	averageWeight = 1.0 / 500
	// minRequests is the number of requests from which on the averages are used.
	minRequests = 20
	// standardErrors is the number of standard errors by which the share of nested calls must exceed the least share.
	standardErrors = 2
	// mainlyNested is the least share of nested calls with which every possible match on the route counts, and
	// partlyNested the one with which a close match does.
	mainlyNested = 0.5
	partlyNested = 0.2
	maxRoutes    = 4096 // bounds memory, since routes that no longer exist are not removed
)

// route holds averages over the requests of one route.
type route struct{ requests, close, coincidence float64 }

// Routes estimates for each route the share of nested calls among the requests from the host of the node. The zero value knows
// no route. It is not safe for concurrent use.
type Routes struct{ known map[string]*route }

// Recognise counts a request of a route, and reports whether it is taken for a nested call.
func (r *Routes) Recognise(name string, m Match) bool {
	x := r.known[name]
	if x == nil {
		if r.known == nil || len(r.known) >= maxRoutes {
			r.known = make(map[string]*route)
		}
		x = &route{}
		r.known[name] = x
	}
	x.requests++
	weight := max(averageWeight, 1/x.requests)
	x.close += weight * (indicator(m.close) - x.close)
	x.coincidence += weight * (indicator(m.coincidence) - x.coincidence)
	return (m.possible && x.exceeds(mainlyNested)) || (m.close && x.exceeds(partlyNested))
}

// exceeds reports whether the share of nested calls surely exceeds a share. Calls match closely, and other requests
// match as often as they match by coincidence: close = share + (1-share) * coincidence.
func (x *route) exceeds(share float64) bool {
	if x.requests < minRequests {
		return false
	}
	variance := (x.close*(1-x.close) + x.coincidence*(1-x.coincidence)) / min(x.requests, 2/averageWeight)
	return x.close-x.coincidence-standardErrors*math.Sqrt(variance) > share*(1-x.coincidence)
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
