package balance

import (
	"time"

	"github.com/rattanfield/rattanfield/ports"
)

const (
	// spillUtilization is the utilization of a locality above which calls spill over to
	// the next one. Below it, a short burst stays local.
	spillUtilization = 0.8
	// slowStartTime is how long a new upstream gets a reduced share while its caches are cold.
	slowStartTime = 10 * time.Second
	// slowStartMinShare is the share of its capacity that an endpoint is given at the start of slow
	// start; it is enough to warm up.
	slowStartMinShare = 0.1
	// maxLoadAge is how long a reported load counts; afterwards only the requests of this balancer do.
	maxLoadAge = 2 * time.Second
	// defaultLatency is assumed for an endpoint without a sample.
	defaultLatency = 10 * time.Millisecond
	latencyWeight  = 0.2 // least weight of a new sample in the moving averages
	// sampleHalfLife is the time in which an old sample loses half of its weight, so
	// that an endpoint that was slow or failed gets calls again and can show its recovery.
	sampleHalfLife = 5 * time.Second
	// unsampledWeight replaces sampleWeight for an endpoint without a sample. It makes the
	// endpoint attractive enough to get one.
	unsampledWeight = 0.5
	// errorPenalty raises the expected work of an endpoint that fails, by up to this factor,
	// because an endpoint that fails fast would otherwise look like a fast one.
	errorPenalty = 10.0
	// A timeout after less than timeoutFactor times the average latency is not blamed on the
	// endpoint: the caller set its deadline too short or the request waited in a queue.
	timeoutFactor = 4
)

// Endpoint is a candidate for calls. Slots bounds the number of slots that its gate reports.
type Endpoint struct {
	Address string
	Version string
	Link    ports.Link
	Slots   int
	// ServingSince is the time when slow start begins; the zero time means no slow start.
	ServingSince time.Time
}

// Load is the load that the gate of an endpoint reported in a response.
type Load struct {
	InFlight, Queue, Slots int
}

// Outcome describes how a request to an endpoint ended.
type Outcome struct {
	Latency time.Duration
	// Failed is true for a failure that the endpoint is blamed for.
	Failed bool
	// TimedOut is true when the deadline of the caller passed.
	TimedOut bool
	// Unavailable is true when the endpoint accepted no connection or is leaving.
	Unavailable bool
	// Rejected is true when a limit rejected the request. Done also sets it for a timeout that is
	// not blamed on the endpoint, see timeoutFactor. Such an outcome counts neither for the moving
	// averages nor for outlier ejection.
	Rejected bool
	Load     *Load // nil when the response carried none
	Bytes    int   // size of request and response
}

type endpoint struct {
	Endpoint
	inFlight    int
	latency     float64 // seconds, moving average; 0: none yet
	sampledAt   time.Time
	failureRate float64 // moving average
	load        Load
	loadAt      time.Time
	ownAtReport int // requests of this balancer in flight when the load was reported
	health      health
	listed      bool
}

// Balancer distributes the calls to one service. It is not safe for concurrent use.
type Balancer struct {
	byAddress    map[string]*endpoint
	list         []*endpoint
	remoteBudget byteBucket
}

// New returns a balancer without endpoints. remoteBytesPerSecond bounds the
// traffic to the remote region; 0 allows none.
func New(remoteBytesPerSecond float64) *Balancer {
	return &Balancer{byAddress: make(map[string]*endpoint), remoteBudget: byteBucket{rate: remoteBytesPerSecond}}
}

// SetEndpoints replaces the candidates. The statistics of an endpoint that stays
// are kept; those of a restarted upstream (other ServingSince) are reset.
func (b *Balancer) SetEndpoints(endpoints []Endpoint) {
	for _, e := range b.list {
		e.listed = false
	}
	b.list = b.list[:0]
	for _, d := range endpoints {
		e := b.byAddress[d.Address]
		if e == nil || !e.ServingSince.Equal(d.ServingSince) {
			fresh := &endpoint{}
			if e != nil {
				fresh.inFlight = e.inFlight
			}
			e = fresh
			b.byAddress[d.Address] = e
		}
		e.Endpoint = d
		e.listed = true
		b.list = append(b.list, e)
	}
	for address, e := range b.byAddress {
		if !e.listed && e.inFlight == 0 {
			delete(b.byAddress, address)
		}
	}
}

// Random returns a uniform random number in [0,1).
type Random func() float64

// Pick is the endpoint that Balancer.Pick chose.
type Pick struct {
	Endpoint
	// InSlowStart is true while the endpoint is in slow start.
	InSlowStart bool
}

// Pick chooses an endpoint of the version ("" matches all) that is not excluded
// and counts a request in flight there until Done is called. It returns false if
// there is no such endpoint.
func (b *Balancer) Pick(now time.Time, version string, excluded func(address string) bool, random Random) (Pick, bool) {
	usable, unhealthy := b.usable(now, version, excluded)
	candidates := b.nearestWithCapacity(now, usable, random)
	if len(candidates) == 0 {
		// No usable endpoint may be called: an ejected or unreachable one is better than none.
		candidates = b.nearestWithCapacity(now, unhealthy, random)
	}
	if len(candidates) == 0 {
		return Pick{}, false
	}
	e := b.lessLoaded(now, candidates, random)
	e.inFlight++
	return Pick{Endpoint: e.Endpoint, InSlowStart: e.inSlowStart(now)}, true
}

// usable returns the endpoints of the version that are not excluded: the usable
// ones and the unhealthy ones, which are ejected or unreachable. If more than
// panicShare of the version is ejected, both groups are returned as usable.
func (b *Balancer) usable(now time.Time, version string, excluded func(string) bool) (usable, unhealthy []*endpoint) {
	eligible := 0
	for _, e := range b.list {
		if version != "" && e.Version != version {
			continue
		}
		eligible++
		switch {
		case excluded != nil && excluded(e.Address):
		case e.health.ejected(now) || e.health.unreachable(now):
			unhealthy = append(unhealthy, e)
		default:
			usable = append(usable, e)
		}
	}
	ejectedCount := 0
	for _, e := range b.list {
		if (version == "" || e.Version == version) && e.health.ejected(now) {
			ejectedCount++
		}
	}
	if float64(ejectedCount) > panicShare*float64(eligible) {
		// Since mayEject keeps ejections at or below half of a version, this happens only after
		// SetEndpoints removed endpoints or changed their version.
		return append(usable, unhealthy...), nil
	}
	return usable, unhealthy
}

// nearestWithCapacity returns the endpoints of the nearest locality that has
// capacity, or of the nearest one if all are full. It leaves out the remote region
// while the byte budget is used up.
func (b *Balancer) nearestWithCapacity(now time.Time, all []*endpoint, random Random) []*endpoint {
	var byLink [ports.LinkCount][]*endpoint
	for _, e := range all {
		byLink[e.Link] = append(byLink[e.Link], e)
	}
	nearest := byLink[ports.LinkDomain]
	for link := ports.LinkDomain; int(link) < ports.LinkCount; link++ {
		group := byLink[link]
		if len(group) == 0 || (link == ports.LinkRemote && !b.remoteBudget.available(now)) {
			continue
		}
		if len(nearest) == 0 {
			nearest = group
		}
		use := utilization(now, group)
		if use < spillUtilization {
			return group
		}
		// Between spillUtilization and full utilization a growing share of the calls
		// spills over, so that calls do not all switch locality at once.
		if use < 1 && random() > (use-spillUtilization)/(1-spillUtilization) {
			return group
		}
	}
	return nearest // all localities are full: stay near and let the queue of the gate decide
}

func utilization(now time.Time, group []*endpoint) float64 {
	used, slots := 0.0, 0.0
	for _, e := range group {
		used += e.pendingRequests(now)
		slots += float64(e.slots())
	}
	return used / slots
}

// lessLoaded returns the one of two distinct random candidates with less expected work.
func (b *Balancer) lessLoaded(now time.Time, candidates []*endpoint, random Random) *endpoint {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := randomIndex(random(), len(candidates))
	j := randomIndex(random(), len(candidates)-1)
	if j >= i {
		j++
	}
	x, y := candidates[i], candidates[j]
	if y.expectedWork(now) < x.expectedWork(now) {
		return y
	}
	return x
}

func randomIndex(u float64, n int) int { return min(int(u*float64(n)), n-1) }

// Done ends a request that Pick counted and records its outcome.
func (b *Balancer) Done(now time.Time, address string, o Outcome) {
	e := b.byAddress[address]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	if e.Link == ports.LinkRemote {
		b.remoteBudget.use(now, float64(o.Bytes))
	}
	if o.TimedOut && e.latency > 0 && o.Latency.Seconds() < timeoutFactor*e.latency {
		o.Rejected = true
	}
	if o.Load != nil {
		e.load, e.loadAt, e.ownAtReport = *o.Load, now, e.inFlight
	}
	if !o.Rejected && !o.Unavailable {
		e.sample(now, o)
	}
	if o.Unavailable {
		e.health.markUnreachable(now)
		return
	}
	if e.health.observe(now, o) && b.mayEject(now, e) {
		e.health.eject(now)
	}
}

// sample updates the moving averages. The older the last sample is, the more a new one counts.
func (e *endpoint) sample(now time.Time, o Outcome) {
	weight := max(latencyWeight, 1-e.sampleWeight(now))
	e.sampledAt = now
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	e.failureRate += weight * (failed - e.failureRate)
	if o.Failed {
		return
	}
	if e.latency == 0 {
		e.latency = o.Latency.Seconds()
		return
	}
	e.latency += weight * (o.Latency.Seconds() - e.latency)
}

// mayEject reports whether another endpoint of the version may be ejected within
// maxEjectedShare. The first one is always allowed if the version has another endpoint.
func (b *Balancer) mayEject(now time.Time, e *endpoint) bool {
	total, ejectedCount := 0, 0
	for _, other := range b.list {
		if other.Version != e.Version {
			continue
		}
		total++
		if other != e && other.health.ejected(now) {
			ejectedCount++
		}
	}
	if total < 2 {
		return false
	}
	return ejectedCount == 0 || float64(ejectedCount+1) <= maxEjectedShare*float64(total)
}

// Ejected returns the number of ejected endpoints.
func (b *Balancer) Ejected(now time.Time) int {
	n := 0
	for _, e := range b.list {
		if e.health.ejected(now) {
			n++
		}
	}
	return n
}
