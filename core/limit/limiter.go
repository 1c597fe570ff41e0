package limit

import "time"

// Decision is what became of a request.
type Decision uint8

// Decisions. All but Started and Queued are final rejections before the start.
const (
	Started        Decision = iota + 1
	Queued                  // an Event follows
	QueueFull               // the queue has no place
	ShareExhausted          // the queue is full and the tenant holds the largest part of it for its weight
	NotInTime               // the request would not finish before its deadline
	DeadlinePast            // the deadline passed while the request waited
)

// Options of a Limiter.
type Options struct {
	Slots    int // requests that the upstream runs at once
	MaxQueue int // requests that wait
}

// Request is one request that asks for a slot.
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

// Result is how a request that was started ended.
type Result struct {
	Latency time.Duration
	// Shed is true when the upstream rejected the request for overload.
	Shed bool
	// Valid is true when Latency says how long the upstream takes for a request.
	Valid bool
}

// Limiter admits requests to one upstream. It is not safe for concurrent use.
type Limiter struct {
	options  Options
	adaptive adaptive
	tenants  tenants
	service  average // time of a request on the upstream

	running   map[uint64]*waiting
	queued    int
	exclusive []*waiting // requests that wait to run alone
	alone     bool       // an exclusive request runs
	// regularTurn lets the requests that waited behind an exclusive one run before the next exclusive one.
	regularTurn int
}

type waiting struct {
	Request
	tenant *tenant
	tag    float64 // virtual start time
}

// New returns a limiter without requests.
func New(o Options) *Limiter {
	o.Slots = max(o.Slots, 1)
	return &Limiter{
		options:  o,
		adaptive: newAdaptive(o.Slots),
		tenants:  tenants{byName: make(map[string]*tenant)},
		running:  make(map[uint64]*waiting),
	}
}

// Offer decides on a new request. Events concern requests that were queued earlier.
func (l *Limiter) Offer(now time.Time, r Request) (Decision, []Event) {
	if !r.Deadline.After(now) {
		return DeadlinePast, nil
	}
	r.Weight = max(r.Weight, 1)
	t := l.tenants.get(r.Tenant, r.Weight)
	w := &waiting{Request: r, tenant: t}
	if r.Exclusive {
		return l.offerExclusive(now, w)
	}
	if l.queued == 0 && l.free() {
		l.start(w, l.tenants.tag(t, l.cost(t)))
		return Started, nil
	}
	if l.wouldBeLate(now, w) {
		return NotInTime, nil
	}
	var events []Event
	if l.queued+len(l.exclusive) >= l.options.MaxQueue {
		victim := l.tenants.overShare(t)
		if victim == nil {
			return l.full(t), nil
		}
		events = append(events, Event{ID: victim.dropNewest(), Decision: ShareExhausted})
		l.queued--
	}
	w.tag = l.tenants.tag(t, l.cost(t))
	t.queue = append(t.queue, w)
	l.queued++
	return Queued, events
}

func (l *Limiter) offerExclusive(now time.Time, w *waiting) (Decision, []Event) {
	if l.queued+len(l.exclusive) >= l.options.MaxQueue {
		return QueueFull, nil
	}
	l.exclusive = append(l.exclusive, w)
	decision := Queued
	var events []Event
	for _, e := range l.advance(now) {
		if e.ID == w.ID {
			decision = e.Decision
			continue
		}
		events = append(events, e)
	}
	return decision, events
}

func (l *Limiter) full(t *tenant) Decision {
	for _, other := range l.tenants.list {
		if other != t && len(other.queue) > 0 {
			return ShareExhausted
		}
	}
	return QueueFull
}

// free reports that a regular request may start.
func (l *Limiter) free() bool {
	if l.alone || len(l.running) >= l.adaptive.slots() {
		return false
	}
	return len(l.exclusive) == 0 || l.regularTurn > 0
}

func (l *Limiter) cost(t *tenant) float64 {
	if t.service.known() {
		return t.service.seconds
	}
	if l.service.known() {
		return l.service.seconds
	}
	return unknownCost
}

// estimateMargin leaves room for requests that take longer than the average. The
// queue stays filled, so that it costs no goodput, and responses come before the deadline.
const estimateMargin = 1.25

// unknownCost in seconds is charged before the first request is finished. It is
// small, because what is charged too much at that time delays the tenant later.
const unknownCost = 0.001

// wouldBeLate estimates the wait from the requests ahead: those of all tenants,
// or those of the same tenant at its fair share, whichever is less.
func (l *Limiter) wouldBeLate(now time.Time, w *waiting) bool {
	if !l.service.known() {
		return false
	}
	slots := float64(l.adaptive.slots())
	share := float64(w.Weight) / l.tenants.activeWeight(w.tenant)
	ahead := min(float64(l.queued), float64(len(w.tenant.queue))/share)
	wait := (ahead + 1) / slots * l.service.seconds
	finish := (wait + l.cost(w.tenant)) * estimateMargin
	return now.Add(time.Duration(finish * float64(time.Second))).After(w.Deadline)
}

func (l *Limiter) start(w *waiting, tag float64) {
	w.tag = tag
	w.tenant.running++
	l.running[w.ID] = w
	l.tenants.virtual = max(l.tenants.virtual, tag)
}

// Finish frees the slot of a started request and starts others.
func (l *Limiter) Finish(now time.Time, id uint64, r Result) []Event {
	w := l.running[id]
	if w == nil {
		return nil
	}
	saturated := len(l.running) >= l.adaptive.slots()
	delete(l.running, id)
	w.tenant.running--
	if w.Exclusive {
		l.alone = false
		l.regularTurn = l.queued
	}
	if r.Valid {
		l.service.add(r.Latency)
		w.tenant.service.add(r.Latency)
	}
	l.adaptive.observe(now, r, saturated)
	return l.advance(now)
}

// Cancel removes a queued request, for example when its caller has gone.
func (l *Limiter) Cancel(now time.Time, id uint64) []Event {
	for i, w := range l.exclusive {
		if w.ID == id {
			l.exclusive = append(l.exclusive[:i], l.exclusive[i+1:]...)
			return l.advance(now)
		}
	}
	for _, t := range l.tenants.list {
		if t.drop(id) {
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
	return l.advance(now)
}

// advance starts what may start.
func (l *Limiter) advance(now time.Time) []Event {
	var events []Event
	for {
		if len(l.exclusive) > 0 && l.regularTurn == 0 {
			if len(l.running) > 0 {
				return events
			}
			w := l.exclusive[0]
			l.exclusive = l.exclusive[1:]
			if !w.Deadline.After(now) {
				events = append(events, Event{ID: w.ID, Decision: DeadlinePast})
				continue
			}
			l.alone = true
			l.start(w, l.tenants.virtual)
			return append(events, Event{ID: w.ID, Decision: Started})
		}
		if l.queued == 0 {
			if l.regularTurn > 0 {
				l.regularTurn = 0
				continue
			}
			return events
		}
		if !l.free() {
			return events
		}
		events = append(events, l.startNext(now))
	}
}

func (l *Limiter) startNext(now time.Time) Event {
	w := l.tenants.next()
	l.queued--
	l.regularTurn = max(l.regularTurn-1, 0)
	if !w.Deadline.After(now) {
		return Event{ID: w.ID, Decision: DeadlinePast}
	}
	l.start(w, w.tag)
	return Event{ID: w.ID, Decision: Started}
}

// Load of the upstream as callers see it.
type Load struct {
	Running, Queued, Slots int
}

// Load returns the present load.
func (l *Limiter) Load() Load {
	return Load{Running: len(l.running), Queued: l.queued + len(l.exclusive), Slots: l.adaptive.slots()}
}

// RetryAfter estimates when a rejected request may find a place.
func (l *Limiter) RetryAfter() time.Duration {
	if !l.service.known() {
		return time.Second
	}
	wait := float64(l.queued+1) / float64(l.adaptive.slots()) * l.service.seconds
	return time.Duration(wait * float64(time.Second))
}
