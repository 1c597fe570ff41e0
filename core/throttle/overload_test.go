package throttle

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/placement"
	"github.com/rattanfield/rattanfield/core/retry"
	"github.com/rattanfield/rattanfield/ports"
)

// event is something that happens at a time of the simulation.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	simGates, simEntries = 18, 40
	simSlots             = 6
	simService           = 100 * time.Millisecond // mean time of a request on an upstream
	simGoal              = 500 * time.Millisecond
	simDeadline          = 1500 * time.Millisecond
	simRetries           = 2 // of a client, after a rejection
	simRetryAfter        = 120 * time.Millisecond
	// simTransfer is the time of a request of 1800 bytes on the link of a gate with 3.9 Mbit/s.
	simTransfer = 3700 * time.Microsecond
	simLength   = 12 * time.Second
	simReroutes = 2
)

// simGate is a gate with its upstream and its link, on which requests queue.
type simGate struct {
	queue    *admission.Queue
	speed    float64
	arrivals [simLength / time.Second]float64
	waiting  map[uint64]*simRequest
	linkFree time.Time
}

// simRequest is one attempt of a client.
type simRequest struct {
	id       uint64
	entry    *simEntry
	goal     time.Time
	deadline time.Time
	retries  int
	tried    map[string]bool
	reroutes int
	gate     int
	sent     time.Time
	arrived  time.Time
}

// simEntry is an entry with what it knows.
type simEntry struct {
	picker   *placement.Picker
	targets  []placement.Candidate
	throttle Throttle
	comeback Comeback
	search   *retry.Budget
}

// overload simulates clients that send a multiple of what the upstreams of a service can run and
// return after rejections, entries and gates with the decisions of this repository, and links of
// limited bandwidth.
type overload struct {
	throttled bool
	planned   bool                                // rejected clients come back by Comeback, instead of after simRetryAfter
	load      func(elapsed time.Duration) float64 // in multiples of the capacity
	// uneven states that upstreams differ in speed and that the demand moves through four failure domains in two regions.
	uneven     bool
	ignoreBusy bool // see placement.Picker
	random     *rand.Rand
	now        time.Time
	events     events
	gates      []*simGate
	nextID     uint64

	requests, served, late, rejections, expired int
	seed                                        uint64
	refusedAgain                                int     // clients who came back and were rejected a second time
	crossings, busiest                          float64 // requests to other failure domains, arrivals at the busiest upstream
	waits                                       []time.Duration
}

func (o *overload) after(d time.Duration, run func()) {
	heap.Push(&o.events, event{o.now.Add(d), run})
}

func (o *overload) run(factor float64) {
	if o.load == nil {
		o.load = func(time.Duration) float64 { return factor }
	}
	perSecond := 0.0
	o.random, o.now = rand.New(rand.NewPCG(7, 7+o.seed)), start
	for i := range simGates {
		g := &simGate{queue: admission.New(simSlots), waiting: make(map[uint64]*simRequest), speed: 1}
		if o.uneven {
			g.speed = []float64{0.55, 1.2, 1.2, 1.2}[i/4%4]
		}
		o.gates = append(o.gates, g)
		perSecond += g.speed * simSlots / simService.Seconds()
	}
	for j := range simEntries {
		e := &simEntry{picker: placement.New(), search: retry.NewBudgetWithBurst(30, 10)}
		e.picker.IgnoreBusy = o.ignoreBusy
		for i := range simGates {
			c := placement.Candidate{Gate: string(rune('a' + i)), Slots: simSlots, Link: ports.LinkDomain}
			switch from, to := j%4, i%4; {
			case !o.uneven || from == to:
			case from/2 == to/2:
				c.Link = ports.LinkRegion
			default:
				c.Link = ports.LinkRemote
			}
			e.targets = append(e.targets, c)
		}
		demand := func() float64 {
			if !o.uneven {
				return o.load(o.now.Sub(start))
			}
			return o.load(o.now.Sub(start)) * (1 + 0.55*math.Sin(2*math.Pi*(o.now.Sub(start).Seconds()/15-float64(j%4)/4)))
		}
		var arrive func()
		arrive = func() {
			o.requests++
			o.attempt(e, o.now.Add(simGoal), o.now.Add(simDeadline), simRetries)
			o.after(time.Duration(o.random.ExpFloat64()/(demand()*perSecond/simEntries)*float64(time.Second)), arrive)
		}
		o.after(time.Duration(o.random.Float64()*float64(50*time.Millisecond)), arrive)
	}
	for len(o.events) > 0 && o.now.Sub(start) < simLength {
		next := heap.Pop(&o.events).(event)
		o.now = next.at
		next.run()
	}
}

func (o *overload) attempt(e *simEntry, goal, deadline time.Time, retries int) {
	o.nextID++
	r := &simRequest{id: o.nextID, entry: e, goal: goal, deadline: deadline, retries: retries, tried: make(map[string]bool)}
	if o.throttled && !e.throttle.Offer(o.now, o.random.Float64()) {
		o.refuse(r)
		return
	}
	e.search.CountCall()
	o.send(r)
}

// refuse tells the client that the request did not run; it may return.
func (o *overload) refuse(r *simRequest) {
	if r.retries == simRetries-1 {
		o.refusedAgain++
	}
	pause := time.Duration((0.5 + o.random.Float64()) * float64(simRetryAfter))
	if o.planned {
		t := &r.entry.throttle
		pause = r.entry.comeback.After(o.now, r.entry.picker.ExpectedWait("s"), t.AcceptedPerSecond(), r.deadline.Sub(o.now), o.random.Float64())
	}
	if r.retries > 0 && o.now.Add(pause).Before(r.deadline) {
		o.after(pause, func() { o.attempt(r.entry, r.goal, r.deadline, r.retries-1) })
	}
}

func (o *overload) send(r *simRequest) {
	maxWait := func(service time.Duration) time.Duration {
		return admission.Request{Goal: r.goal, Deadline: r.deadline, GoalDuration: simGoal}.MaxWaitInPeak(o.now, service, admission.Patience(r.entry.throttle.RejectedShare()))
	}
	left := r.goal.Sub(o.now)
	if left <= 0 {
		left = r.deadline.Sub(o.now)
	}
	i, _ := r.entry.picker.Pick(o.now, r.entry.targets, placement.PickRequest{
		Tried: func(gate string) bool { return r.tried[gate] }, Service: "s", TimeLeft: left, Kilobytes: 6, MaxQueueWait: maxWait, Random: o.random.Float64,
	})
	if i < 0 {
		r.entry.throttle.Done(o.now, false)
		o.refuse(r)
		return
	}
	r.gate, r.tried[r.entry.targets[i].Gate], r.sent = i, true, o.now
	r.entry.picker.Sent(r.entry.targets[i].Gate)
	g := o.gates[i]
	if g.linkFree.Before(o.now) {
		g.linkFree = o.now
	}
	g.linkFree = g.linkFree.Add(simTransfer)
	if r.entry.targets[i].Link != ports.LinkDomain {
		o.crossings++
	}
	o.after(g.linkFree.Sub(o.now), func() { o.arrive(g, r) })
}

func (o *overload) arrive(g *simGate, r *simRequest) {
	g.arrivals[min(int(o.now.Sub(start)/time.Second), len(g.arrivals)-1)]++
	r.arrived = o.now
	decision, evicted := g.queue.Offer(o.now, admission.Request{
		ID: r.id, Goal: r.goal, Deadline: r.deadline, GoalDuration: simGoal, RejectionSample: o.random.Float64(),
	})
	for _, id := range evicted {
		o.reject(g, g.waiting[id], true)
	}
	switch decision {
	case admission.Started:
		o.start(g, r)
	case admission.Queued:
		g.waiting[r.id] = r
	default:
		o.reject(g, r, false)
	}
}

func (o *overload) done(g *simGate, r *simRequest, notRun, waited bool) {
	load := g.queue.Load(o.now)
	r.entry.picker.Done(o.now, r.entry.targets[r.gate].Gate, "s", placement.Outcome{Load: &load, NotRun: notRun, Waited: waited, Latency: o.now.Sub(r.sent)})
}

func (o *overload) reject(g *simGate, r *simRequest, waited bool) {
	delete(g.waiting, r.id)
	o.rejections++
	o.done(g, r, true, waited)
	r.reroutes++
	if r.reroutes <= simReroutes && o.now.Before(r.deadline) && (!o.throttled || r.entry.search.TakeSaved()) {
		o.send(r)
		return
	}
	r.entry.throttle.Done(o.now, false)
	o.refuse(r)
}

func (o *overload) start(g *simGate, r *simRequest) {
	const spread = 0.8 // sigma of the log-normal service time
	spent := time.Duration(math.Exp(spread*o.random.NormFloat64()-spread*spread/2) * float64(simService) / g.speed)
	o.waits = append(o.waits, o.now.Sub(r.arrived))
	o.after(spent, func() {
		switch {
		case o.now.After(r.deadline):
			o.expired++
		case o.now.After(r.goal):
			o.late++
		default:
			o.served++
		}
		r.entry.throttle.Done(o.now, !o.now.After(r.deadline))
		for _, id := range g.queue.Finish(o.now, r.id, spent, true) {
			w := g.waiting[id]
			delete(g.waiting, id)
			o.start(g, w)
		}
		o.done(g, r, false, false)
	})
}

// Guards against a retry storm: under overload, requests that every gate rejects fill the links of
// the gates, so that those which could run arrive late or not at all.
func TestRetryStormLeavesTheLinksToRequestsThatRun(t *testing.T) {
	is := is.New(t)
	for _, factor := range []float64{0.7, 1.3, 2.6, 4} {
		plain, throttled := overload{}, overload{throttled: true}
		plain.run(factor)
		throttled.run(factor)
		capacity := simGates * simSlots / simService.Seconds() * simLength.Seconds()
		for name, o := range map[string]*overload{"without": &plain, "with": &throttled} {
			t.Logf("load %.1f, %s throttle: %.2f of the capacity in time, %.2f late, %.2f after the deadline, %.2f rejections by gates for each request that ran",
				factor, name, float64(o.served)/capacity, float64(o.late)/capacity, float64(o.expired)/capacity, float64(o.rejections)/float64(o.served+o.late+o.expired))
		}
		ran := throttled.served + throttled.late
		is.True(float64(throttled.rejections) < 1.5*float64(ran))                                      // rejections stay in proportion to the work
		is.True(float64(ran) > 0.9*capacity*min(1, factor))                                            // useful work does not collapse
		is.True(float64(throttled.served) > 0.97*float64(plain.served) || factor < 1)                  // nor fall behind no throttle
		is.True(factor > 1 || float64(throttled.served+throttled.late) > 0.97*float64(plain.requests)) // no request suffers without overload
	}
}

// Guards against clients who come back before there is room and are rejected a second time. Loads: a second at 2.6 times
// the capacity in calm of 0.7, every four; and 1.3 and 2 times the capacity without end. A rejected client returns twice.
func TestRejectedClientsComeBackWhenThereIsRoom(t *testing.T) {
	is := is.NewRelaxed(t)
	peak := func(elapsed time.Duration) float64 {
		if elapsed%(4*time.Second) < time.Second {
			return 2.6
		}
		return 0.7
	}
	for _, load := range []func(time.Duration) float64{peak, steady(1.3), steady(2)} {
		fixed := sumOfSeeds(overload{throttled: true, load: load})
		planned := sumOfSeeds(overload{throttled: true, planned: true, load: load})
		for name, o := range map[string]*overload{"fixed": fixed, "planned": planned} {
			n := float64(o.requests)
			t.Logf("%s: %.3f in time, %.3f late, rejected again %.3f of %d", name, float64(o.served)/n, float64(o.late)/n, float64(o.refusedAgain)/n, o.requests)
		}
		earned := func(o *overload) float64 { return float64(o.served) + 0.5*float64(o.late) }
		is.True(float64(planned.refusedAgain) < 0.9*float64(fixed.refusedAgain))
		is.True(earned(planned) > 0.97*earned(fixed))
	}
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// sumOfSeeds returns the sums over three runs of a simulation.
func sumOfSeeds(o overload) *overload {
	var sum overload
	for seed := range uint64(3) {
		run := o
		run.seed = seed
		run.run(0)
		sum.requests, sum.served, sum.late, sum.refusedAgain = sum.requests+run.requests, sum.served+run.served, sum.late+run.late, sum.refusedAgain+run.refusedAgain
		sum.waits, sum.crossings = append(sum.waits, run.waits...), sum.crossings+run.crossings
		for second := range run.gates[0].arrivals {
			most, total := 0.0, 0.0
			for _, g := range run.gates {
				most, total = max(most, g.arrivals[second]), total+g.arrivals[second]
			}
			sum.busiest += most * simGates / total / float64(3*len(run.gates[0].arrivals))
		}
	}
	slices.Sort(sum.waits)
	return &sum
}

// Guards against queues at the upstreams of one failure domain while others have room. Load: upstreams of speeds 0.55 and
// 1.2 in four failure domains, at 0.45 to 0.85 of their capacity, with a demand that moves through the domains in 15 s,
// plus or minus 55%.
func TestWorkMovesBeforeQueuesForm(t *testing.T) {
	is := is.NewRelaxed(t)
	for _, load := range []float64{0.45, 0.55, 0.7, 0.85} {
		o := overload{throttled: true, planned: true, load: steady(load), uneven: true}
		moving := sumOfSeeds(o)
		o.ignoreBusy = true
		present := sumOfSeeds(o)
		p99 := func(o *overload) time.Duration { return o.waits[len(o.waits)*99/100] }
		for name, o := range map[string]*overload{"present": present, "moving": moving} {
			n := float64(o.requests)
			t.Logf("load %.2f, %s: %.4f in time, %.4f late, rejected again %.4f; wait p99 %v; busiest %.2f; to other domains %.3f", load, name,
				float64(o.served)/n, float64(o.late)/n, float64(o.refusedAgain)/n, p99(o).Round(time.Millisecond), o.busiest, o.crossings/n)
		}
		is.True(moving.busiest < present.busiest)
		is.True(p99(moving) <= p99(present))
		inTime := func(o *overload) float64 { return float64(o.served) / float64(o.requests) }
		is.True(inTime(moving) > inTime(present))
		is.True(load > 0.5 || moving.crossings < 0.1*float64(moving.requests)) // in calm, work stays in its domain
	}
}
