package httpproxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/core/config"
	"github.com/rattanfield/rattanfield/core/drain"
	"github.com/rattanfield/rattanfield/core/quarantine"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// GateOptions configures a Gate.
type GateOptions struct {
	// LocalIP is the source address of connections to the upstream; nil lets the system choose.
	LocalIP net.IP
	// MaxQueue bounds the queued requests if the service states no bound; 0 selects 64.
	MaxQueue int
	// Metrics is the set in which counters and histograms are registered; nil: they are not exported.
	Metrics *metrics.Set
	// Resources are the memory that the gate shares with others; nil: none.
	Resources *Resources
	// Baseline disables admission control and quarantine, as the reference in measurements.
	Baseline bool
}

const defaultMaxQueue = 64

// GateDependencies are the dependencies of a Gate.
type GateDependencies struct {
	Configuration  ports.ConfigurationReader
	Local          ports.LocalEndpoint
	Claims         ports.ClaimKeeper     // nil: requests with idempotency keys are rejected
	Suspects       ports.SuspectSpreader // nil: suspects are not sent to other gates
	NestedFailures *FailedNestedCalls    // shared with the entry of the node; nil: none
	Stops          *StopAdmission        // shared with the entry of the node; nil: all requests are admitted
}

// Gate is the proxy in front of the upstream of its host. It alone decides whether the
// upstream runs a request. It is safe for concurrent use.
type Gate struct {
	options GateOptions
	deps    GateDependencies
	metrics *callMetrics
	nextID  atomic.Uint64
	memory  *body.Memory // of large responses

	mu       sync.Mutex
	stopping bool // the node stops, but still accepts requests
	leaving  bool // the node stops and accepts no requests
	upstream *upstream
	former   *upstream // the previous instance; it may still finish requests
	// leftInstance is the upstream instance that left last; its late announcements are ignored.
	leftInstance string
	quarantine   *quarantine.Registry
	active       int           // accepted calls, queued or running
	drained      chan struct{} // closed when leaving and no call is active

	publishMu sync.Mutex // serializes publish, so that states are published in order
	stop      chan struct{}
	watcher   sync.WaitGroup
}

var _ ports.SuspectReceiver = (*Gate)(nil)

// NewGate returns a gate without an upstream, which Announce adds. Shutdown releases its resources.
func NewGate(o GateOptions, d GateDependencies) *Gate {
	if o.MaxQueue == 0 {
		o.MaxQueue = defaultMaxQueue
	}
	g := &Gate{
		options: o, deps: d,
		metrics:    newCallMetrics(o.Metrics, "gate"),
		memory:     o.Resources.responses(),
		quarantine: quarantine.New(),
		drained:    make(chan struct{}),
		stop:       make(chan struct{}),
	}
	g.watcher.Add(1)
	go g.watchAnnouncements()
	return g
}

// Handler returns the handler for the listener of the gate.
func (g *Gate) Handler() fasthttp.RequestHandler { return g.handle }

// AnnounceStop publishes that the node is leaving, so that entries choose other endpoints. It still accepts requests,
// because entries learn of it later.
func (g *Gate) AnnounceStop() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.publish()
}

// Leave rejects new requests from now on and publishes that the node is leaving.
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

// Shutdown calls Leave, waits for the accepted requests and publishes that the upstream is
// gone. It returns the cause of the context if the context ends before the requests do.
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

// ActiveCalls returns the number of requests that were admitted, queued ones included, and have not ended.
func (g *Gate) ActiveCalls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// Running returns the number of requests that the upstream runs.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.upstream == nil {
		return 0
	}
	return len(g.upstream.running)
}

// Merge adds suspect records of other gates: requests that may crash upstreams.
func (g *Gate) Merge(records []*pb.SuspectRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Merge(time.Now(), records)
}

// Suspects returns the suspect records of this gate.
func (g *Gate) Suspects() []*pb.SuspectRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Records(time.Now())
}

func (g *Gate) handle(ctx *fasthttp.RequestCtx) {
	c, rej := parseCall(ctx, time.Now())
	t := g.resolveTarget(ctx, c)
	if rej == nil {
		rej = g.serve(ctx, c, t)
	}
	if rej != nil {
		rej.write(ctx)
		if rej.reason == ReasonLeaving {
			ctx.SetConnectionClose() // tells the entry that the server closes the connection after this response
		}
	} else {
		cleanResponse(&ctx.Response)
		if ctx.Response.Header.Peek(HeaderRan) == nil {
			ctx.Response.Header.Set(HeaderRan, RanRun)
		}
	}
	ctx.Response.Header.Set(HeaderCallID, c.id)
	ctx.Response.Header.Set(HeaderLoad, g.loadHeader())
	g.metrics.observe(c, rej, time.Since(c.received))
}

// target is the configuration that applies to a call at the gate.
type target struct {
	route   *pb.Route   // nil if no route matches
	service *pb.Service // nil without a configuration or an upstream
}

// resolveTarget looks up the target of a call and applies its timeouts to the call.
func (g *Gate) resolveTarget(ctx *fasthttp.RequestCtx, c *call) target {
	p := g.deps.Configuration.Projection()
	if p == nil {
		c.applyTimeouts(nil, nil)
		return target{}
	}
	t := target{route: matchRoute(p, ctx)}
	g.mu.Lock()
	if g.upstream != nil {
		t.service = p.Service(g.upstream.announced.Service)
	}
	g.mu.Unlock()
	c.applyTimeouts(t.route, t.service)
	return t
}

func matchRoute(p *config.Projection, ctx *fasthttp.RequestCtx) *pb.Route {
	return p.Match(hostName(ctx.Host()), string(ctx.Method()), string(ctx.Path()))
}

// hostName returns the host of a request without its port.
func hostName(host []byte) string {
	s := string(host)
	if name, _, err := net.SplitHostPort(s); err == nil {
		return name
	}
	return s
}

// serve admits a request and runs it on the upstream. The response is in ctx if it returns nil.
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
	kind := drain.Kind{Route: t.route.GetName(), Service: t.service.GetName()}
	if rej := g.deps.Stops.admitAtGate(c, kind); rej != nil {
		return rej
	}
	s, rej := g.admit(ctx, c, t)
	if rej != nil {
		return rej
	}
	result := runResult{}
	defer func() { g.finish(s, result) }()
	claim, rej := g.claim(ctx, c, t)
	if rej != nil || claim.answered {
		return rej
	}
	end := g.deps.Stops.beginRun(c)
	result, rej = g.forward(ctx, c, s, claim.held != nil)
	end()
	if rej == nil {
		g.deps.Stops.record(kind, time.Since(c.received))
	}
	g.finishClaim(ctx, t, claim, result, rej)
	return rej
}
