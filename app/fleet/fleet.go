package fleet

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/follower"
	"github.com/rattanfield/rattanfield/app/members"
	"github.com/rattanfield/rattanfield/app/relay"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// Domain is a failure domain with one relay.
type Domain struct{ Name, Region string }

// Options configure a Fleet.
type Options struct {
	// Domains are the failure domains. A change reaches the replicas in the region of
	// Domains[0] at once and the others after the delay between regions, as if the leader
	// of the replicated log were in Domains[0].
	Domains []Domain
	// InterRegionDelay is added to each request between regions.
	InterRegionDelay time.Duration
	Relay            relay.Options     // template; the identity is filled in
	Follower         follower.Options  // template; the identity, interests and relays are filled in
	Members          members.Timing    // of nodes; that of relays is in Relay
	Configuration    *pb.Configuration // initial configuration
	// AllInterests makes every node follow the complete configuration, as in the baseline of
	// measurements; otherwise a node follows that of its service.
	AllInterests bool
	// InMemory replaces connections by direct calls of handlers; message bodies are still
	// encoded and counted, see Traffic.
	InMemory bool
	// OnApply is called when a node has put a configuration in force. It may be nil.
	OnApply func(node string, p *config.Projection)
}

// Fleet is a set of relays and nodes with the links between them.
type Fleet struct {
	options Options
	source  *Source
	relays  []*Relay

	mu              sync.Mutex
	nodes           map[string]*Node
	domainByAddress map[string]Domain  // of relays and nodes
	blocked         map[[2]string]bool // by source and destination address
	lastIncarnation int64
	network         *memoryNetwork // nil unless Options.InMemory is set
}

// Relay is the relay of a control host, with its replica of the configuration.
type Relay struct {
	ID      string
	Domain  Domain
	Address string
	Replica *Replica
	*relay.Relay

	process *process
}

// Node is a node without entry and gate: only its follower and its endpoint table run.
type Node struct {
	ID       string
	Domain   Domain
	Address  string
	Service  string
	Follower *follower.Follower
	Members  *members.Members

	process *process
}

// New returns a fleet and starts its relays. Close ends it.
func New(options Options) (*Fleet, error) {
	f := &Fleet{
		options: options, source: NewSource(options.Configuration), nodes: make(map[string]*Node),
		domainByAddress: make(map[string]Domain), blocked: make(map[[2]string]bool),
	}
	if options.InMemory {
		f.network = &memoryNetwork{servers: make(map[string]*server)}
	}
	listeners := make([]listener, len(options.Domains))
	var peers []*pb.Member
	for i, d := range options.Domains {
		l, err := f.listen("")
		if err != nil {
			return nil, err
		}
		listeners[i] = l
		delay := time.Duration(0)
		if d.Region != options.Domains[0].Region {
			delay = options.InterRegionDelay
		}
		r := &Relay{ID: "control-" + d.Name, Domain: d, Address: l.address, Replica: f.source.AddReplica(delay)}
		f.relays = append(f.relays, r)
		f.domainByAddress[r.Address] = d
		peers = append(peers, &pb.Member{Id: r.ID, Address: r.Address, FailureDomain: d.Name, Region: d.Region})
	}
	f.options.Relay.Peers = peers
	for i, r := range f.relays {
		f.startRelay(r, listeners[i])
	}
	return f, nil
}

// Source returns the source, which accepts changes of the configuration.
func (f *Fleet) Source() *Source { return f.source }

// Relays returns the relays in the order of Options.Domains.
func (f *Fleet) Relays() []*Relay { return f.relays }

// startRelay starts a relay at its listener with a new incarnation.
func (f *Fleet) startRelay(r *Relay, l listener) {
	o := f.options.Relay
	o.ID, o.FailureDomain, o.Region, o.Incarnation = r.ID, r.Domain.Name, r.Domain.Region, f.incarnation()
	client := f.client(r.Address, r.Domain)
	r.Relay = relay.New(o, relay.Dependencies{State: r.Replica, Quorum: r.Replica, Client: client})
	r.process = f.startProcess(l, client, r.Handlers(), r.Run)
}

// RestartRelay stops a relay, if it runs, and starts it again at its address without its state.
func (f *Fleet) RestartRelay(r *Relay) error {
	r.Stop()
	l, err := f.listen(r.Address)
	if err != nil {
		return err
	}
	f.startRelay(r, l)
	return nil
}

// Stop stops the relay at once, as a crash does.
func (r *Relay) Stop() { r.process.stop() }

// Client returns the RPC client of the relay, which counts bytes per link.
func (r *Relay) Client() *rpc.Client { return r.process.client }

// incarnation returns a number that increases with each start, as a start time does.
func (f *Fleet) incarnation() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastIncarnation = max(f.lastIncarnation+1, time.Now().UnixNano())
	return f.lastIncarnation
}

// StartNode starts a node that serves a service. A node with this id that was started before
// is stopped; the new one has its address but not its state.
func (f *Fleet) StartNode(id string, d Domain, service string) (*Node, error) {
	address := ""
	if old := f.Node(id); old != nil {
		old.Stop()
		address = old.Address
	}
	l, err := f.listen(address)
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, Domain: d, Address: l.address, Service: service}
	f.mu.Lock()
	f.nodes[id] = n
	f.domainByAddress[n.Address] = d
	f.mu.Unlock()
	f.startNode(n, l)
	return n, nil
}

// startNode starts the tasks of a node at its listener with a new incarnation.
func (f *Fleet) startNode(n *Node, l listener) {
	var relays []follower.Relay
	for _, r := range f.relays {
		relays = append(relays, follower.Relay{ID: r.ID, Address: r.Address, FailureDomain: r.Domain.Name, Region: r.Domain.Region})
	}
	incarnation := f.incarnation()
	client := f.client(n.Address, n.Domain)
	o := f.options.Follower
	o.NodeID, o.FailureDomain, o.Region, o.Incarnation = n.ID, n.Domain.Name, n.Domain.Region, incarnation
	o.Relays = relays
	if f.options.OnApply != nil {
		o.OnApply = func(p *config.Projection) { f.options.OnApply(n.ID, p) }
	}
	if !f.options.AllInterests {
		o.Interests = &pb.Interests{Services: []string{n.Service}}
	}
	n.Members = members.New(members.Options{
		ID: n.ID, FailureDomain: n.Domain.Name, Region: n.Domain.Region, GateAddress: n.Address, PeerAddress: n.Address,
		Incarnation: incarnation, Relays: relays, Seeds: f.seeds(n), Services: []string{n.Service},
		Applied: func() uint64 { return n.Follower.Revision() }, Timing: f.options.Members,
	}, client, nil)
	n.Follower = follower.New(o, follower.Dependencies{Client: client, Members: n.Members})
	n.Members.Publish(pb.EndpointState_ENDPOINT_STATE_SERVING, ports.UpstreamAnnouncement{Service: n.Service, Version: "1", Slots: 9})
	n.process = f.startProcess(l, client, append(n.Follower.Handlers(), n.Members.Handlers()...), n.Follower.Run, n.Members.Run)
}

// seeds returns the addresses of up to two nodes of the same failure domain, as the settings
// of a node do.
func (f *Fleet) seeds(n *Node) []string {
	var out []string
	for _, other := range f.Nodes() {
		if other.Domain == n.Domain && other.ID != n.ID && len(out) < 2 {
			out = append(out, other.Address)
		}
	}
	return out
}

// Node returns the node with the id, nil if there is none.
func (f *Fleet) Node(id string) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

// Nodes returns all nodes that were started, in no particular order.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Node, 0, len(f.nodes))
	for _, n := range f.nodes {
		out = append(out, n)
	}
	return out
}

// Stop stops the node at once, as a crash does.
func (n *Node) Stop() { n.process.stop() }

// Client returns the RPC client of the node, which counts bytes per link.
func (n *Node) Client() *rpc.Client { return n.process.client }

// Block blocks or unblocks requests from one address to another, in this direction only.
func (f *Fleet) Block(from, to string, blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked[[2]string{from, to}] = blocked
}

// Close stops all nodes and relays.
func (f *Fleet) Close() {
	var group sync.WaitGroup
	for _, n := range f.Nodes() {
		group.Go(n.Stop)
	}
	group.Wait()
	for _, r := range f.relays {
		r.Stop()
	}
}

// client returns the RPC client of the process at ownAddress, with the delay between regions
// and the blocked links of the fleet.
func (f *Fleet) client(ownAddress string, d Domain) *rpc.Client {
	var transport http.RoundTripper
	if f.network != nil {
		transport = memoryTransport{f, d}
	}
	return rpc.NewClient(rpc.Options{
		Transport: transport,
		Topology:  topology{f, d},
		Delay: func(address string) time.Duration {
			if f.linkTo(d, address) == ports.LinkRemote {
				return f.options.InterRegionDelay
			}
			return 0
		},
		Blocked: func(address string) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.blocked[[2]string{ownAddress, address}]
		},
	})
}

// linkTo returns the link class from a failure domain to an address.
func (f *Fleet) linkTo(from Domain, address string) ports.Link {
	f.mu.Lock()
	to := f.domainByAddress[address]
	f.mu.Unlock()
	switch {
	case to == from:
		return ports.LinkDomain
	case to.Region == from.Region:
		return ports.LinkRegion
	}
	return ports.LinkRemote
}

type topology struct {
	fleet *Fleet
	from  Domain
}

func (t topology) LinkTo(address string) ports.Link { return t.fleet.linkTo(t.from, address) }

// process is a server with the tasks that run beside it.
type process struct {
	client   *rpc.Client
	close    func() // closes the server
	cancel   context.CancelFunc
	group    sync.WaitGroup
	stopOnce sync.Once
}

// listener is the address of a process; net is nil if the network is in memory.
type listener struct {
	address string
	net     net.Listener
}

// listen listens on an address, or on a free one if the address is empty.
func (f *Fleet) listen(address string) (listener, error) {
	if f.network != nil {
		return listener{address: cmp.Or(address, f.network.newAddress())}, nil
	}
	l, err := net.Listen("tcp", cmp.Or(address, "127.0.0.1:0"))
	if err != nil {
		return listener{}, err
	}
	return listener{address: l.Addr().String(), net: l}, nil
}

// startProcess serves the handlers at the listener and runs the tasks until stop.
func (f *Fleet) startProcess(l listener, client *rpc.Client, handlers []rpc.Handler, tasks ...func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{client: client, cancel: cancel}
	if f.network != nil {
		p.close = f.network.serve(l.address, handlers)
	} else {
		server := rpc.NewServer(handlers...)
		p.close = func() { _ = server.Close() }
		p.group.Go(func() { _ = server.Serve(l.net) }) // ends with the process
	}
	for _, run := range tasks {
		p.group.Go(func() { _ = run(ctx) }) // returns nil when the context ends
	}
	return p
}

func (p *process) stop() {
	p.stopOnce.Do(func() {
		p.cancel()
		p.close()
		p.group.Wait()
		p.client.Close()
	})
}

// NodeID returns the id of the i-th node of a domain.
func NodeID(d Domain, i int) string { return fmt.Sprintf("%s-%d", d.Name, i) }
