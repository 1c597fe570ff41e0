package httpproxy

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/balance"
	"github.com/rattanfield/rattanfield/core/config"
	"github.com/rattanfield/rattanfield/core/drain"
	"github.com/rattanfield/rattanfield/core/retry"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// EntryOptions configures an Entry.
type EntryOptions struct {
	Region        string
	FailureDomain string
	// LocalIP is the source address of connections to gates; nil lets the system choose.
	LocalIP net.IP
	// Seed seeds the random choices.
	Seed uint64
	// RemoteBytesPerSecond bounds the traffic to other regions; 0 keeps all calls in the region.
	RemoteBytesPerSecond float64
	// MaxConnections bounds the connections to one gate; 0 selects 256.
	MaxConnections int
	// Metrics is the set in which counters and histograms are registered; nil: they are not exported.
	Metrics *metrics.Set
	// Resources are the memory that the entry shares with others; nil: none.
	Resources *Resources
	// Baseline selects round robin and retries without a budget, as the reference in measurements.
	Baseline bool
}

const defaultGateConnections = 256

// EntryDependencies are the dependencies of an Entry.
type EntryDependencies struct {
	Configuration  ports.ConfigurationReader
	Endpoints      ports.EndpointReader
	Outcomes       ports.OutcomeRecorder // nil: outcomes are not recorded
	Versions       ports.VersionPicker   // nil: the active version
	NestedFailures *FailedNestedCalls    // shared with the gate of the node; nil: none
	Stops          *StopAdmission        // shared with the gate of the node; nil: all requests are admitted
}

// Entry accepts calls, selects route, version and upstream, and forwards each call to the
// gate of that upstream. It is safe for concurrent use.
type Entry struct {
	options EntryOptions
	deps    EntryDependencies
	metrics *callMetrics
	pool    *pool

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*serviceState
	active   int // calls in progress
	closing  bool
	drained  chan struct{} // closed when closing and no call is active

	stop    chan struct{}
	cleaner sync.WaitGroup
}

// serviceState is the state that an entry keeps per service.
type serviceState struct {
	balancer       *balance.Balancer
	budget         *retry.Budget
	listVersion    uint64 // of the endpoint list in the balancer, see ports.EndpointReader
	initialized    bool
	slots          uint32 // slots limit passed to the balancer
	roundRobinNext int    // round-robin position of the baseline
	records        []*pb.EndpointRecord
	former         []formerEndpoint // endpoints that have left records
}

// NewEntry returns an entry that reads configuration and endpoints for each call. Shutdown releases its resources.
func NewEntry(o EntryOptions, d EntryDependencies) *Entry {
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultGateConnections
	}
	e := &Entry{
		options: o, deps: d,
		metrics:  newCallMetrics(o.Metrics, "entry"),
		pool:     newSharedPool(o.LocalIP, o.MaxConnections, o.Resources.responses(), o.Resources.accountOrNil()),
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		services: make(map[string]*serviceState),
		drained:  make(chan struct{}),
		stop:     make(chan struct{}),
	}
	e.cleaner.Add(1)
	go e.closeIdleConnections()
	return e
}

// Handler returns the handler for the listener of the entry.
func (e *Entry) Handler() fasthttp.RequestHandler { return e.handle }

// Shutdown waits for accepted calls and closes the connections to gates. It returns the cause
// of the context if the context ends before the calls do. The listener must accept no new
// calls (see Server.Shutdown); calls that still arrive are rejected as not run.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.mu.Lock()
	if !e.closing {
		e.closing = true
		close(e.stop)
		if e.active == 0 {
			close(e.drained)
		}
	}
	e.mu.Unlock()
	var err error
	select {
	case <-e.drained:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	e.cleaner.Wait()
	e.pool.close()
	return err
}

func (e *Entry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return false
	}
	e.active++
	return true
}

func (e *Entry) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.active == 0 && e.closing {
		close(e.drained)
	}
}

func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	c, rej := parseCall(ctx, time.Now())
	if rej == nil {
		rej = e.serve(ctx, c)
	}
	if rej != nil {
		rej.write(ctx)
		// Failures and overload are marked, so that services further up the call chain do not retry the call.
		if s := rej.status(); s >= fasthttp.StatusInternalServerError || s == fasthttp.StatusTooManyRequests {
			e.deps.NestedFailures.record(c.id)
			ctx.Response.Header.Set(HeaderFailedBelow, "1")
		}
	}
	if c.id != "" {
		ctx.Response.Header.Set(HeaderCallID, c.id)
	}
	ctx.Response.Header.Del(HeaderLoad)
	e.metrics.observe(c, rej, time.Since(c.received))
}

func (e *Entry) serve(ctx *fasthttp.RequestCtx, c *call) *rejection {
	if c.depth+1 > retry.MaxDepth {
		return reject(ReasonDepthExceeded)
	}
	p := e.deps.Configuration.Projection()
	if p == nil || !e.deps.Configuration.FloorKnown() {
		return reject(ReasonFloorUnknown)
	}
	route := matchRoute(p, ctx)
	if route == nil {
		return reject(ReasonNoRoute)
	}
	service := p.Service(route.GetService())
	c.applyTimeouts(route, service)
	if limit := int(service.GetLimits().GetMaxRequestBytes()); limit > 0 && len(ctx.Request.Body()) > limit {
		return reject(ReasonTooLarge)
	}
	if c.class == "" {
		c.class = route.GetClass()
	}
	kind := drain.Kind{Route: route.GetName(), Service: service.GetName()}
	if rej := e.deps.Stops.admitAtEntry(c, kind); rej != nil {
		return rej
	}
	if !e.begin() {
		return e.deps.Stops.rejection()
	}
	defer e.end()
	c.fingerprint = fingerprint(route.GetName(), &ctx.Request)
	f := &forwarding{entry: e, ctx: ctx, call: c, projection: p, route: route, service: service}
	rej := f.run()
	if rej == nil {
		e.deps.Stops.record(kind, time.Since(c.received))
	}
	return rej
}

// ActiveCalls returns the number of calls that were admitted and are not answered.
func (e *Entry) ActiveCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

// closeIdleConnections periodically closes expired idle connections and those to gates
// without an endpoint.
func (e *Entry) closeIdleConnections() {
	defer e.cleaner.Done()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
			known := e.knownGates()
			e.pool.closeIdle(func(address string) bool { return known[address] })
		}
	}
}

const idleCheckInterval = time.Second

// knownGates returns the gate addresses of all endpoints of the services called so far.
func (e *Entry) knownGates() map[string]bool {
	e.mu.Lock()
	services := make([]string, 0, len(e.services))
	for name := range e.services {
		services = append(services, name)
	}
	e.mu.Unlock()
	known := make(map[string]bool)
	for _, name := range services {
		records, _ := e.deps.Endpoints.Endpoints(name)
		for _, r := range records {
			known[r.GetGateAddress()] = true
		}
	}
	return known
}

// stateLocked returns the state of a service, updated to its current endpoints. The lock must be held.
func (e *Entry) stateLocked(s *pb.Service) *serviceState {
	st := e.services[s.GetName()]
	if st == nil {
		st = &serviceState{
			balancer: balance.New(e.options.RemoteBytesPerSecond),
			budget:   retry.NewBudget(s.GetRetryBudgetPercent()),
		}
		e.services[s.GetName()] = st
	}
	st.budget.SetPercent(s.GetRetryBudgetPercent())
	records, listVersion := e.deps.Endpoints.Endpoints(s.GetName())
	slots := s.GetLimits().GetSlots()
	if !st.initialized || st.listVersion != listVersion || st.slots != slots {
		st.updateFormer(time.Now(), st.records, records, func(r []*pb.EndpointRecord) []balance.Endpoint { return e.candidates(r, slots) })
		st.initialized, st.listVersion, st.slots, st.records = true, listVersion, slots, records
		st.balancer.SetEndpoints(e.candidates(records, slots))
	}
	return st
}

func (e *Entry) candidates(records []*pb.EndpointRecord, slots uint32) []balance.Endpoint {
	out := make([]balance.Endpoint, 0, len(records))
	for _, r := range records {
		c := balance.Endpoint{
			Address: r.GetGateAddress(), Version: r.GetVersion(), Link: e.linkTo(r),
			Slots: int(min(r.GetSlots(), slots)),
		}
		if ms := r.GetServingSinceUnixMs(); ms > 0 {
			c.ServingSince = time.UnixMilli(ms)
		}
		out = append(out, c)
	}
	return out
}

func (e *Entry) linkTo(r *pb.EndpointRecord) ports.Link {
	switch {
	case r.GetRegion() != e.options.Region:
		return ports.LinkRemote
	case r.GetFailureDomain() != e.options.FailureDomain:
		return ports.LinkRegion
	default:
		return ports.LinkDomain
	}
}

// pickVersionLocked returns the version for a call. The lock must be held.
func (e *Entry) pickVersionLocked(p *config.Projection, s *pb.Service) string {
	if e.deps.Versions == nil {
		return s.GetActiveVersion()
	}
	return e.deps.Versions.PickVersion(p, s.GetName(), e.random.Float64())
}
