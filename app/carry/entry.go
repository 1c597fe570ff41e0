package carry

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/attach"
	"github.com/rattanfield/rattanfield/core/placement"
	"github.com/rattanfield/rattanfield/core/plan"
	"github.com/rattanfield/rattanfield/core/retry"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// EntryOptions of an Entry.
type EntryOptions struct {
	Headers Headers
	Service string // on this host; upstreams learn it as the caller
	Node    string // gate address of this node
	// RepeatPercent is the part of requests that the nodes together may repeat;
	// RepeatExtra of them per RepeatWindow may be repeated beyond that.
	RepeatPercent float64
	RepeatExtra   int
	RepeatWindow  time.Duration
}

const (
	// repeatShare of the bound is used: calls of repeated requests count as repeats too, and
	// the windows of nodes do not begin together.
	repeatShare = 0.75
	// repeatBurst of saved repeats and extraShare of the extra stay, at 12 nodes, below the extra
	// that sites of that size grant.
	repeatBurst = 3
	extraShare  = 0.4
	// maxRedirects bounds how often a request moves on from a gate that did not run it.
	maxRedirects = 2
	// minRemaining is the least time that makes another attempt worthwhile.
	minRemaining = 15 * time.Millisecond
	// retryAfter is when a client is told to come back after a refusal for lack of room: the
	// time in which a queue of the length that gates allow moves on noticeably.
	retryAfter       = 120 * time.Millisecond
	retryAfterNoPlan = 300 * time.Millisecond
	checkInterval    = 200 * time.Millisecond
	sweepEvery       = 10 // checks between two sweeps of idle connections
)

// Entry accepts requests of the callers on its host.
type Entry struct {
	options EntryOptions
	mesh    Mesh
	gate    *Gate
	pool    *meshhttp.Pool
	logger  log.Logger
	metrics *Metrics

	patience patience
	sizes    sizes

	mu       sync.Mutex
	random   *rand.Rand
	picker   *placement.Picker
	splitter *plan.Splitter
	budgets  map[string]*retry.Budget
	extra    map[string]*retry.Window
}

// NewEntry returns an entry; requests that run on this host go to the gate directly.
func NewEntry(o EntryOptions, mesh Mesh, gate *Gate, pool *meshhttp.Pool, m *Metrics, logger log.Logger) *Entry {
	return &Entry{
		options: o, mesh: mesh, gate: gate, pool: pool, logger: logger, metrics: m,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), picker: placement.New(), splitter: plan.NewSplitter(),
		patience: patience{longest: make(map[string]time.Duration)}, sizes: sizes{bytes: make(map[string]float64)}, budgets: make(map[string]*retry.Budget), extra: make(map[string]*retry.Window),
	}
}

// Run looks after connections until the context ends, and then returns nil.
func (e *Entry) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		e.checkDown(ctx)
		if n%sweepEvery == 0 {
			known := make(map[string]bool)
			for _, list := range e.mesh.View().Endpoints {
				for _, c := range list {
					known[c.Gate] = true
				}
			}
			e.pool.Sweep(func(address string) bool { return known[address] })
		}
	}
}

// checkDown finds out which nodes can be reached again, so that no request has to.
func (e *Entry) checkDown(ctx context.Context) {
	e.mu.Lock()
	down := e.picker.UnreachableGates(time.Now())
	e.mu.Unlock()
	for _, gate := range down {
		go func() {
			if e.pool.Check(ctx, gate) == nil {
				e.mu.Lock()
				e.picker.MarkReachable(gate)
				e.mu.Unlock()
			}
		}()
	}
}

// Handle answers one request.
func (e *Entry) Handle(ctx context.Context, x *meshhttp.Exchange) {
	f := &forwarding{entry: e, x: x, view: e.mesh.View(), id: string(x.Request.Header.Peek(e.options.Headers.ID))}
	if reason := f.prepare(); reason != "" {
		f.refuse(reason)
		return
	}
	defer fasthttp.ReleaseRequest(f.out)
	f.forward(ctx)
}

// Refuse answers a request that could not be read.
func (e *Entry) Refuse(x *meshhttp.Exchange, status int, err error) {
	x.Response.Reset()
	x.Response.SetStatusCode(status)
	_ = e.logger.Log("event", "request not readable", "status", status, "err", err, "client", x.Remote)
	e.metrics.count("entry", "unreadable")
}

// versions that a request may run on.
type versions struct {
	only string // "": any
	not  []string
}

func (s versions) allow(version string) bool {
	return (s.only == "" || s.only == version) && !slices.Contains(s.not, version)
}

// candidates of a service in the given versions.
func candidates(v *attach.View, service string, in versions, own string, now time.Time) []placement.Candidate {
	list := v.Endpoints[service]
	out := make([]placement.Candidate, 0, len(list))
	for _, e := range list {
		if e.Leaving || !in.allow(e.Version) {
			continue
		}
		out = append(out, placement.Candidate{
			Gate: e.Gate, Slots: e.Slots, Link: e.Link, Own: e.Gate == own, Silent: e.Silent, Cold: now.Before(e.WarmAt),
			Condition: e.Condition,
		})
	}
	return out
}

// versionsOf a service that a request may run on. Without a rollout the version that
// most upstreams have is the one in service; others wait for their rollout. Versions
// that were withdrawn get nothing from a later rollout either.
func versionsOf(v *attach.View, service string, u float64) versions {
	r := v.Rollouts[service]
	switch phase := r.GetPhase(); {
	case phase == pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE,
		phase == pb.RolloutPhase_ROLLOUT_PHASE_RUNNING && u*1000 < float64(r.GetSharePermille()):
		return versions{only: r.GetTargetVersion()}
	case phase == pb.RolloutPhase_ROLLOUT_PHASE_RUNNING, phase == pb.RolloutPhase_ROLLOUT_PHASE_REVERTED:
		return versions{not: append([]string{r.GetTargetVersion()}, r.GetWithdrawn()...)}
	}
	return versions{only: mainVersion(v.Endpoints[service])}
}

func mainVersion(list []*attach.Endpoint) string {
	counts := make(map[string]int, 2)
	best := ""
	for _, e := range list {
		counts[e.Version]++
	}
	for version, n := range counts {
		if best == "" || n > counts[best] || (n == counts[best] && version < best) {
			best = version
		}
	}
	return best
}

// budget of a service; called with the lock held.
func (e *Entry) budget(service string) (*retry.Budget, *retry.Window) {
	b := e.budgets[service]
	if b == nil {
		b = retry.NewBudgetWithBurst(uint32(max(1, e.options.RepeatPercent*repeatShare)), repeatBurst)
		e.budgets[service] = b
		e.extra[service] = retry.NewWindow(e.options.RepeatWindow)
	}
	return b, e.extra[service]
}

func (e *Entry) called(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, _ := e.budget(service)
	b.Call()
}

// mayRepeat takes one repeat of a request from the part of the budget that this node has.
func (e *Entry) mayRepeat(service string, now time.Time) bool {
	nodes := max(1, e.mesh.View().Nodes)
	e.mu.Lock()
	defer e.mu.Unlock()
	b, extra := e.budget(service)
	if b.TakeSaved() {
		return true
	}
	return extra.Take(now, int(float64(e.options.RepeatExtra)*extraShare/float64(nodes)))
}

// hostOf the request, as its client wrote it.
func hostOf(r *fasthttp.Request) string { return string(r.Header.Host()) }

// targetOf the request: the path with its query. A target in absolute form has its own host.
func targetOf(r *fasthttp.Request) string {
	return string(r.Header.RequestURI())
}

func clientOf(a net.Addr) string {
	if a == nil {
		return ""
	}
	return a.String()
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
