// Package meshnode builds the node process that runs beside an upstream: entry and gate,
// the control client and the listeners. It stops them in order. The
// program rattanfield-platform runs it on the users' platform; rattanfield-node, whose
// settings are in JSON, is built by package node.
package meshnode

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
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
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/app/proxy"
	"github.com/rattanfield/rattanfield/app/quotas"
	"github.com/rattanfield/rattanfield/app/suspectlist"
	"github.com/rattanfield/rattanfield/core/drain"
	"github.com/rattanfield/rattanfield/core/quota"
	"github.com/rattanfield/rattanfield/core/suspects"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// Options configure a node. Addresses are IP:port.
type Options struct {
	EntryAddress, GateAddress, PeerAddress, MetricsAddress string
	FailureDomain, Region                                  string
	Service                                                string          // of the upstream on this host
	Seeds                                                  func() []string // peer addresses of control hosts, see controlclient.Options
	Headers                                                proxy.Headers
	DrainBound                                             time.Duration // see proxy.GateOptions
	LostAfter                                              time.Duration // time without an announcement after which the upstream is considered gone
	RetryBudgetPercent                                     float64       // see proxy.EntryOptions, as RetryBudgetExtra and RetryBudgetWindow
	RetryBudgetExtra                                       int
	LinkMbps                                               float64 // bandwidth of the link of this host, each way; 0: not known
	RetryBudgetWindow                                      time.Duration
	ColdExcess, ColdSlack                                  float64 // see proxy.GateOptions, as AwaitPlan
	AwaitPlan                                              bool
	Quotas                                                 quota.Settings
	Memory                                                 int // bytes that the process may use; 0: defaultMemory
	MaxFiles                                               int // descriptors that the process may use; 0: the limit of the operating system
	// StopBound is the time from the stop signal until the process is killed.
	StopBound time.Duration
	// StopNotice is the time from the stop signal until callers have learned that the node is not ready.
	StopNotice time.Duration
	// ExtraHandlers returns the handlers of additional listeners by address, for example
	// those of the platform.
	ExtraHandlers func(*Process) map[string]fasthttp.RequestHandler
}

const (
	// confirmTimeout is how long a starting node waits for a state that a control host
	// confirmed with a quorum. After it, an unconfirmed state is enough to be ready.
	confirmTimeout = 3 * time.Second
	// defaultMemory is the memory of a node in the deployment that the system is designed for.
	defaultMemory = 128 << 20
	// bodyMemoryDivisor divides the memory to give the limit for large response bodies. Those of requests are bounded by the
	// account of the process alone.
	bodyMemoryDivisor = 4
	gateIdleTimeout   = 60 * time.Second // above the idle limit of clients (see meshhttp)
)

// Process is a running node.
type Process struct {
	options  Options
	logger   log.Logger
	client   *rpc.Client
	control  *controlclient.Client
	gate     *proxy.Gate
	entry    *proxy.Entry
	set      *metrics.Set
	started  time.Time
	stopping atomic.Bool

	resources *lifecycle.Resources

	entryServer, gateServer *meshhttp.Server
}

// Run builds a node and runs it until the context ends or a server or task fails.
func Run(ctx context.Context, o Options, logger log.Logger) error {
	c := dig.New()
	for _, f := range []any{
		func() Options { return o },
		func() log.Logger { return logger },
		metrics.NewSet, proxy.NewMetrics, newClient, newResources, newPools, newComponents, newProcess,
	} {
		if err := c.Provide(f); err != nil {
			return err
		}
	}
	return dig.RootCause(c.Invoke(func(p *Process) error { return p.run(ctx) }))
}

func newResources(o Options) *lifecycle.Resources {
	return lifecycle.NewResources(cmp.Or(o.Memory, defaultMemory), o.MaxFiles)
}

// bodyMemory returns the limit in bytes of the Memory for large response bodies.
func (o Options) bodyMemory() int { return cmp.Or(o.Memory, defaultMemory) / bodyMemoryDivisor }

func newClient(o Options) *rpc.Client {
	return rpc.NewClient(rpc.Options{LocalIP: lifecycle.HostIP(o.PeerAddress)})
}

// pools holds the connection pools for the gates of other nodes and for the upstream of this host.
type pools struct{ gates, upstream *meshhttp.Pool }

func newPools(o Options, r *lifecycle.Resources) pools {
	ip := lifecycle.HostIP(o.PeerAddress)
	m := body.NewSharedMemory(o.bodyMemory(), r.Account)
	p := pools{gates: meshhttp.NewPool(ip, m), upstream: meshhttp.NewPool(ip, m)}
	toUpstream := r.Outgoing() / upstreamPartDivisor
	p.gates.Limit(r.Outgoing() - toUpstream)
	p.upstream.Limit(toUpstream)
	p.gates.CountIn(r.Account)
	p.upstream.CountIn(r.Account)
	return p
}

// upstreamPartDivisor is the part of the outgoing connections, as a divisor, that lead to the upstream of the host, which runs a few requests
// at once. The requests of all callers may wait at other nodes at the same time.
const upstreamPartDivisor = 5

type components struct {
	dig.Out
	Control *controlclient.Client
	Gate    *proxy.Gate
	Entry   *proxy.Entry
}

func newComponents(o Options, client *rpc.Client, p pools, m *proxy.Metrics, set *metrics.Set, logger log.Logger) components {
	var gate *proxy.Gate
	var control *controlclient.Client
	list := suspectlist.New(func() { control.SuspectsChanged() })
	limits := quotas.New(o.Quotas, func() { control.QuotasChanged() }, set, logger)
	for _, h := range []suspects.Handling{suspects.Isolate, suspects.Reject} {
		set.NewGauge(fmt.Sprintf(`rattanfield_suspects{handling=%q}`, h), func() float64 { return float64(list.Count(h)) })
	}
	control = controlclient.New(controlclient.Options{
		Node: o.GateAddress, FailureDomain: o.FailureDomain, Region: o.Region, Seeds: o.Seeds,
		Outcomes: func() []*pb.RouteOutcomes { return gate.Outcomes() }, Suspects: list, Quotas: limits,
	}, client, logger)
	gate = proxy.NewGate(proxy.GateOptions{
		Headers: o.Headers, DrainBound: o.DrainBound, LinkMbps: o.LinkMbps, LostAfter: o.LostAfter, Publish: control.Publish, Report: control.Report, Suspects: list,
		FailureDomain: o.FailureDomain, AwaitPlan: o.AwaitPlan, AwaitDepartures: true, ColdExcess: o.ColdExcess, ColdSlack: o.ColdSlack,
	}, control, p.upstream, m, logger)
	for name, pool := range map[string]*meshhttp.Pool{"gates": p.gates, "upstream": p.upstream} {
		set.NewGauge(fmt.Sprintf(`rattanfield_calls_ended_before_send{pool=%q}`, name), func() float64 { return float64(pool.EndedBeforeSend()) })
	}
	set.NewGauge("rattanfield_upstream_cold_seconds", func() float64 { return gate.ColdLeft().Seconds() })
	set.NewGauge("rattanfield_departures_known", func() float64 {
		if gate.DeparturesKnown() {
			return 1
		}
		return 0
	})
	set.NewGauge("rattanfield_evacuated_domains", func() float64 { return float64(len(control.View().Evacuated)) })
	entry := proxy.NewEntry(proxy.EntryOptions{
		Headers: o.Headers, Service: o.Service, Node: o.GateAddress,
		RetryBudgetPercent: o.RetryBudgetPercent, RetryBudgetExtra: o.RetryBudgetExtra, RetryBudgetWindow: o.RetryBudgetWindow,
		StopNotice: o.StopNotice, LinkMbps: o.LinkMbps, ColdExcess: o.ColdExcess, ColdSlack: o.ColdSlack, Quotas: limits,
	}, control, gate, p.gates, m, logger)
	return components{Control: control, Gate: gate, Entry: entry}
}

// newProcess returns a process that does not run yet.
func newProcess(o Options, r *lifecycle.Resources, client *rpc.Client, control *controlclient.Client, g *proxy.Gate, e *proxy.Entry, set *metrics.Set, logger log.Logger) *Process {
	p := &Process{options: o, resources: r, logger: logger, client: client, control: control, gate: g, entry: e, set: set, started: time.Now()}
	r.AddMetrics(set)
	requestMemory := func(side string) *body.Memory {
		m := body.NewSharedRequestMemory(r.LargestBody(), r.Account)
		set.NewGauge(fmt.Sprintf(`rattanfield_request_body_bytes{side=%q}`, side), func() float64 { return float64(m.Held()) })
		return m
	}
	p.entryServer = meshhttp.NewServer(meshhttp.ServerOptions{
		Handler: e.Handle, Limits: p.limits, AdmitHeader: e.AdmitHeader, Admit: e.Admit, AdmitQueued: e.AdmitQueued, OnReadError: e.RejectUnreadable, Memory: requestMemory("entry"),
		Account: r.Account, Slots: r.Slots(entrySlotsPercent), Organisation: p.organisationOfKey, OnWait: r.NewWaits(set, "entry").Observe,
	})
	p.gateServer = meshhttp.NewServer(meshhttp.ServerOptions{
		Handler: g.Handle, Limits: gateLimits, Admit: g.Admit, AdmitQueued: g.AdmitQueued, AdmitBody: g.AdmitBody, OnReadError: g.RejectUnreadable, Memory: requestMemory("gate"), ClosingResponse: proxy.ClosingResponse,
		Account: r.Account, Slots: r.Slots(gateSlotsPercent), FailureDomain: p.failureDomainOf, Organisation: organisationOfEntry, OnWait: r.NewWaits(set, "gate").Observe,
	})
	r.AddServer(set, "entry", p.entryServer)
	r.AddServer(set, "gate", p.gateServer)
	return p
}

// Shares of the accepted connections in percent. After many nodes have ended, the callers of their hosts connect to the others; with
// 1,000 connections of the 4,100 descriptors of a node, ordinary callers were cut. The listeners for readiness, metrics and announcements have small shares of
// their own, so that clients of the entry and the gate cannot take them.
const (
	entrySlotsPercent = 64
	gateSlotsPercent  = 30
	callSlotsPercent  = 2
)

// callLimits bound the calls to the listeners for readiness, metrics and announcements. An announcement has less than 1 KiB.
func callLimits() meshhttp.Limits {
	l := meshhttp.DefaultLimits
	l.BodyBytes = maxCallBytes
	l.IdleTimeout = gateIdleTimeout
	return l
}

const maxCallBytes = 64 << 10

// organisationOfKey returns the organisation whose key a client sends.
func (p *Process) organisationOfKey(h *fasthttp.RequestHeader) string {
	t := p.control.View().Plan
	if t == nil || !t.HasOrganisations() || p.options.Headers.Key == "" {
		return ""
	}
	return t.Organisation(h.Peek(p.options.Headers.Key)).GetName()
}

// organisationOfEntry returns the organisation that an entry states.
func organisationOfEntry(h *fasthttp.RequestHeader) string {
	return string(h.Peek(proxy.OrganisationHeader))
}

// failureDomainOf returns the failure domain of a node that connects to the gate.
func (p *Process) failureDomainOf(remote net.Addr) string {
	ip := lifecycle.HostIP(remote.String())
	for _, endpoints := range p.control.View().Endpoints {
		for _, e := range endpoints {
			if lifecycle.HostIP(e.Gate).Equal(ip) {
				return e.FailureDomain
			}
		}
	}
	return ""
}

// limits returns the limits of the plan in force; limits that it does not set have the
// default.
func (p *Process) limits() meshhttp.Limits {
	out := meshhttp.DefaultLimits
	t := p.control.View().Plan
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

// gateLimits returns the default limits with room for the headers that entries add and
// with the idle timeout of the gate.
func gateLimits() meshhttp.Limits {
	l := meshhttp.DefaultLimits
	l.HeaderBytes *= 2
	l.IdleTimeout = gateIdleTimeout
	return l
}

// Announce accepts an announcement of the upstream on this host. It returns an error, after which the announcement must not
// be acknowledged, unless a departure is stored durably before ctx ends: a process of this node that is started later would
// otherwise take an older announcement for the newest one.
func (p *Process) Announce(ctx context.Context, a *pb.Announcement) error {
	d := p.gate.Announce(a)
	if d == nil {
		return nil
	}
	return p.control.RecordDeparture(ctx, d)
}

// learnDepartures tells the gate which upstreams have left before this process started.
func (p *Process) learnDepartures(ctx context.Context) error {
	departures, err := p.control.Departures(ctx)
	if err == nil {
		p.gate.SetDepartures(departures)
	}
	return nil // an error only tells that ctx has ended
}

// Ready reports whether callers should send requests to this node.
func (p *Process) Ready() bool {
	v := p.control.View()
	return !p.stopping.Load() && v.Plan != nil && v.Endpoints != nil && (!v.ConfirmedAt.IsZero() || time.Since(p.started) > confirmTimeout)
}

type announceService struct {
	rattanfieldv1connect.UnimplementedMeshServiceHandler
	p *Process
}

// Announce accepts an announcement of the local upstream that a control host forwards.
func (s announceService) Announce(ctx context.Context, req *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
	if err := s.p.Announce(ctx, req.Msg.GetAnnouncement()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&pb.AnnounceResponse{}), nil
}

// run serves until the context ends, which drains the process, or until a server or task
// fails, which ends it at once.
func (p *Process) run(ctx context.Context) error {
	o := p.options
	servers := lifecycle.NewGroup(context.WithoutCancel(ctx))
	tasks := lifecycle.NewGroup(context.WithoutCancel(ctx))
	peer := rpc.NewServer(rpc.NewHandler(rattanfieldv1connect.NewMeshServiceHandler(announceService{p: p})))
	var serveFuncs []func(net.Listener) error
	addresses := []string{o.EntryAddress, o.GateAddress, o.PeerAddress, o.MetricsAddress}
	serveFuncs = append(serveFuncs, p.entryServer.Serve, p.gateServer.Serve, peer.Serve, p.newCallServer(o.MetricsAddress, p.writeMetrics).Serve)
	for address, handler := range o.ExtraHandlers(p) {
		addresses = append(addresses, address)
		serveFuncs = append(serveFuncs, p.newCallServer(address, handler).Serve)
	}
	for i, address := range addresses {
		l, err := lifecycle.Listen(address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", address)
		}
		defer func() { _ = l.Close() }()
		servers.Go("server on "+address, func(context.Context) error { return serveFuncs[i](l) })
	}
	tasks.Go("refusals", func(ctx context.Context) error { return p.resources.Run(ctx, p.logger) })
	tasks.Go("attachment", p.control.Run)
	tasks.Go("departures", p.learnDepartures)
	tasks.Go("connections", p.entry.Run)       // probes unreachable nodes, closes connections to unknown ones
	tasks.Go("upstream condition", p.gate.Run) // reports whether the local upstream is slow or failing
	_ = p.logger.Log("event", "started", "entry", o.EntryAddress, "gate", o.GateAddress, "peer", o.PeerAddress, "service", o.Service)
	select {
	case <-ctx.Done():
		p.stop()
	case <-servers.Done():
		return servers.Stop()
	case <-tasks.Done():
	}
	_ = p.logger.Log("event", "stopped")
	return tasks.Stop()
}

// stop drains the node and closes its listeners, as scheduled by drain.Stop. First the node reports that it is not
// ready and announces its upstream as leaving, so that no new requests come, and works on as usual. From
// CloseAt on connections are closed and new requests are rejected, except for nested calls of those in progress and
// requests of other entries with a short time limit. It returns when all that were admitted have ended, at EndAt at the
// latest.
func (p *Process) stop() {
	s := drain.NewStop(time.Now(), p.options.StopBound, p.options.StopNotice)
	p.stopping.Store(true)
	_ = p.logger.Log("event", "stopping", "entry_connections", p.entryServer.OpenConnections(), "gate_connections", p.gateServer.OpenConnections())
	p.gate.Stop(s)
	sleepUntil(s.CloseAt)
	ctx, cancel := context.WithDeadline(context.Background(), s.EndAt)
	defer cancel()
	servers := []*meshhttp.Server{p.entryServer, p.gateServer}
	forEach(servers, func(m *meshhttp.Server) {
		m.Drain()
		m.WaitDrained(ctx)
	})
	forEach(servers, func(m *meshhttp.Server) { m.WaitIdle(ctx) }) // the gate serves nested calls of other nodes, too
	p.gateServer.Close(ctx)                                        // first, because its requests may make nested calls to the entry
	p.entryServer.WaitIdle(ctx)
	p.entryServer.Close(ctx)
	p.logOpenConnections("entry", p.entryServer, s.Begin)
	p.logOpenConnections("gate", p.gateServer, s.Begin)
	_ = p.logger.Log("event", "drained", "entry_connections", p.entryServer.OpenConnections(), "gate_connections", p.gateServer.OpenConnections(), "after", time.Since(s.Begin))
}

// sleepUntil returns when a time has come by the monotonic or by the wall clock.
func sleepUntil(t time.Time) {
	for !drain.Passed(time.Now(), t) {
		time.Sleep(min(time.Until(t), clockCheckInterval))
	}
}

// clockCheckInterval bounds how late a wait notices that the host was suspended.
const clockCheckInterval = 100 * time.Millisecond

// forEach calls f for all servers at once and waits until all calls have returned.
func forEach(servers []*meshhttp.Server, f func(*meshhttp.Server)) {
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() { f(s) })
	}
	group.Wait()
}

// logOpenConnections logs the connections that are open at the end of a stop and will be cut. Times are relative to
// the stop signal; accepted_after is negative for a connection that was open before it.
func (p *Process) logOpenConnections(side string, s *meshhttp.Server, begin time.Time) {
	for i, c := range s.Connections() {
		if i == maxLoggedConnections {
			return
		}
		_ = p.logger.Log("event", "connection open at the end of the stop", "side", side, "client", c.Remote, "requests", c.Requests,
			"outstanding", c.Outstanding, "accepted_after", c.Accepted.Sub(begin).Round(time.Millisecond), "after", time.Since(begin).Round(time.Millisecond))
	}
}

// maxLoggedConnections bounds the lines that one stop logs for each server.
const maxLoggedConnections = 50

func (p *Process) writeMetrics(ctx *fasthttp.RequestCtx) {
	p.set.WritePrometheus(ctx)
	p.resources.WriteTop(ctx)
	metrics.WriteProcessMetrics(ctx)
}

// newCallServer returns the server of a listener that is not for requests.
func (p *Process) newCallServer(address string, h fasthttp.RequestHandler) *meshhttp.Server {
	s := meshhttp.NewCallServer(h, meshhttp.ServerOptions{
		Limits: callLimits, Account: p.resources.Account, Slots: p.resources.Slots(callSlotsPercent),
		Memory: body.NewSharedRequestMemory(p.resources.LargestBody(), p.resources.Account), OnWait: p.resources.NewWaits(nil, address).Observe,
	})
	p.resources.AddServer(p.set, address, s)
	return s
}
