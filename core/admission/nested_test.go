package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// overload offers requests to a queue in simulated time and counts how many of each kind start.
type overload struct {
	queue  *Queue
	random *rand.Rand
	now    time.Time
	nextID uint64
	kinds  map[uint64]*simKind
	ends   map[uint64]time.Time
}

// simKind is a kind of requests of a simulated load.
type simKind struct {
	perSecond       float64
	work            time.Duration
	request         Request // Goal and Deadline are ignored
	goal, timeLimit time.Duration
	offered, timely int
	late            int // started, but ended after the goal
	started         int
	useless         int                                 // ended after the time limit
	peak            func(elapsed time.Duration) float64 // multiplies perSecond; nil: 1
}

func (o *overload) start(id uint64) {
	k := o.kinds[id]
	k.started++
	o.ends[id] = o.now.Add(time.Duration((0.5 + o.random.Float64()) * float64(k.work)))
}

// run simulates the load in steps of a millisecond.
func (o *overload) run(slots int, length time.Duration, kinds ...*simKind) {
	o.queue, o.random, o.now = New(slots), rand.New(rand.NewPCG(3, 4)), base
	o.kinds, o.ends = make(map[uint64]*simKind), make(map[uint64]time.Time)
	began, requests := make(map[uint64]time.Time), make(map[uint64]Request)
	begin := func(ids []uint64) {
		for _, id := range ids {
			began[id] = o.now
			o.start(id)
		}
	}
	for o.now.Before(base.Add(length)) {
		o.now = o.now.Add(time.Millisecond)
		for id, end := range o.ends {
			if end.After(o.now) {
				continue
			}
			delete(o.ends, id)
			switch k, r := o.kinds[id], requests[id]; {
			case o.now.After(r.Deadline):
				k.useless++
			case o.now.After(r.Goal):
				k.late++
			default:
				k.timely++
			}
			o.queue.EvictLate(o.now)
			begin(o.queue.Finish(o.now, id, o.now.Sub(began[id]), true))
		}
		for _, k := range kinds {
			factor := 1.0
			if k.peak != nil {
				factor = k.peak(o.now.Sub(base))
			}
			for n := factor * k.perSecond / 1000; o.random.Float64() < n; n-- {
				o.nextID++
				k.offered++
				r := k.request
				r.ID, r.Goal, r.Deadline, r.GoalDuration, r.RejectionSample = o.nextID, o.now.Add(k.goal), o.now.Add(k.timeLimit), k.goal, o.random.Float64()
				o.kinds[r.ID], requests[r.ID] = k, r
				if d, _ := o.queue.Offer(o.now, r); d == Started {
					begin([]uint64{r.ID})
				}
			}
		}
	}
}

// Guards against nested calls that are rejected while requests of clients are served: the work that was done for their
// parents is then lost. Load: nine slots; urgent client requests of 100 ms for twice the capacity, and 60 nested calls/s
// of 15 ms with the least urgent priority, a goal of 200 ms and a time limit of 400 ms.
func TestNestedCallsGoBeforeClientRequests(t *testing.T) {
	is := is.New(t)
	client := &simKind{perSecond: 180, work: 100 * time.Millisecond, goal: 500 * time.Millisecond, timeLimit: 1500 * time.Millisecond}
	call := &simKind{
		perSecond: 60, work: 15 * time.Millisecond, goal: 200 * time.Millisecond, timeLimit: 400 * time.Millisecond,
		request: Request{Priority: 2, Nested: true, ServiceTime: 15 * time.Millisecond},
	}
	var o overload
	o.run(9, 20*time.Second, client, call)
	t.Logf("clients: %d of %d in time; calls: %d of %d, %d late", client.timely, client.offered, call.timely, call.offered, call.late)
	is.True(float64(client.started) < 0.7*float64(client.offered)) // the load is an overload
	is.True(float64(client.timely) > 0.35*float64(client.offered)) // and uses the capacity that is left
	is.True(float64(call.timely) > 0.95*float64(call.offered))
}

// Guards against a nested call that takes a slot although it cannot end by its time limit, and against a queue that
// grows by nested calls alone.
func TestNestedCallsThatCannotEndInTimeAreRejected(t *testing.T) {
	is := is.New(t)
	q := New(1)
	_, _ = q.Offer(base, request(0, 0))
	q.serviceSeconds, q.samples = 0.1, 1
	call := Request{ID: 1, Goal: base, Deadline: base.Add(90 * time.Millisecond), Nested: true}
	d, _ := q.Offer(base, call)
	is.Equal(d, Busy)
	for id := uint64(1); id <= 3; id++ {
		patient := Request{ID: id, Goal: base.Add(5 * time.Second), Deadline: base.Add(10 * time.Second), GoalDuration: 5 * time.Second}
		d, _ = q.Offer(base, patient) // they fill the queue
		is.Equal(d, Queued)
	}
	call.Deadline = base.Add(5 * time.Second)
	for id := uint64(10); id < 13; id++ {
		call.ID = id
		d, evicted := q.Offer(base, call)
		is.Equal(d, Queued)
		is.Equal(evicted, []uint64{13 - id}) // the last request of a client
	}
	call.ID = 20
	d, evicted := q.Offer(base, call)
	is.Equal(d, Busy)
	is.Equal(len(evicted), 0)
	is.Equal(q.Finish(base, 0, 0, false), []uint64{10})
}
