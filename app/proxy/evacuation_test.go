package proxy

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/core/coldstart"
	"github.com/rattanfield/rattanfield/core/condition"
	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// evacuate starts or ends the evacuation of a failure domain in a view.
func evacuate(domain string, active bool) func(*controlclient.View) {
	return func(v *controlclient.View) {
		v.ChangeCount++
		v.Evacuated = map[string]bool{}
		if active {
			v.Evacuated[domain] = true
		}
	}
}

// newNodeIn returns a node in a failure domain and region whose gate has its own view, and adds it to the view of an entry.
func newNodeIn(t *testing.T, entry *mesh, domain, region string, behave func(*meshhttp.Exchange)) (*node, *mesh) {
	own := newMesh()
	n := newNode(t, own, "i-"+domain, behave)
	n.gate.options.FailureDomain = domain
	entry.change(func(v *controlclient.View) {
		p := *own.view.Endpoints["a"][0]
		p.FailureDomain, p.Region = domain, region
		v.Endpoints["a"] = append(v.Endpoints["a"], &p)
	})
	return n, own
}

// ask sends a request of an entry with a long time limit to the gate of a node, and returns whether it ran and the reason.
func (n *node) ask(t *testing.T) (ran, reason string) {
	x := gateExchange("")
	x.Request.Header.Set(hopGoalMs, "1900")
	x.Request.Header.Set(hopGoalDurationMs, "200")
	n.gate.Handle(t.Context(), x)
	return string(x.Response.Header.Peek(hopRan)), string(x.Response.Header.Peek(hopReason))
}

// blockedUpstream returns the behaviour of an upstream that answers after the returned function was called.
func blockedUpstream() (behave func(*meshhttp.Exchange), release func()) {
	released := make(chan struct{})
	return func(x *meshhttp.Exchange) {
		<-released
		succeed(x)
	}, func() { close(released) }
}

// Guards against requests that start in an evacuated failure domain, or wait there until their time limit, and against running
// ones that are cut.
func TestEvacuatedGateStartsNothing(t *testing.T) {
	is := is.New(t)
	behave, release := blockedUpstream()
	n, own := newNodeIn(t, newMesh(), "d1", "r1", behave)
	answers := make(chan string, 4) // two run, two wait
	for range cap(answers) {
		go func() {
			ran, reason := n.ask(t)
			answers <- ran + " " + reason
		}()
	}
	busy := func() bool {
		n.gate.mu.Lock()
		defer n.gate.mu.Unlock()
		return n.gate.activeUpstream.queue.Load(time.Now()).Queued == 2 && n.upstream.count() == 2
	}
	eventually(t, "two requests run and two wait", busy)
	own.change(evacuate("d1", true))
	n.gate.followCold(t.Context(), time.Now())
	rejected := ranNo + " " + reasonEvacuated
	is.Equal([]string{<-answers, <-answers}, []string{rejected, rejected}) // while the others run
	ran, reason := n.ask(t)
	is.Equal(ran+" "+reason, rejected)
	release()
	is.Equal([]string{<-answers, <-answers}, []string{ranYes + " ", ranYes + " "})
	is.Equal(n.upstream.count(), 2)
	own.change(evacuate("d1", false))
	ran, _ = n.ask(t)
	is.Equal(ran, ranYes)
}

// Guards against requests that fail, or that use up a budget, because the entry learns later than the gates of an evacuation,
// and against gates that are asked one after the other meanwhile. No request may reach the failure domain.
func TestEntryBelievesEvacuatedGate(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	var closed []*node
	for range 3 {
		n, own := newNodeIn(t, m, "d1", "r1", succeed)
		own.change(evacuate("d1", true))
		n.gate.metrics = NewMetrics(metrics.NewSet())
		closed = append(closed, n)
	}
	open, _ := newNodeIn(t, m, "d2", "r1", succeed)
	e := newTestEntry(m)
	e.options.RetryBudgetPercent, e.options.RetryBudgetExtra = 0, 0
	for range 30 {
		is.Equal(send(e, "/write/1").Response.StatusCode(), 200)
	}
	is.Equal(open.upstream.count(), 30)
	asked := 0
	for _, n := range closed {
		is.Equal(n.upstream.count(), 0)
		asked += int(n.gate.metrics.set.GetOrCreateCounter(`rattanfield_requests_total{side="gate",reason="evacuated"}`).Get())
	}
	is.True(asked <= 1)
	// A gate that lags behind the end closes only itself, and a request may meet more of them than it may be rerouted.
	m.change(func(v *controlclient.View) { v.ChangeCount = 5 })
	for range 3 {
		_, own := newNodeIn(t, m, "d1", "r1", succeed)
		own.change(evacuate("d1", true))
	}
	asksClosed := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		v := m.View()
		usable, _ := e.candidates(v, "a", versions{}, &requestInfo{}, time.Now())
		return len(usable) == 7
	}
	is.True(asksClosed())
	for range 20 {
		e = newTestEntry(m)
		is.Equal(send(e, "/write/1").Response.StatusCode(), 200)
	}
}

// Guards against a request that leaves its regions, also when it is repeated or no upstream is left there, and against one
// that is held on although no upstream is left. The answer must state truthfully whether it may have run.
func TestRequestsStayInTheirRegions(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	fail, _ := newNodeIn(t, m, "d1", "r1", respond(500))
	lose, _ := newNodeIn(t, m, "d2", "r1", garble)
	outside, _ := newNodeIn(t, m, "d3", "r2", succeed)
	bind := func(route, organisation []string, keys ...string) *Entry {
		p := newMesh().view.Plan.Plan
		for _, r := range p.GetRoutes() {
			r.AllowedRegions = &pb.Regions{Names: route}
		}
		if len(keys) > 0 {
			p.Organisations = []*pb.Organisation{{Name: "o", Keys: keys, AllowedRegions: &pb.Regions{Names: organisation}}}
			p.HasOrganisations = true
		}
		m.change(func(v *controlclient.View) { v.Plan = plan.NewTable(p, 1) })
		return newTestEntry(m)
	}
	e := bind([]string{"r1"}, nil)
	for range 10 {
		status := send(e, "/read/1").Response.StatusCode()
		is.True(status == 500 || status == 502)
		status = send(e, "/write/1").Response.StatusCode()
		is.True(status == 500 || status == 502)
	}
	is.True(fail.upstream.count() > 0 && lose.upstream.count() > 0)
	is.Equal(outside.upstream.count(), 0)
	e = bind(nil, nil) // an empty list binds to nothing
	for range 20 {
		send(e, "/read/1")
	}
	is.True(outside.upstream.count() > 0)
	before := outside.upstream.count()
	reject := func(e *Entry, key, reason string) {
		t.Helper()
		x := &meshhttp.Exchange{Received: time.Now()}
		x.Request.Header.SetHost("h")
		x.Request.Header.SetRequestURI("/read/1")
		x.Request.Header.Set(testHeaders.Key, key)
		e.Handle(t.Context(), x)
		is.Equal(x.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
		is.Equal(string(x.Response.Body()), reason+"\n")
		is.True(len(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0)
		is.True(time.Since(x.Received) < 100*time.Millisecond)
	}
	reject(bind([]string{"r3"}, nil), "", reasonNoRegion)
	reject(bind([]string{"r2"}, []string{"r1"}, "k"), "k", reasonNoRegion) // both bind
	m.change(evacuate("d3", true))
	reject(bind([]string{"r2"}, nil), "", reasonEvacuated)
	is.Equal(outside.upstream.count(), before)
}

// coldPlan returns a plan whose service takes 17 requests per second in its slow start of 8 s.
func coldPlan() *plan.Table {
	p := newMesh().view.Plan.Plan
	p.Services[0] = &pb.PlanService{Name: "a", ColdRequestsPerSecond: 17, ColdStartMs: 8000, HealthPath: "/health"}
	return plan.NewTable(p, 1)
}

// Guards against more requests in a second than a cold upstream survives, with 400 requests per second at its gate, against
// cold upstreams that serve nothing, and against an evacuation whose end opens the gate to an upstream that has become cold
// meanwhile. Requests beyond the bound have not run.
func TestGateBoundsColdUpstream(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var arrivals []time.Time
	probes, left := 0, "0"
	n, own := newNodeIn(t, newMesh(), "d1", "r1", func(x *meshhttp.Exchange) {
		mu.Lock()
		defer mu.Unlock()
		if string(x.Request.Header.RequestURI()) == "/health" {
			probes++
			x.Response.Header.Set(testHeaders.ColdMs, left)
			return
		}
		arrivals = append(arrivals, time.Now())
		succeed(x)
	})
	n.gate.options.ColdExcess, n.gate.options.ColdSlack = 1.5, 8
	own.change(func(v *controlclient.View) { v.Plan = coldPlan() })
	n.gate.options.Report = func(condition.Condition) {}
	go func() { _ = n.gate.Run(t.Context()) }()
	rejected := 0
	play := func(d time.Duration) int {
		mu.Lock()
		arrivals = nil
		mu.Unlock()
		var group sync.WaitGroup
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2500 * time.Microsecond) {
			group.Go(func() {
				ran, reason := n.ask(t)
				mu.Lock()
				defer mu.Unlock()
				if reason == reasonCold {
					is.Equal(ran, ranNo)
					rejected++
				}
			})
		}
		group.Wait()
		mu.Lock()
		defer mu.Unlock()
		most := 0
		for i := range arrivals {
			in := 0
			for _, a := range arrivals[i:] {
				if a.Sub(arrivals[i]) <= time.Second {
					in++
				}
			}
			most = max(most, in)
		}
		return most
	}
	eventually(t, "a probe finds it warm", func() bool { return n.gate.ColdLeft() == 0 })
	is.True(play(300*time.Millisecond) > 33) // a warm upstream is not bounded
	mu.Lock()
	left = "6000"
	mu.Unlock()
	own.change(evacuate("d1", true))
	n.gate.followCold(t.Context(), time.Now())
	time.Sleep(1300 * time.Millisecond)
	own.change(evacuate("d1", false))
	most := play(3 * time.Second)
	mu.Lock()
	t.Logf("at most %d arrivals in a second, %d in 3 s, %d rejected, %d probes", most, len(arrivals), rejected, probes)
	is.True(most <= 33)
	is.True(len(arrivals) >= 3*17)
	is.True(probes <= 2*maxProbes)
	mu.Unlock()
	// An announcement under the same instance id brings the next slow start.
	a := n.announcement("i-d1", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING)
	a.ColdMs = 60_000
	n.gate.Announce(a)
	is.True(n.gate.ColdLeft() > 59*time.Second)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// Guards against an upstream that is taken for warm after it refused connections, and so has started again, and against a
// gate that a cold upstream's rejections keep from answering through another one without charge to a budget.
func TestColdUpstreamAfterCrashAndItsEntries(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	cold, own := newNodeIn(t, m, "d1", "r1", succeed)
	warm, _ := newNodeIn(t, m, "d2", "r1", succeed)
	for _, mesh := range []*mesh{m, own} {
		mesh.change(func(v *controlclient.View) { v.Plan, v.Nodes = coldPlan(), 2 })
	}
	l := listen(t)
	_ = l.Close()
	crashed := cold.announcement("i-d1", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING)
	crashed.Address, crashed.ColdMs = l.Addr().String(), 0
	cold.gate.Announce(crashed)
	cold.gate.mu.Lock()
	cold.gate.cold.tracker.Probed(time.Now(), time.Now(), 0)
	cold.gate.mu.Unlock()
	is.Equal(cold.gate.ColdLeft(), time.Duration(0))
	_, reason := cold.ask(t)
	is.Equal(reason, reasonNoUpstream)
	is.True(cold.gate.ColdLeft() > 7*time.Second)
	cold.gate.Announce(cold.announcement("i-d1", 3, pb.UpstreamState_UPSTREAM_STATE_SERVING)) // it is back
	is.True(cold.gate.ColdLeft() > 7*time.Second)

	e := newTestEntry(m)
	e.options.RetryBudgetPercent, e.options.RetryBudgetExtra = 0, 0
	for range 200 {
		is.Equal(send(e, "/write/1").Response.StatusCode(), 200)
	}
	is.True(cold.upstream.count() <= 13) // the limit without settings, 0.8 of 17
	is.True(warm.upstream.count() >= 187)
	m.change(func(v *controlclient.View) { v.Endpoints["a"] = v.Endpoints["a"][:1] })
	x := send(e, "/write/1")
	for ; x.Response.StatusCode() == 200; x = send(e, "/write/1") {
	}
	is.Equal(x.Response.StatusCode(), 503)
	is.Equal(string(x.Response.Body()), reasonCold+"\n")
}

// Guards against a gate that has just started and, not knowing of an evacuation or a slow start, runs what entries send to it.
func TestGateWithoutPlanStartsNothing(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n, own := newNodeIn(t, m, "d1", "r1", succeed)
	other, _ := newNodeIn(t, m, "d2", "r1", succeed)
	known := own.View().Plan
	own.change(func(v *controlclient.View) { v.Plan = nil })
	n.gate.options.AwaitPlan = true
	e := newTestEntry(m)
	for range 20 {
		is.Equal(send(e, "/write/1").Response.StatusCode(), 200)
	}
	is.Equal(n.upstream.count(), 0)
	is.Equal(other.upstream.count(), 20)
	own.change(func(v *controlclient.View) { v.Plan = known })
	ran, _ := n.ask(t)
	is.Equal(ran, ranYes)
}

// Guards against requests that wait at a cold upstream for a slot although it will not take them, and are not sent elsewhere.
func TestColdGateQueuesNoMoreThanFits(t *testing.T) {
	is := is.New(t)
	behave, release := blockedUpstream()
	n, own := newNodeIn(t, newMesh(), "d1", "r1", behave)
	n.gate.options.ColdExcess, n.gate.options.ColdSlack = 1.5, 8
	own.change(func(v *controlclient.View) { v.Plan = coldPlan() })
	a := n.announcement("i-d1", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING)
	a.Slots = 8
	n.gate.Announce(a)
	n.gate.mu.Lock()
	n.gate.cold.tracker = coldstart.NewTracker(time.Now().Add(-time.Minute))
	n.gate.cold.tracker.Assume(time.Now())
	n.gate.mu.Unlock()
	var group sync.WaitGroup
	var cold atomic.Int32
	for range 40 {
		group.Go(func() {
			if _, reason := n.ask(t); reason == reasonCold {
				cold.Add(1)
			}
		})
	}
	eventually(t, "requests that do not fit are rejected while others run", func() bool { return cold.Load() >= 14 })
	eventually(t, "all slots are used", func() bool { return n.upstream.count() == 8 })
	release()
	group.Wait()
	is.True(n.upstream.count() <= 26)
}
