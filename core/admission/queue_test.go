package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var base = time.Unix(1000, 0)

func request(id uint64, priority uint32) Request {
	return Request{ID: id, Priority: priority, Goal: base.Add(300 * time.Millisecond), Deadline: base.Add(time.Second), GoalDuration: 300 * time.Millisecond, RejectionSample: 0.999}
}

// Checks that never more requests run than the upstream has slots, that none is
// lost or started twice, and that no request starts before a queued one with an
// earlier goal.
func TestQueueKeepsSlotsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := New(slots)
		goal := make(map[uint64]time.Time)
		state := make(map[uint64]string)
		start := func(ids []uint64) {
			for _, id := range ids {
				if state[id] != "waiting" {
					t.Fatalf("request %d started while %q", id, state[id])
				}
				state[id] = "running"
				for other, s := range state {
					if s == "waiting" && goal[other].Before(goal[id]) {
						t.Fatalf("request %d overtook %d, which is due earlier", id, other)
					}
				}
			}
		}
		idsIn := func(s string) (ids []uint64) {
			for id := uint64(0); id < uint64(len(state))+1; id++ {
				if state[id] == s {
					ids = append(ids, id)
				}
			}
			return ids
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := request(id, rapid.Uint32Range(0, 2).Draw(t, "priority"))
				r.Goal = base.Add(time.Duration(rapid.IntRange(100, 500).Draw(t, "goal")) * time.Millisecond)
				r.RejectionSample = rapid.Float64Range(0, 0.999).Draw(t, "rejection sample")
				goal[id] = r.Goal
				d, evicted := q.Offer(base, r)
				state[id] = map[Decision]string{Started: "running", Queued: "waiting", Busy: "rejected"}[d]
				for _, e := range evicted {
					if state[e] != "waiting" || goal[e].Before(goal[id]) {
						t.Fatalf("request %d evicted for %d", e, id)
					}
					state[e] = "rejected"
				}
			case 2:
				state[id] = "none"
				if ids := idsIn("running"); len(ids) > 0 {
					done := rapid.SampledFrom(ids).Draw(t, "done")
					state[done] = "done"
					start(q.Finish(base, done, 20*time.Millisecond, true))
				}
			case 3:
				state[id] = "none"
				if ids := idsIn("waiting"); len(ids) > 0 {
					cancelled := rapid.SampledFrom(ids).Draw(t, "gone")
					if !q.Cancel(cancelled) {
						t.Fatalf("request %d was not waiting", cancelled)
					}
					state[cancelled] = "gone"
				}
			}
			if n := len(idsIn("running")); n > slots || n != q.Load(base).Running || len(idsIn("waiting")) != q.Load(base).Queued {
				t.Fatalf("%d run on %d slots; %+v", n, slots, q.Load(base))
			}
			if len(idsIn("running")) < slots && len(idsIn("waiting")) > 0 {
				t.Fatal("a slot is free while a request waits")
			}
		}
	})
}

// Guards against a queue that grows under overload until every request misses its response time.
func TestRejectsRequestsThatWouldBeLate(t *testing.T) {
	is := is.New(t)
	q := New(1)
	decisions := make(map[Decision]int)
	for id := range uint64(100) {
		d, _ := q.Offer(base, request(id, 1))
		decisions[d]++
	}
	is.Equal(decisions[Started], 1)
	// Of 300 ms for the response a quarter is kept in reserve and 90 ms are assumed as the service time: one or two may wait.
	is.True(decisions[Queued] >= 1 && decisions[Queued] <= 2)
	urgent := request(100, 0)
	urgent.Goal = urgent.Goal.Add(-time.Millisecond)
	d, evicted := q.Offer(base, urgent)
	is.Equal(d, Queued) // accepted, because its goal is earlier
	is.True(len(evicted) <= 1)
}

// Guards against starvation: under overload every priority is served, a more urgent one more often.
func TestOverloadServesEveryPriority(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	q := New(9)
	now := base
	offered, started := [3]float64{}, [3]float64{}
	class, ends := make(map[uint64]uint32), make(map[uint64]time.Time)
	const service = 60 * time.Millisecond
	start := func(id uint64) {
		started[class[id]]++
		ends[id] = now.Add(service)
	}
	for id := range uint64(20000) { // 1.6 times the capacity of nine slots
		now = now.Add(service / 9 * 10 / 16)
		for other, end := range ends {
			if !end.After(now) {
				delete(ends, other)
				for _, next := range q.Finish(now, other, service, true) {
					start(next)
				}
			}
		}
		r := request(id, uint32(random.IntN(3)))
		r.Goal, r.Deadline, r.RejectionSample = now.Add(300*time.Millisecond), now.Add(time.Second), random.Float64()
		class[id] = r.Priority
		offered[r.Priority]++
		if d, _ := q.Offer(now, r); d == Started {
			start(id)
		}
	}
	share := func(p int) float64 { return started[p] / offered[p] }
	is.True(share(2) > 0.4)           // the least urgent priority is not starved
	is.True(share(0) > share(1))      // more urgent priorities are served more often
	is.True(share(1) > share(2))      //
	is.True(share(0)-share(2) < 0.35) // but not at the expense of all others
}

// Guards against requests that cannot meet their goal any more and take the
// slots of those that still can.
func TestLateRequestsQueueBehindOnTimeRequests(t *testing.T) {
	is := is.New(t)
	q := New(1)
	late := request(1, 0)
	late.Goal = base
	_, _ = q.Offer(base, request(0, 0))
	q.serviceSeconds, q.samples = 0.03, 1
	d, _ := q.Offer(base, late)
	is.Equal(d, Queued) // the queue has room
	d, _ = q.Offer(base, request(2, 2))
	is.Equal(d, Queued)
	is.Equal(q.Finish(base, 0, time.Millisecond, true), []uint64{2})
	for id := uint64(3); ; id++ {
		if d, _ = q.Offer(base, request(id, 2)); d == Busy {
			break
		}
	}
	late.ID = 1000
	d, _ = q.Offer(base, late)
	is.Equal(d, Busy)
}

// Guards against a new or hanging upstream whose queue collects requests that
// wait far beyond their response time, because no service time was measured yet
// or since it hangs.
func TestQueueStaysShortWithoutMeasurements(t *testing.T) {
	is := is.New(t)
	q := New(9)
	queued := 0
	for id := range uint64(200) {
		if d, _ := q.Offer(base, request(id, 1)); d == Queued {
			queued++
		}
	}
	is.True(queued <= 14) // 135 ms of wait on 9 slots at an assumed service time of 90 ms
	for id := range uint64(9) {
		q.Finish(base, id, 60*time.Millisecond, true)
	}
	q.Clear()
	later := base.Add(2 * time.Second) // the running requests have taken 2 s: the upstream hangs
	r := request(1000, 1)
	r.Goal, r.Deadline = later.Add(300*time.Millisecond), later.Add(time.Second)
	d, _ := q.Offer(later, r)
	is.Equal(d, Busy)
}
