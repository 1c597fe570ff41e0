package proxy

import (
	"sync"
	"time"
)

// clientWaits estimates how long clients have already waited before a request. It
// learns for each route the full time that clients wait, from the longest remaining
// time that they state. If a client states less, it has spent the difference on
// earlier attempts that were rejected or lost.
type clientWaits struct {
	mu               sync.Mutex
	longestRemaining map[string]time.Duration // by route
}

const (
	maxRoutes = 4096 // bounds memory, since routes that no longer exist are not removed
	// longestDecay lowers a longest time that was an exception: each request removes a thousandth of
	// the difference.
	longestDecay = 1000
	// waitTolerance is the difference that rounding and the transfer to the node may cause.
	waitTolerance = 10 * time.Millisecond
)

// waited returns how long the client has waited before this request with the given remaining time.
func (w *clientWaits) waited(route string, remaining time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longestRemaining := w.longestRemaining[route]
	if remaining >= longestRemaining {
		if len(w.longestRemaining) >= maxRoutes {
			clear(w.longestRemaining)
		}
		w.longestRemaining[route] = remaining
		return 0
	}
	w.longestRemaining[route] = longestRemaining - (longestRemaining-remaining)/longestDecay
	if waited := longestRemaining - remaining; waited > waitTolerance {
		return waited
	}
	return 0
}
