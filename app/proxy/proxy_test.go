package proxy

import (
	"context"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/core/drain"
	"github.com/rattanfield/rattanfield/core/placement"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Checks that an upstream receives the request as it was sent, with the headers
// that it needs and without the headers between entry and gate, and that the caller
// receives the whole response.
func TestRequestAndResponseArePassedOn(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := newNode(t, m, "i1", succeed)
	e := newTestEntry(m)
	x := &meshhttp.Exchange{Received: time.Now()}
	x.Request.Header.SetMethod("PUT")
	x.Request.Header.SetHost("h")
	x.Request.Header.SetRequestURI("/write//a/../b?q=%2F&r")
	x.Request.Header.Set(testHeaders.ID, "id-1")
	x.Request.Header.Set(testHeaders.RemainingMs, "1500")
	x.Request.Header.Set(testHeaders.Caller, "forged")
	x.Request.Header.Set(hopService, "forged")
	x.Request.Header.Set("X-Other", "kept")
	x.Request.SetBodyString("body")
	e.Handle(t.Context(), x)
	is.Equal(x.Response.StatusCode(), 200)
	is.Equal(string(x.Response.Body()), "ok")
	is.Equal(string(x.Response.Header.Peek(testHeaders.Signature)), "s")
	is.Equal(len(x.Response.Header.Peek(hopRan)), 0)
	got := n.upstream.last()
	is.Equal(string(got.Header.Method()), "PUT")
	is.Equal(string(got.Header.RequestURI()), "/write//a/../b?q=%2F&r")
	is.Equal(string(got.Body()), "body")
	is.Equal(string(got.Header.Peek(testHeaders.Caller)), "caller")
	is.Equal(string(got.Header.Peek(testHeaders.ExpectInstance)), "i1")
	is.Equal(string(got.Header.Peek("X-Other")), "kept")
	is.Equal(len(got.Header.Peek(hopService)), 0)
	remaining, err := strconv.Atoi(string(got.Header.Peek(testHeaders.RemainingMs)))
	is.NoErr(err)
	is.True(remaining > 0 && remaining <= 1500)
}

// Guards against a non-idempotent request that runs twice: once it may have reached
// an upstream it fails, and the response does not claim that it did not run.
func TestNonIdempotentIsNeverSentTwice(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	a, b := newNode(t, m, "i1", garble), newNode(t, m, "i2", garble)
	x := send(newTestEntry(m), "/write/1")
	is.Equal(x.Response.StatusCode(), fasthttp.StatusBadGateway)
	is.Equal(a.upstream.count()+b.upstream.count(), 1)
	is.Equal(len(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)), 0)
}

// Guards against an upstream that sends an endless response and so blocks its
// callers until their deadline: an idempotent request is answered by another upstream.
func TestEndlessResponseCountsAsLost(t *testing.T) {
	is := is.New(t)
	for _, start := range []string{"HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 OK\r\n\r\n"} {
		m := newMesh()
		l := listen(t)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					_, err := io.WriteString(c, start)
					for block := strings.Repeat("x", 16<<10); err == nil; {
						_, err = io.WriteString(c, block)
					}
				}()
			}
		}()
		bad := newNode(t, m, "i1", succeed)
		bad.upstream.address = l.Addr().String()
		bad.gate.Announce(bad.announcement("i1", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING))
		e := newTestEntry(m)
		is.Equal(send(e, "/write/1").Response.StatusCode(), fasthttp.StatusBadGateway)
		newNode(t, m, "i2", succeed)
		x := send(e, "/read/1")
		is.Equal(x.Response.StatusCode(), fasthttp.StatusOK)
		is.Equal(string(x.Response.Body()), "ok")
	}
}

// Checks that an idempotent request whose response is lost is sent to another
// upstream, at most as often as its route allows.
func TestIdempotentIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	var nodes []*node
	for _, name := range []string{"i1", "i2", "i3"} {
		nodes = append(nodes, newNode(t, m, name, garble))
	}
	x := send(newTestEntry(m), "/read/1")
	is.Equal(x.Response.StatusCode(), fasthttp.StatusBadGateway)
	total := 0
	for _, n := range nodes {
		is.True(n.upstream.count() <= 1)
		total += n.upstream.count()
	}
	is.Equal(total, 2) // max_attempts
}

// Checks that a request that an upstream did not run is sent to another one, even
// if it is not idempotent. If none runs it, the response says so and has a Retry-After.
func TestRequestNotRunIsSentElsewhere(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	a := newNode(t, m, "i1", shed)
	e := newTestEntry(m)
	x := send(e, "/write/1")
	is.Equal(x.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(string(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
	is.NoErr(err)
	is.True(wait > 0 && wait < 0.5)
	is.Equal(len(x.Response.Header.Peek(testHeaders.Signature)), 0)
	b := newNode(t, m, "i2", succeed)
	for range 3 {
		x = send(e, "/write/1")
		is.Equal(x.Response.StatusCode(), 200)
	}
	is.Equal(b.upstream.count(), 3)
	is.True(a.upstream.count() >= 1)
}

// Guards against a response that says "not run" although an earlier attempt of the
// request may have run.
func TestRejectionAfterALostAttemptDoesNotSayNotRun(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	newNode(t, m, "i1", garble)
	n := newNode(t, m, "i2", shed)
	e := newTestEntry(m)
	for range 10 { // either node may be chosen first
		x := send(e, "/read/1")
		if n.upstream.count() > 0 {
			is.True(x.Response.StatusCode() != fasthttp.StatusServiceUnavailable || len(x.Response.Header.Peek(testHeaders.Signature)) == 0)
		}
		is.True(x.Response.StatusCode() != 200)
	}
}

// Guards against a failure response of an upstream that the entry replaces by its own.
func TestFailureOfTheUpstreamIsDelivered(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	newNode(t, m, "i1", respond(500))
	newNode(t, m, "i2", respond(500))
	for _, path := range []string{"/read/1", "/write/1"} {
		x := send(newTestEntry(m), path)
		is.Equal(x.Response.StatusCode(), 500)
		is.Equal(string(x.Response.Header.Peek(testHeaders.Signature)), "s")
	}
}

// Guards against retries beyond this node's part of the budget.
func TestRetriesStayInTheBudget(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	a, b := newNode(t, m, "i1", respond(500)), newNode(t, m, "i2", respond(500))
	e := newTestEntry(m)
	const requests = 200
	for range requests {
		send(e, "/read/1")
	}
	retries := a.upstream.count() + b.upstream.count() - requests
	is.True(retries > 0)
	is.True(float64(retries) <= 0.2*requests+10)
}

// Guards against requests, including queued ones, that reach a leaving upstream after
// the DrainBound.
func TestNothingReachesUpstreamAfterDrainBound(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := newNode(t, m, "i1", succeed)
	e := newTestEntry(m)
	is.Equal(send(e, "/write/1").Response.StatusCode(), 200)
	n.gate.Announce(n.announcement("i1", 2, pb.UpstreamState_UPSTREAM_STATE_LEAVING))
	left := time.Now()
	is.Equal(n.published[len(n.published)-1].GetState(), pb.UpstreamState_UPSTREAM_STATE_LEAVING)
	for time.Since(left) < testDrain {
		send(e, "/write/1") // entries may not know of the leave yet
	}
	before := n.upstream.count()
	n.gate.Announce(n.announcement("i1", 1, pb.UpstreamState_UPSTREAM_STATE_SERVING)) // arrives out of order
	x := send(e, "/write/1")
	is.Equal(x.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(n.upstream.count(), before)
}

// Guards against a gate that was paused after it read a request and sends it to the upstream
// although the deadline has passed meanwhile.
func TestPausedGateSendsNoExpiredRequest(t *testing.T) {
	is := is.New(t)
	n := newNode(t, newMesh(), "i1", succeed)
	x := &meshhttp.Exchange{Received: time.Now().Add(-3 * time.Second)}
	x.Request.SetRequestURI("/write/1")
	x.Request.Header.SetHost("h")
	x.Request.Header.Set(testHeaders.ID, "1")
	x.Request.Header.Set(hopService, "a")
	x.Request.Header.Set(hopPriority, "0")
	x.Request.Header.Set(hopRemainingMs, "2000")
	n.gate.Handle(context.Background(), x)
	is.Equal(string(x.Response.Header.Peek(hopRan)), ranNo)
	is.Equal(string(x.Response.Header.Peek(hopReason)), reasonDeadline)
	is.Equal(n.upstream.count(), 0)
}

// Guards against a node that starts while its upstream is leaving and lets requests
// reach it for another DrainBound, although the leave was acknowledged before.
func TestStartWithALeavingUpstream(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := newNode(t, m, "i1", succeed)
	next := n.announcement("i2", 4, pb.UpstreamState_UPSTREAM_STATE_LEAVING)
	next.BornUnixMs = 2
	n.gate.Announce(next)
	is.Equal(send(newTestEntry(m), "/write/1").Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(n.upstream.count(), 0)
}

// Guards against a stopping node that attracts requests again because its upstream
// keeps announcing itself.
func TestStoppingNodePublishesNoUpstream(t *testing.T) {
	is := is.New(t)
	n := newNode(t, newMesh(), "i1", succeed)
	n.gate.Stop(drain.NewStop(time.Now(), time.Minute, time.Second))
	again := n.announcement("i1", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING)
	again.Slots = 5
	n.gate.Announce(again)
	is.Equal(n.published[len(n.published)-1].GetState(), pb.UpstreamState_UPSTREAM_STATE_LEAVING)
}

// Guards against a request that runs on an upstream of another service, version or
// process than the entry chose.
func TestGateRejectsRequestsForAnotherUpstream(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := newNode(t, m, "i1", succeed)
	m.change(func(v *controlclient.View) { v.Endpoints["a"][0].Version = "v2" })
	is.Equal(send(newTestEntry(m), "/write/1").Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	other := n.announcement("i2", 1, pb.UpstreamState_UPSTREAM_STATE_SERVING)
	other.Service, other.BornUnixMs = "b", 2
	n.gate.Announce(other)
	m.change(func(v *controlclient.View) { v.Endpoints["a"][0].Version = "v1" })
	is.Equal(send(newTestEntry(m), "/write/1").Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(n.upstream.count(), 0)
}

// Guards against a 4xx of the entry for a request that is allowed: only a request
// that has no route in the plan gets 404. Without a plan nothing is served, and the
// response is 503 with Retry-After.
func TestRequestsWithoutRouteOrPlan(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	newNode(t, m, "i1", succeed)
	e := newTestEntry(m)
	is.Equal(send(e, "/none/1").Response.StatusCode(), fasthttp.StatusNotFound)
	m.change(func(v *controlclient.View) { v.Plan = nil })
	x := send(e, "/none/1")
	is.Equal(x.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.True(len(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0)
}

// Guards against a client that waits beyond the timeout of its route.
func TestTimeoutOfTheRouteEndsTheWait(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	release := make(chan struct{})
	newNode(t, m, "i1", func(*meshhttp.Exchange) { <-release })
	defer close(release)
	start := time.Now()
	x := send(newTestEntry(m), "/short/1")
	is.Equal(x.Response.StatusCode(), fasthttp.StatusGatewayTimeout)
	is.True(time.Since(start) >= 100*time.Millisecond)
}

// usable returns the candidates of a service that are not leaving.
func usable(v *controlclient.View, in versions) []placement.Candidate {
	out, _ := newTestEntry(newMesh()).candidates(v, "a", in, &requestInfo{}, time.Now())
	return out
}

func view(list ...*controlclient.Endpoint) *controlclient.View {
	return &controlclient.View{Endpoints: map[string][]*controlclient.Endpoint{"a": list}, Rollouts: make(map[string]*pb.Rollout)}
}

// Guards against requests to a version that is not in service yet or not any more.
func TestVersionsFollowTheRollout(t *testing.T) {
	is := is.New(t)
	v := view(
		&controlclient.Endpoint{Gate: "1", Version: "v1"}, &controlclient.Endpoint{Gate: "2", Version: "v1"}, &controlclient.Endpoint{Gate: "3", Version: "v2"},
	)
	gates := func(u float64) string {
		out := ""
		for _, c := range usable(v, versionsOf(v, "a", u)) {
			out += c.Gate
		}
		return out
	}
	is.Equal(gates(0), "12") // v2 waits for its rollout
	r := &pb.Rollout{Service: "a", TargetVersion: "v2", Phase: pb.RolloutPhase_ROLLOUT_PHASE_RUNNING, SharePermille: 40}
	v.Rollouts["a"] = r
	is.Equal(gates(0.039), "3")
	is.Equal(gates(0.041), "12")
	r.Phase = pb.RolloutPhase_ROLLOUT_PHASE_REVERTED
	is.Equal(gates(0), "12")
	r.Phase = pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE
	is.Equal(gates(0.9), "3")
}

// Guards against a withdrawn version that gets requests of the old version again
// when the next rollout of its service begins, while its upstreams still serve.
func TestWithdrawnVersionGetsNothing(t *testing.T) {
	is := is.New(t)
	v := view(
		&controlclient.Endpoint{Gate: "1", Version: "v1"}, &controlclient.Endpoint{Gate: "2", Version: "v2"}, &controlclient.Endpoint{Gate: "3", Version: "v3"},
	)
	r := &pb.Rollout{Service: "a", TargetVersion: "v3", Phase: pb.RolloutPhase_ROLLOUT_PHASE_RUNNING, SharePermille: 40, Withdrawn: []string{"v2"}}
	v.Rollouts["a"] = r
	gates := func(u float64) (out []string) {
		for _, c := range usable(v, versionsOf(v, "a", u)) {
			out = append(out, c.Gate)
		}
		return out
	}
	is.Equal(gates(0.039), []string{"3"})
	is.Equal(gates(0.041), []string{"1"})
	r.Phase = pb.RolloutPhase_ROLLOUT_PHASE_REVERTED
	is.Equal(gates(0), []string{"1"})
}

// Guards against an announcement of another writer with the id of the current upstream that ends its work, or
// that makes it seem to announce itself still.
func TestOddAnnouncementOfTheUpstreamChangesNothing(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := newNode(t, m, "i1", succeed)
	n.gate.mu.Lock()
	before := n.gate.activeUpstream.lastAnnounced
	n.gate.mu.Unlock()
	odd := n.announcement("i1", 2, pb.UpstreamState(77))
	odd.Address = "127.0.0.1:70000"
	n.gate.Announce(odd)
	n.gate.mu.Lock()
	u := n.gate.activeUpstream
	is.Equal(u.lastAnnounced, before)
	is.True(u.closesAt.IsZero())
	n.gate.mu.Unlock()
	is.Equal(send(newTestEntry(m), "/write/1").Response.StatusCode(), fasthttp.StatusOK)
}
