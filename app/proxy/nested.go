package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/drain"
	"github.com/rattanfield/rattanfield/core/nested"
)

// nestedCalls is a nested.Routes for concurrent use.
type nestedCalls struct {
	mu     sync.Mutex
	routes nested.Routes
}

func (c *nestedCalls) recognise(route string, m nested.Match) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routes.Recognise(route, m)
}

// recogniseNested finds out whether the request is a nested call of one that the local upstream runs: it comes from this
// host and names its parent or expires with it. A nested call has not waited before, whatever other calls of its route have left.
func (f *forwarding) recogniseNested() {
	e := f.entry
	if parent, ok := e.gate.namedParent(f.x.Remote, f.id); ok {
		f.info.nested, f.info.ofRetry = true, parent.retry
		f.parentRoute = parent.route
		e.metrics.count("entry", "nested")
		return
	}
	if f.remaining <= 0 {
		return
	}
	m, ok := e.gate.matchParents(f.x.Remote, f.x.Received.Add(f.remaining))
	if !ok || !e.nested.recognise(f.route.GetName(), m) {
		return
	}
	f.info.nested, f.info.ofRetry = true, m.Retry
	e.metrics.count("entry", "nested")
}

// namedParent returns the request that the local upstream runs and whose id that of a request from this host extends.
func (g *Gate) namedParent(client net.Addr, id string) (parent gateRequest, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.activeUpstream
	if u == nil || !fromHost(client, u.announcement.GetAddress()) {
		return gateRequest{}, false
	}
	parentID, ok := u.parents.Named(id)
	if !ok {
		return gateRequest{}, false
	}
	parent, ok = u.running[parentID]
	return parent, ok
}

// matchParents compares the time limit of a request with those of the requests that the local upstream runs. ok is
// false if there is no upstream or the request comes from another host.
func (g *Gate) matchParents(client net.Addr, deadline time.Time) (m nested.Match, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.activeUpstream
	if u == nil || !fromHost(client, u.announcement.GetAddress()) {
		return nested.Match{}, false
	}
	return u.parents.Match(deadline), true
}

// fromHost reports whether a client is on the host of an upstream, which has this address.
func fromHost(client net.Addr, upstream string) bool {
	a, ok := client.(*net.TCPAddr)
	if !ok {
		return false
	}
	if a.IP.IsLoopback() {
		return true
	}
	host, _, err := net.SplitHostPort(upstream)
	return err == nil && a.IP.Equal(net.ParseIP(host))
}

// admissionRequest returns what the queue needs to know about a request. Its time is that of its own kind: kinds of one
// service differ by a factor of 17, so that the average misjudges each.
func (g *Gate) admissionRequest(id uint64, req gateRequest) admission.Request {
	return admission.Request{
		ID: id, Priority: req.priority, Goal: req.goal, Deadline: req.deadline, GoalDuration: req.goalDuration,
		RejectionSample: rejectionSample(req.id), Nested: req.nested, Organisation: req.organisation,
		ServiceTime: g.durations.mean(drain.Kind{Route: req.route, Service: req.service}),
	}
}
