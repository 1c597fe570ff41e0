package balance

import (
	"time"

	"github.com/rattanfield/rattanfield/ports"
)

const (
	// spillUtilization is the part of the known slots of a locality that is used
	// before calls go to the next one. Below it, a short burst stays local.
	spillUtilization = 0.8
	// slowStartTime is how long a new upstream gets a reduced share while its caches are cold.
	slowStartTime = 10 * time.Second
	// slowStartFloor is the share at the start; it is enough to warm up.
	slowStartFloor = 0.1
	// loadAge is how long a reported load counts; afterwards only local counts do.
	loadAge = 2 * time.Second
	// defaultLatency stands for endpoints without a sample.
	defaultLatency = 10 * time.Millisecond
	latencyWeight  = 0.2 // of a new sample in the moving average
	// sampleHalfLife is the time in which an old sample loses half of its weight, so
	// that an endpoint that was slow or failed gets calls again and can show its recovery.
	sampleHalfLife = 5 * time.Second
	// unsampledFade makes an endpoint without a sample attractive enough to get one.
	unsampledFade = 0.5
	// errorWork multiplies the expected work by up to this factor for an endpoint that fails,
	// because failing fast would otherwise look like being fast.
	errorWork = 10.0
	// usualFactor of the average latency is still usual: a caller whose deadline passes
	// earlier set it too short, or waited in a queue, which does not speak against the endpoint.
	usualFactor = 4
)

// Endpoint is one candidate. Hints of the endpoint (slots) are bounded by the caller.
type Endpoint struct {
	Address string
	Version string
	Link    ports.Link
	Slots   int
	// ServingSince starts slow start; zero means warm.
	ServingSince time.Time
}

// Load as a response reported it.
type Load struct {
	InFlight, Queue, Slots int
}

// Outcome of a request to an endpoint.
type Outcome struct {
	Latency time.Duration
	// Failed is true for failures that speak against the endpoint.
	Failed bool
	// TimedOut is true when the deadline of the caller passed.
	TimedOut bool
	// Refused is true when the endpoint accepted no connection or is leaving.
	Refused bool
	// Rejected is true when a limit rejected the request; its latency says nothing.
	Rejected bool
	Load     *Load // nil when the response carried none
	Bytes    int   // request and response
}

type endpoint struct {
	Endpoint
	inFlight    int
	latency     float64 // seconds, moving average; 0: none yet
	sampledAt   time.Time
	failureRate float64 // moving average
	load        Load
	loadAt      time.Time
	loadLocal   int // own requests in flight when the load was reported
	health      health
	listed      bool
}

// Balancer of one service. It is not safe for concurrent use.
type Balancer struct {
	byAddress map[string]*endpoint
	list      []*endpoint
	remote    tokens
}

// New returns a balancer without endpoints; remoteBytesPerSecond bounds the
// traffic to the remote region (0: none).
func New(remoteBytesPerSecond float64) *Balancer {
	return &Balancer{byAddress: make(map[string]*endpoint), remote: tokens{rate: remoteBytesPerSecond}}
}

// SetEndpoints replaces the candidates. What is known of an endpoint that stays is kept;
// a restarted upstream (later ServingSince) starts anew.
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

// Random gives uniform numbers in [0,1).
type Random func() float64

// Pick is a chosen endpoint.
type Pick struct {
	Endpoint
	// Fresh is true while the endpoint is in slow start.
	Fresh bool
}

// Pick chooses an endpoint of the version ("" matches all) that is not excluded
// and counts a request in flight there, which Done ends.
func (b *Balancer) Pick(now time.Time, version string, excluded func(address string) bool, random Random) (Pick, bool) {
	usable, ejected := b.usable(now, version, excluded)
	candidates := b.localize(now, usable, random)
	if len(candidates) == 0 {
		// All that may be used are ejected: a doubtful endpoint is better than none.
		candidates = b.localize(now, ejected, random)
	}
	if len(candidates) == 0 {
		return Pick{}, false
	}
	e := b.better(now, candidates, random)
	e.inFlight++
	return Pick{Endpoint: e.Endpoint, Fresh: e.fresh(now)}, true
}

func (b *Balancer) usable(now time.Time, version string, excluded func(string) bool) (usable, ejected []*endpoint) {
	eligible := 0
	for _, e := range b.list {
		if version != "" && e.Version != version {
			continue
		}
		eligible++
		switch {
		case excluded != nil && excluded(e.Address):
		case e.health.ejected(now) || e.health.unreachable(now):
			ejected = append(ejected, e)
		default:
			usable = append(usable, e)
		}
	}
	out := 0
	for _, e := range b.list {
		if (version == "" || e.Version == version) && e.health.ejected(now) {
			out++
		}
	}
	if float64(out) > panicShare*float64(eligible) {
		return append(usable, ejected...), nil // the maximum share keeps this to small groups
	}
	return usable, ejected
}

// localize returns the candidates of the nearest locality that has capacity.
func (b *Balancer) localize(now time.Time, all []*endpoint, random Random) []*endpoint {
	var byLink [ports.LinkCount][]*endpoint
	for _, e := range all {
		byLink[e.Link] = append(byLink[e.Link], e)
	}
	nearest := byLink[ports.LinkDomain]
	for link := ports.LinkDomain; int(link) < ports.LinkCount; link++ {
		group := byLink[link]
		if len(group) == 0 || (link == ports.LinkRemote && !b.remote.available(now)) {
			continue
		}
		if len(nearest) == 0 {
			nearest = group
		}
		use := utilization(now, group)
		if use < spillUtilization {
			return group
		}
		// Between the threshold and full use, calls spill over in proportion, so
		// that the locality does not switch as a whole.
		if use < 1 && random() > (use-spillUtilization)/(1-spillUtilization) {
			return group
		}
	}
	return nearest // everything is full: stay near, the gate's queue decides
}

func utilization(now time.Time, group []*endpoint) float64 {
	used, slots := 0.0, 0.0
	for _, e := range group {
		used += e.pending(now)
		slots += float64(e.slots())
	}
	return used / slots
}

// better takes the one with less expected work of two distinct random candidates.
func (b *Balancer) better(now time.Time, candidates []*endpoint, random Random) *endpoint {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := index(random(), len(candidates))
	j := index(random(), len(candidates)-1)
	if j >= i {
		j++
	}
	x, y := candidates[i], candidates[j]
	if y.work(now) < x.work(now) {
		return y
	}
	return x
}

func index(u float64, n int) int { return min(int(u*float64(n)), n-1) }

// Done ends a request that Pick counted.
func (b *Balancer) Done(now time.Time, address string, o Outcome) {
	e := b.byAddress[address]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	if e.Link == ports.LinkRemote {
		b.remote.use(now, float64(o.Bytes))
	}
	if o.TimedOut && e.latency > 0 && o.Latency.Seconds() < usualFactor*e.latency {
		o.Rejected = true
	}
	if o.Load != nil {
		e.load, e.loadAt, e.loadLocal = *o.Load, now, e.inFlight
	}
	if !o.Rejected && !o.Refused {
		e.sample(now, o)
	}
	if o.Refused {
		e.health.refused(now)
		return
	}
	if e.health.observe(now, o) && b.mayEject(now, e) {
		e.health.eject(now)
	}
}

// sample updates the averages. The longer the last sample is ago, the more a new one counts.
func (e *endpoint) sample(now time.Time, o Outcome) {
	weight := max(latencyWeight, 1-e.fade(now))
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

// mayEject keeps the ejected endpoints of a version within the maximum share; one is always allowed
// when others remain.
func (b *Balancer) mayEject(now time.Time, e *endpoint) bool {
	total, out := 0, 0
	for _, other := range b.list {
		if other.Version != e.Version {
			continue
		}
		total++
		if other != e && other.health.ejected(now) {
			out++
		}
	}
	if total < 2 {
		return false
	}
	return out == 0 || float64(out+1) <= maxEjectedShare*float64(total)
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
