package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/members"
	"github.com/rattanfield/rattanfield/core/floor"
	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

// Options configures a Relay. Zero values stand for the defaults.
type Options struct {
	ID, FailureDomain, Region string
	// Peers are the other control hosts (in app/follower, peers are nodes). An element with the id
	// of this host is ignored.
	Peers []*pb.Member
	// Incarnation must differ at each start. 0 stands for the start time in Unix
	// nanoseconds.
	Incarnation int64
	// Batch is the time over which changes are collected before they are sent. Changes
	// of the version shares of moves are sent at once.
	Batch time.Duration
	// NoCompression disables zstd compression.
	NoCompression bool
	// FullSnapshots answers every change with the whole projection. It is the baseline
	// for measurements of deltas.
	FullSnapshots bool
	// SnapshotsPerSecond and SnapshotBurst limit the rate of responses that carry a
	// whole projection.
	SnapshotsPerSecond float64
	SnapshotBurst      int
	// Lease is the age of the last confirmation by a quorum up to which responses are
	// marked as confirmed.
	Lease time.Duration
	// History is the number of published revisions that are kept as bases of deltas.
	History int
	// SummaryInterval is the time between two summaries of applied revisions.
	SummaryInterval time.Duration
	// Members is the timing of the endpoint exchange.
	Members members.Timing
	// Now returns the current time. nil stands for time.Now.
	Now func() time.Time
}

// Defaults of Options.
const (
	defaultSnapshotsPerSecond = 200
	defaultSnapshotBurst      = 200
	defaultLease              = 2 * time.Second
	defaultHistory            = 256
	defaultSummaryInterval    = 500 * time.Millisecond
)

const (
	// maxWait is the longest long poll that a node may ask for.
	maxWait = 30 * time.Second
	// confirmTimeout is the timeout of a read index. It is short so that a node learns
	// soon that there is no quorum.
	confirmTimeout = time.Second
	// confirmRetry is the mean time between attempts to confirm the first revision.
	confirmRetry = 500 * time.Millisecond
	// brakeInterval is the time between two checks for changes of the braked moves.
	brakeInterval = 100 * time.Millisecond
	// confirmedInterval is the time between two checks of the age of the confirmation.
	confirmedInterval = 250 * time.Millisecond
	trimInterval      = time.Minute
)

// Dependencies are the collaborators of a Relay. Sink, Brakes and Logger may be nil.
type Dependencies struct {
	State  ports.StateReader
	Quorum ports.QuorumReader
	Client *rpc.Client
	Sink   ports.ReportSink
	Brakes ports.BrakeReader
	Logger log.Logger
}

// Relay serves DistributionService and MembershipService.
type Relay struct {
	options Options
	deps    Dependencies
	members *members.Members // endpoint table and its exchange
	caches  responseCaches
	limiter *rate.Limiter

	mu        sync.Mutex
	history   history
	changed   chan struct{}       // closed when a revision is published, or brakes or confirmed change
	confirmed bool                // whether the age of the confirmation is within the lease
	braked    map[string][]string // braked moves by watched failure domain, which is one that a node has stated in a sync request
	recorder  *floor.Recorder     // floors of nodes; complete after the first confirmation by a quorum since the start
	nodes     map[string]*nodeStatus
	summaries summaries
}

// New returns a Relay, which follows the replicated state while Run runs.
func New(options Options, deps Dependencies) *Relay {
	options = options.withDefaults()
	if deps.Logger == nil {
		deps.Logger = log.NewNopLogger()
	}
	r := &Relay{
		options: options, deps: deps,
		caches:   responseCaches{byKey: make(map[string]*responseCache)},
		limiter:  rate.NewLimiter(rate.Limit(options.SnapshotsPerSecond), options.SnapshotBurst),
		changed:  make(chan struct{}),
		braked:   make(map[string][]string),
		recorder: floor.NewRecorder(floor.MaxNodes),
		nodes:    make(map[string]*nodeStatus),
	}
	r.summaries.byRelay = make(map[string]stampedSummary)
	var relays []membership.Relay
	for _, p := range options.Peers {
		if p.GetId() != options.ID {
			relays = append(relays, membership.Relay{
				ID: p.GetId(), Address: p.GetAddress(), FailureDomain: p.GetFailureDomain(), Region: p.GetRegion(),
			})
		}
	}
	r.members = members.New(members.Options{
		ID: options.ID, FailureDomain: options.FailureDomain, Region: options.Region,
		Incarnation: options.Incarnation, Relay: true, Relays: relays,
		Applied: r.revision, Summaries: r, Timing: options.Members, Now: options.Now,
	}, deps.Client, deps.Logger)
	r.publish()
	return r
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Incarnation == 0 {
		o.Incarnation = o.Now().UnixNano()
	}
	if o.SnapshotsPerSecond == 0 {
		o.SnapshotsPerSecond = defaultSnapshotsPerSecond
	}
	if o.SnapshotBurst == 0 {
		o.SnapshotBurst = defaultSnapshotBurst
	}
	if o.Lease == 0 {
		o.Lease = defaultLease
	}
	if o.History == 0 {
		o.History = defaultHistory
	}
	if o.SummaryInterval == 0 {
		o.SummaryInterval = defaultSummaryInterval
	}
	return o
}

// Handlers returns the DistributionService and the MembershipService of the relay.
func (r *Relay) Handlers() []rpc.Handler {
	return append(r.members.Handlers(),
		rpc.NewHandler(rattanfieldv1connect.NewDistributionServiceHandler(service{r}, rpc.NoCompression())))
}

// Members returns the endpoint table of the relay.
func (r *Relay) Members() *members.Members { return r.members }

// Run publishes the applied state until the context ends, and then returns nil.
func (r *Relay) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { _ = r.members.Run(ctx) })
	group.Go(func() { r.confirmLoop(ctx) })
	group.Go(func() { runPeriodically(ctx, brakeInterval, r.checkBrakes) })
	group.Go(func() { runPeriodically(ctx, confirmedInterval, r.checkConfirmed) })
	group.Go(func() { runPeriodically(ctx, r.options.SummaryInterval, r.summarize) })
	group.Go(func() { runPeriodically(ctx, trimInterval, func() { r.caches.trim(r.options.Now()) }) })
	r.publishLoop(ctx)
	group.Wait()
	return nil
}

// runPeriodically calls f once per interval until the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// publishLoop publishes the applied state after each change, batched unless the change
// is urgent.
func (r *Relay) publishLoop(ctx context.Context) {
	for {
		changed := r.deps.State.Changed()
		r.publish()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if r.options.Batch > 0 && !r.urgent() {
			timer := time.NewTimer(r.options.Batch)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
	}
}

// urgent reports whether the version shares of the applied state differ from the
// published ones.
func (r *Relay) urgent() bool {
	next := r.deps.State.State().Configuration.GetShares()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.Equal(next, r.history.current().configuration.GetShares())
}

// publish adds the applied state to the history, if its revision is new, so that it is
// served to nodes.
func (r *Relay) publish() {
	c := r.deps.State.State().Configuration
	if c == nil {
		c = &pb.Configuration{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.history) > 0 && c.GetRevision() <= r.history.current().configuration.GetRevision() {
		return
	}
	h := append(slices.Clone(r.history), publication{configuration: c, at: r.options.Now()})
	r.history = h[max(0, len(h)-r.options.History):]
	r.broadcastLocked()
}

// broadcastLocked wakes the waiting polls.
func (r *Relay) broadcastLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// published returns the published revisions, and a channel that is closed at the next
// change.
func (r *Relay) published() (history, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history, r.changed
}

func (r *Relay) revision() uint64 {
	h, _ := r.published()
	return h.current().configuration.GetRevision()
}

// confirmLoop retries until a quorum confirms a revision, which makes the floor
// recorder complete: only then do its answers about floors count for nodes that start
// without a quorum.
func (r *Relay) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if r.confirm(ctx) == nil {
			return
		}
		timer := time.NewTimer(confirmRetry/2 + rand.N(confirmRetry))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// confirm publishes a state that contains everything accepted before the call, as
// confirmed by a quorum.
func (r *Relay) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := r.deps.Quorum.ConfirmRead(ctx); err != nil {
		return err
	}
	r.publish()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.Confirm(r.history.current().configuration.GetRevision())
	return nil
}

// checkConfirmed wakes the waiting polls when this host loses or regains its quorum. A
// node then switches to a relay that has one.
func (r *Relay) checkConfirmed() {
	confirmed := r.deps.Quorum.ConfirmedAge() <= r.options.Lease
	r.mu.Lock()
	defer r.mu.Unlock()
	if confirmed != r.confirmed {
		r.confirmed = confirmed
		r.broadcastLocked()
	}
}

func (r *Relay) isConfirmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// checkBrakes reads the braked moves of the watched failure domains, which brakedMoves
// adds, and wakes the waiting polls when they changed.
func (r *Relay) checkBrakes() {
	if r.deps.Brakes == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for domain, old := range r.braked {
		moves := r.deps.Brakes.BrakedMoves(domain)
		if !slices.Equal(old, moves) {
			r.braked[domain] = slices.Clone(moves)
			r.broadcastLocked()
		}
	}
}
