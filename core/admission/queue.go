// Package admission decides which requests run on one upstream: at most as many
// at once as it has slots, those first whose answer is due first, and none that
// would wait longer than its response time allows. Under overload every class
// keeps a part of the slots, a more urgent one the larger part of what it asks
// for. It does no I/O and reads no clock.
package admission

import (
	"slices"
	"time"
)

// Decision on a request.
type Decision uint8

// Decisions. After Queued, Finish, Cancel or Expire brings the final one.
const (
	Started Decision = iota + 1
	Queued
	Busy // it would wait too long
)

// Request asks for a slot.
type Request struct {
	ID       uint64
	Priority uint32 // 0 is the most urgent
	// Goal is when the answer should be there; Deadline when it must.
	Goal, Deadline time.Time
	// Budget is the whole time from the caller's request to its goal.
	Budget time.Duration
	// RejectionSample in [0,1) stays the same for a request wherever it asks, so that asking again does not
	// improve its chance.
	RejectionSample float64
}

// Load of the upstream, which entries weigh against that of others.
type Load struct {
	Running, Queued, Slots int
	Service                time.Duration // time of a request on the upstream
}

const (
	// goalShare of the response time is planned with; the rest covers the way back and the
	// spread of the time on the upstream.
	goalShare = 0.75
	// leastWait is the share of the response time that a request may wait although the
	// upstream alone takes longer than the goal: a late answer is still worth something.
	leastWait = 0.1
	// softShare of the allowed wait is free; beyond it the part of the requests that is refused
	// grows with the wait, so that no class is refused altogether.
	softShare = 0.45
	// averageWeight of a new measurement in the running average: about the last 20 requests.
	averageWeight = 0.05
	// firstShare of the response time stands for the time of a request before any was measured.
	firstShare = 0.3
	// firstMeasured requests make up the average at first, before averageWeight does.
	firstMeasured = 20
	// hangPrior requests that just began are assumed beside those that run, so that a single long
	// one is not taken for an upstream that hangs.
	hangPrior = 3
	// maxQueued requests per slot wait, whatever the average says.
	maxQueued = 3
)

// Queue of one upstream. It is not safe for concurrent use.
type Queue struct {
	slots    int
	service  float64 // seconds, average of what was measured
	measured int
	running  map[uint64]time.Time // since when
	waiting  []Request            // by goal
}

// New returns an empty queue for an upstream that runs so many requests at once.
func New(slots int) *Queue {
	return &Queue{slots: max(1, slots), running: make(map[uint64]time.Time)}
}

// SetSlots changes how many requests run at once; it returns those that start.
func (q *Queue) SetSlots(now time.Time, slots int) []uint64 {
	q.slots = max(1, slots)
	return q.fill(now)
}

// Offer decides on a new request. Evicted requests were queued and are due later.
func (q *Queue) Offer(now time.Time, r Request) (d Decision, evicted []uint64) {
	if len(q.running) < q.slots && len(q.waiting) == 0 {
		q.running[r.ID] = now
		return Started, nil
	}
	service := q.serviceTime(now, r.Budget)
	if r.Goal.Sub(now) < service {
		r.Goal = r.Deadline // too late for the goal: those that can still meet theirs go first
	}
	at := q.position(r.Goal)
	if len(q.waiting) >= maxQueued*q.slots || q.refuses(q.wait(at, service), r.MaxWait(now, service), r) {
		return Busy, nil
	}
	q.waiting = slices.Insert(q.waiting, at, r)
	for i := len(q.waiting) - 1; i > at; i-- {
		if w := q.waiting[i]; q.wait(i, service) > w.MaxWait(now, service)+evictSlack {
			evicted = append(evicted, w.ID)
			q.waiting = slices.Delete(q.waiting, i, i+1)
		}
	}
	return Queued, evicted
}

// refusalWeight of the priorities: the part of refusals that a class gets, compared with the least urgent one.
var refusalWeight = [...]float64{0.55, 0.8, 1}

func (q *Queue) refuses(wait, allowed time.Duration, r Request) bool {
	return wait > allowed || r.RejectionSample < RejectionProbability(wait, allowed, r.Priority)
}

// RejectionProbability of the requests of a priority that would wait so long: 0 up to
// softShare of the allowed wait, 1 above it.
func RejectionProbability(wait, allowed time.Duration, priority uint32) float64 {
	soft := time.Duration(softShare * float64(allowed))
	switch {
	case wait > allowed:
		return 1
	case wait <= soft:
		return 0
	}
	return refusalWeight[min(int(priority), len(refusalWeight)-1)] * float64(wait-soft) / float64(allowed-soft)
}

// evictSlack keeps a queued request in its place that another one delays a little.
const evictSlack = 50 * time.Millisecond

// position behind the last request that is due no later.
func (q *Queue) position(goal time.Time) int {
	i := len(q.waiting)
	for i > 0 && q.waiting[i-1].Goal.After(goal) {
		i--
	}
	return i
}

// wait is the expected time until the request at a position of the queue starts.
func (q *Queue) wait(position int, service time.Duration) time.Duration {
	ahead := float64(len(q.running)-q.slots) + float64(position) + 1
	return time.Duration(max(0, ahead) / float64(q.slots) * float64(service))
}

// serviceTime is what a request takes on the upstream: the average of those that
// ended, or more when those that run have taken longer already.
func (q *Queue) serviceTime(now time.Time, budget time.Duration) time.Duration {
	service := time.Duration(q.service * float64(time.Second))
	if q.measured == 0 {
		service = time.Duration(firstShare * float64(budget))
	}
	return max(service, q.MeanRunningTime(now))
}

// MeanRunningTime is the time that the running requests have taken already, on average;
// it tells of an upstream that ends none.
func (q *Queue) MeanRunningTime(now time.Time) time.Duration {
	elapsed := time.Duration(0)
	for _, since := range q.running {
		elapsed += now.Sub(since)
	}
	return elapsed / time.Duration(len(q.running)+hangPrior)
}

// MaxWait is how long a request may wait for an upstream that takes so long and still be answered in time.
func (r Request) MaxWait(now time.Time, service time.Duration) time.Duration {
	planned := r.Goal.Sub(now) - time.Duration((1-goalShare)*float64(r.Budget)) - service
	if r.Goal.Equal(r.Deadline) {
		planned = 0
	}
	least := time.Duration(leastWait * float64(r.Budget))
	return min(max(planned, least), r.Deadline.Sub(now)-service)
}

// Finish frees the slot of a request; measured tells that the latency says how
// long the upstream takes. It returns the requests that start.
func (q *Queue) Finish(now time.Time, id uint64, latency time.Duration, measured bool) []uint64 {
	if _, ok := q.running[id]; !ok {
		return nil
	}
	delete(q.running, id)
	if measured {
		q.measured++
		q.service += max(averageWeight, 1/float64(min(q.measured, firstMeasured))) * (latency.Seconds() - q.service)
	}
	return q.fill(now)
}

// Cancel forgets a request that waits; it reports whether it did.
func (q *Queue) Cancel(id uint64) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool { return r.ID == id })
	return len(q.waiting) < before
}

// Clear empties the queue and returns what waited.
func (q *Queue) Clear() []uint64 {
	out := make([]uint64, 0, len(q.waiting))
	for _, r := range q.waiting {
		out = append(out, r.ID)
	}
	q.waiting = nil
	return out
}

func (q *Queue) fill(now time.Time) []uint64 {
	var started []uint64
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		r := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running[r.ID] = now
		started = append(started, r.ID)
	}
	return started
}

// Load returns the present load; the service time is 0 until one was measured.
func (q *Queue) Load(now time.Time) Load {
	return Load{
		Running: len(q.running), Queued: len(q.waiting), Slots: q.slots,
		Service: q.serviceTime(now, 0),
	}
}
