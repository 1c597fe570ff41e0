package proxy

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
)

// queuedRequest is a request whose connection waited to be accepted.
func queuedRequest(path string) *meshhttp.Exchange {
	x := request(path, "1500")
	x.Remote, x.Queued = otherHost, time.Second
	return x
}

// Guards against a rejection for lack of processor time that does not tell when to come back, that makes a service without load look
// overloaded, or that hides that there is no route.
func TestQueuedRequestIsRejectedWithATimeToComeBack(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := newNode(t, m, "i1", succeed)
	e := newTestEntry(m)
	for range 100 {
		x := queuedRequest("/read/1")
		is.True(!e.AdmitQueued(x))
		is.Equal(x.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(string(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
		is.NoErr(err)
		is.True(after > 0 && after <= 0.5) // a third of the time that is left
		is.Equal(string(x.Response.Header.Peek(testHeaders.ID)), "id-1")
	}
	is.Equal(n.upstream.count(), 0)
	for range 20 { // none is throttled
		is.Equal(send(e, "/read/1").Response.StatusCode(), fasthttp.StatusOK)
	}
	x := queuedRequest("/unknown/1")
	is.True(!e.AdmitQueued(x))
	is.Equal(x.Response.StatusCode(), fasthttp.StatusNotFound)
}

// Guards against nested calls that are rejected for lack of processor time: the requests that they belong to hold slots of upstreams.
func TestQueuedNestedCallIsServed(t *testing.T) {
	is := is.New(t)
	var e *Entry
	admitted, otherAdmitted := false, true
	e = nestedMesh(t, 4, func(remaining string) {
		call := request("/short/1", remaining)
		call.Remote, call.Queued = ownHost, time.Second
		admitted = e.AdmitQueued(call)
		otherAdmitted = e.AdmitQueued(queuedRequest("/read/2"))
	})
	for i := range 60 {
		send(e, "/read/"+strconv.Itoa(i))
	}
	is.True(admitted)
	is.True(!otherAdmitted)
}

// Guards against a request that does not run because a gate lacks processor time although another one has it, and against a gate that is
// then avoided as one that can't be reached.
func TestRequestQueuedAtAGateRunsAtAnother(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	busy, idle := newNode(t, m, "busy", succeed), newNode(t, m, "idle", succeed)
	l := listen(t)
	serveOn(l, func(_ context.Context, x *meshhttp.Exchange) {
		if busy.gate.AdmitQueued(x) {
			t.Error("admitted")
		}
	})
	e := newTestEntry(m)
	for range 20 { // the share of requests that may be rerouted is that of the earlier ones
		is.Equal(send(e, "/write/1").Response.StatusCode(), fasthttp.StatusOK)
	}
	m.change(func(v *controlclient.View) { v.Endpoints["a"][0].Gate = l.Addr().String() })
	before := busy.upstream.count()
	for range 20 {
		is.Equal(send(e, "/write/1").Response.StatusCode(), fasthttp.StatusOK)
	}
	is.Equal(idle.upstream.count()+busy.upstream.count(), 40)
	is.Equal(busy.upstream.count(), before)
	is.Equal(len(e.picker.UnavailableGates(time.Now())), 0)
}

// Guards against a gate that is avoided as unreachable because the entry could not open a connection in the time of one request: under
// a crowd, all gates seemed unreachable (no-endpoint), and the requests of calm routes were rejected untried.
func TestGateIsNotAvoidedForAnEntryWithoutConnections(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	began, end := make(chan struct{}), make(chan struct{})
	newNode(t, m, "i1", func(x *meshhttp.Exchange) {
		if x.Request.Header.RequestURI()[1] == 'w' {
			close(began)
			<-end
		}
		succeed(x)
	})
	e := newTestEntry(m)
	e.pool.Limit(1)
	first := make(chan int)
	go func() { first <- send(e, "/write/1").Response.StatusCode() }()
	<-began
	is.Equal(send(e, "/short/1").Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(len(e.picker.UnavailableGates(time.Now())), 0)
	close(end)
	is.Equal(<-first, fasthttp.StatusOK)
	is.Equal(send(e, "/read/1").Response.StatusCode(), fasthttp.StatusOK)
}
