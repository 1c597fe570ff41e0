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

// Options configures a Members.
type Options struct {
	ID            string // id of the node, or of the control host for a relay
	FailureDomain string
	Region        string
	GateAddress   string // IP:port; only in nodes
	PeerAddress   string // IP:port
	Incarnation   int64  // start time in Unix nanoseconds; also the instance of the endpoint table
	// Relay is true in a control host.
	Relay bool
	// Relays are the control hosts; in a control host, the other ones.
	Relays []membership.Relay
	// Seeds are the peer addresses of nodes to exchange with while no relay answers and
	// no other node of the failure domain is known.
	Seeds []string
	// Services are the services whose endpoints this node needs; see SetServices.
	Services []string
	// Applied returns the configuration revision in force. nil stands for revision 0.
	Applied func() uint64
	// Summaries provides and receives the summaries that relays exchange; nil in nodes.
	Summaries Summaries
	Timing    Timing
	// Now returns the current time. nil stands for time.Now.
	Now func() time.Time
	// Rand is the source of the probe order and jitter. nil stands for a source seeded
	// from the incarnation and the length of the id.
	Rand *rand.Rand
}

// Timing holds the intervals and timeouts of the exchanges. Zero values stand for
// the defaults.
type Timing struct {
	ProbeInterval time.Duration // mean time between two probes that a node sends
	ProbeTimeout  time.Duration // timeout of a direct probe; that of an indirect one is twice as long
	Suspicion     time.Duration // time from the first failed probe until a member is declared down
	PollWait      time.Duration // longest time that the relay holds a poll
	RelayInterval time.Duration // time between exchanges of relays of one region when nothing changes
	// RegionInterval is the time between exchanges over the link between regions
	// when nothing changes. It bounds the delay of a change when exchanges succeed in
	// one direction only.
	RegionInterval time.Duration
	PeerInterval   time.Duration // time between exchanges of nodes while a relay answers
	Batch          time.Duration // time over which changes are collected into one response
	Timeout        time.Duration // timeout of an exchange, in addition to its wait
	BackoffCap     time.Duration // upper bound of the exponential backoff, which has full jitter
}

// Defaults of Timing. The long poll must stay far below membership.TombstoneTTL.
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

// Summaries stores the relay summaries, which state the revisions that nodes have
// applied.
type Summaries interface {
	// SummariesSince returns the summaries that changed after a stamp, and the stamp of
	// the last change.
	SummariesSince(after uint64) ([]*pb.RelaySummary, uint64)
	// MergeSummaries merges the summaries of other relays.
	MergeSummaries(summaries []*pb.RelaySummary)
}

// Members maintains the endpoint table of one process by exchanges with other
// processes.
type Members struct {
	options Options
	clients *rpc.Cache[rattanfieldv1connect.MembershipServiceClient]
	logger  log.Logger
	now     func() time.Time
	// relayIDs are the ids of the configured relays.
	relayIDs []string

	mu              sync.Mutex
	rng             *rand.Rand
	table           *membership.Table    // endpoint records, and suspect requests
	detector        *membership.Detector // suspected nodes of the failure domain
	peers           map[string]*peer     // by id, or by address for a seed
	services        []string
	serviceChanges  uint64                // counts the changes of services
	changed         chan struct{}         // closed at the next change of the table
	localChanged    chan struct{}         // signals that the record of this node or its suspects changed; capacity 1
	servicesChanged chan struct{}         // signals that services changed; capacity 1
	endpointLists   map[string]*endpoints // cached endpoint lists by service
	suspectReceiver ports.SuspectReceiver
	relayReachable  bool // whether the last exchange with a relay succeeded
}

// peer is the state of the exchange with one other table.
type peer struct {
	instance  int64  // instance of the peer's table
	have      uint64 // stamp of the peer's table up to which this process has its records
	acked     uint64 // stamp of this table up to which the peer has its records
	summaries uint64 // stamp up to which the peer has the summaries
	// withServices is set when the peer is asked for the records of services as well, and not
	// only for those of the failure domain. Nodes ask each other for these only while no
	// relay answers, because the records of other failure domains come from relays.
	withServices bool
	// digests of the peer's table select the first records that one relay sends to another.
	digests     []uint64
	exchangedAt time.Time // time of the last successful exchange
}

// endpoints is the cached list of serving records of one service. records is nil
// when the list must be computed again.
type endpoints struct {
	records []*pb.EndpointRecord
	version uint64
}

// New returns a Members. Its exchanges take place while Run runs.
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
		table:           membership.NewTable(options.Incarnation, self),
		detector:        membership.NewDetector(options.Timing.Suspicion, rand.New(rand.NewPCG(options.Rand.Uint64(), options.Rand.Uint64()))),
		peers:           make(map[string]*peer),
		services:        slices.Clone(options.Services),
		changed:         make(chan struct{}),
		localChanged:    make(chan struct{}, 1),
		servicesChanged: make(chan struct{}, 1),
		endpointLists:   make(map[string]*endpoints),
	}
	for _, r := range options.Relays {
		m.relayIDs = append(m.relayIDs, r.ID)
	}
	if !options.Relay {
		m.Publish(pb.EndpointState_ENDPOINT_STATE_STARTING, ports.UpstreamAnnouncement{})
	}
	return m
}

// SetSuspectReceiver sets the receiver of suspect requests from other nodes. It must
// be called before Run.
func (m *Members) SetSuspectReceiver(r ports.SuspectReceiver) { m.suspectReceiver = r }

// SetServices changes the services whose endpoints this node needs.
func (m *Members) SetServices(services []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Equal(m.services, services) {
		return
	}
	m.services = slices.Clone(services)
	m.serviceChanges++
	for _, p := range m.peers {
		p.have = 0
	}
	notify(m.servicesChanged)
}

// Publish changes the endpoint record of this node and sends it to peers at once. A
// call that changes nothing has no effect.
func (m *Members) Publish(state pb.EndpointState, u ports.UpstreamAnnouncement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.table.Get(m.options.ID)
	r := &pb.EndpointRecord{
		NodeId: m.options.ID, Region: m.options.Region, FailureDomain: m.options.FailureDomain,
		GateAddress: m.options.GateAddress, PeerAddress: m.options.PeerAddress,
		Incarnation: m.options.Incarnation, State: state,
		Service: u.Service, Version: u.Version, Slots: uint32(max(u.Slots, 0)),
	}
	if u.Service == "" { // the states leaving and gone keep the service of the record
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
		r.FormerServices = formerServices(old, r.GetService())
		same := proto.Clone(r).(*pb.EndpointRecord)
		same.Sequence = old.GetSequence()
		if proto.Equal(same, old) {
			return // a heartbeat of the upstream changes nothing
		}
	}
	m.table.Publish(r, m.now())
	m.recordsChangedLocked([]*pb.EndpointRecord{old, r})
	notify(m.localChanged)
}

// maxFormerServices limits the former services of a record; a host rarely changes its service.
const maxFormerServices = 4

// formerServices returns the services that a node served before next, at most
// maxFormerServices of them.
func formerServices(old *pb.EndpointRecord, next string) []string {
	out := slices.Clone(old.GetFormerServices())
	if s := old.GetService(); s != "" && s != next && !slices.Contains(out, s) {
		out = append(out, s)
	}
	out = slices.DeleteFunc(out, func(s string) bool { return s == next })
	return out[max(0, len(out)-maxFormerServices):]
}

// Spread sends suspect requests to the other nodes.
func (m *Members) Spread(records []*pb.SuspectRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.table.MergeSuspects(records, m.options.ID, m.now())) > 0 {
		m.recordsChangedLocked(nil)
		notify(m.localChanged)
	}
}

// Endpoints returns the serving records of a service and the version of this list,
// which grows when the list may have changed. The slice must not be modified.
func (m *Members) Endpoints(service string) ([]*pb.EndpointRecord, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.endpointLists[service]
	if list == nil {
		list = &endpoints{}
		m.endpointLists[service] = list
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

// Peers returns the live nodes of this failure domain, except this node.
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

// Records returns all records, including those of nodes that are gone or down.
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

// recordsChangedLocked wakes the waiting exchanges and drops the cached endpoint lists of the
// services of these records.
func (m *Members) recordsChangedLocked(records []*pb.EndpointRecord) {
	for _, r := range records {
		if list := m.endpointLists[r.GetService()]; list != nil {
			list.records = nil
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// notify sends to a channel of capacity 1, unless a signal is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns a random duration from 0 to d.
func (m *Members) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}
