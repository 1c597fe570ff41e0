package quota

import (
	"math"
	"time"
)

const (
	// slots is the number of parts of the window in which a node counts. A request leaves the count up to one part late, so
	// that the count is too high by up to 1/slots.
	slots = 50
	// usedExcess and usedSlack are the parts of Settings.Excess and Settings.Slack that all capacities together may use. The rest
	// covers fractions of requests and nodes that see an organisation for the first time.
	usedExcess = 0.05
	usedSlack  = 0.15
	// leastPaced is the capacity from which on a node spreads the requests of an organisation beyond its limit over the window. Fewer
	// requests arrive too irregularly. leastBucket is the least number that it admits at once, and paceExcess makes up for reserve.
	// idleExcess is added to paceExcess while nothing is in use, and less the more is. Callers that move each second would otherwise
	// leave half of the quota idle: what a node may still admit when they leave is not used up at the pace of its share.
	leastPaced  = 5
	leastBucket = 2
	paceExcess  = 1.15
	idleExcess  = 3.45 // with 6.9, 0.3 to 1.5 times a rate without burst ran from second to second under steady overload; with 3.45, 0.5 to 1.2
	// reserve is the part of the capacity that nodes leave free, so that one whose demand grows need not wait until others have
	// given up theirs. It is about what usedExcess adds to the quota.
	reserve = 0.05
	// firstCapacity is the part of an even share that a node uses without having taken it while the organisation is far below its
	// limit, and leastFirst the least number of requests if an even share allows one at all, otherwise one.
	firstCapacity = 0.25
	leastFirst    = 2
	// leastEven is the even share from which on a node may use leastFirst: 15 of 60 nodes that are cut off would otherwise exceed the
	// slack.
	leastEven  = 2.5
	leastSmall = 1.1 // instead of leastFirst then
	// unknownCapacity is the same while the node has not heard of an organisation.
	unknownCapacity = 0.5
	// evenPart is the part of the capacity that is divided evenly among the nodes that report; the rest goes by demand.
	evenPart = 0.1
	// demandTime is the time constant of the decay of counted requests.
	demandTime = time.Second
	// spareCapacity is the part of an even share that a node uses beyond its capacity while nothing is in use. It decreases to 0 as
	// the use grows to calmShare.
	spareCapacity = 0.4
	// calmShare is the share of the allowance that is in use up to which an organisation is far below its limit.
	calmShare = 0.7
	// UrgentInterval is the least time between two reports of a node.
	UrgentInterval = 250 * time.Millisecond
	// calmInterval is the least time between reports that are not urgent.
	calmInterval = time.Second
	// urgentUse is the part of the capacity in use from which on a node reports early.
	urgentUse = 0.85
	firstUse  = 0.25 // the same while the node has not heard of the organisation
	// smallAllowance is the allowance below which a node reports the first request of an organisation early: each of many nodes may
	// admit one, which together would exceed the bound until the next poll.
	smallAllowance = 40
	// A node reports early when the demand has grown by surge of what it reported and surgeDeviations standard deviations of it (half the
	// demand is the variance with demandTime), is at least surgeDemand, and all demand is above surgeShare of the rate.
	surge           = 0.5
	surgeDeviations = 3
	surgeDemand     = 3
	surgeShare      = 0.4
	// notable is the part of a value, and of an even share of the limit, by which it must have changed to be reported again;
	// notableUrgent is the same near the limit. Changes below leastNotable and leastUrgent requests are not reported. The latter is
	// small because the remainders of many nodes would add up to more than the quota of a small organisation.
	notable       = 0.2
	notableUrgent = 0.05
	leastNotable  = 0.5
	leastUrgent   = 0.02
	// inTouch is the time since the last answer of a control host up to which a node uses more than its capacity; inTouchSmall is the
	// same for organisations with less than leastEven for each node, which many nodes could exceed by one request each.
	inTouch      = 1800 * time.Millisecond
	inTouchSmall = 1150 * time.Millisecond
	// current is the time since the last answer of a control host up to which the totals of a limited organisation are taken as they
	// are: such totals are sent at most every 200 ms, and the way takes up to 100 ms. Older ones are extrapolated.
	current = 300 * time.Millisecond
)

// Limiter decides at one node which requests are within the quotas. It is not safe for concurrent use.
type Limiter struct {
	settings     Settings
	organisation map[ID]*organisation
	nodes        int
	heardAt      time.Duration // last answer of a control host
	lastUrgent   time.Duration
	lastCalm     time.Duration
	sent         map[ID]Demand // of the report in progress
	ended        []ID          // see Ended
}

type organisation struct {
	id       ID
	limit    Limit
	counts   [slots]uint32 // admitted requests by part of the window
	total    uint32        // sum of counts
	slot     int64         // part of the window of the newest count
	demand   float64       // decayed with demandTime, as of decayedAt
	mean     float64       // the same, decayed with the window
	capacity float64
	known    bool   // capacity follows from a snapshot
	others   Demand // of the other nodes, from the last snapshot
	heard    bool   // others is valid
	heardAt  time.Duration
	unused   bool    // others has not raised the capacity yet
	rounding float64 // uniform in [0,1): a capacity of 2.3 allows 3 requests in three of ten windows
	drawnAt  time.Duration

	tokens     float64 // paces an organisation beyond its limit
	decayedAt  time.Duration
	promisedAt time.Duration // when the last rejected caller was told to return
	rejectedAt time.Duration
	limited    bool // rejected within the last window
	reported   Demand
}

// New returns a limiter.
func New(s Settings) *Limiter {
	if s.Window <= 0 {
		s = DefaultSettings
	}
	return &Limiter{settings: s, organisation: make(map[ID]*organisation), nodes: 1, heardAt: -time.Hour, lastUrgent: -time.Hour, lastCalm: -time.Hour}
}

// Decision is the result of Admit.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // if not admitted
	Urgent     bool          // the demand should be reported now
	Started    bool          // the first rejection of an organisation that was not limited
}

// Admit counts a request and decides whether it is within the quota. sample is a uniform number in [0,1).
func (l *Limiter) Admit(now time.Duration, id ID, limit Limit, sample float64) Decision {
	o := l.organisation[id]
	if o == nil {
		o = &organisation{id: id, decayedAt: now, drawnAt: now, rounding: sample, rejectedAt: -time.Hour}
		l.organisation[id] = o
	}
	l.advance(o, now)
	if o.limit != limit {
		l.changeLimit(o, limit)
	}
	o.demand += float64(time.Second) / float64(demandTime)
	o.mean += float64(time.Second) / float64(l.settings.Window)
	if now-o.drawnAt > l.settings.Window {
		o.drawnAt, o.rounding = now, sample
	}
	if o.unused && o.reported.Nodes == 0 && now-l.heardAt <= inTouchSmall {
		l.adjustUnreported(o)
	}
	allowed := l.capacityOf(o, now)
	whole := math.Floor(allowed + o.rounding)
	d := Decision{Admitted: float64(o.total)+1 <= whole && (!o.paced() || o.tokens >= 1)}
	if d.Admitted {
		o.total++
		o.counts[o.slot%slots]++
		o.tokens = max(0, o.tokens-1)
	} else {
		d.Started, o.limited, o.rejectedAt = !o.limited, true, now
		d.RetryAfter = l.retryAfter(o, allowed, now, sample)
	}
	d.Urgent = o.limited || l.urgent(o, allowed)
	return d
}

// GiveBack takes back a request that was admitted at the given time and has certainly not run.
func (l *Limiter) GiveBack(now time.Duration, id ID, admittedAt time.Duration) {
	o := l.organisation[id]
	if o == nil {
		return
	}
	l.advance(o, now)
	slot := l.slotAt(admittedAt)
	if i := slot % slots; slot > o.slot-slots && o.counts[i] > 0 {
		o.counts[i]--
		o.total--
	}
}

// Heard records that a control host that knows all nodes has answered.
func (l *Limiter) Heard(now time.Duration) { l.heardAt = now }

// Apply takes the demand of all other nodes that a control host states. nodes is the number of nodes of the mesh.
func (l *Limiter) Apply(now time.Duration, others []Report) {
	for _, r := range others {
		o := l.organisation[r.ID]
		if o == nil {
			if !r.Limited {
				continue
			}
			o = &organisation{id: r.ID, decayedAt: now, drawnAt: now, rounding: 0.5, rejectedAt: -time.Hour}
			l.organisation[r.ID] = o
		}
		l.advance(o, now)
		o.others, o.heard, o.heardAt, o.unused = r.Demand, true, now, true
		if o.reported.Nodes > 0 {
			l.adjust(o)
		}
	}
}

// SetNodes sets the number of nodes of the mesh.
func (l *Limiter) SetNodes(nodes int) { l.nodes = max(1, nodes) }

// Ended returns the organisations whose limitation has ended since the last call: none of their requests was rejected for a window.
func (l *Limiter) Ended() []ID {
	out := l.ended
	l.ended = nil
	return out
}

// allowance is the number of requests in a window that all capacities together may reach.
func (l *Limiter) allowance(limit Limit) float64 {
	return l.quota(limit)*(1+usedExcess*l.settings.Excess) + usedSlack*l.settings.Slack
}

func (l *Limiter) quota(limit Limit) float64 {
	return limit.Rate*l.settings.Window.Seconds() + limit.Burst
}

// adjust moves the capacity of this node towards its share of the demand. What it gives up is free at once; what it takes is at
// most its share of what no node holds, so that nodes that use the same snapshot never take more than that together. It uses each
// snapshot once.
func (l *Limiter) adjust(o *organisation) {
	o.unused = false
	total := l.allowance(o.limit)
	share := 1.0
	rate := o.reported.Rate // of about the same time as that of the others, so that the shares of all nodes add up to 1
	if d := o.others.Rate + rate; d > 0 {
		share = rate / d
	}
	share = (1-evenPart)*share + evenPart/float64(o.others.Nodes+1)
	target := share * (1 - reserve) * total
	if target <= o.capacity {
		o.capacity = target
	} else {
		free := max(0, total-o.others.Capacity-o.held())
		o.capacity = min(target, o.capacity+share*free)
	}
	if !o.known && !l.full(o, o.decayedAt) { // what the node may already use
		o.capacity = max(o.capacity, min(target, unknownCapacity*total/float64(l.nodes)))
	}
	o.known = true
}

// adjustUnreported gives a node whose demand the snapshot does not contain a part of a request, so that all requests that arrive at
// such nodes within a second take no more than what is free.
func (l *Limiter) adjustUnreported(o *organisation) {
	o.unused, o.known = false, true
	free := max(0, l.allowance(o.limit)-o.others.Capacity-o.held())
	o.capacity = max(o.capacity, min(1, free/max(1, o.others.Rate)))
}

// rate is the demand by which shares are computed: the mean over about a window, moved to within one standard deviation below and two
// above the recent demand. So the share of a node with few requests does not change with each of them, and that of a node
// whose callers have left falls within a second.
func (l *Limiter) rate(o *organisation) float64 {
	return min(max(o.mean, o.demand-math.Sqrt(o.demand)), o.demand+2*math.Sqrt(max(o.demand, 1)))
}

// held is the capacity that this node occupies: what it may still admit, and what has run and has not left the window.
func (o *organisation) held() float64 { return max(o.capacity, float64(o.total)) }

// capacityOf returns the number of requests that may run in a window at this node.
func (l *Limiter) capacityOf(o *organisation, now time.Duration) float64 {
	if l.full(o, now) {
		return o.capacity
	}
	even := l.allowance(o.limit) / float64(l.nodes)
	if l.nodes == 1 && !o.known {
		return even
	}
	least, recent := leastSmall, inTouchSmall
	if even >= leastEven {
		least, recent = leastFirst, inTouch
	}
	if l.heardAt < 0 {
		return unknownCapacity * even // the process has just started, or the plan has just got quotas
	}
	if now-l.heardAt > recent {
		return max(o.capacity, firstCapacity*even)
	}
	if !o.known {
		return max(least, unknownCapacity*even)
	}
	return max(o.capacity+max(least, spareCapacity*l.spare(o, now)*even), firstCapacity*even)
}

// full reports whether the organisation is near its limit, as far as this node knows.
func (l *Limiter) full(o *organisation, now time.Duration) bool {
	return o.heard && l.spare(o, now) < 0
}

// spare returns the part of calmShare of the allowance that is not in use; negative if more is in use.
func (l *Limiter) spare(o *organisation, now time.Duration) float64 {
	return 1 - (l.usedByOthers(o, now)+float64(o.total))/(calmShare*l.allowance(o.limit))
}

// usedByOthers returns the use of the other nodes. If the totals of a limited organisation are not current, because messages are lost
// or the control hosts have no quorum, all demand is taken to run since then: it may, until the other nodes learn of the use.
func (l *Limiter) usedByOthers(o *organisation, now time.Duration) float64 {
	d := o.others
	age := now - l.heardAt - current
	if !d.Limited || age <= 0 {
		return d.Used
	}
	growth := max(0, d.Rate-d.Used/l.settings.Window.Seconds()) // what arrives less what leaves the window
	return d.Used + growth*min(age, inTouch).Seconds()
}

// paced reports whether the organisation is beyond its limit, so that its requests are spread over the window.
func (o *organisation) paced() bool {
	return o.capacity >= leastPaced && o.others.Limited && o.others.Rate+o.demand > o.limit.Rate
}

// urgent reports whether the capacity is nearly used up or soon will be.
func (l *Limiter) urgent(o *organisation, allowed float64) bool {
	if !o.known && o.total > 0 && l.allowance(o.limit) < smallAllowance {
		return true
	}
	use := urgentUse
	if !o.known {
		use = firstUse
	}
	return (o.total >= leastFirst && float64(o.total) >= use*allowed) ||
		l.surges(o)
}

// surges reports whether the demand has grown by more than chance since the last report and matters for the quota.
func (l *Limiter) surges(o *organisation) bool {
	before := o.reported.Rate
	return o.demand >= surgeDemand && o.demand > before+max(surge*before, surgeDeviations*math.Sqrt(before/2)) &&
		o.demand+o.others.Rate > surgeShare*o.limit.Rate
}

// changeLimit scales the capacity to a new limit, so that it binds at once.
func (l *Limiter) changeLimit(o *organisation, limit Limit) {
	if before := l.allowance(o.limit); o.limit.Rate > 0 {
		o.capacity *= l.allowance(limit) / before
	}
	o.limit = limit
}

// retryAfter spreads the return of rejected callers over the time in which the node can admit them.
func (l *Limiter) retryAfter(o *organisation, allowed float64, now time.Duration, sample float64) time.Duration {
	interval := l.settings.Window
	if allowed >= 1 {
		interval = time.Duration(float64(l.settings.Window) / allowed)
	}
	o.promisedAt = max(o.promisedAt, now) + interval
	earliest := time.Duration(max(0, 1-o.tokens) * float64(interval))
	if o.promisedAt-now > l.settings.Window {
		o.promisedAt = now + l.settings.Window/2 + time.Duration(sample*float64(l.settings.Window)/2)
	}
	return max(earliest, o.promisedAt-now, minRetryAfter)
}

const minRetryAfter = 50 * time.Millisecond

func (l *Limiter) slotAt(now time.Duration) int64 { return int64(now / (l.settings.Window / slots)) }

// advance lets the demand decay, refills the tokens and removes counts that have left the window.
func (l *Limiter) advance(o *organisation, now time.Duration) {
	if elapsed := now - o.decayedAt; elapsed > 0 {
		o.demand *= math.Exp(-float64(elapsed) / float64(demandTime))
		o.mean *= math.Exp(-float64(elapsed) / float64(l.settings.Window))
		o.tokens += l.pace(o) * elapsed.Seconds()
		o.tokens = min(o.tokens, l.bucket(o))
		o.decayedAt = now
	}
	slot := l.slotAt(now)
	for n := 0; o.slot < slot && n < slots; n++ {
		o.slot++
		o.total -= o.counts[o.slot%slots]
		o.counts[o.slot%slots] = 0
	}
	o.slot = max(o.slot, slot)
	if o.limited && now-o.rejectedAt > l.settings.Window {
		o.limited = false
		l.ended = append(l.ended, o.id)
	}
}

// pace returns the requests per second that the node admits while the organisation is paced: its share of the rate.
func (l *Limiter) pace(o *organisation) float64 {
	if q := l.quota(o.limit); q > 0 {
		return (paceExcess + idleExcess*max(0, l.spare(o, o.decayedAt))) * o.capacity * o.limit.Rate / q
	}
	return 0
}

// bucket returns the number of requests that the node may admit at once while the organisation is paced.
func (l *Limiter) bucket(o *organisation) float64 {
	if q := l.quota(o.limit); q > 0 {
		return max(leastBucket, o.capacity*o.limit.Burst/q)
	}
	return leastBucket
}
