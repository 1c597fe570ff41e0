// Package admission is the admission control of one upstream. At most as many requests run at once as the upstream has
// slots, queued requests start in the order of their latest start (goal minus service time), and a request that would
// wait longer than Request.MaxWait is rejected, unless it can wait for the end of a short peak. Under overload a request
// is rejected with a probability that grows with the expected wait and is lower for urgent priorities, but not lower
// than the share of rejected requests of more urgent priorities. The package does no I/O and reads no clock.
package admission

import (
	"slices"
	"time"
)

// Decision is the result of Queue.Offer.
type Decision uint8

// The decisions on an offered request.
const (
	Started   Decision = iota + 1
	Queued             // the request starts, is evicted or is cancelled later
	Busy               // rejected: the request would wait too long
	OverShare          // rejected: its organisation demands more than its fair share, and not all can be served
)

// Request is a request for a slot of the upstream.
type Request struct {
	ID       uint64
	Priority uint32 // 0 is the most urgent
	// Goal is the time by which the response is wanted, Deadline the time after which it is useless.
	Goal, Deadline time.Time
	// GoalDuration is the response time that the route allows until the goal. The caller may have
	// spent a part of it on earlier attempts, so that Goal comes sooner.
	GoalDuration time.Duration
	// RejectionSample is a uniform number in [0,1) that is compared with RejectionProbability. It
	// is the same for a request at every gate, so that trying again does not improve its chance.
	RejectionSample float64
	// Nested states that the request is a nested call of one in progress, which is lost without it. It is queued before
	// all others and rejected only if it cannot end by its deadline.
	Nested bool
	// ServiceTime is the expected time of this kind of request on the upstream; 0: that of all requests.
	ServiceTime time.Duration
	// Organisation is that of the caller; "": none, the request is not subject to fair shares.
	Organisation string
}

// latestStart returns when the request must start to meet its goal. A service time that is not known counts as 0.
func (r Request) latestStart() time.Time { return r.Goal.Add(-r.ServiceTime) }

// Load is the load of an upstream. Entries compare it with that of other upstreams.
type Load struct {
	// Queued are the queued requests that a new one would wait for, see loadHorizon.
	Running, Queued, Slots int
	ServiceTime            time.Duration // expected time of a request on the upstream, without the wait
}

const (
	// plannedGoalShare is the share of GoalDuration that waiting and running may use. The rest
	// covers the way back and the variance of the service time.
	plannedGoalShare = 0.75
	// minWaitShare is the share of GoalDuration that a request may wait even if the service time
	// alone exceeds the goal: a late response is still worth something.
	minWaitShare = 0.1
	// unrestrictedWaitShare is the share of the maximum wait up to which no request is rejected.
	// Beyond it the rejection probability grows with the wait, so that no priority is rejected altogether.
	unrestrictedWaitShare = 0.45
	// averageWeight is the weight of a new sample in the moving average: about the last 20 requests count.
	averageWeight = 0.05
	// initialServiceShare is the share of GoalDuration that is assumed as the service time
	// before the first sample.
	initialServiceShare = 0.3
	// initialSamples is the number of first samples that are averaged with equal weights, before
	// averageWeight applies.
	initialSamples = 20
	// runningTimePrior is the number of just started requests that MeanRunningTime assumes beside
	// those that run, so that a single long request does not look like an upstream that hangs.
	runningTimePrior = 3
	// maxQueuedPerSlot bounds the queue before initialSamples are known, and maxQueuedPerSlotMeasured from then on. With
	// 3 requests of 50 ms per slot a peak of 150 ms would fill it, less than the goals of such requests allow.
	maxQueuedPerSlot         = 3
	maxQueuedPerSlotMeasured = 8
	// loadHorizon is the greatest time until the latest start of a queued request that counts as load. Those that can
	// start later give way to most new ones, so they do not make an upstream busier for them.
	loadHorizon = time.Second
)

// runningRequest is a request in a slot.
type runningRequest struct {
	since   time.Time
	service time.Duration // Request.ServiceTime
}

// Queue is the admission queue of one upstream. It is not safe for concurrent use.
type Queue struct {
	slots          int
	serviceSeconds float64 // moving average of the service time
	samples        int
	otherSeconds   float64 // the same of requests without Request.ServiceTime
	otherSamples   int
	running        map[uint64]runningRequest // by request id
	waiting        []Request                 // in the order in which they start: nested calls first, then by latest start
	pressure       pressure
	shares         shares
}

// New returns an empty queue for an upstream with this number of slots, at least 1.
func New(slots int) *Queue {
	return &Queue{slots: max(1, slots), running: make(map[uint64]runningRequest)}
}

// SetSlots changes the number of slots, at least 1, and returns the queued requests that start now.
func (q *Queue) SetSlots(now time.Time, slots int) []uint64 {
	q.slots = max(1, slots)
	return q.startWaiting(now)
}

// Offer decides on a new request. It also returns the queued requests with a later start that are evicted, because the
// new one makes them wait too long.
func (q *Queue) Offer(now time.Time, r Request) (d Decision, evicted []uint64) {
	t := q.times(now, r.GoalDuration)
	q.shares.add(now, r, t.of(r))
	if len(q.running) < q.slots && len(q.waiting) == 0 {
		q.running[r.ID] = runningRequest{now, r.ServiceTime}
		q.pressure.countOffered(now, r)
		return Started, nil
	}
	if len(q.waiting) > 0 && q.shares.exceeds(now, r, q.slots) {
		return OverShare, nil
	}
	q.pressure.countOffered(now, r)
	if r.Goal.Sub(now) < t.of(r) || q.shares.isAbove(now, r, q.slots) {
		r.Goal = r.Deadline // the goal cannot be met: requests that can still meet theirs go first
	}
	at := q.insertPosition(r)
	last := len(q.waiting) - 1
	full := len(q.waiting) >= q.maxQueued()
	displaces := full && at <= last && (r.Nested || q.measured()) && !q.waiting[last].Nested
	if (full && !displaces) || q.rejects(q.expectedWait(at, t), q.maxWait(now, r, t), r, q.Patience(now)) {
		if i := q.shares.lastAbove(now, q.waiting, r, q.slots); i >= 0 && r.Deadline.Sub(now) >= t.of(r) {
			evicted = append(evicted, q.evict(i)) // in the place of one whose organisation has had its share
			q.waiting = slices.Insert(q.waiting, q.insertPosition(r), r)
			return Queued, evicted
		}
		if r.Deadline.Sub(now) >= t.of(r) { // otherwise it is no matter of the load
			q.pressure.countRejected(r)
		}
		if q.shares.isAbove(now, r, q.slots) {
			return OverShare, nil
		}
		return Busy, nil
	}
	if displaces {
		evicted = append(evicted, q.evict(last))
	}
	q.waiting = slices.Insert(q.waiting, at, r)
	return Queued, append(evicted, q.evictBehind(now, at, t)...)
}

// evictBehind removes the requests behind an index that would wait too long, or in their place those whose organisations are
// above their fair shares, and returns the ids.
func (q *Queue) evictBehind(now time.Time, at int, t serviceTimes) (evicted []uint64) {
	for i := len(q.waiting) - 1; i > at; i-- {
		w := q.waiting[i]
		if q.expectedWait(i, t) <= q.maxWait(now, w, t)+evictSlack {
			continue
		}
		victim := i
		if j := q.shares.lastAbove(now, q.waiting, w, q.slots); j >= 0 && j != at {
			victim = j
		}
		evicted = append(evicted, q.evict(victim))
		switch {
		case victim > i:
			i++ // the same request again
		case victim < at:
			at--
		}
	}
	return evicted
}

// evict removes the queued request at an index and returns its id.
func (q *Queue) evict(i int) uint64 {
	r := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.pressure.countRejected(r)
	return r.ID
}

// EvictLate removes the queued requests that cannot end by their deadline even if they start now, and returns their ids.
func (q *Queue) EvictLate(now time.Time) []uint64 {
	var evicted []uint64
	t := q.times(now, 0)
	for i := len(q.waiting) - 1; i >= 0; i-- {
		if r := q.waiting[i]; r.Deadline.Sub(now) < t.of(r) {
			evicted = append(evicted, q.evict(i))
		}
	}
	return evicted
}

// measured reports whether the service time is known well enough to rely on expected waits.
func (q *Queue) measured() bool { return q.samples >= initialSamples }

func (q *Queue) maxQueued() int {
	if q.measured() {
		return maxQueuedPerSlotMeasured * q.slots
	}
	return maxQueuedPerSlot * q.slots
}

// Patience returns the patience that Request.MaxWait takes: how far a request may wait beyond its goal at present.
func (q *Queue) Patience(now time.Time) float64 {
	if !q.measured() {
		return 0
	}
	q.pressure.decay(now)
	return q.pressure.patience()
}

// maxWait returns how long a request may wait.
func (q *Queue) maxWait(now time.Time, r Request, t serviceTimes) time.Duration {
	return r.MaxWaitInPeak(now, t.of(r), q.Patience(now))
}

// rejectionWeight scales the rejection probability by priority; the least urgent one has weight 1.
var rejectionWeight = [...]float64{0.55, 0.8, 1}

// rejects reports whether a request with this expected wait is rejected. With patience, one that can wait is not rejected
// at random.
func (q *Queue) rejects(wait, allowed time.Duration, r Request, patience float64) bool {
	if wait > allowed || r.Nested {
		return wait > allowed
	}
	return r.RejectionSample < max((1-patience)*RejectionProbability(wait, allowed, r.Priority), q.pressure.shareOfMoreUrgent(r.level()))
}

// RejectionProbability returns the probability with which a request of this
// priority and expected wait is rejected. It is 0 up to unrestrictedWaitShare of
// the allowed wait, grows linearly beyond it and is 1 above the allowed wait.
func RejectionProbability(wait, allowed time.Duration, priority uint32) float64 {
	unrestricted := time.Duration(unrestrictedWaitShare * float64(allowed))
	switch {
	case wait > allowed:
		return 1
	case wait <= unrestricted:
		return 0
	}
	return rejectionWeight[min(int(priority), len(rejectionWeight)-1)] * float64(wait-unrestricted) / float64(allowed-unrestricted)
}

// evictSlack is how far a queued request may exceed its maximum wait before a
// more urgent request evicts it. A small delay does not cost it its place.
const evictSlack = 50 * time.Millisecond

// insertPosition returns the index behind the last queued request that goes before this one: a nested call before
// others, then the one with the same or an earlier latest start.
func (q *Queue) insertPosition(r Request) int {
	i := len(q.waiting)
	for i > 0 && goesBefore(r, q.waiting[i-1]) {
		i--
	}
	return i
}

func goesBefore(a, b Request) bool {
	if a.Nested != b.Nested {
		return a.Nested
	}
	return b.latestStart().After(a.latestStart())
}

// expectedWait returns the expected time until the request at this index of the queue starts: the work ahead of it,
// divided by the slots.
func (q *Queue) expectedWait(position int, t serviceTimes) time.Duration {
	work := time.Duration(len(q.running)-q.slots+1) * t.running
	for _, r := range q.waiting[:position] {
		work += t.of(r)
	}
	return max(0, work) / time.Duration(q.slots)
}

// serviceTimes are the expected times of requests on the upstream at one moment.
type serviceTimes struct {
	all     time.Duration // of a request whose kind is not known
	running time.Duration // mean of those that run
	stretch float64       // factor on Request.ServiceTime, above 1 for an upstream that is slower than usual
}

// of returns the expected time of a request on the upstream.
func (t serviceTimes) of(r Request) time.Duration {
	if r.ServiceTime > 0 {
		return time.Duration(t.stretch * float64(r.ServiceTime))
	}
	return t.all
}

// times returns the expected times: the average of the finished requests and Request.ServiceTime, stretched if the
// running requests have taken longer, see MeanRunningTime.
func (q *Queue) times(now time.Time, goalDuration time.Duration) serviceTimes {
	average := time.Duration(q.serviceSeconds * float64(time.Second))
	switch {
	case q.otherSamples >= initialSamples:
		average = time.Duration(q.otherSeconds * float64(time.Second))
	case q.samples == 0:
		average = time.Duration(initialServiceShare * float64(goalDuration))
	}
	sum := time.Duration(0)
	for _, r := range q.running {
		if r.service > 0 {
			sum += r.service
		} else {
			sum += average
		}
	}
	usual, sofar := sum/time.Duration(max(1, len(q.running))), q.MeanRunningTime(now)
	t := serviceTimes{all: average, running: usual, stretch: 1}
	if sofar > usual {
		t.running = sofar
		if usual > 0 {
			t.stretch = float64(sofar) / float64(usual)
		}
		t.all = max(sofar, time.Duration(t.stretch*float64(average)))
	}
	return t
}

// MeanRunningTime returns the mean time that the running requests have taken so
// far, lowered by runningTimePrior. It reveals an upstream that hangs before any
// of its requests ends.
func (q *Queue) MeanRunningTime(now time.Time) time.Duration {
	elapsed := time.Duration(0)
	for _, r := range q.running {
		elapsed += now.Sub(r.since)
	}
	return elapsed / time.Duration(len(q.running)+runningTimePrior)
}

// MaxWait returns how long a request may wait for an upstream with this service
// time: until its goal can just be met, but at least minWaitShare of GoalDuration
// and at most until its deadline can just be met. It is negative when the deadline
// cannot be met. A nested call may always wait until its deadline can just be met.
func (r Request) MaxWait(now time.Time, service time.Duration) time.Duration {
	return r.MaxWaitInPeak(now, service, 0)
}

// MaxWaitInPeak is MaxWait for an upstream whose overload may be short: a request may wait longer by patience, from 0 to
// 1, times lateWaitShare of the time between its goal and its deadline, since a late answer is worth more than none.
func (r Request) MaxWaitInPeak(now time.Time, service time.Duration, patience float64) time.Duration {
	if r.Nested {
		return r.Deadline.Sub(now) - service
	}
	onTime := r.Goal.Sub(now) - time.Duration((1-plannedGoalShare)*float64(r.GoalDuration)) - service
	end := r.Goal
	if r.Goal.Equal(r.Deadline) {
		onTime, end = 0, now
	}
	onTime = max(onTime, time.Duration(minWaitShare*float64(r.GoalDuration)))
	late := time.Duration(patience * lateWaitShare * float64(r.Deadline.Sub(end)))
	return min(onTime+max(0, late), r.Deadline.Sub(now)-service)
}

// Finish frees the slot of a request and returns the queued requests that start
// now. If measured is true, the latency is a sample of the service time.
func (q *Queue) Finish(now time.Time, id uint64, latency time.Duration, measured bool) []uint64 {
	r, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	if measured {
		addSample(&q.serviceSeconds, &q.samples, latency)
		if r.service == 0 {
			addSample(&q.otherSeconds, &q.otherSamples, latency)
		}
	}
	return q.startWaiting(now)
}

func addSample(average *float64, samples *int, latency time.Duration) {
	*samples++
	*average += max(averageWeight, 1/float64(min(*samples, initialSamples))) * (latency.Seconds() - *average)
}

// Cancel removes a queued request and reports whether it was queued.
func (q *Queue) Cancel(id uint64) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool { return r.ID == id })
	return len(q.waiting) < before
}

// Clear removes all queued requests and returns their ids. Running requests keep their slots.
func (q *Queue) Clear() []uint64 {
	out := make([]uint64, 0, len(q.waiting))
	for _, r := range q.waiting {
		out = append(out, r.ID)
	}
	q.waiting = nil
	return out
}

func (q *Queue) startWaiting(now time.Time) []uint64 {
	var started []uint64
	if len(q.waiting) == 0 {
		return nil
	}
	t := q.times(now, q.waiting[0].GoalDuration)
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		r := q.waiting[0]
		q.waiting = q.waiting[1:]
		if !r.Nested && r.Goal.Before(r.Deadline) && r.Goal.Sub(now) < t.of(r) {
			r.Goal = r.Deadline // as in Offer
			q.waiting = slices.Insert(q.waiting, q.insertPosition(r), r)
			continue
		}
		q.running[r.ID] = runningRequest{now, r.ServiceTime}
		started = append(started, r.ID)
	}
	return started
}

// meanServiceTime returns the expected time of a request of any kind.
func (q *Queue) meanServiceTime(now time.Time) time.Duration {
	return max(time.Duration(q.serviceSeconds*float64(time.Second)), q.MeanRunningTime(now))
}

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Load returns the current load. Before the first sample, ServiceTime is MeanRunningTime.
func (q *Queue) Load(now time.Time) Load {
	queued := 0
	for queued < len(q.waiting) && (q.waiting[queued].Nested || q.waiting[queued].latestStart().Sub(now) <= loadHorizon) {
		queued++
	}
	return Load{Running: len(q.running), Queued: queued, Slots: q.slots, ServiceTime: q.meanServiceTime(now)}
}
