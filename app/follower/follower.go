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

// Relay is a control host as listed in the settings.
type Relay = membership.Relay

// Options configures a Follower. Zero durations stand for the defaults.
type Options struct {
	NodeID, FailureDomain, Region string
	Incarnation                   int64
	// Interests are the services that this node needs; see SetInterests.
	Interests *pb.Interests
	Relays    []Relay
	PollWait  time.Duration // longest time that the relay holds a poll
	// RecordTimeout is how long a recorder may take before the next one is asked.
	RecordTimeout  time.Duration
	Timeout        time.Duration // timeout of a request, in addition to its wait
	BackoffCap     time.Duration // upper bound of the exponential backoff, which has full jitter
	PreferredRetry time.Duration // time with a less preferred relay before the most preferred one is tried again
	// OnApply is called after a configuration was put in force. It may be nil.
	OnApply func(*config.Projection)
	// Now returns the current time. nil stands for time.Now.
	Now func() time.Time
	// Rand is the source of jitter. nil stands for a source seeded from the incarnation
	// and the length of the node id.
	Rand *rand.Rand
}

// Defaults of Options.
const (
	defaultPollWait       = 20 * time.Second
	defaultRecordTimeout  = 100 * time.Millisecond
	defaultTimeout        = 1500 * time.Millisecond
	defaultBackoffCap     = 5 * time.Second
	defaultPreferredRetry = 15 * time.Second
	backoffStart          = 50 * time.Millisecond
	// hedgeAfter is the interval at which a starting node sends a hedged request to the
	// next relay while the relays asked before have not answered.
	hedgeAfter = 300 * time.Millisecond
	// unconfirmedWait is the wait of a poll at a relay without a quorum. It is short so
	// that a node soon switches when another relay has one.
	unconfirmedWait = time.Second
	// fallbackTime is how long a node stays with a relay without a quorum, after no relay
	// had one, before it asks all of them again. Jitter of up to the same time is added.
	fallbackTime = 5 * time.Second
	// confirmInterval is the time between attempts to make the own floor recorder complete.
	confirmInterval = 5 * time.Second
)

// Peers lists the live nodes of the failure domain.
type Peers interface {
	Peers() []*pb.EndpointRecord
}

// Dependencies are the collaborators of a Follower. Members, Sink and Logger may be nil.
type Dependencies struct {
	Client  *rpc.Client
	Members Peers
	Sink    ports.BrakeSink
	Logger  log.Logger
}

// Follower follows the configuration of a node. It implements
// ports.ConfigurationReader and ports.ReportSender.
type Follower struct {
	options Options
	deps    Dependencies
	relays  []Relay // by preference
	clients *rpc.Cache[rattanfieldv1connect.DistributionServiceClient]

	projection       atomic.Pointer[config.Projection]
	first            atomic.Uint64  // revision of the first projection
	current          atomic.Int64   // index into relays of the one in use
	interestsChanged chan struct{}  // signals that the interests changed; capacity 1
	group            sync.WaitGroup // requests that may outlast the call that started them

	mu        sync.Mutex
	rng       *rand.Rand
	interests *pb.Interests
	// projectionInterests are the interests for which the projection in force was made.
	projectionInterests *pb.Interests
	recorder            *floor.Recorder // floors of peers that this node has recorded
	recorded            uint64          // revision that enough recorders have stored for this node
	braked              []string

	// The following fields are owned by the goroutine of Run.
	backoff            time.Duration
	failures           int // consecutive failures
	leftPreferred      time.Time
	noResponseYet      bool // whether the current relay has not answered yet
	fallbackRelay      int  // index of the most preferred relay that answered without a quorum in this round; -1 if none
	fallbackUntil      time.Time
	wantSnapshot       bool
	pollDeadline       lifecycle.PollDeadline // bounds the polls at the current relay
	lastConfirmAttempt time.Time
}

// New returns a Follower, which keeps its configuration current while Run runs.
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
	set(&options.PreferredRetry, defaultPreferredRetry)
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
		interestsChanged: make(chan struct{}, 1),
		interests:        config.NormalizeInterests(options.Interests),
		recorder:         floor.NewRecorder(floor.MaxNodes),
		backoff:          backoffStart,
		noResponseYet:    true,
		fallbackRelay:    -1,
	}
}

// Projection returns the projection in force. It is nil until the first one is applied.
func (f *Follower) Projection() *config.Projection { return f.projection.Load() }

// FloorKnown reports whether a configuration was put in force, before which enough
// recorders stored its revision as the floor of this node.
func (f *Follower) FloorKnown() bool { return f.projection.Load() != nil }

// Revision returns the revision in force. It is 0 until the first one is applied.
func (f *Follower) Revision() uint64 { return f.projection.Load().Revision() }

// FirstRevision returns the first revision that this process put in force, or 0 before
// that.
func (f *Follower) FirstRevision() uint64 { return f.first.Load() }

// Relay returns the id of the relay in use. It is empty when none is configured.
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
	case f.interestsChanged <- struct{}{}:
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
		f.syncOnce(ctx)
	}
	return nil
}

// SendReports sends outcome counts to the relay in use.
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

// apply puts the configuration of a response in force. It first validates the
// configuration as a whole and has its revision recorded as the floor of this node.
func (f *Follower) apply(ctx context.Context, interests *pb.Interests, r *pb.SyncResponse) error {
	have := f.projection.Load()
	next, err := config.Receive(have, r)
	if err != nil {
		return err
	}
	if next.Revision() > f.recorded || have == nil {
		if err := f.recordFloor(ctx, next.Revision()); err != nil {
			return err
		}
		f.recorded = next.Revision()
	}
	f.mu.Lock() // interests and projection must match, because peers are served from both
	f.projectionInterests = interests
	f.projection.Store(next)
	f.first.CompareAndSwap(0, next.Revision())
	f.mu.Unlock()
	if f.options.OnApply != nil {
		f.options.OnApply(next)
	}
	return nil
}

// setBraked stores the braked moves and passes them to the sink if they changed.
func (f *Follower) setBraked(moves []string) {
	f.mu.Lock()
	same := slices.Equal(moves, f.braked)
	f.braked = moves
	f.mu.Unlock()
	if !same && f.deps.Sink != nil {
		f.deps.Sink.SetBraked(moves)
	}
}

// pause waits after a failure, with exponential backoff and full jitter.
func (f *Follower) pause(ctx context.Context) {
	f.sleep(ctx, f.jitter(f.backoff))
	f.backoff = min(2*f.backoff, f.options.BackoffCap)
}

// jitter returns a random duration from 0 to d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(d) + 1))
}

// sleep waits for d or until the context ends.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
