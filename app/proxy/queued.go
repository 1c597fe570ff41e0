package proxy

import "github.com/rattanfield/rattanfield/adapters/meshhttp"

// AdmitQueued decides on a request whose connection waited too long to be accepted, because this node lacks processor time. Only nested
// calls are served: the request that they belong to holds a slot of the upstream. All others are rejected at once with the time at
// which to come back, which costs far less than to serve them.
func (e *Entry) AdmitQueued(x *meshhttp.Exchange) bool {
	f := e.newForwarding(x)
	timeout, reason := f.match()
	if reason != "" {
		f.reject(reason)
		return false
	}
	f.recogniseNested()
	if f.info.nested {
		return true
	}
	e.mu.Lock()
	f.service = e.splitter.Pick(f.route, e.random.Float64())
	f.versions = versionsOf(f.view, f.service, e.random.Float64())
	e.mu.Unlock()
	f.deadline = x.Received.Add(timeout)
	f.reject(reasonProcessor)
	return false
}

// AdmitQueued decides on a request of an entry as Entry.AdmitQueued does.
func (g *Gate) AdmitQueued(x *meshhttp.Exchange) bool {
	req, ok := g.parseRequest(x)
	if !ok || req.nested {
		return true // Handle rejects what is not valid
	}
	g.reject(x, req, ranNo, reasonProcessor, "")
	return false
}
