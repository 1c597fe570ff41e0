package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var base = time.Unix(1000, 0)

func request(id uint64, priority uint32) Request {
	return Request{ID: id, Priority: priority, Goal: base.Add(300 * time.Millisecond), Deadline: base.Add(time.Second), Budget: 300 * time.Millisecond}
}

// Guards: never more requests run than the upstream has slots, none is lost or
// started twice, and no request starts before a more urgent one that waits.
func TestQueueKeepsSlotsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := New(slots)
		priority := make(map[uint64]uint32)
		state := make(map[uint64]string)
		start := func(ids []uint64) {
			for _, id := range ids {
				if state[id] != "waiting" {
					t.Fatalf("request %d started while %q", id, state[id])
				}
				state[id] = "running"
				for other, s := range state {
					if s == "waiting" && priority[other] < priority[id] {
						t.Fatalf("request %d of priority %d overtook %d of %d", id, priority[id], other, priority[other])
					}
				}
			}
		}
		pick := func(s string) (ids []uint64) {
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
				priority[id] = rapid.Uint32Range(0, 2).Draw(t, "priority")
				d, evicted := q.Offer(base, request(id, priority[id]))
				state[id] = map[Decision]string{Started: "running", Queued: "waiting", Busy: "refused"}[d]
				for _, e := range evicted {
					if state[e] != "waiting" || priority[e] < priority[id] {
						t.Fatalf("request %d evicted for %d", e, id)
					}
					state[e] = "refused"
				}
			case 2:
				state[id] = "none"
				if ids := pick("running"); len(ids) > 0 {
					done := rapid.SampledFrom(ids).Draw(t, "done")
					state[done] = "done"
					start(q.Finish(done, 20*time.Millisecond, true))
				}
			case 3:
				state[id] = "none"
				if ids := pick("waiting"); len(ids) > 0 {
					gone := rapid.SampledFrom(ids).Draw(t, "gone")
					if !q.Cancel(gone) {
						t.Fatalf("request %d was not waiting", gone)
					}
					state[gone] = "gone"
				}
			}
			if n := len(pick("running")); n > slots || n != q.Load().Running || len(pick("waiting")) != q.Load().Queued {
				t.Fatalf("%d run on %d slots; %+v", n, slots, q.Load())
			}
			if len(pick("running")) < slots && len(pick("waiting")) > 0 {
				t.Fatal("a slot is free while a request waits")
			}
		}
	})
}

// Guards against a queue that grows until every request misses its response time.
func TestRefusesWhatWouldBeLate(t *testing.T) {
	is := is.New(t)
	q := New(1)
	decisions := make(map[Decision]int)
	for id := range uint64(100) {
		d, _ := q.Offer(base, request(id, 1))
		decisions[d]++
	}
	is.Equal(decisions[Started], 1)
	// 300 ms for the answer, a quarter of it kept, 30 ms on the upstream: six or so may wait.
	is.True(decisions[Queued] >= 5 && decisions[Queued] <= 8)
	d, evicted := q.Offer(base, request(100, 0))
	is.Equal(d, Queued) // a more urgent one is taken
	is.True(len(evicted) <= 1)
}
