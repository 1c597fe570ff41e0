package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/core/drain"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func request(path, remainingMs string) *meshhttp.Exchange {
	x := &meshhttp.Exchange{Received: time.Now()}
	x.Request.Header.SetHost("h")
	x.Request.Header.SetRequestURI(path)
	x.Request.Header.Set(testHeaders.ID, "id-1")
	x.Request.Header.Set(testHeaders.RemainingMs, remainingMs)
	return x
}

// stopAfter returns the schedule of a stop that began this long ago.
func stopAfter(d time.Duration) drain.Stop {
	return drain.NewStop(time.Now().Add(-d), 6*time.Second, 2*time.Second)
}

// Guards against requests that a node sends on shortly before it ends, and then cuts (issue 28).
func TestStoppingEntryRejectsLateRequests(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := newNode(t, m, "i1", succeed)
	e := newTestEntry(m)
	is.True(e.Admit(request("/write/1", "1500"))) // no stop
	e.gate.Stop(stopAfter(time.Second))
	is.True(e.Admit(request("/write/1", "1500")))
	e.gate.Stop(stopAfter(5 * time.Second))
	x := request("/write/1", "1500")
	is.True(!e.Admit(x))
	is.Equal(x.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(string(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
	is.NoErr(err)
	is.True(seconds >= 0.7) // not before the successor has started
	is.Equal(n.upstream.count(), 0)
}

// Guards against nested calls that are rejected while the request that makes them runs on the local upstream: it
// would fail.
func TestStoppingEntryAdmitsNestedCalls(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	started, release := make(chan struct{}), make(chan struct{})
	n := newNode(t, m, "i1", func(x *meshhttp.Exchange) {
		close(started)
		<-release
		succeed(x)
	})
	e := newTestEntry(m)
	e.gate, e.options.Node = n.gate, n.address
	answered := make(chan int)
	go func() { answered <- send(e, "/read/1").Response.StatusCode() }()
	<-started
	n.gate.Stop(stopAfter(3 * time.Second))
	is.True(e.Admit(request("/write/2", "300")))   // ends before its possible parent
	is.True(!e.Admit(request("/write/2", "1900"))) // no nested call of it
	close(release)
	is.Equal(<-answered, fasthttp.StatusOK)
	is.True(!e.Admit(request("/write/2", "300")))
}

// Guards against a gate that starts a request that it cannot answer before its process ends.
func TestStoppingGateRejectsWhatCannotEnd(t *testing.T) {
	is := is.New(t)
	n := newNode(t, newMesh(), "i1", succeed)
	gateRequest := func(remainingMs string) *meshhttp.Exchange {
		x := request("/write/1", "")
		x.Request.Header.Set(hopService, "a")
		x.Request.Header.Set(hopRoute, "write")
		x.Request.Header.Set(hopPriority, "1")
		x.Request.Header.Set(hopRemainingMs, remainingMs)
		return x
	}
	is.True(n.gate.Admit(gateRequest("9000")))
	n.gate.Stop(stopAfter(3 * time.Second))
	is.True(n.gate.Admit(gateRequest("500")))
	x := gateRequest("9000")
	is.True(!n.gate.Admit(x))
	is.Equal(string(x.Response.Header.Peek(hopRan)), ranNo)
	is.Equal(string(x.Response.Header.Peek(hopReason)), reasonNoTime)
}

// Guards against an upstream that works on a request for longer than the stopping node can wait for its answer.
func TestTimeLimitEndsWithTheStop(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := newNode(t, m, "i1", succeed)
	e := newTestEntry(m)
	e.gate.Stop(drain.NewStop(time.Now(), time.Second, 400*time.Millisecond))
	is.Equal(send(e, "/write/1").Response.StatusCode(), fasthttp.StatusOK)
	remaining, ok := parseMs(n.upstream.last().Header.Peek(testHeaders.RemainingMs))
	is.True(ok)
	is.True(remaining <= 720*time.Millisecond) // 0.92 s less the time for the answer; the client gave 1.5 s
}

// Guards against nodes that reject every request while upstreams are free, because the nodes of all of them stop.
func TestStoppingGateServesIfNoOtherIsLeft(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	stopping, other := newNode(t, m, "i1", succeed), newNode(t, m, "i2", succeed)
	m.change(func(v *controlclient.View) {
		v.Endpoints["a"][0].Leaving, v.Endpoints["a"][0].StoppingSince = true, time.Now().Add(-time.Minute)
	})
	e := newTestEntry(m)
	is.Equal(send(e, "/write/1").Response.StatusCode(), fasthttp.StatusOK)
	is.Equal(other.upstream.count(), 1) // preferred
	m.change(func(v *controlclient.View) { v.Endpoints["a"] = v.Endpoints["a"][:1] })
	is.Equal(send(e, "/write/2").Response.StatusCode(), fasthttp.StatusOK)
	is.Equal(stopping.upstream.count(), 1)
	m.change(func(v *controlclient.View) { v.Endpoints["a"][0].StoppingSince = time.Time{} }) // the upstream itself leaves
	is.Equal(send(e, "/write/3").Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(stopping.published[len(stopping.published)-1].GetState(), pb.UpstreamState_UPSTREAM_STATE_SERVING)
	stopping.gate.Stop(stopAfter(0))
	is.True(stopping.published[len(stopping.published)-1].GetStopping())
}

// Guards against a request that was queued before the stop and is sent to the upstream when the process has too
// little time left for the answer.
func TestQueuedRequestIsNotStartedAtTheEndOfAStop(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var once sync.Once
	n := newNode(t, newMesh(), "i1", func(x *meshhttp.Exchange) {
		<-release
		succeed(x)
	})
	defer once.Do(func() { close(release) })
	long := func(id string) *meshhttp.Exchange {
		x := gateRequestFor(id, "9000")
		x.Request.Header.Set(hopGoalMs, "8000")
		x.Request.Header.Set(hopGoalDurationMs, "8000")
		return x
	}
	var group sync.WaitGroup
	for i := range 2 { // the slots of the upstream
		group.Go(func() { n.gate.Handle(context.Background(), long(strconv.Itoa(i))) })
	}
	for n.upstream.count() < 2 {
		time.Sleep(time.Millisecond)
	}
	queued := long("queued")
	group.Go(func() { n.gate.Handle(context.Background(), queued) })
	time.Sleep(50 * time.Millisecond)
	n.gate.Stop(stopAfter(5400 * time.Millisecond)) // 120 ms before EndAt, after the time at which upstreams must have answered
	once.Do(func() { close(release) })
	group.Wait()
	if n.upstream.count() > 2 {
		t.Errorf("sent to the upstream with a time limit of %s ms, 120 ms before the end of the stop", n.upstream.last().Header.Peek(testHeaders.RemainingMs))
	}
	is.Equal(string(queued.Response.Header.Peek(hopRan)), ranNo)
}

// Guards against a retry that an entry starts when its process has too little time left for the answer.
func TestRetryIsNotSentAtTheEndOfAStop(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	var e *Entry
	var once sync.Once
	fail := func(x *meshhttp.Exchange) {
		once.Do(func() { e.gate.Stop(stopAfter(5400 * time.Millisecond)) })
		respond(fasthttp.StatusInternalServerError)(x)
	}
	a, b := newNode(t, m, "i1", fail), newNode(t, m, "i2", fail)
	e = newTestEntry(m)
	for range 100 {
		e.retries.credit("a") // fills the retry budget
	}
	x := send(e, "/read/1")
	is.Equal(x.Response.StatusCode(), fasthttp.StatusInternalServerError)
	is.Equal(a.upstream.count()+b.upstream.count(), 1)
}

// Guards against an upstream that leaves while its node stops and is still offered as one whose node alone stops.
func TestLeavingUpstreamOfAStoppingNodeIsPublished(t *testing.T) {
	is := is.New(t)
	n := newNode(t, newMesh(), "i1", succeed)
	n.gate.Stop(stopAfter(0))
	n.gate.Announce(n.announcement("i1", 2, pb.UpstreamState_UPSTREAM_STATE_LEAVING))
	last := n.published[len(n.published)-1]
	is.Equal(last.GetState(), pb.UpstreamState_UPSTREAM_STATE_LEAVING)
	is.True(!last.GetStopping()) // the upstream itself leaves
}

// Guards against a record of a stopping node that says that its upstream serves, because an announcement of the
// upstream was handled at the same time as the stop.
func TestStopIsPublishedLast(t *testing.T) {
	is := is.New(t)
	n := newNode(t, newMesh(), "i1", succeed)
	publishing, release, stopped := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var states []pb.UpstreamState
	n.gate.options.Publish = func(a *pb.Announcement) {
		if a.GetState() == pb.UpstreamState_UPSTREAM_STATE_SERVING {
			close(publishing)
			<-release
		}
		states = append(states, a.GetState())
	}
	go func() {
		again := n.announcement("i1", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING)
		again.Slots = 5
		n.gate.Announce(again)
	}()
	<-publishing
	go func() {
		defer close(stopped)
		n.gate.Stop(stopAfter(0))
	}()
	time.Sleep(20 * time.Millisecond)
	close(release)
	<-stopped
	is.Equal(states, []pb.UpstreamState{pb.UpstreamState_UPSTREAM_STATE_SERVING, pb.UpstreamState_UPSTREAM_STATE_LEAVING})
}

// Guards against nested calls that are rejected because the upstream, or the entry, got processor time late: the time
// limit that the upstream computes for them is then later than that of the request that makes them.
func TestNestedCallIsAdmittedOnABusyHost(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	started, release := make(chan string, 1), make(chan struct{})
	n := newNode(t, m, "i1", func(x *meshhttp.Exchange) {
		started <- string(x.Request.Header.Peek(testHeaders.RemainingMs))
		<-release
		succeed(x)
	})
	defer close(release)
	e := newTestEntry(m)
	e.gate, e.options.Node = n.gate, n.address
	go func() { send(e, "/read/1") }()
	remaining := <-started
	time.Sleep(30 * time.Millisecond) // the upstream reads its request late, then calls at once with the time limit it was given
	n.gate.Stop(stopAfter(2500 * time.Millisecond))
	is.True(e.Admit(request("/write/2", remaining)))
}

// Guards against client requests that are admitted as nested calls of each other, because they have equal time limits
// and run on the upstream of the stopping node.
func TestClientRequestsAreNoNestedCallsOfEachOther(t *testing.T) {
	m := newMesh()
	n := newNode(t, m, "i1", func(x *meshhttp.Exchange) {
		time.Sleep(40 * time.Millisecond)
		succeed(x)
	})
	n.gate.Announce(func() *pb.Announcement {
		a := n.announcement("i1", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING)
		a.Slots = 64
		return a
	}())
	e := newTestEntry(m)
	e.gate, e.options.Node = n.gate, n.address
	var admitted, rejected atomic.Int32
	s := meshhttp.NewServer(meshhttp.ServerOptions{Handler: e.Handle, Admit: func(x *meshhttp.Exchange) bool {
		ok := e.Admit(x)
		if st := e.gate.stop.Load(); st != nil && time.Now().After(st.CloseAt) {
			if ok {
				admitted.Add(1)
			} else {
				rejected.Add(1)
			}
		}
		return ok
	}, Limits: testLimits, OnReadError: e.RejectUnreadable})
	l := listen(t)
	go func() { _ = s.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			go func() {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, "GET /read/"+strconv.Itoa(i)+" HTTP/1.1\r\nHost: h\r\n"+testHeaders.ID+": x"+strconv.Itoa(i)+"\r\n"+testHeaders.RemainingMs+": 1000\r\n\r\n")
				var r fasthttp.Response
				_ = r.Read(bufio.NewReader(c))
			}()
			time.Sleep(8 * time.Millisecond)
		}
	}()
	time.Sleep(300 * time.Millisecond)
	n.gate.Stop(stopAfter(1900 * time.Millisecond)) // CloseAt in 100 ms
	time.Sleep(100 * time.Millisecond)
	s.Drain()
	time.Sleep(1500 * time.Millisecond)
	// Those within the slack of nested calls pass.
	if admitted.Load() > 15 || rejected.Load() < 2*admitted.Load() {
		t.Fatalf("in the 1.5 s after CloseAt, %d client requests were admitted and %d rejected", admitted.Load(), rejected.Load())
	}
}

// Guards against a stopping gate that gets no short requests because it rejected a long one.
func TestRejectedLongRequestLeavesAStoppingGateInUse(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := newNode(t, m, "i1", succeed)
	l := listen(t)
	s := meshhttp.NewServer(meshhttp.ServerOptions{Handler: n.gate.Handle, Admit: n.gate.Admit, Limits: testLimits, OnReadError: func(x *meshhttp.Exchange, status int, _ error) { x.Response.SetStatusCode(status) }})
	go func() { _ = s.Serve(l) }()
	m.change(func(v *controlclient.View) {
		v.Endpoints["a"][0].Gate, v.Endpoints["a"][0].Leaving, v.Endpoints["a"][0].StoppingSince = l.Addr().String(), true, time.Now()
	})
	e := newTestEntry(m)
	sendFor := func(remainingMs string) int {
		x := request("/write/1", remainingMs)
		e.Handle(context.Background(), x)
		return x.Response.StatusCode()
	}
	n.gate.Stop(stopAfter(4 * time.Second)) // 1.32 s before the last answer
	is.Equal(sendFor("300"), fasthttp.StatusOK)
	is.Equal(sendFor("1900"), fasthttp.StatusServiceUnavailable)
	is.Equal(sendFor("300"), fasthttp.StatusOK)
}

// Guards against nodes that reject requests because the few gates that do not stop are full, while those that stop
// have free slots and time; and against work for a stopping gate while others suffice.
func TestStoppingGatesShareTheLoadIfManyStop(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	for _, name := range []string{"i1", "i2", "i3", "i4"} {
		newNode(t, m, name, succeed)
	}
	e := newTestEntry(m)
	e.options.StopNotice = 2400 * time.Millisecond
	now := time.Now()
	stop := func(n int, since time.Time) {
		m.change(func(v *controlclient.View) {
			for i, p := range v.Endpoints["a"] {
				p.Leaving, p.StoppingSince = i < n, time.Time{}
				if i < n {
					p.StoppingSince = since
				}
			}
		})
	}
	counts := func() (int, int) {
		usable, stopping := e.candidates(m.View(), "a", versions{}, &requestInfo{}, now)
		return len(usable), len(stopping)
	}
	expect := func(usable, stopping int) {
		t.Helper()
		u, s := counts()
		is.Equal(u, usable)
		is.Equal(s, stopping)
	}
	stop(1, now)
	expect(3, 1)
	stop(2, now)
	expect(4, 0)
	stop(4, now)
	expect(4, 0)
	stop(3, now.Add(-2*time.Second)) // they admit no more requests as usual
	expect(1, 3)
}
