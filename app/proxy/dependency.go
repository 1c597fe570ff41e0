package proxy

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/dependency"
)

// dependencies is a dependency.Routes for concurrent use.
type dependencies struct {
	mu     sync.Mutex
	routes dependency.Routes
}

// rejectsForDependency reports whether a request must not start because a service that the requests of its route call rejects
// others that are as urgent or more. The sample of a request is the same at every gate.
func (g *Gate) rejectsForDependency(req gateRequest) bool {
	if req.nested {
		return false
	}
	d := &g.dependencies
	d.mu.Lock()
	defer d.mu.Unlock()
	return rejectionSample(req.id) < d.routes.Rejection(time.Now(), req.route, int(req.priority))
}

// learnDependency applies what the response to a nested call tells about the service that it called.
func (f *forwarding) learnDependency(h *fasthttp.ResponseHeader, a attempt) {
	if f.parentRoute == "" {
		return
	}
	shares, ok := parseRejected(h.Peek(hopRejected))
	if !ok {
		return
	}
	d := &f.entry.gate.dependencies
	d.mu.Lock()
	defer d.mu.Unlock()
	// A call that misses its goal keeps a slot of its parent busy; it counts like one that was rejected. What an upstream refuses
	// although its gate keeps to its slots is no overload, and fewer parents would not change it.
	late := a.latency > time.Duration(f.route.GetGoalMs())*time.Millisecond
	rejected := a.ran == ranNo && a.reason != reasonUpstreamNotRun && lacksCapacity(a.reason)
	d.routes.Learn(time.Now(), f.parentRoute, shares, late || rejected)
}

// setRejectedHeader tells the entry of a nested call which share of other requests this gate rejects.
func (g *Gate) setRejectedHeader(h *fasthttp.ResponseHeader, req gateRequest) {
	if !req.nested {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.activeUpstream; u != nil {
		h.Set(hopRejected, formatRejected(u.queue.RejectedShares(time.Now())))
	}
}

func formatRejected(s dependency.Shares) string {
	b := make([]byte, 0, 16)
	for i, share := range s {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(share*1000), 10)
	}
	return string(b)
}

// parseRejected parses the value of hopRejected; ok is false if it is not valid.
func parseRejected(v []byte) (s dependency.Shares, ok bool) {
	parts := strings.Split(string(v), ",")
	if len(parts) != len(s) {
		return s, false
	}
	for i, p := range parts {
		n, err := strconv.ParseUint(p, 10, 10)
		if err != nil {
			return s, false
		}
		s[i] = min(1, float64(n)/1000)
	}
	return s, true
}
