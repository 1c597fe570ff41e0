package members

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

// Options of a Members.
type Options struct {
	ID            string // node id, or id of the control host for a relay
	FailureDomain string
	Region        string
	GateAddress   string // IP:port; nodes only
	PeerAddress   string // IP:port
	Incarnation   int64  // start time in Unix nanoseconds
	// Relay is true in a control host, whose Relays are the other control hosts.
	Relay  bool
	Relays []membership.Relay
	// Seeds are peer addresses of nodes, asked when no relay answers.
	Seeds []string
	// Services whose endpoints this node needs; see SetServices.
	Services []string
	// Applied returns the configuration revision in force; nil stands for none.
	Applied func() uint64
	// Summaries joins the exchange between relays; nil in nodes.
	Summaries Summaries
	Timing    Timing
	// Now returns the time; nil is time.Now.
	Now func() time.Time
	// Rand decides probe order and jitter; nil is seeded from the id and incarnation.
	Rand *rand.Rand
}

// Timing of the exchanges. Zero values take the defaults.
type Timing struct {
	ProbeInterval time.Duration // between two probes of a node
	ProbeTimeout  time.Duration // of a direct probe; an indirect one takes twice as long
	Suspicion     time.Duration // from the first failed probe to down
	PollWait      time.Duration // long poll at the relay
	RelayInterval time.Duration // between relays of a region when nothing changes
	// RegionInterval is the time between exchanges over the link between regions
	// when nothing changes. It bounds the delay when only one direction works.
	RegionInterval time.Duration
	PeerInterval   time.Duration // between nodes while a relay answers
	Batch          time.Duration // changes of this time are answered together
	Timeout        time.Duration // of an exchange, beyond its wait
	BackoffCap     time.Duration // longest wait after failures, with full jitter
}

// Defaults of Timing. The long poll is far below membership.TombstoneTTL.
const (
	defaultProbeInterval  = time.Second
	defaultProbeTimeout   = 300 * time.Millisecond
	defaultPollWait       = 5 * time.Second
	defaultRelayInterval  = time.Second
	defaultRegionInterval = 10 * time.Second
	defaultPeerInterval   = 10 * time.Second
	defaultBatch          = 50 * time.Millisecond
	defaultTimeout        = time.Second
	defaultBackoffCap     = 5 * time.Second
	backoffStart          = 50 * time.Millisecond
)

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.ProbeInterval, defaultProbeInterval)
	set(&t.ProbeTimeout, defaultProbeTimeout)
	set(&t.Suspicion, membership.SuspicionTimeout)
	set(&t.PollWait, defaultPollWait)
	set(&t.RelayInterval, defaultRelayInterval)
	set(&t.RegionInterval, defaultRegionInterval)
	set(&t.PeerInterval, defaultPeerInterval)
	set(&t.Batch, defaultBatch)
	set(&t.Timeout, defaultTimeout)
	set(&t.BackoffCap, defaultBackoffCap)
	return t
}

// Summaries exchanges what relays know of the revisions that nodes have applied.
type Summaries interface {
	// Changed returns the summaries that changed after a stamp, and the stamp of the last change.
	Changed(after uint64) ([]*pb.RelaySummary, uint64)
	// Take merges summaries of other relays.
	Take(summaries []*pb.RelaySummary)
}

// Members is the endpoint table of one process and its exchanges.
type Members struct {
	options Options
	clients *rpc.Cache[rattanfieldv1connect.MembershipServiceClient]
	logger  log.Logger
	now     func() time.Time
	// relayIDs of the settings.
	relayIDs []string

	mu       sync.Mutex
	rng      *rand.Rand
	table    *membership.Table
	detector *membership.Detector
	peers    map[string]*peer // by id, or by address for a seed
	services []string
	filter   uint64        // counts changes of services
	changed  chan struct{} // closed at the next change of the table
	local    chan struct{} // capacity 1: own record or suspects changed
	refilter chan struct{} // capacity 1: services changed
	lists    map[string]*endpoints
	receiver ports.SuspectReceiver
	relayOK  bool // the last exchange with a relay succeeded
}

// peer is what this process knows of one other table.
type peer struct {
	instance  int64  // of the peer's table
	have      uint64 // stamp of the peer's table up to which this process has its records
	acked     uint64 // stamp of this table up to which the peer has its records
	summaries uint64 // stamp of the summaries that the peer has
	// full: the peer is asked for records of services, too, and not only for those of
	// the failure domain. Nodes ask each other so only while no relay answers, because
	// the records of other failure domains come from there.
	full bool
	// digests of the peer's table, for the first records that a relay sends to another.
	digests  []uint64
	exchange time.Time // last successful one
}

type endpoints struct {
	records []*pb.EndpointRecord
	version uint64
}

// New returns a Members; Run does its exchanges.
func New(options Options, client *rpc.Client, logger log.Logger) *Members {
	options.Timing = options.Timing.withDefaults()
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(uint64(options.Incarnation), uint64(len(options.ID))))
	}
	if options.Applied == nil {
		options.Applied = func() uint64 { return 0 }
	}
	if logger == nil {
		logger = log.NewNopLogger()
	}
	self := options.ID
	if options.Relay {
		self = ""
	}
	m := &Members{
		options: options, logger: logger, now: options.Now, rng: options.Rand,
		clients: rpc.NewCache(func(address string) rattanfieldv1connect.MembershipServiceClient {
			return rattanfieldv1connect.NewMembershipServiceClient(client.HTTP(), rpc.URL(address))
		}),
		table:    membership.NewTable(options.Incarnation, self),
		detector: membership.NewDetector(options.Timing.Suspicion, rand.New(rand.NewPCG(options.Rand.Uint64(), options.Rand.Uint64()))),
		peers:    make(map[string]*peer),
		services: slices.Clone(options.Services),
		changed:  make(chan struct{}),
		local:    make(chan struct{}, 1),
		refilter: make(chan struct{}, 1),
		lists:    make(map[string]*endpoints),
	}
	for _, r := range options.Relays {
		m.relayIDs = append(m.relayIDs, r.ID)
	}
	if !options.Relay {
		m.Publish(pb.EndpointState_ENDPOINT_STATE_STARTING, ports.Upstream{})
	}
	return m
}

// SetReceiver names who takes the suspects of other nodes; call it before Run.
func (m *Members) SetReceiver(r ports.SuspectReceiver) { m.receiver = r }

// SetServices changes the services whose endpoints this node needs.
func (m *Members) SetServices(services []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Equal(m.services, services) {
		return
	}
	m.services = slices.Clone(services)
	m.filter++
	for _, p := range m.peers {
		p.have = 0
	}
	notify(m.refilter)
}

// Publish changes this node's endpoint record and spreads it at once.
func (m *Members) Publish(state pb.EndpointState, u ports.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.table.Get(m.options.ID)
	r := &pb.EndpointRecord{
		NodeId: m.options.ID, Region: m.options.Region, FailureDomain: m.options.FailureDomain,
		GateAddress: m.options.GateAddress, PeerAddress: m.options.PeerAddress,
		Incarnation: m.options.Incarnation, State: state,
		Service: u.Service, Version: u.Version, Slots: uint32(max(u.Slots, 0)),
	}
	if u.Service == "" { // leaving and gone keep what the record said
		r.Service, r.Version, r.Slots = old.GetService(), old.GetVersion(), old.GetSlots()
	}
	if state == pb.EndpointState_ENDPOINT_STATE_SERVING {
		r.ServingSinceUnixMs = m.now().UnixMilli()
		if old.GetState() == state && old.GetService() == r.GetService() && old.GetVersion() == r.GetVersion() {
			r.ServingSinceUnixMs = old.GetServingSinceUnixMs()
		}
	}
	if old != nil {
		r.Incarnation = old.GetIncarnation()
		r.FormerServices = former(old, r.GetService())
		same := proto.Clone(r).(*pb.EndpointRecord)
		same.Sequence = old.GetSequence()
		if proto.Equal(same, old) {
			return // a heartbeat of the upstream
		}
	}
	m.table.Publish(r, m.now())
	m.noteLocked([]*pb.EndpointRecord{old, r})
	notify(m.local)
}

// maxFormer bounds the former services of a record; a host changes its service seldom.
const maxFormer = 4

// former returns the services that a node served before the next one.
func former(old *pb.EndpointRecord, next string) []string {
	out := slices.Clone(old.GetFormerServices())
	if s := old.GetService(); s != "" && s != next && !slices.Contains(out, s) {
		out = append(out, s)
	}
	out = slices.DeleteFunc(out, func(s string) bool { return s == next })
	return out[max(0, len(out)-maxFormer):]
}

// Spread passes suspects on to the other nodes.
func (m *Members) Spread(records []*pb.SuspectRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.table.MergeSuspects(records, m.options.ID, m.now())) > 0 {
		m.noteLocked(nil)
		notify(m.local)
	}
}

// Endpoints returns the serving records of a service. The slice is immutable.
func (m *Members) Endpoints(service string) ([]*pb.EndpointRecord, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.lists[service]
	if list == nil {
		list = &endpoints{}
		m.lists[service] = list
	}
	if list.records == nil {
		list.version++
		list.records = m.table.Records(func(r *pb.EndpointRecord) bool {
			return r.GetService() == service && r.GetState() == pb.EndpointState_ENDPOINT_STATE_SERVING
		})
		if list.records == nil {
			list.records = []*pb.EndpointRecord{}
		}
	}
	return list.records, list.version
}

// Peers returns the live nodes of this failure domain without this node itself.
func (m *Members) Peers() []*pb.EndpointRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peersLocked()
}

func (m *Members) peersLocked() []*pb.EndpointRecord {
	return m.table.Records(func(r *pb.EndpointRecord) bool {
		return r.GetFailureDomain() == m.options.FailureDomain && r.GetNodeId() != m.options.ID && membership.IsLive(r)
	})
}

// Records returns every record, also those of nodes that are gone or down.
func (m *Members) Records() []*pb.EndpointRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Records(func(*pb.EndpointRecord) bool { return true })
}

// Changed returns a channel that is closed at the next change of the table.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// noteLocked wakes waiting exchanges and drops the lists of changed services.
func (m *Members) noteLocked(records []*pb.EndpointRecord) {
	for _, r := range records {
		if list := m.lists[r.GetService()]; list != nil {
			list.records = nil
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns a random part of d.
func (m *Members) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}
