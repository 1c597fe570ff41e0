package proxy

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

var (
	ownHost   = &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 4000}
	otherHost = &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1), Port: 4000}
)

// prepared returns the state of a request after the entry has identified it.
func prepared(e *Entry, path, remainingMs string, client net.Addr) *forwarding {
	x := request(path, remainingMs)
	x.Remote = client
	f := e.newForwarding(x)
	f.prepare()
	return f
}

// nestedMesh returns an entry whose local upstream makes a nested call on the route "short" while it runs a request of
// the route "read", and passes the time limit of the parent and whether that is a retry to observe.
func nestedMesh(t *testing.T, slots uint32, observe func(remainingMs string)) *Entry {
	m := newMesh()
	var e *Entry
	n := newNode(t, m, "i1", func(x *meshhttp.Exchange) {
		if x.Request.Header.RequestURI()[1] == 'r' {
			remaining := string(x.Request.Header.Peek(testHeaders.RemainingMs))
			observe(remaining)
			call := request("/short/1", remaining)
			call.Remote = ownHost
			e.Handle(t.Context(), call)
		}
		succeed(x)
	})
	a := n.announcement("i1", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING)
	a.Slots = slots
	n.gate.Announce(a)
	e = newTestEntry(m)
	e.gate, e.options.Node = n.gate, n.address
	return e
}

// Guards against nested calls that are handled as new requests, so that their parents are lost, and against client
// requests that pass as nested calls. Load: 60 requests that each make one nested call.
func TestNestedCallIsRecognisedByItsParent(t *testing.T) {
	is := is.New(t)
	var e *Entry
	var call, client, unrelated, otherRoute *forwarding
	e = nestedMesh(t, 4, func(remaining string) {
		call, client = prepared(e, "/short/1", remaining, ownHost), prepared(e, "/short/1", remaining, otherHost)
		unrelated, otherRoute = prepared(e, "/short/1", "700", ownHost), prepared(e, "/write/1", "700", ownHost)
	})
	for i := range 60 {
		send(e, "/read/"+strconv.Itoa(i))
	}
	is.True(call.info.nested)
	is.Equal(string(call.out.Header.Peek(hopNested)), "1")
	is.True(call.goal.After(time.Now().Add(-100 * time.Millisecond))) // the time that its parent has spent is no wait
	is.Equal(call.waited, time.Duration(0))
	is.True(!client.info.nested)     // comes from another host
	is.True(!unrelated.info.nested)  // no running request has its time limit
	is.True(!otherRoute.info.nested) // nor on a route without nested calls
	is.True(!prepared(e, "/short/1", "1500", ownHost).info.nested)
}

// Guards against nested calls that the entry throttles, or that wait behind requests of clients, while a gate rejects
// most requests. Load: 400 requests at once for two slots of 10 ms, and nested calls of 10 ms meanwhile.
func TestNestedCallsAreServedUnderOverload(t *testing.T) {
	is := is.New(t)
	n := newNode(t, newMesh(), "i1", func(x *meshhttp.Exchange) {
		time.Sleep(10 * time.Millisecond)
		succeed(x)
	})
	answers := make(chan bool, 400)
	for i := range cap(answers) {
		go func() {
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			x := gateRequestFor(strconv.Itoa(i), "300")
			x.Request.Header.Set(hopPriority, "0")
			n.gate.Handle(t.Context(), x)
			answers <- string(x.Response.Header.Peek(hopRan)) == ranYes
		}()
	}
	time.Sleep(100 * time.Millisecond)
	served := 0
	for i := range 20 {
		x := gateRequestFor("n"+strconv.Itoa(i), "300")
		x.Request.Header.Set(hopPriority, "2")
		x.Request.Header.Set(hopGoalMs, "0") // as late as its parent
		x.Request.Header.Set(hopNested, "1")
		n.gate.Handle(t.Context(), x)
		if string(x.Response.Header.Peek(hopRan)) == ranYes {
			served++
		}
	}
	others := 0
	for range cap(answers) {
		if <-answers {
			others++
		}
	}
	is.True(others < cap(answers)*2/3) // the load is an overload
	is.True(served >= 19)
}

// Guards against nested calls of retries that do not count towards the bound on retries at the service that they call.
// Load: requests whose first upstream refuses them and whose second one makes a nested call.
func TestNestedCallsOfRetriesUseTheBudget(t *testing.T) {
	is := is.New(t)
	var e *Entry
	retry := false
	e = nestedMesh(t, 4, func(remaining string) {
		retry = prepared(e, "/short/1", remaining, ownHost).info.ofRetry
	})
	for i := range 60 {
		send(e, "/read/"+strconv.Itoa(i))
	}
	is.True(!retry)
	for range 100 {
		e.retries.credit("a")
	}
	x := request("/read/retry", "1500")
	f := e.newForwarding(x)
	is.Equal(f.prepare(), "")
	f.arrived = true // at an upstream that refused it
	f.forward(t.Context())
	is.True(retry)
	e.retries.mu.Lock()
	defer e.retries.mu.Unlock()
	allowed := 0
	for e.retries.services["a"].budget.TakeSaved() {
		allowed++
	}
	is.Equal(allowed, 1) // of two that the budget accumulates
}
