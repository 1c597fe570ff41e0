package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Checks that the time of a retried request counts from the client's first attempt,
// and that one client that waits longer than the others does not make all of them
// look late for good.
func TestClientWaits(t *testing.T) {
	is := is.New(t)
	w := clientWaits{longestRemaining: make(map[string]time.Duration)}
	is.Equal(w.waited("r", 2*time.Second), time.Duration(0))
	is.Equal(w.waited("r", 2*time.Second), time.Duration(0))
	is.Equal(w.waited("r", 1800*time.Millisecond), 200*time.Millisecond)
	is.Equal(w.waited("other", time.Second), time.Duration(0))
	is.Equal(w.waited("r", 10*time.Second), time.Duration(0))
	for range 10 * longestDecay {
		w.waited("r", 2*time.Second)
	}
	is.Equal(w.waited("r", 2*time.Second), time.Duration(0))
}

// Guards against a Retry-After that does not depend on the number of clients that were sent away, or that exceeds what
// clients honour. Load: 50 requests of a kind that are rejected at the same time, with 3 s left.
func TestRetryAfterFollowsTheBacklog(t *testing.T) {
	is := is.New(t)
	e := newTestEntry(newMesh())
	f := forwarding{entry: e, x: request("/write/1", ""), route: &pb.PlanRoute{Name: "write"}, service: "a"}
	f.deadline = time.Now().Add(3 * time.Second)
	for range 50 {
		e.throttle(f.throttleKey()).Done(time.Now(), true)
	}
	first, last := f.retryAfter(reasonBusy), time.Duration(0)
	for range 50 {
		last = f.retryAfter(reasonOverload)
		is.True(last <= time.Second)
	}
	t.Logf("first %v, last %v", first, last)
	is.True(first < 200*time.Millisecond)
	is.True(last > 400*time.Millisecond)
}

// Guards against an entry that does not learn the time of a route on the upstream, or tells clients of it.
func TestEntryLearnsTheTimeOfARoute(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	newNode(t, m, "i1", func(x *meshhttp.Exchange) {
		time.Sleep(20 * time.Millisecond)
		succeed(x)
	})
	e := newTestEntry(m)
	x := send(e, "/read/1")
	is.Equal(x.Response.StatusCode(), 200)
	is.Equal(len(x.Response.Header.Peek(hopTook)), 0)
	is.True(e.onUpstream.longest() >= 20*time.Millisecond)
}
