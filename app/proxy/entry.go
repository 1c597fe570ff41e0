package proxy

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
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/app/quotas"
	"github.com/rattanfield/rattanfield/core/coldstart"
	"github.com/rattanfield/rattanfield/core/fairness"
	"github.com/rattanfield/rattanfield/core/placement"
	"github.com/rattanfield/rattanfield/core/plan"
	"github.com/rattanfield/rattanfield/core/retry"
	"github.com/rattanfield/rattanfield/core/throttle"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// EntryOptions configures an Entry.
type EntryOptions struct {
	Headers Headers
	Service string // service on this host; sent to upstreams in Headers.Caller
	Node    string // gate address of this node, which identifies it
	// RetryBudgetPercent is the share of requests that all nodes together may retry, in percent.
	// Another RetryBudgetExtra requests per RetryBudgetWindow may be retried beyond that.
	RetryBudgetPercent float64
	RetryBudgetExtra   int
	RetryBudgetWindow  time.Duration
	// LinkMbps is the rate of the link of this node in Mbit/s; 0: not known, and bodies count as sent at once.
	LinkMbps float64
	// StopNotice is the time for which a node that stops admits requests as usual, see drain.NewStop.
	StopNotice time.Duration
	// ColdExcess and ColdSlack bound the requests to an upstream in its slow start, see coldstart.NewBound.
	ColdExcess, ColdSlack float64
	// Quotas are the quotas of organisations; nil: none are enforced.
	Quotas *quotas.Store
}

const (
	// maxReroutes is the maximum number of times that a request is rerouted, outside the retry
	// budget, from a gate that did not run it or was unreachable. Gates that have no upstream are not counted.
	maxReroutes = 2
	// maxGatesWithoutUpstream is the maximum number of gates that may answer within quickRejection that they have no upstream.
	// They cost no capacity, and many upstreams may end together.
	maxGatesWithoutUpstream = 8
	quickRejection          = 100 * time.Millisecond // more than a round trip between regions
	// reroutePercent is the share of requests, in percent, that may be rerouted because a gate
	// rejected them for lack of capacity, and rerouteBurst the number that may accumulate. When
	// the whole service is overloaded, asking further gates only adds load.
	reroutePercent = 30
	rerouteBurst   = 10
	// minRemaining is the least remaining time in which another attempt is worthwhile.
	minRemaining = 15 * time.Millisecond
	// retryAfter is the mean Retry-After of a rejection that has nothing to do with the load; for others see
	// throttle.Comeback.
	retryAfter       = 120 * time.Millisecond
	retryAfterNoPlan = 300 * time.Millisecond
	checkInterval    = 200 * time.Millisecond
	// scarceShare is the share of the slots of a service at nodes that do not stop, below which those of stopping nodes
	// are used alike: when many nodes stop at once, the others would have to reject what all can run.
	scarceShare = 0.75
	// stopNewsTime is how long the news of a stop may take to a node.
	stopNewsTime = 400 * time.Millisecond
	sweepEvery   = 10 // checkIntervals between two sweeps of idle connections
)

// Entry is the proxy that accepts the requests of the callers on its host.
type Entry struct {
	options EntryOptions
	mesh    Mesh
	gate    *Gate
	pool    *meshhttp.Pool
	logger  log.Logger
	metrics *Metrics

	clientWaits clientWaits
	sizes       sizes
	durations   durations // of answered requests, with their queues and ways
	onUpstream  durations // of the same requests on the upstream, as gates state them
	retries     retries
	nested      nestedCalls
	unknownKeys *unknownKeyLog

	mu             sync.Mutex
	random         *rand.Rand
	picker         *placement.Picker
	splitter       *plan.Splitter
	throttles      map[throttleKey]*throttle.Throttle
	pacer          *coldstart.Pacer
	domains        domains
	rerouteBudgets map[string]*retry.Budget // reroutes after rejections for lack of capacity, by service
	comebacks      map[throttleKey]*throttle.Comeback
	shares         map[string]*fairness.Shares // requests by organisation, by service
}

// throttleKey identifies the requests that are throttled together: those of one route to one
// service and, during a rollout, to one version.
type throttleKey struct {
	route, service, version string
	upload                  bool
}

// NewEntry returns an entry. Requests that run on this host are passed to the gate
// without a connection.
func NewEntry(o EntryOptions, mesh Mesh, gate *Gate, pool *meshhttp.Pool, m *Metrics, logger log.Logger) *Entry {
	return &Entry{
		options: o, mesh: mesh, gate: gate, pool: pool, logger: logger, metrics: m,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), picker: placement.New(), splitter: plan.NewSplitter(),
		retries: retries{options: o}, clientWaits: clientWaits{longestRemaining: make(map[string]time.Duration)}, sizes: sizes{bytes: make(map[string]float64)},
		unknownKeys: newUnknownKeyLog(), pacer: coldstart.NewPacer(), domains: newDomains(),
		throttles: make(map[throttleKey]*throttle.Throttle), rerouteBudgets: make(map[string]*retry.Budget), shares: make(map[string]*fairness.Shares), comebacks: make(map[throttleKey]*throttle.Comeback),
	}
}

// Run checks unreachable nodes and closes idle connections to unknown nodes until
// the context is done. It returns nil.
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
		e.followView()
		if n%sweepEvery == 0 {
			known := make(map[string]bool)
			for _, list := range e.mesh.View().Endpoints {
				for _, c := range list {
					known[c.Gate] = true
				}
			}
			e.pool.CloseIdle(func(address string) bool { return known[address] })
		}
	}
}

// checkDown probes the nodes that were unreachable, so that no request is needed
// to find out whether they are reachable again.
func (e *Entry) checkDown(ctx context.Context) {
	e.mu.Lock()
	down := e.picker.UnavailableGates(time.Now())
	e.mu.Unlock()
	for _, gate := range down {
		go func() {
			if e.pool.Preconnect(ctx, gate) == nil {
				e.mu.Lock()
				e.picker.MarkReachable(gate)
				e.mu.Unlock()
			}
		}()
	}
}

// Handle forwards one request and fills in its response.
func (e *Entry) Handle(ctx context.Context, x *meshhttp.Exchange) {
	f := e.newForwarding(x)
	if reason := f.prepare(); reason != "" {
		f.reject(reason)
		return
	}
	defer fasthttp.ReleaseRequest(f.out)
	defer f.discardSavedFailure()
	f.forward(ctx)
}

func (e *Entry) newForwarding(x *meshhttp.Exchange) *forwarding {
	return &forwarding{entry: e, x: x, view: e.mesh.View(), id: string(x.Request.Header.Peek(e.options.Headers.ID))}
}

// RejectUnreadable fills in the response to a request that could not be read.
func (e *Entry) RejectUnreadable(x *meshhttp.Exchange, status int, err error) {
	reason, id := "unreadable", x.Request.Header.Peek(e.options.Headers.ID)
	x.Response.Reset()
	x.Response.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable {
		reason = reasonMemory
		x.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(e.randomRetryAfter()))
		x.Response.SetBodyString(reason + "\n")
	}
	if len(id) > 0 {
		x.Response.Header.SetBytesV(e.options.Headers.ID, id)
	}
	_ = e.logger.Log("event", "request not readable", "request", id, "status", status, "err", describeReadError(err), "client", x.Remote)
	e.metrics.count("entry", reason)
}

// versions is the set of upstream versions that a request may run on.
type versions struct {
	only   string // "": any
	except []string
}

func (s versions) allow(version string) bool {
	return (s.only == "" || s.only == version) && !slices.Contains(s.except, version)
}

// candidates returns the endpoints of a service that have one of the given versions, lie in an allowed region and a failure
// domain that is not evacuated, take a request now if they are cold, and are not leaving and, besides,
// those that are leaving only because their nodes stop and that can be used while the first are busy. The latter are
// among the first while they still admit requests as usual and few slots are left without them.
func (e *Entry) candidates(v *controlclient.View, service string, in versions, info *requestInfo, now time.Time) (usable, stopping []placement.Candidate) {
	usable = make([]placement.Candidate, 0, len(v.Endpoints[service]))
	var admitting []placement.Candidate // part of stopping
	e.domains.follow(v, now)
	bound := e.coldPolicy(v, service).bound
	slots, admittingSlots := 0, 0
	for _, p := range v.Endpoints[service] {
		if !in.allow(p.Version) || e.domains.isEvacuated(v, p, now) || !info.allowsRegion(p.Region) {
			continue
		}
		cold, due := e.coldState(v, p, bound, now)
		if !due {
			continue
		}
		c := placement.Candidate{
			Gate: p.Gate, Slots: p.Slots, Link: p.Link, Own: p.Gate == e.options.Node, Silent: p.Silent, Cold: cold, Condition: p.Condition,
		}
		switch {
		case !p.Leaving:
			usable, slots = append(usable, c), slots+p.Slots
		case p.StoppingSince.IsZero() || p.Silent:
		case now.Before(p.StoppingSince.Add(e.options.StopNotice - stopNewsTime)):
			admitting, admittingSlots = append(admitting, c), admittingSlots+p.Slots
		default:
			stopping = append(stopping, c)
		}
	}
	if float64(slots) < scarceShare*float64(slots+admittingSlots) {
		return append(usable, admitting...), stopping
	}
	return usable, append(stopping, admitting...)
}

// versionsOf returns the versions of a service that a request may run on; u is a
// uniform number in [0,1) that is compared with the share of the target version.
// Without a rollout, this is the version of most upstreams; other versions wait for
// their rollout. Withdrawn versions get no requests from a later rollout either.
func versionsOf(v *controlclient.View, service string, u float64) versions {
	r := v.Rollouts[service]
	switch phase := r.GetPhase(); {
	case phase == pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE,
		phase == pb.RolloutPhase_ROLLOUT_PHASE_RUNNING && u*1000 < float64(r.GetSharePermille()):
		return versions{only: r.GetTargetVersion()}
	case phase == pb.RolloutPhase_ROLLOUT_PHASE_RUNNING, phase == pb.RolloutPhase_ROLLOUT_PHASE_REVERTED:
		return versions{except: append([]string{r.GetTargetVersion()}, r.GetWithdrawn()...)}
	}
	return versions{only: mainVersion(v.Endpoints[service])}
}

// mainVersion returns the version of most endpoints; the lowest name wins a tie.
func mainVersion(list []*controlclient.Endpoint) string {
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

// throttle returns the throttle of a kind of requests. Beyond maxRoutes, everything known is
// discarded. The caller must hold e.mu.
func (e *Entry) throttle(key throttleKey) *throttle.Throttle {
	t := e.throttles[key]
	if t == nil {
		if len(e.throttles) >= maxRoutes {
			clear(e.throttles)
		}
		t = &throttle.Throttle{CountAtEnd: key.upload}
		e.throttles[key] = t
	}
	return t
}

// rerouteBudget returns the budget of reroutes after rejections for lack of capacity. The caller
// must hold e.mu.
func (e *Entry) rerouteBudget(service string) *retry.Budget {
	b := e.rerouteBudgets[service]
	if b == nil {
		b = retry.NewBudgetWithBurst(reroutePercent, rerouteBurst)
		e.rerouteBudgets[service] = b
	}
	return b
}

// countOutcome counts the outcome of a request that was offered and sent.
func (e *Entry) countOutcome(key throttleKey, accepted bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.throttle(key).Done(now, accepted)
}

// takeReroute reports whether a request that a gate rejected for lack of capacity may ask another.
func (e *Entry) takeReroute(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rerouteBudget(service).TakeSaved()
}

// hostOf returns the host of the request as its client sent it.
func hostOf(r *fasthttp.Request) string { return string(r.Header.Host()) }

// targetOf returns the request target, which is usually the path with its query. A
// target in absolute form includes a host.
func targetOf(r *fasthttp.Request) string {
	return string(r.Header.RequestURI())
}

func clientOf(a net.Addr) string {
	if a == nil {
		return ""
	}
	return a.String()
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
