// Package meshnode wires the process beside an upstream: entry and gate, the
// attachment to the control hosts and the listeners; and it stops them in order.
package meshnode

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/attach"
	"github.com/rattanfield/rattanfield/app/carry"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// Options of a node. Addresses are IP:port.
type Options struct {
	EntryAddress, GateAddress, PeerAddress, MetricsAddress string
	FailureDomain, Region                                  string
	Service                                                string // of the upstream on this host
	Seeds                                                  func() []string
	Headers                                                carry.Headers
	DrainBound                                             time.Duration // see carry.GateOptions
	LostAfter                                              time.Duration
	RepeatPercent                                          float64
	RepeatExtra                                            int
	RepeatWindow                                           time.Duration
	Memory                                                 int // bytes that the process may use; 0: defaultMemory
	// StopBound is the time from the order to stop to the end of the process.
	StopBound time.Duration
	// ExtraHandlers listeners with their handlers, for example of the platform.
	ExtraHandlers func(*Process) map[string]fasthttp.RequestHandler
}

// Stop steps as parts of StopBound: first nothing new comes, because the node is
// not ready and its upstream is announced as leaving; then connections are told to end.
const (
	drainAt = 0.40
	endAt   = 0.92
	// confirmWait is how long a starting node waits for a control host with a quorum before
	// it serves with what another one has.
	confirmWait = 3 * time.Second
	// defaultMemory is that of a node of the design target.
	defaultMemory = 128 << 20
	// bodyPart of the memory is for large bodies of responses while they are read. Buffers that
	// grow, and are collected later, take a multiple of it.
	bodyPart = 8
	gateIdle = 60 * time.Second // above the idle limit of clients (see meshhttp)
)

// Process is a running node.
type Process struct {
	options  Options
	logger   log.Logger
	client   *rpc.Client
	attach   *attach.Attachment
	gate     *carry.Gate
	entry    *carry.Entry
	set      *metrics.Set
	started  time.Time
	stopping atomic.Bool

	entryServer, gateServer *meshhttp.Server
}

// Run builds a node and runs it until the context ends or a part fails.
func Run(ctx context.Context, o Options, logger log.Logger) error {
	c := dig.New()
	for _, f := range []any{
		func() Options { return o },
		func() log.Logger { return logger },
		metrics.NewSet, carry.NewMetrics, newClient, newPools, newParts, newProcess,
	} {
		if err := c.Provide(f); err != nil {
			return err
		}
	}
	return dig.RootCause(c.Invoke(func(p *Process) error { return p.run(ctx) }))
}

func newClient(o Options) *rpc.Client {
	return rpc.NewClient(rpc.Options{LocalIP: lifecycle.HostIP(o.PeerAddress)})
}

// pools of connections: to gates of other nodes and to the upstream of this host.
type pools struct{ gates, upstream *meshhttp.Pool }

func newPools(o Options) pools {
	ip := lifecycle.HostIP(o.PeerAddress)
	m := body.NewMemory(cmp.Or(o.Memory, defaultMemory) / bodyPart)
	return pools{gates: meshhttp.NewPool(ip, m), upstream: meshhttp.NewPool(ip, m)}
}

type parts struct {
	dig.Out
	Attachment *attach.Attachment
	Gate       *carry.Gate
	Entry      *carry.Entry
}

func newParts(o Options, client *rpc.Client, p pools, m *carry.Metrics, logger log.Logger) parts {
	var gate *carry.Gate
	a := attach.New(attach.Options{
		Node: o.GateAddress, FailureDomain: o.FailureDomain, Region: o.Region, Seeds: o.Seeds,
		Outcomes: func() []*pb.RouteOutcomes { return gate.Outcomes() },
	}, client, logger)
	gate = carry.NewGate(carry.GateOptions{
		Headers: o.Headers, DrainBound: o.DrainBound, LostAfter: o.LostAfter, Publish: a.Publish, Report: a.Report,
	}, a, p.upstream, m, logger)
	entry := carry.NewEntry(carry.EntryOptions{
		Headers: o.Headers, Service: o.Service, Node: o.GateAddress,
		RepeatPercent: o.RepeatPercent, RepeatExtra: o.RepeatExtra, RepeatWindow: o.RepeatWindow,
	}, a, gate, p.gates, m, logger)
	return parts{Attachment: a, Gate: gate, Entry: entry}
}

func newProcess(o Options, client *rpc.Client, a *attach.Attachment, g *carry.Gate, e *carry.Entry, set *metrics.Set, logger log.Logger) *Process {
	p := &Process{options: o, logger: logger, client: client, attach: a, gate: g, entry: e, set: set, started: time.Now()}
	p.entryServer = meshhttp.NewServer(meshhttp.ServerOptions{Handler: e.Handle, Limits: p.limits, Refuse: e.Refuse})
	p.gateServer = meshhttp.NewServer(meshhttp.ServerOptions{
		Handler: g.Handle, Limits: gateLimits, Refuse: e.Refuse, Farewell: carry.Farewell,
	})
	return p
}

// limits of the plan in force.
func (p *Process) limits() meshhttp.Limits {
	out := meshhttp.Defaults
	t := p.attach.View().Plan
	if t == nil {
		return out
	}
	l := t.Plan.GetLimits()
	if n := l.GetMaxHeaderBytes(); n > 0 {
		out.HeaderBytes = int(n)
	}
	if n := l.GetMaxBodyBytes(); n > 0 {
		out.BodyBytes = int(min(n, uint64(out.BodyBytes)))
	}
	if n := l.GetHeaderTimeoutMs(); n > 0 {
		out.HeaderTimeout = time.Duration(n) * time.Millisecond
	}
	if n := l.GetIdleTimeoutMs(); n > 0 {
		out.IdleTimeout = time.Duration(n) * time.Millisecond
	}
	return out
}

// gateLimits leave room for the headers that entries add.
func gateLimits() meshhttp.Limits {
	l := meshhttp.Defaults
	l.HeaderBytes *= 2
	l.IdleTimeout = gateIdle
	return l
}

// Announce takes what the upstream of this host says of itself.
func (p *Process) Announce(a *pb.Announcement) { p.gate.Announce(a) }

// Ready reports that callers should send requests here.
func (p *Process) Ready() bool {
	v := p.attach.View()
	return !p.stopping.Load() && v.Plan != nil && v.Endpoints != nil && (!v.ConfirmedAt.IsZero() || time.Since(p.started) > confirmWait)
}

type announceService struct {
	rattanfieldv1connect.UnimplementedMeshServiceHandler
	p *Process
}

// Announce takes an announcement that reached a control host.
func (s announceService) Announce(_ context.Context, req *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
	s.p.Announce(req.Msg.GetAnnouncement())
	return connect.NewResponse(&pb.AnnounceResponse{}), nil
}

func (p *Process) run(ctx context.Context) error {
	o := p.options
	servers := lifecycle.NewGroup(context.WithoutCancel(ctx))
	duties := lifecycle.NewGroup(context.WithoutCancel(ctx))
	peer := rpc.NewServer(rpc.NewHandler(rattanfieldv1connect.NewMeshServiceHandler(announceService{p: p})))
	var serving []func(net.Listener) error
	addresses := []string{o.EntryAddress, o.GateAddress, o.PeerAddress, o.MetricsAddress}
	serving = append(serving, p.entryServer.Serve, p.gateServer.Serve, peer.Serve, p.serveMetrics)
	for address, handler := range o.ExtraHandlers(p) {
		addresses = append(addresses, address)
		serving = append(serving, serveHTTP(handler))
	}
	for i, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", address)
		}
		servers.Go("server on "+address, func(context.Context) error { return serving[i](l) })
	}
	duties.Go("attachment", p.attach.Run)
	duties.Go("connections", p.entry.Run)
	duties.Go("upstream condition", p.gate.Run)
	_ = p.logger.Log("event", "started", "entry", o.EntryAddress, "gate", o.GateAddress, "peer", o.PeerAddress, "service", o.Service)
	select {
	case <-ctx.Done():
		p.stop(duties)
	case <-servers.Done():
		return servers.Stop()
	case <-duties.Done():
	}
	_ = p.logger.Log("event", "stopped")
	return duties.Stop()
}

// stop ends the node's work without losing a request that was read.
func (p *Process) stop(duties *lifecycle.Group) {
	begin := time.Now()
	at := func(part float64) time.Time {
		return begin.Add(time.Duration(part * float64(p.options.StopBound)))
	}
	p.stopping.Store(true)
	_ = p.logger.Log("event", "stopping", "entry_connections", p.entryServer.Open(), "gate_connections", p.gateServer.Open())
	p.gate.Stop()
	time.Sleep(time.Until(at(drainAt)))
	ctx, cancel := context.WithDeadline(context.Background(), at(endAt))
	defer cancel()
	p.entryServer.Drain()
	p.gateServer.Drain()
	p.entryServer.Wait(ctx)
	p.gateServer.Wait(ctx)
	p.entryServer.StopListening()
	p.gateServer.StopListening()
	_ = p.logger.Log("event", "drained", "entry_connections", p.entryServer.Open(), "gate_connections", p.gateServer.Open(), "after", time.Since(begin))
}

func (p *Process) serveMetrics(l net.Listener) error {
	return serveHTTP(func(ctx *fasthttp.RequestCtx) {
		p.set.WritePrometheus(ctx)
		metrics.WriteProcessMetrics(ctx)
	})(l)
}

func serveHTTP(h fasthttp.RequestHandler) func(net.Listener) error {
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, IdleTimeout: gateIdle, ReadBufferSize: meshhttp.Defaults.HeaderBytes}
	return s.Serve
}
