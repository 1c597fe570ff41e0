package httpproxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/config"
	"github.com/rattanfield/rattanfield/core/quarantine"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// GateOptions of a Gate.
type GateOptions struct {
	// LocalIP is the source address of connections to the upstream; nil lets the system choose.
	LocalIP net.IP
	// MaxQueue bounds the requests that wait when the service states no bound; 0 selects the default.
	MaxQueue int
	// Metrics receives counters and histograms; nil keeps them unregistered.
	Metrics *metrics.Set
	// Baseline turns admission and quarantine off. Measurements compare with it.
	Baseline bool
}

const defaultMaxQueue = 64

// GateDependencies of a Gate.
type GateDependencies struct {
	Configuration ports.ConfigurationReader
	Local         ports.LocalEndpoint
	Claims        ports.ClaimKeeper     // nil: requests with idempotency keys are rejected
	Suspects      ports.SuspectSpreader // nil: suspects stay local
	Below         *BelowMarks           // shared with the entry of the node; nil: none
}

// Gate is the proxy in front of the upstream of its host. It alone decides
// whether a request is run.
type Gate struct {
	options GateOptions
	deps    GateDependencies
	metrics *callMetrics
	nextID  atomic.Uint64

	mu       sync.Mutex
	leaving  bool // the node stops
	upstream *upstream
	former   *upstream // the instance before; it may still finish requests
	// leftInstance is the upstream process that left last; late renewals of it are ignored.
	leftInstance string
	quarantine   *quarantine.Registry
	active       int
	drained      chan struct{} // closed when leaving and no call is active

	publishing sync.Mutex // keeps the order of published states
	stop       chan struct{}
	watcher    sync.WaitGroup
}

var _ ports.SuspectReceiver = (*Gate)(nil)

// NewGate returns a gate without an upstream; an announcement brings one.
func NewGate(o GateOptions, d GateDependencies) *Gate {
	if o.MaxQueue == 0 {
		o.MaxQueue = defaultMaxQueue
	}
	g := &Gate{
		options: o, deps: d,
		metrics:    newCallMetrics(o.Metrics, "gate"),
		quarantine: quarantine.New(),
		drained:    make(chan struct{}),
		stop:       make(chan struct{}),
	}
	g.watcher.Add(1)
	go g.watchRenewals()
	return g
}

// Handler of the gate's listener.
func (g *Gate) Handler() fasthttp.RequestHandler { return g.handle }

// Leave publishes that the node takes no new work and rejects new requests.
func (g *Gate) Leave() {
	g.mu.Lock()
	if !g.leaving {
		g.leaving = true
		if g.active == 0 {
			close(g.drained)
		}
	}
	g.mu.Unlock()
	g.publish()
}

// Shutdown leaves, finishes what was accepted and publishes that the upstream is gone.
func (g *Gate) Shutdown(ctx context.Context) error {
	g.Leave()
	var err error
	select {
	case <-g.drained:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	g.mu.Lock()
	u := g.upstream
	if u != nil {
		u.state = pb.EndpointState_ENDPOINT_STATE_GONE
	}
	select {
	case <-g.stop:
	default:
		close(g.stop)
	}
	g.mu.Unlock()
	g.publish()
	g.watcher.Wait()
	if u != nil {
		u.pool.close()
	}
	return err
}

// Merge takes what other gates know of requests that crash upstreams.
func (g *Gate) Merge(records []*pb.SuspectRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Merge(time.Now(), records)
}

// Suspects returns what this gate knows of such requests.
func (g *Gate) Suspects() []*pb.SuspectRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Records(time.Now())
}

func (g *Gate) handle(ctx *fasthttp.RequestCtx) {
	c, rejected := parseCall(ctx, time.Now())
	route := g.describe(ctx, c)
	if rejected == nil {
		rejected = g.serve(ctx, c, route)
	}
	if rejected != nil {
		rejected.write(ctx)
		if rejected.reason == ReasonLeaving {
			ctx.SetConnectionClose() // the entry gives up the connection, not this side
		}
	} else {
		cleanResponse(&ctx.Response)
		if ctx.Response.Header.Peek(HeaderRan) == nil {
			ctx.Response.Header.Set(HeaderRan, RanRun)
		}
	}
	ctx.Response.Header.Set(HeaderCallID, c.id)
	ctx.Response.Header.Set(HeaderLoad, g.loadHeader())
	g.metrics.observe(c, rejected, time.Since(c.received))
}

// target is the part of the configuration that concerns a call at the gate.
type target struct {
	route   *pb.Route   // nil when the gate has no matching one
	service *pb.Service // nil without a configuration
}

func (g *Gate) describe(ctx *fasthttp.RequestCtx, c *call) target {
	p := g.deps.Configuration.Projection()
	if p == nil {
		c.limitTo(nil, nil)
		return target{}
	}
	t := target{route: matchRoute(p, ctx)}
	g.mu.Lock()
	if g.upstream != nil {
		t.service = p.Service(g.upstream.announced.Service)
	}
	g.mu.Unlock()
	c.limitTo(t.route, t.service)
	return t
}

func matchRoute(p *config.Projection, ctx *fasthttp.RequestCtx) *pb.Route {
	return p.Match(hostName(ctx.Host()), string(ctx.Method()), string(ctx.Path()))
}

// hostName is the host of a request without its port.
func hostName(host []byte) string {
	s := string(host)
	if name, _, err := net.SplitHostPort(s); err == nil {
		return name
	}
	return s
}

// serve runs an accepted request; the result is in ctx.Response when it returns nil.
func (g *Gate) serve(ctx *fasthttp.RequestCtx, c *call, t target) *rejection {
	if c.id == "" {
		return &rejection{reason: ReasonInvalidHeader, detail: HeaderCallID}
	}
	if limit := int(t.service.GetLimits().GetMaxRequestBytes()); limit > 0 && len(ctx.Request.Body()) > limit {
		return reject(ReasonTooLarge)
	}
	if c.fingerprint == 0 {
		c.fingerprint = fingerprint(t.route.GetName(), &ctx.Request)
	}
	s, rejected := g.admit(ctx, c, t)
	if rejected != nil {
		return rejected
	}
	result := runResult{}
	defer func() { g.finish(s, result) }()
	claim, rejected := g.claim(ctx, c, t)
	if rejected != nil || claim.answered {
		return rejected
	}
	result, rejected = g.forward(ctx, c, s, claim.held != nil)
	g.settle(ctx, t, claim, result, rejected)
	return rejected
}
