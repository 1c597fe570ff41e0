package soak

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// sending is a request of a client with its result.
type sending struct {
	id          string
	node        int // whose entry received it
	at, ended   time.Time
	status      int          // 0: no answer
	credentials *credentials // nil: the client sent no key
}

// arrival is a request that an upstream received.
type arrival struct {
	id, path     string
	node         int // of the upstream
	at           time.Time
	organisation string // as stated to the upstream
	hasKey       bool   // the upstream received a key
	health       bool   // it is a health probe
	misdirected  bool   // it expected another instance and did not run
}

// observations are the requests that clients sent and upstreams received.
type observations struct {
	mu       sync.Mutex
	sendings []sending
	arrivals []arrival
}

func (o *observations) recordSending(s sending) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sendings = append(o.sendings, s)
}

func (o *observations) recordArrival(a arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals = append(o.arrivals, a)
}

// all returns what was recorded, the arrivals in the order of their times.
func (o *observations) all() ([]sending, []arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	arrivals := slices.Clone(o.arrivals)
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return slices.Clone(o.sendings), arrivals
}

// ranSince reports whether the upstream of a node received a request that it ran since a time.
func (o *observations) ranSince(node int, since time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := len(o.arrivals) - 1; i >= 0; i-- {
		a := o.arrivals[i]
		if a.node == node && a.at.After(since) && !a.health && !a.misdirected {
			return true
		}
	}
	return false
}

// maxWindow returns the window with most of the given arrivals, which are in the order of their times. With distinct it counts
// arrivals of one request once.
func maxWindow(arrivals []arrival, length time.Duration, distinct bool) (most []arrival, count int) {
	inside, first := make(map[string]int), 0
	for i, a := range arrivals {
		inside[a.id]++
		for ; a.at.Sub(arrivals[first].at) >= length; first++ {
			if inside[arrivals[first].id]--; inside[arrivals[first].id] == 0 {
				delete(inside, arrivals[first].id)
			}
		}
		n := i + 1 - first
		if distinct {
			n = len(inside)
		}
		if n > count {
			most, count = arrivals[first:i+1], n
		}
	}
	return most, count
}

// nodesOf returns how many arrivals the upstream of each node received.
func nodesOf(arrivals []arrival) map[int]int {
	out := make(map[int]int)
	for _, a := range arrivals {
		out[a.node]++
	}
	return out
}
