package carry

import (
	"sync"
	"time"
)

// patience learns how long the clients of a route wait at the start, from the
// time left that they state. What is missing from it, a client has waited
// before, in an attempt that was refused or lost.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

const (
	maxRoutes = 4096 // bounds the memory of routes that are gone
	// patienceFade forgets a longest time that was an exception: a thousandth per request.
	patienceFade = 1000
	// patienceSlack is the difference that rounding and the way to the node make.
	patienceSlack = 10 * time.Millisecond
)

// waited returns how long the client has waited before this request.
func (p *patience) waited(route string, remaining time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.longest[route]
	if remaining >= longest {
		if len(p.longest) >= maxRoutes {
			clear(p.longest)
		}
		p.longest[route] = remaining
		return 0
	}
	p.longest[route] = longest - (longest-remaining)/patienceFade
	if waited := longest - remaining; waited > patienceSlack {
		return waited
	}
	return 0
}
