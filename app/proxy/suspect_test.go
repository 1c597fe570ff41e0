package proxy

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/app/suspectlist"
	"github.com/rattanfield/rattanfield/core/placement"
	"github.com/rattanfield/rattanfield/core/suspects"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// startCrashingNode adds a gate whose upstream ends with the first request that it receives.
func startCrashingNode(t *testing.T, m *mesh, name string, arrivals *atomic.Int32) *Gate {
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				var b [4096]byte
				if n, _ := c.Read(b[:]); n > 0 {
					arrivals.Add(1)
					_ = l.Close()
				}
				_ = c.Close()
			}()
		}
	}()
	g := NewGate(GateOptions{Headers: testHeaders, DrainBound: testDrain, LostAfter: testLost, Publish: func(*pb.Announcement) {}},
		m, newTestPool(), NewMetrics(metrics.NewSet()), log.NewNopLogger())
	g.Announce(&pb.Announcement{Instance: name, Service: "a", Address: l.Addr().String(), Version: "v1", Slots: 2, State: pb.UpstreamState_UPSTREAM_STATE_SERVING, Seq: 1, BornUnixMs: 1})
	gl := listen(t)
	serveOn(gl, g.Handle)
	m.change(func(v *controlclient.View) {
		v.Endpoints["a"] = append(v.Endpoints["a"], &controlclient.Endpoint{Gate: gl.Addr().String(), Instance: name, Version: "v1", Slots: 2, Link: ports.LinkDomain})
	})
	return g
}

// Guards against a crashing request that is sent on by a node without contact to the control hosts: its calls tell it, and it
// tells the gates that it calls.
func TestNodesTellEachOtherOfSuspects(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	var arrivals atomic.Int32
	for _, name := range []string{"i1", "i2", "i3"} {
		startCrashingNode(t, m, name, &arrivals)
	}
	a, b := newTestEntry(m), newTestEntry(m)
	is.Equal(send(a, "/read/crash").Response.StatusCode(), fasthttp.StatusBadGateway)
	is.Equal(arrivals.Load(), int32(2))
	x := send(a, "/read/crash")
	is.Equal(x.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(string(x.Response.Body()), reasonCrashSuspect+"\n")
	is.True(len(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0)
	// The second entry learns of it from gates. It may reach the upstream that is left once, and nothing after that.
	for range 10 {
		is.True(send(b, "/read/crash").Response.StatusCode() >= fasthttp.StatusBadGateway)
	}
	is.True(arrivals.Load() <= 3)
	is.Equal(a.gate.Suspects().Decide(newFingerprint("/read/crash")).Handling, suspects.Reject)
}

// newFingerprint returns the fingerprint of the request that send sends.
func newFingerprint(path string) uint64 {
	var r fasthttp.Request
	r.Header.SetHost("h")
	r.Header.SetRequestURI(path)
	return fingerprint("a", &r)
}

// Guards against different requests with one fingerprint, and against different ones for the same request.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	request := func(change func(*fasthttp.Request)) uint64 {
		var r fasthttp.Request
		r.Header.SetMethod("POST")
		r.Header.SetHost("h")
		r.Header.SetRequestURI("/w/1?q=1")
		r.SetBodyString("body")
		change(&r)
		return fingerprint("a", &r)
	}
	base := request(func(*fasthttp.Request) {})
	is.Equal(base, request(func(r *fasthttp.Request) {
		r.Header.Set(testHeaders.ID, "other")
		r.Header.Set(testHeaders.Caller, "b")
	}))
	for _, change := range []func(*fasthttp.Request){
		func(r *fasthttp.Request) { r.Header.SetMethod("PUT") },
		func(r *fasthttp.Request) { r.Header.SetHost("g") },
		func(r *fasthttp.Request) { r.Header.SetRequestURI("/w/1?q=2") },
		func(r *fasthttp.Request) { r.SetBodyString("bodz") },
		func(r *fasthttp.Request) { r.Header.Set(fasthttp.HeaderAuthorization, "x") },
		func(r *fasthttp.Request) { r.Header.Set(hopOrganisation, "x") },
	} {
		is.True(request(change) != base)
	}
	is.True(fingerprint("b", &fasthttp.Request{}) != fingerprint("a", &fasthttp.Request{}))
}

// Guards against nodes that choose different gates for one suspect, and against one gate for all suspects.
func TestIsolatedGate(t *testing.T) {
	is := is.New(t)
	list := []placement.Candidate{{Gate: "g1"}, {Gate: "g2"}, {Gate: "g3"}, {Gate: "g4", Silent: true}}
	reversed := []placement.Candidate{list[3], list[2], list[1], list[0]}
	none := func(string) bool { return false }
	seen := make(map[string]bool)
	for f := range uint64(100) {
		first := isolatedGate(list, f, none)
		is.Equal(len(first), 1)
		is.Equal(first, isolatedGate(reversed, f, none))
		seen[first[0].Gate] = true
		second := isolatedGate(list, f, func(gate string) bool { return gate == first[0].Gate })
		is.True(len(second) == 1 && second[0].Gate != first[0].Gate)
	}
	is.Equal(len(seen), 3)
	is.Equal(len(isolatedGate(list, 1, func(string) bool { return true })), 0)
}

// Guards against two suspects on one upstream at the same time, which would hide the one that ends it.
func TestSuspectsRunOneAtATime(t *testing.T) {
	is := is.New(t)
	var running, most atomic.Int32
	m := newMesh()
	n := newNode(t, m, "i1", func(x *meshhttp.Exchange) {
		if r := running.Add(1); r > most.Load() {
			most.Store(r)
		}
		time.Sleep(50 * time.Millisecond)
		running.Add(-1)
		succeed(x)
	})
	n.gate.Suspects().Ended("earlier", "a", []uint64{newFingerprint("/read/1"), newFingerprint("/read/2")})
	e := newTestEntry(m)
	status := make(chan int, 2)
	for _, path := range []string{"/read/1", "/read/2"} {
		go func() { status <- send(e, path).Response.StatusCode() }()
	}
	is.Equal(<-status, fasthttp.StatusOK)
	is.Equal(<-status, fasthttp.StatusOK)
	is.Equal(most.Load(), int32(1))
	is.Equal(n.gate.Suspects().Count(suspects.Isolate), 0) // both are cleared
}

// Guards against a crashing request that is cleared because an upstream fails it before the part that crashes.
func TestFailureClearsNoSuspect(t *testing.T) {
	for status, left := range map[int]int{
		fasthttp.StatusInternalServerError: 1, fasthttp.StatusBadGateway: 1, fasthttp.StatusGatewayTimeout: 1,
		fasthttp.StatusOK: 0, fasthttp.StatusNotFound: 0,
	} {
		t.Run(fasthttp.StatusMessage(status), func(t *testing.T) {
			is := is.New(t)
			m := newMesh()
			n := newNode(t, m, "i1", respond(status))
			e := newTestEntry(m)
			for _, list := range []*suspectlist.List{n.gate.Suspects(), e.gate.Suspects()} {
				list.Ended("earlier", "a", []uint64{newFingerprint("/read/1")})
			}
			is.Equal(send(e, "/read/1").Response.StatusCode(), status)
			is.Equal(n.gate.Suspects().Count(suspects.Isolate), left)
			is.Equal(e.gate.Suspects().Count(suspects.Isolate), left)
		})
	}
}

// Guards against lost answers and reset connections of an upstream that runs on, which make no request a suspect.
func TestLostAnswersMakeNoSuspects(t *testing.T) {
	is := is.New(t)
	list := suspectlist.New(func() {})
	m := newMesh()
	g := NewGate(GateOptions{Headers: testHeaders, DrainBound: testDrain, LostAfter: testLost, Publish: func(*pb.Announcement) {}, Suspects: list},
		m, newTestPool(), NewMetrics(metrics.NewSet()), log.NewNopLogger())
	l := listen(t)
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				var b [4096]byte
				_, _ = c.Read(b[:])
				if tcp, ok := c.(*net.TCPConn); ok && i%2 == 0 {
					_ = tcp.SetLinger(0) // a reset
				}
				_ = c.Close()
			}()
		}
	}()
	g.Announce(&pb.Announcement{Instance: "i", Service: "a", Address: l.Addr().String(), Version: "v1", Slots: 2, State: pb.UpstreamState_UPSTREAM_STATE_SERVING, Seq: 1, BornUnixMs: 1})
	for range 6 {
		x := gateExchange("id-1")
		g.Handle(t.Context(), x)
		is.Equal(string(x.Response.Header.Peek(hopReason)), reasonLost)
	}
	is.Equal(list.Len(), 0)
}
