package calls

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/httpproxy"
	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/ledger"
	"github.com/rattanfield/rattanfield/core/drain"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
	"github.com/rattanfield/rattanfield/ring"
)

// Options configures Calls.
type Options struct {
	NodeID        string
	Region        string
	FailureDomain string
	// Incarnation identifies this run of the node: its claims carry it as the owner's incarnation. It
	// is the start time of the node in Unix nanoseconds.
	Incarnation int64
	// Started is the time at which the process started. Its ledger member has lost the claims that it
	// granted before, and recovers them after a delay that begins at this time.
	Started time.Time
	LocalIP net.IP // source address of connections; nil lets the operating system choose
	Seed    uint64
	// RemoteBytesPerSecond bounds calls to another region; 0 keeps calls in the region.
	RemoteBytesPerSecond float64
	MaxQueue             int           // 0 selects the default
	LedgerRetention      time.Duration // 0 selects the default of the ledger
	// FirstRevision returns the first configuration revision that this process applied; may be nil.
	FirstRevision func() uint64
	// LinkTo classifies peer addresses; nil treats all members of a ledger group alike.
	LinkTo func(address string) ports.Link
}

// Dependencies are the other components of the node that Calls uses.
type Dependencies struct {
	Configuration ports.ConfigurationReader
	Endpoints     ports.EndpointReader
	Local         ports.LocalEndpoint
	Outcomes      ports.OutcomeRecorder // may be nil
	Versions      ports.VersionPicker   // may be nil
	// Suspects spreads suspects with the endpoint exchange, in addition to the push of the Spreader;
	// may be nil.
	Suspects ports.SuspectSpreader
	// Peers resolves the addresses of ledger group members; nil selects the endpoint table.
	Peers   ports.PeerResolver
	HTTP    connect.HTTPClient // client for calls to other nodes, from rpc.Client
	Metrics *metrics.Set       // may be nil
	// Resources are the memory of the listeners and of connections to others; nil: each listener has its own.
	Resources *httpproxy.Resources
}

// Calls is the entry and the gate of one node with their background work.
type Calls struct {
	entry       *httpproxy.Entry
	gate        *httpproxy.Gate
	entryServer *httpproxy.Server
	gateServer  *httpproxy.Server
	ledger      *ledger.Service
	keeper      *ledger.Keeper
	recovery    *ledger.Recovery

	stops *httpproxy.StopAdmission

	background sync.WaitGroup
	cancel     context.CancelFunc
}

// New connects the components of a node's calls. Start begins to serve them.
func New(o Options, d Dependencies) *Calls {
	ledgerOptions := ledger.Options{NodeID: o.NodeID, Incarnation: o.Incarnation, Started: o.Started, Retention: o.LedgerRetention, FirstRevision: o.FirstRevision, LinkTo: o.LinkTo}
	peers := d.Peers
	if peers == nil {
		peers = ledger.NewEndpointResolver(d.Endpoints, func() []string { return serviceNames(d.Configuration) })
	}
	clients := ledger.NewClients(d.HTTP, peers)
	// The entry records failed calls of the local upstream here, so that the gate marks a failure of
	// the upstream as caused by one of them.
	nestedFailures := httpproxy.NewFailedNestedCalls()
	c := &Calls{keeper: ledger.NewKeeper(ledgerOptions, clients), stops: httpproxy.NewStopAdmission()}
	c.gate = httpproxy.NewGate(
		httpproxy.GateOptions{LocalIP: o.LocalIP, MaxQueue: o.MaxQueue, Metrics: d.Metrics, Resources: d.Resources},
		httpproxy.GateDependencies{
			Configuration: d.Configuration, Local: d.Local, Claims: c.keeper,
			Suspects: NewSpreader(o.NodeID, d.Endpoints, clients, d.Suspects), NestedFailures: nestedFailures, Stops: c.stops,
		})
	c.entry = httpproxy.NewEntry(
		httpproxy.EntryOptions{
			Region: o.Region, FailureDomain: o.FailureDomain, LocalIP: o.LocalIP, Seed: o.Seed,
			RemoteBytesPerSecond: o.RemoteBytesPerSecond, Metrics: d.Metrics, Resources: d.Resources,
		},
		httpproxy.EntryDependencies{
			Configuration: d.Configuration, Endpoints: d.Endpoints, Outcomes: d.Outcomes, Versions: d.Versions, NestedFailures: nestedFailures, Stops: c.stops,
		})
	newServer := httpproxy.NewServer
	if d.Resources != nil {
		newServer = func(h fasthttp.RequestHandler) *httpproxy.Server { return httpproxy.NewSharedServer(h, d.Resources) }
	}
	c.entryServer, c.gateServer = newServer(c.entry.Handler()), newServer(c.gate.Handler())
	c.ledger = ledger.NewService(ledgerOptions, d.Configuration, c.gate)
	c.recovery = ledger.NewRecovery(c.ledger, clients)
	return c
}

func serviceNames(c ports.ConfigurationReader) []string {
	p := c.Projection()
	if p == nil {
		return nil
	}
	var names []string
	for _, s := range p.Configuration.GetServices() {
		names = append(names, s.GetName())
	}
	return names
}

// Handler returns the CallService handler for the peer listener of the node.
func (c *Calls) Handler() rpc.Handler {
	return rpc.NewHandler(rattanfieldv1connect.NewCallServiceHandler(c.ledger))
}

// AnnounceHandler returns the handler of /v1/announce and /v1/leave for the admin listener.
func (c *Calls) AnnounceHandler() fasthttp.RequestHandler {
	return httpproxy.NewAnnounceHandler(c.gate)
}

// Gate returns the gate of the node.
func (c *Calls) Gate() *httpproxy.Gate { return c.gate }

// Notices returns the ring of queued notices about ended claims, for metrics.
func (c *Calls) Notices() ring.Gauge { return c.keeper.Notices() }

// Ledger returns the ledger service of the node.
func (c *Calls) Ledger() *ledger.Service { return c.ledger }

// Start serves both listeners and runs the background work until Shutdown. It does not block.
func (c *Calls) Start(entry, gate net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.background.Go(func() { _ = c.entryServer.Serve(entry) })
	c.background.Go(func() { _ = c.gateServer.Serve(gate) })
	c.background.Go(func() { c.keeper.Run(ctx) })
	c.background.Go(func() { c.recovery.Run(ctx) })
}

// closeShare is the divisor of the time until Stop.EndAt that gives the time to close connections after it. Package drain
// leaves 0.08/0.92 of that time.
const closeShare = 16

// Stop stops gracefully, as scheduled by package drain. Until callers and other nodes have learned of the stop, it
// serves them as usual. From then on it rejects their calls, and admits those that the local upstream makes for
// the requests in progress. It closes the listeners when no call is in progress.
func (c *Calls) Stop(s drain.Stop) error {
	c.stops.Begin(s)
	c.gate.AnnounceStop()
	time.Sleep(time.Until(s.CloseAt))
	// Calls end before EndAt; a part of the time after it is for their connections.
	ctx, cancel := context.WithDeadline(context.Background(), s.EndAt.Add(s.EndAt.Sub(s.Begin)/closeShare))
	defer cancel()
	idle := func() bool { return c.gate.ActiveCalls() == 0 && c.entry.ActiveCalls() == 0 }
	var servers sync.WaitGroup
	servers.Go(func() { c.entryServer.Drain(ctx, c.stops.RetryAfter, idle) })
	servers.Go(func() { c.gateServer.Drain(ctx, c.stops.RetryAfter, idle) })
	servers.Wait()
	return c.Shutdown(ctx)
}

// OpenConnections returns the numbers of open connections of the entry and of the gate.
func (c *Calls) OpenConnections() (entry, gate int) {
	return c.entryServer.OpenConnections(), c.gateServer.OpenConnections()
}

// Shutdown stops gracefully. The gate is drained first, because its upstream may
// call other services through the entry until then.
func (c *Calls) Shutdown(ctx context.Context) error {
	err := errors.Join(c.gate.Shutdown(ctx), c.keeper.Flush(ctx))
	var gateErr, entryErr error
	var servers sync.WaitGroup
	servers.Go(func() { gateErr = c.gateServer.Shutdown(ctx) })
	servers.Go(func() { entryErr = c.entryServer.Shutdown(ctx) })
	servers.Wait()
	err = errors.Join(err, gateErr, entryErr, c.entry.Shutdown(ctx))
	if c.cancel != nil {
		c.cancel()
	}
	c.background.Wait()
	return err
}
