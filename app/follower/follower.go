package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/config"
	"github.com/rattanfield/rattanfield/core/floor"
	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

// Relay is a control host as the settings name it.
type Relay = membership.Relay

// Options of a Follower. Zero durations take the defaults.
type Options struct {
	NodeID, FailureDomain, Region string
	Incarnation                   int64
	// Interests are the services that this node needs; see SetInterests.
	Interests *pb.Interests
	Relays    []Relay
	PollWait  time.Duration // long poll at the relay
	// RecordTimeout is how long a recorder may take before it is replaced by the next.
	RecordTimeout time.Duration
	Timeout       time.Duration // of a request, beyond its wait
	BackoffCap    time.Duration // longest wait after failures, with full jitter
	HomeRetry     time.Duration // time with a less preferred relay before the preferred ones are tried again
	// OnApply is called after a configuration was put in force; nil: not.
	OnApply func(*config.Projection)
	// Now returns the time; nil is time.Now.
	Now func() time.Time
	// Rand decides jitter; nil is seeded from the incarnation.
	Rand *rand.Rand
}

// Defaults of Options.
const (
	defaultPollWait      = 20 * time.Second
	defaultRecordTimeout = 100 * time.Millisecond
	defaultTimeout       = 1500 * time.Millisecond
	defaultBackoffCap    = 5 * time.Second
	defaultHomeRetry     = 15 * time.Second
	backoffStart         = 50 * time.Millisecond
	// hedgeAfter is how long a starting node waits for a relay before it asks the next as well.
	hedgeAfter = 300 * time.Millisecond
	// unconfirmedWait is the long poll at a relay without a quorum, kept short so
	// that a node notices soon when another relay has one.
	unconfirmedWait = time.Second
	// settleTime is how long a node stays with a relay without a quorum, after no
	// relay had one, before it asks all of them again. It is spread over twice this time.
	settleTime = 5 * time.Second
	// confirmInterval is the time between attempts to make the own recorder complete.
	confirmInterval = 5 * time.Second
)

// Peers gives the live nodes of the failure domain.
type Peers interface {
	Peers() []*pb.EndpointRecord
}

// Dependencies of a Follower. Members, Sink and Logger may be nil.
type Dependencies struct {
	Client  *rpc.Client
	Members Peers
	Sink    ports.BrakeSink
	Logger  log.Logger
}

// Follower implements ports.ConfigurationReader and ports.ReportSender.
type Follower struct {
	options Options
	deps    Dependencies
	relays  []Relay // by preference
	clients *rpc.Cache[rattanfieldv1connect.DistributionServiceClient]

	projection atomic.Pointer[config.Projection]
	first      atomic.Uint64 // revision of the first projection
	current    atomic.Int64  // index into relays of the one in use
	kick       chan struct{}
	group      sync.WaitGroup // requests that outlive their caller

	mu        sync.Mutex
	rng       *rand.Rand
	interests *pb.Interests
	// covered are the interests that the projection in force was made for.
	covered  *pb.Interests
	recorder *floor.Recorder
	recorded uint64 // revision that enough recorders hold for this node
	braked   []string

	// Owned by the goroutine of Run.
	backoff      time.Duration
	failures     int // consecutive
	leftHome     time.Time
	fresh        bool // no answer of the current relay yet
	fallback     int  // most preferred relay that answered without a quorum in this round; -1: none
	settledUntil time.Time
	wantSnapshot bool
	patience     lifecycle.Patience // with the current relay
	triedConfirm time.Time
}

// New returns a Follower; Run keeps its configuration current.
func New(options Options, deps Dependencies) *Follower {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&options.PollWait, defaultPollWait)
	set(&options.RecordTimeout, defaultRecordTimeout)
	set(&options.Timeout, defaultTimeout)
	set(&options.BackoffCap, defaultBackoffCap)
	set(&options.HomeRetry, defaultHomeRetry)
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(uint64(options.Incarnation), uint64(len(options.NodeID))))
	}
	if deps.Logger == nil {
		deps.Logger = log.NewNopLogger()
	}
	return &Follower{
		options: options, deps: deps, rng: options.Rand,
		relays: membership.RankRelays(options.NodeID, options.FailureDomain, options.Region, options.Relays),
		clients: rpc.NewCache(func(address string) rattanfieldv1connect.DistributionServiceClient {
			return rattanfieldv1connect.NewDistributionServiceClient(deps.Client.HTTP(), rpc.URL(address))
		}),
		kick:      make(chan struct{}, 1),
		interests: config.NormalizeInterests(options.Interests),
		recorder:  floor.NewRecorder(floor.MaxNodes),
		backoff:   backoffStart,
		fresh:     true,
		fallback:  -1,
	}
}

// Projection in force; nil until the first one is applied.
func (f *Follower) Projection() *config.Projection { return f.projection.Load() }

// FloorKnown is false until a configuration was applied under the floor rule.
func (f *Follower) FloorKnown() bool { return f.projection.Load() != nil }

// Revision in force; 0 until the first one is applied.
func (f *Follower) Revision() uint64 { return f.projection.Load().Revision() }

// FirstRevision is the first one that this process put in force; 0 before that.
func (f *Follower) FirstRevision() uint64 { return f.first.Load() }

// Relay is the id of the relay in use; empty when none is configured.
func (f *Follower) Relay() string {
	if len(f.relays) == 0 {
		return ""
	}
	return f.relays[f.current.Load()].ID
}

// SetInterests changes the services that this node needs. The configuration in
// force stays until one for the new interests is applied.
func (f *Follower) SetInterests(i *pb.Interests) {
	i = config.NormalizeInterests(i)
	f.mu.Lock()
	same := config.InterestKey(i) == config.InterestKey(f.interests)
	f.interests = i
	f.mu.Unlock()
	if same {
		return
	}
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Run follows the configuration until the context ends, and then returns nil.
func (f *Follower) Run(ctx context.Context) error {
	defer f.group.Wait()
	for ctx.Err() == nil && !f.start(ctx) {
		f.pause(ctx)
	}
	f.backoff = backoffStart
	for ctx.Err() == nil {
		f.step(ctx)
	}
	return nil
}

// SendReports passes outcome counts to the relay in use.
func (f *Follower) SendReports(ctx context.Context, reports []*pb.OutcomeReport) error {
	if len(f.relays) == 0 {
		return eris.New("no relay is configured")
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	relay := f.relays[f.current.Load()]
	_, err := f.clientOf(relay.Address).Report(ctx, connect.NewRequest(&pb.ReportRequest{Reports: reports}))
	return eris.Wrapf(err, "report to relay %s", relay.ID)
}

func (f *Follower) clientOf(address string) rattanfieldv1connect.DistributionServiceClient {
	return f.clients.Get(address)
}

func (f *Follower) peers() []*pb.EndpointRecord {
	if f.deps.Members == nil {
		return nil
	}
	return f.deps.Members.Peers()
}

// apply puts the configuration of a response in force: it is received as a
// whole, recorded as this node's floor and then swapped in.
func (f *Follower) apply(ctx context.Context, interests *pb.Interests, r *pb.SyncResponse) error {
	have := f.projection.Load()
	next, err := config.Receive(have, r)
	if err != nil {
		return err
	}
	if next.Revision() > f.recorded || have == nil {
		if err := f.record(ctx, next.Revision()); err != nil {
			return err
		}
		f.recorded = next.Revision()
	}
	f.mu.Lock() // peers are served from both, which must belong together
	f.covered = interests
	f.projection.Store(next)
	f.first.CompareAndSwap(0, next.Revision())
	f.mu.Unlock()
	if f.options.OnApply != nil {
		f.options.OnApply(next)
	}
	return nil
}

func (f *Follower) setBraked(moves []string) {
	f.mu.Lock()
	same := slices.Equal(moves, f.braked)
	f.braked = moves
	f.mu.Unlock()
	if !same && f.deps.Sink != nil {
		f.deps.Sink.SetBraked(moves)
	}
}

// pause waits after a failure: a random part of a bound that doubles up to the cap.
func (f *Follower) pause(ctx context.Context) {
	f.sleep(ctx, f.jitter(f.backoff))
	f.backoff = min(2*f.backoff, f.options.BackoffCap)
}

func (f *Follower) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(d) + 1))
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
