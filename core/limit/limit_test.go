package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// tracker is a model of the limiter that records which requests run and wait.
type tracker struct {
	t       *rapid.T
	l       *Limiter
	slots   int
	now     time.Time
	running map[uint64]Request
	waiting map[uint64]Request
	next    uint64
}

func (k *tracker) started(r Request) {
	if r.Exclusive && len(k.running) > 0 {
		k.t.Fatalf("request %d must run alone, %d run", r.ID, len(k.running))
	}
	for _, other := range k.running {
		if other.Exclusive {
			k.t.Fatalf("request %d started beside %d, which must run alone", r.ID, other.ID)
		}
	}
	if !r.Deadline.After(k.now) {
		k.t.Fatalf("request %d started after its deadline", r.ID)
	}
	k.running[r.ID] = r
	if len(k.running) > k.slots {
		k.t.Fatalf("%d requests run on %d slots", len(k.running), k.slots)
	}
}

func (k *tracker) events(events []Event) {
	for _, e := range events {
		r, ok := k.waiting[e.ID]
		if !ok {
			k.t.Fatalf("event %v for a request that does not wait", e)
		}
		delete(k.waiting, e.ID)
		if e.Decision == Started {
			k.started(r)
		}
	}
}

func (k *tracker) offer(t *rapid.T) {
	k.next++
	r := Request{
		ID: k.next, Tenant: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant")), Weight: uint32(rapid.IntRange(0, 3).Draw(t, "weight")),
		Deadline:  k.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline")) * time.Millisecond),
		Exclusive: rapid.IntRange(0, 9).Draw(t, "exclusive") == 0,
	}
	d, events := k.l.Offer(k.now, r)
	k.events(events)
	switch d {
	case Started:
		k.started(r)
	case Queued:
		k.waiting[r.ID] = r
	}
}

func (k *tracker) check(t *rapid.T) {
	load := k.l.Load()
	if load.Running != len(k.running) || load.Queued != len(k.waiting) {
		t.Fatalf("load %+v, but %d run and %d wait", load, len(k.running), len(k.waiting))
	}
	if load.Queued > 6 {
		t.Fatalf("%d wait, 6 may", load.Queued)
	}
	exclusive := false
	for _, m := range []map[uint64]Request{k.running, k.waiting} {
		for _, r := range m {
			exclusive = exclusive || r.Exclusive
		}
	}
	if !exclusive && load.Queued > 0 && load.Running < load.Slots {
		t.Fatalf("a slot is free while requests wait: %+v", load)
	}
	if load.Queued > 0 && load.Running == 0 {
		t.Fatalf("nothing runs while requests wait: %+v", load)
	}
}

func drawID(t *rapid.T, m map[uint64]Request, limit uint64) (uint64, bool) {
	var ids []uint64
	for id := uint64(1); id <= limit; id++ {
		if _, ok := m[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// Checks that requests never exceed the slots, run beside an exclusive one, start
// after their deadline, get lost in the queue or wait while a slot is free.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := &tracker{t: t, slots: 3, now: start, running: map[uint64]Request{}, waiting: map[uint64]Request{}}
		k.l = New(Options{Slots: 3, MaxQueue: 6})
		finish := func(t *rapid.T) {
			if id, ok := drawID(t, k.running, k.next); ok {
				delete(k.running, id)
				k.events(k.l.Finish(k.now, id, Result{
					Latency: time.Duration(rapid.IntRange(1, 50).Draw(t, "latency")) * time.Millisecond,
					Shed:    rapid.IntRange(0, 5).Draw(t, "shed") == 0, Valid: rapid.Bool().Draw(t, "valid"),
				}))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": k.check, "offer": k.offer, "offer again": k.offer, "offer once more": k.offer, "finish": finish, "finish again": finish,
			"cancel": func(t *rapid.T) {
				if id, ok := drawID(t, k.waiting, k.next); ok {
					delete(k.waiting, id)
					k.events(k.l.Cancel(k.now, id))
				}
			},
			"pass": func(t *rapid.T) {
				k.now = k.now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// load is a simulated tenant that offers requests at a fixed rate.
type load struct {
	name    string
	weight  uint32
	perSec  int
	service time.Duration
}

type simEvent struct {
	at   time.Time
	load int
	id   uint64 // 0: arrival
}

// simulate runs the loads on one upstream with 9 slots. It returns the slot time
// that each tenant got and the number of its requests that ran.
func simulate(loads []load, seconds int) (slotTime []time.Duration, ran []int) {
	l := New(Options{Slots: 9, MaxQueue: 64})
	slotTime, ran = make([]time.Duration, len(loads)), make([]int, len(loads))
	loadOf := map[uint64]int{}
	var pending []simEvent
	push := func(e simEvent) {
		i := len(pending)
		for i > 0 && pending[i-1].at.After(e.at) {
			i--
		}
		pending = append(pending[:i], append([]simEvent{e}, pending[i:]...)...)
	}
	begin := func(now time.Time, id uint64) {
		push(simEvent{at: now.Add(loads[loadOf[id]].service), load: loadOf[id], id: id})
	}
	for i := range loads {
		push(simEvent{at: start, load: i})
	}
	end, id := start.Add(time.Duration(seconds)*time.Second), uint64(0)
	for len(pending) > 0 && pending[0].at.Before(end) {
		e := pending[0]
		pending = pending[1:]
		var events []Event
		if e.id == 0 {
			id++
			loadOf[id] = e.load
			push(simEvent{at: e.at.Add(time.Second / time.Duration(loads[e.load].perSec)), load: e.load})
			var d Decision
			d, events = l.Offer(e.at, Request{ID: id, Tenant: loads[e.load].name, Weight: loads[e.load].weight, Deadline: e.at.Add(time.Second)})
			if d == Started {
				begin(e.at, id)
			}
		} else {
			slotTime[e.load] += loads[e.load].service
			ran[e.load]++
			events = l.Finish(e.at, e.id, Result{Latency: loads[e.load].service, Valid: true})
		}
		for _, ev := range events {
			if ev.Decision == Started {
				begin(e.at, ev.ID)
			}
		}
	}
	return slotTime, ran
}

// Checks that a tenant gets its weighted share of the slots whatever the others
// offer, and that the others get what it does not use.
func TestFairShares(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name  string
		loads []load
		share []float64 // of the slot time that was used
	}{
		{"equal weights, one floods", []load{{"a", 1, 2000, 10 * ms}, {"b", 1, 800, 10 * ms}}, []float64{0.5, 0.5}},
		{"weights 1, 2, 3", []load{{"a", 1, 1500, 10 * ms}, {"b", 2, 1500, 10 * ms}, {"c", 3, 1500, 10 * ms}}, []float64{1. / 6, 2. / 6, 3. / 6}},
		{"a small tenant keeps all it wants", []load{{"a", 1, 90, 10 * ms}, {"b", 1, 3000, 10 * ms}, {"c", 1, 3000, 10 * ms}}, []float64{0.1, 0.45, 0.45}},
		{"slow requests cost more", []load{{"a", 1, 1000, 30 * ms}, {"b", 1, 2000, 10 * ms}}, []float64{0.5, 0.5}},
		{"alone: all slots", []load{{"a", 1, 2000, 10 * ms}}, []float64{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			slotTime, ran := simulate(c.loads, 10)
			total := time.Duration(0)
			for _, s := range slotTime {
				total += s
			}
			if total < 9*95*time.Second/10 {
				t.Errorf("slots were used for %v of 90 s", total)
			}
			for i, s := range slotTime {
				if got := s.Seconds() / total.Seconds(); got < c.share[i]*0.93 || got > c.share[i]*1.07 {
					t.Errorf("tenant %s got %.3f of the slots, want %.3f (%d ran)", c.loads[i].name, got, c.share[i], ran[i])
				}
			}
		})
	}
}

// Checks that exactly the requests that cannot finish in time are rejected at once.
func TestDeadlineAwareAdmission(t *testing.T) {
	is := is.New(t)
	l := New(Options{Slots: 1, MaxQueue: 10})
	offer := func(id uint64, d time.Duration) Decision {
		decision, _ := l.Offer(start, Request{ID: id, Deadline: start.Add(d)})
		return decision
	}
	is.Equal(offer(1, time.Second), Started)
	l.Finish(start, 1, Result{Latency: 100 * time.Millisecond, Valid: true})
	is.Equal(offer(2, time.Second), Started)
	is.Equal(offer(3, 240*time.Millisecond), CannotStartInTime) // 100 ms wait and 100 ms service time with a margin of 25%
	is.Equal(offer(4, 260*time.Millisecond), Queued)
	is.Equal(offer(5, 260*time.Millisecond), CannotStartInTime)
	is.Equal(offer(6, 0), DeadlinePast)
}

// Checks that the limit falls when the upstream sheds load or slows down under
// load, and recovers afterwards.
func TestAdaptiveLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  Result
	}{
		{"sheds", Result{Shed: true}},
		{"slows down", Result{Latency: 100 * time.Millisecond, Valid: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, now, id := New(Options{Slots: 9, MaxQueue: 1000}), start, uint64(0)
			run := func(n int, r Result) {
				for range n {
					id++
					_, _ = l.Offer(now, Request{ID: id, Deadline: now.Add(time.Hour)})
					now = now.Add(10 * time.Millisecond)
					for first := range l.running {
						l.Finish(now, first, r)
						break
					}
				}
			}
			good := Result{Latency: 10 * time.Millisecond, Valid: true}
			for range 20 { // keep all slots busy
				id++
				_, _ = l.Offer(now, Request{ID: id, Deadline: now.Add(time.Hour)})
			}
			run(100, good)
			is.Equal(l.Load().Slots, 9)
			run(200, c.bad)
			is.True(l.Load().Slots <= 4)
			run(400, good)
			is.Equal(l.Load().Slots, 9)
		})
	}
}

// Guards against exclusive requests that starve the others: regular requests that
// were queued run between two exclusive ones.
func TestExclusiveRequestsTakeTurns(t *testing.T) {
	is := is.New(t)
	l := New(Options{Slots: 1, MaxQueue: 10})
	for id, exclusive := range []bool{false, true, true, false} {
		_, _ = l.Offer(start, Request{ID: uint64(id), Deadline: start.Add(time.Hour), Exclusive: exclusive})
	}
	var order []uint64
	for next := uint64(0); ; {
		events := l.Finish(start, next, Result{})
		if len(events) == 0 {
			break
		}
		next = events[0].ID
		order = append(order, next)
	}
	is.Equal(order, []uint64{1, 3, 2})
}
