// Package meshcontrol builds a control host of the mesh: the replicated log, the server
// that nodes poll, the decider of rollouts and the listeners. The program
// rattanfield-platform runs it on the users' platform; rattanfield-control, whose settings
// are in JSON, is built by package control.
package meshcontrol

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/consensus"
	"github.com/rattanfield/rattanfield/app/controlserver"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/app/rollouts"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Options configure a control host. Addresses are IP:port; the peer address is the id of the
// host.
type Options struct {
	PeerAddress, MetricsAddress string
	FailureDomain, Region       string
	FailureDomains              []string // of the site, sorted; empty: not known
	DataDir                     string
	// Founders are the peer addresses of the hosts that form the group when the system starts
	// for the first time; empty at every other start.
	Founders []string
	Seeds    func() []string // peer addresses of control hosts that may admit this host
	// ExposureBound is the fraction of a service's requests that a bad version may get during
	// its rollout; 0 stands for rollout.DefaultBound.
	ExposureBound float64
	Memory        int // bytes that the process may use; 0: not bounded
	MaxFiles      int // descriptors that the process may use; 0: the limit of the operating system
	// ExtraHandlers returns the handlers of additional listeners by address, for example
	// those of the platform.
	ExtraHandlers func(*Process) map[string]fasthttp.RequestHandler
}

const (
	// electionTimeout is about 12 round trips of 40 ms between regions. It bounds how long callers
	// wait for a plan after all hosts lost power.
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond

	// closeTimeout bounds the wait for polls of nodes, which may last longer and are aborted.
	closeTimeout = 300 * time.Millisecond
	// answerTimeout bounds the wait for calls of operators and upstreams in progress. It covers a submission,
	// which waits at most 0.85 s.
	answerTimeout = time.Second
	// idleTimeout is long, because idle connections are closed first where descriptors run out.
	idleTimeout = 10 * time.Minute
	// slotsPercent is the share of each of the two listeners in the accepted connections.
	slotsPercent = 50
)

// Process is a running control host.
type Process struct {
	options Options
	Host    *consensus.Host
	Server  *controlserver.Server
	decider *rollouts.Decider
	joiner  *controlserver.Joiner
	client  *rpc.Client
	set     *metrics.Set
	logger  log.Logger

	resources *lifecycle.Resources
}

// Run builds a control host and runs it until the context ends or a server or task fails.
func Run(ctx context.Context, o Options, logger log.Logger) error {
	c := dig.New()
	for _, f := range []any{
		func() Options { return o },
		func() log.Logger { return logger },
		metrics.NewSet, newClient, newHost, newServer, newDecider, newProcess,
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

func newHost(o Options, client *rpc.Client, logger log.Logger) (*consensus.Host, error) {
	members := make([]*pb.Member, 0, len(o.Founders))
	for _, address := range o.Founders {
		members = append(members, &pb.Member{Id: address, Address: address, Voter: true})
	}
	return consensus.New(consensus.Options{
		ID: o.PeerAddress, Members: members, DataDir: o.DataDir, AddressOf: func(id string) string { return id },
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		AcceptEvacuations: true, FailureDomains: o.FailureDomains,
	}, client, logger)
}

func newServer(o Options, host *consensus.Host, client *rpc.Client, logger log.Logger) *controlserver.Server {
	return controlserver.New(o.PeerAddress, host, client, logger)
}

func newDecider(o Options, host *consensus.Host, s *controlserver.Server, logger log.Logger) *rollouts.Decider {
	return rollouts.New(host, s, o.ExposureBound, logger)
}

func newProcess(o Options, host *consensus.Host, s *controlserver.Server, d *rollouts.Decider, client *rpc.Client, set *metrics.Set, logger log.Logger) *Process {
	for name, r := range host.Rings() {
		telemetry.AddRing(set, name, r)
	}
	// The serial is the number of plans accepted so far; plan numbers may have gaps.
	set.NewGauge("rattanfield_plan_serial", func() float64 { return float64(host.State().Plan.GetSerial()) })
	set.NewGauge("rattanfield_log_bytes", func() float64 { return float64(host.Status().LogBytes) })
	set.NewGauge("rattanfield_confirmed_age_seconds", func() float64 { return host.ConfirmedAge().Seconds() })
	resources := lifecycle.NewResources(o.Memory, o.MaxFiles)
	resources.AddMetrics(set)
	return &Process{
		resources: resources, options: o, Host: host, Server: s, decider: d, client: client, set: set, logger: logger,
		joiner: &controlserver.Joiner{
			Self:  &pb.Member{Id: o.PeerAddress, Address: o.PeerAddress, FailureDomain: o.FailureDomain, Region: o.Region},
			Seeds: o.Seeds, State: host, Client: client, Log: logger.Log,
		},
	}
}

// run serves until the context ends or a server or task fails.
func (p *Process) run(ctx context.Context) error {
	o := p.options
	servers := lifecycle.NewGroup(context.WithoutCancel(ctx))
	tasks := lifecycle.NewGroup(context.WithoutCancel(ctx))
	peer := rpc.NewServer(append(p.Host.Handlers(), p.Server.Handlers()...)...)
	listen := func(address string, serve func(net.Listener) error) error {
		l, err := lifecycle.Listen(address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", address)
		}
		servers.Go("server on "+address, func(context.Context) error { return serve(l) })
		return nil
	}
	if err := listen(o.PeerAddress, peer.Serve); err != nil {
		return err
	}
	handlers := o.ExtraHandlers(p)
	handlers[o.MetricsAddress] = p.writeMetrics
	var answering []*meshhttp.Server
	for address, h := range handlers {
		s := meshhttp.NewCallServer(h, meshhttp.ServerOptions{
			Limits: callLimits, Account: p.resources.Account, Slots: p.resources.Slots(slotsPercent),
			Memory: body.NewSharedRequestMemory(p.resources.LargestBody(), p.resources.Account),
			OnWait: p.resources.NewWaits(nil, address).Observe,
		})
		p.resources.AddServer(p.set, address, s)
		if err := listen(address, s.Serve); err != nil {
			return err
		}
		answering = append(answering, s)
	}
	tasks.Go("refusals", func(ctx context.Context) error { return p.resources.Run(ctx, p.logger) })
	tasks.Go("replicated log", p.Host.Run)
	tasks.Go("hub", p.Server.Run)
	tasks.Go("rollouts", p.decider.Run)
	tasks.Go("membership", p.joiner.Run)
	_ = p.logger.Log("event", "started", "peer", o.PeerAddress, "domain", o.FailureDomain, "founders", len(o.Founders), "data", o.DataDir)
	select {
	case <-ctx.Done():
		_ = p.logger.Log("event", "stopping")
	case <-servers.Done():
		return servers.Stop()
	case <-tasks.Done():
	}
	// The servers keep running while the log transfers its leadership.
	err := tasks.Stop()
	p.finishCalls(answering)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	_ = peer.Shutdown(closing)
	p.client.Close()
	_ = p.logger.Log("event", "stopped", "err", err)
	return err
}

// finishCalls closes the listeners for operators and upstreams and waits until calls in progress are answered, so that
// the end of the process cuts none.
func (p *Process) finishCalls(servers []*meshhttp.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() {
			s.StopListening()
			s.Drain()
			s.Close(ctx)
			if n := s.OpenConnections(); n > 0 {
				_ = p.logger.Log("event", "calls cut by the stop", "connections", n)
			}
		})
	}
	group.Wait()
}

// callLimits bound the calls of operators and upstreams. A plan may have the size of the largest body.
func callLimits() meshhttp.Limits {
	l := meshhttp.DefaultLimits
	l.IdleTimeout = idleTimeout
	return l
}

func (p *Process) writeMetrics(ctx *fasthttp.RequestCtx) {
	p.set.WritePrometheus(ctx)
	p.resources.WriteTop(ctx)
	metrics.WriteProcessMetrics(ctx)
}
