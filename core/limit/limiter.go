package limit

import "time"

// Decision is the outcome of admission for one request.
type Decision uint8

// The decisions. All but Started and Queued are final rejections of a request that was not started.
const (
	Started           Decision = iota + 1
	Queued                     // an Event with the final decision follows
	QueueFull                  // the queue is full
	ShareExhausted             // the queue is full and the tenant holds the largest part of it relative to its weight
	CannotStartInTime          // the request cannot start early enough to finish before its deadline
	DeadlinePast               // the deadline passed before the request could start
)

// Options configures a Limiter.
type Options struct {
	Slots    int // maximum number of requests that run at once
	MaxQueue int // maximum number of queued requests
}

// Request is a request for a slot.
type Request struct {
	ID       uint64 // unique among the requests of a Limiter
	Tenant   string
	Weight   uint32 // 0 counts as 1
	Deadline time.Time
	// Exclusive requests run alone on the upstream.
	Exclusive bool
}

// Event is a decision on a request that was queued earlier.
type Event struct {
	ID       uint64
	Decision Decision
}

// Result describes how a started request ended.
type Result struct {
	Latency time.Duration
	// Shed is true when the upstream rejected the request for overload.
	Shed bool
	// Valid is true when Latency is a sample of the service time of the upstream.
	Valid bool
}

// Limiter admits requests to one upstream. It is not safe for concurrent use.
type Limiter struct {
	options     Options
	adaptive    adaptive
	tenants     tenants
	serviceTime average // of the requests of all tenants

	running          map[uint64]*trackedRequest
	queued           int
	exclusive        []*trackedRequest // queued exclusive requests, oldest first
	exclusiveRunning bool
	// regularTurns is the number of regular requests that may still start before the next
	// exclusive one: those that were queued when the last exclusive request finished.
	regularTurns int
}

type trackedRequest struct {
	Request
	tenant       *tenant
	virtualStart float64 // virtual start time, in seconds of weighted service time
}

// New returns a limiter without requests. At least one slot is used.
func New(o Options) *Limiter {
	o.Slots = max(o.Slots, 1)
	return &Limiter{
		options:  o,
		adaptive: newAdaptive(o.Slots),
		tenants:  tenants{byName: make(map[string]*tenant)},
		running:  make(map[uint64]*trackedRequest),
	}
}

// Offer decides on a new request. The events are decisions on requests that were queued earlier.
func (l *Limiter) Offer(now time.Time, r Request) (Decision, []Event) {
	if !r.Deadline.After(now) {
		return DeadlinePast, nil
	}
	r.Weight = max(r.Weight, 1)
	t := l.tenants.get(r.Tenant, r.Weight)
	w := &trackedRequest{Request: r, tenant: t}
	if r.Exclusive {
		return l.offerExclusive(now, w)
	}
	if l.queued == 0 && l.mayStartRegular() {
		l.start(w, l.tenants.virtualStart(t, l.cost(t)))
		return Started, nil
	}
	if l.wouldBeLate(now, w) {
		return CannotStartInTime, nil
	}
	var events []Event
	if l.queued+len(l.exclusive) >= l.options.MaxQueue {
		victim := l.tenants.mostOverShare(t)
		if victim == nil {
			return l.rejectionWhenFull(t), nil
		}
		events = append(events, Event{ID: victim.evictNewest(), Decision: ShareExhausted})
		l.queued--
	}
	w.virtualStart = l.tenants.virtualStart(t, l.cost(t))
	t.queue = append(t.queue, w)
	l.queued++
	return Queued, events
}

func (l *Limiter) offerExclusive(now time.Time, w *trackedRequest) (Decision, []Event) {
	if l.queued+len(l.exclusive) >= l.options.MaxQueue {
		return QueueFull, nil
	}
	l.exclusive = append(l.exclusive, w)
	decision := Queued
	var events []Event
	for _, e := range l.dispatch(now) {
		if e.ID == w.ID {
			decision = e.Decision
			continue
		}
		events = append(events, e)
	}
	return decision, events
}

func (l *Limiter) rejectionWhenFull(t *tenant) Decision {
	for _, other := range l.tenants.list {
		if other != t && len(other.queue) > 0 {
			return ShareExhausted
		}
	}
	return QueueFull
}

// mayStartRegular reports whether a slot is free for a regular request and no
// exclusive request runs or has its turn.
func (l *Limiter) mayStartRegular() bool {
	if l.exclusiveRunning || len(l.running) >= l.adaptive.slots() {
		return false
	}
	return len(l.exclusive) == 0 || l.regularTurns > 0
}

func (l *Limiter) cost(t *tenant) float64 {
	if t.serviceTime.hasSamples() {
		return t.serviceTime.seconds
	}
	if l.serviceTime.hasSamples() {
		return l.serviceTime.seconds
	}
	return initialCost
}

// estimateMargin leaves room for requests that take longer than the average, so
// that their responses still come before the deadline. The margin costs no
// goodput, because the queue stays filled.
const estimateMargin = 1.25

// initialCost in seconds is charged for a request before the first one has
// finished. It is small, because an excessive charge delays the tenant later.
const initialCost = 0.001

// wouldBeLate reports whether the request is expected to miss its deadline. The
// wait is estimated from the requests ahead of it: those of all tenants, or those
// of the same tenant divided by its fair share, whichever is less.
func (l *Limiter) wouldBeLate(now time.Time, w *trackedRequest) bool {
	if !l.serviceTime.hasSamples() {
		return false
	}
	slots := float64(l.adaptive.slots())
	share := float64(w.Weight) / l.tenants.activeWeight(w.tenant)
	ahead := min(float64(l.queued), float64(len(w.tenant.queue))/share)
	wait := (ahead + 1) / slots * l.serviceTime.seconds
	finish := (wait + l.cost(w.tenant)) * estimateMargin
	return now.Add(time.Duration(finish * float64(time.Second))).After(w.Deadline)
}

func (l *Limiter) start(w *trackedRequest, virtualStart float64) {
	w.virtualStart = virtualStart
	w.tenant.running++
	l.running[w.ID] = w
	l.tenants.virtualTime = max(l.tenants.virtualTime, virtualStart)
}

// Finish frees the slot of a started request, adapts the limit to its result and
// starts queued requests. It ignores unknown ids.
func (l *Limiter) Finish(now time.Time, id uint64, r Result) []Event {
	w := l.running[id]
	if w == nil {
		return nil
	}
	saturated := len(l.running) >= l.adaptive.slots()
	delete(l.running, id)
	w.tenant.running--
	if w.Exclusive {
		l.exclusiveRunning = false
		l.regularTurns = l.queued
	}
	if r.Valid {
		l.serviceTime.addSample(r.Latency)
		w.tenant.serviceTime.addSample(r.Latency)
	}
	l.adaptive.observe(now, r, saturated)
	return l.dispatch(now)
}

// Cancel removes a queued request, for example when its caller has disconnected.
func (l *Limiter) Cancel(now time.Time, id uint64) []Event {
	for i, w := range l.exclusive {
		if w.ID == id {
			l.exclusive = append(l.exclusive[:i], l.exclusive[i+1:]...)
			return l.dispatch(now)
		}
	}
	for _, t := range l.tenants.list {
		if t.removeQueued(id) {
			l.queued--
			return nil
		}
	}
	return nil
}

// SetSlots changes the number of slots of the upstream.
func (l *Limiter) SetSlots(now time.Time, slots int) []Event {
	l.options.Slots = max(slots, 1)
	l.adaptive.setMax(l.options.Slots)
	return l.dispatch(now)
}

// dispatch starts queued requests while slots are free. Exclusive requests run
// alone and alternate with the regular requests that were queued behind them.
func (l *Limiter) dispatch(now time.Time) []Event {
	var events []Event
	for {
		if len(l.exclusive) > 0 && l.regularTurns == 0 {
			if len(l.running) > 0 {
				return events
			}
			w := l.exclusive[0]
			l.exclusive = l.exclusive[1:]
			if !w.Deadline.After(now) {
				events = append(events, Event{ID: w.ID, Decision: DeadlinePast})
				continue
			}
			l.exclusiveRunning = true
			l.start(w, l.tenants.virtualTime)
			return append(events, Event{ID: w.ID, Decision: Started})
		}
		if l.queued == 0 {
			if l.regularTurns > 0 {
				l.regularTurns = 0
				continue
			}
			return events
		}
		if !l.mayStartRegular() {
			return events
		}
		events = append(events, l.startNext(now))
	}
}

func (l *Limiter) startNext(now time.Time) Event {
	w := l.tenants.dequeue()
	l.queued--
	l.regularTurns = max(l.regularTurns-1, 0)
	if !w.Deadline.After(now) {
		return Event{ID: w.ID, Decision: DeadlinePast}
	}
	l.start(w, w.virtualStart)
	return Event{ID: w.ID, Decision: Started}
}

// Load is the load of the upstream as it is reported to callers.
type Load struct {
	Running, Queued, Slots int
}

// Load returns the current load.
func (l *Limiter) Load() Load {
	return Load{Running: len(l.running), Queued: l.queued + len(l.exclusive), Slots: l.adaptive.slots()}
}

// RetryAfter estimates the time until a rejected request may be accepted; it is
// one second before the first sample.
func (l *Limiter) RetryAfter() time.Duration {
	if !l.serviceTime.hasSamples() {
		return time.Second
	}
	wait := float64(l.queued+1) / float64(l.adaptive.slots()) * l.serviceTime.seconds
	return time.Duration(wait * float64(time.Second))
}
