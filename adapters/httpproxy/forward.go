package httpproxy

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/balance"
	"github.com/rattanfield/rattanfield/core/config"
	"github.com/rattanfield/rattanfield/core/retry"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// forwarding is the state of one call that the entry forwards.
type forwarding struct {
	entry      *Entry
	ctx        *fasthttp.RequestCtx
	call       *call
	projection *config.Projection
	route      *pb.Route
	service    *pb.Service

	version  string
	attempts int
	reroutes int // attempts at another endpoint outside the retry budget, see retry.Reroute
	crashes  int
	tried    []string // gates whose attempt failed
	// mayRepickTried is true after the decision retry.Retry, also after a rejection with status
	// 429: if no other gate is left, one that was tried may be picked again.
	mayRepickTried bool
	pick           balance.Pick
}

// attempt is the result of one attempt.
type attempt struct {
	rej              *rejection // nil: a response of the upstream is in ctx.Response
	failure          *exchangeError
	ranState         string
	status           int
	nestedCallFailed bool // a nested call of the upstream failed: the response has HeaderFailedBelow
	latency          time.Duration
}

func (a *attempt) reason() Reason {
	if a.rej == nil {
		return ""
	}
	return a.rej.reason
}

func (a *attempt) overload() bool {
	return a.status == fasthttp.StatusTooManyRequests && a.ranState == RanNotRun
}

func (a *attempt) failed() bool { return a.status >= fasthttp.StatusInternalServerError }

// unreached reports that the request reached no upstream and another endpoint may accept it: no
// byte was sent to the gate, or the gate rejected it because it has no upstream that accepts it
// or no connection to it. It is false for rejections by a limit or a deadline.
func (a *attempt) unreached() bool {
	if a.failure != nil {
		return !a.failure.sent
	}
	switch a.reason() {
	case ReasonLeaving, ReasonNoEndpoint, ReasonOtherVersion, ReasonNoConnection:
		return a.ranState == RanNotRun
	}
	return false
}

// unavailable reports that the endpoint will not accept requests for some time, so that the
// balancer has to avoid it (balance.Outcome.Unavailable). That does not follow from a lack of
// connections, a short deadline or another version.
func (a *attempt) unavailable() bool {
	if a.failure != nil {
		return !a.failure.sent && a.failure.reason != ReasonDeadlineBeforeStart && !errors.Is(a.failure.err, errTooManyConns) && !errors.Is(a.failure.err, errNoMemory)
	}
	return a.unreached() && (a.reason() == ReasonLeaving || a.reason() == ReasonNoEndpoint)
}

func (f *forwarding) run() *rejection {
	e := f.entry
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	prepareRequest(&f.ctx.Request, out)
	e.mu.Lock()
	e.stateLocked(f.service).budget.CountCall()
	f.version = e.pickVersionLocked(f.projection, f.service)
	e.mu.Unlock()
	var last *attempt
	mayHaveRun := false
	for {
		if !f.pickEndpoint() {
			break
		}
		f.attempts++
		a := f.sendAttempt(out)
		last = a
		f.recordOutcome(a)
		mayHaveRun = mayHaveRun || a.ranState != RanNotRun
		if !f.shouldRetry(a) {
			break
		}
	}
	if last == nil {
		return reject(ReasonNoEndpoint)
	}
	if last.rej != nil && (!last.nestedCallFailed || mayHaveRun) {
		last.rej.mayHaveRun = mayHaveRun
		return last.rej
	}
	if last.failed() || last.overload() {
		f.ctx.Response.Header.Set(HeaderFailedBelow, "1")
		e.deps.NestedFailures.record(f.call.id)
	}
	return nil
}

// pickEndpoint picks the endpoint of the next attempt and reports whether there is one.
func (f *forwarding) pickEndpoint() bool {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.stateLocked(f.service)
	if e.options.Baseline {
		return f.roundRobin(st)
	}
	now := time.Now()
	var ok bool
	f.pick, ok = st.balancer.Pick(now, f.version, f.isTried, e.random.Float64)
	if !ok && f.mayRepickTried {
		// No other endpoint is left, and one failed attempt does not exclude the only one.
		f.pick, ok = st.balancer.Pick(now, f.version, nil, e.random.Float64)
	}
	if !ok && f.fallBackToOldVersion() {
		f.pick, ok = st.balancer.Pick(now, f.version, f.isTried, e.random.Float64)
	}
	if !ok {
		f.pick, ok = st.pickFormer(now, f.version, f.isTried, e.random.Float64)
	}
	return ok
}

// fallBackToOldVersion selects the old version if the new version of a move has no endpoint
// left. There is no fallback to the new version, because it would exceed its share.
func (f *forwarding) fallBackToOldVersion() bool {
	s := f.projection.Shares(f.service.GetName())
	if s == nil || f.version != s.GetNewVersion() || s.GetOldVersion() == "" || s.GetOldVersion() == f.version {
		return false
	}
	f.version = s.GetOldVersion()
	return true
}

func (f *forwarding) roundRobin(st *serviceState) bool {
	if len(st.records) == 0 {
		return false
	}
	st.roundRobinNext++
	r := st.records[st.roundRobinNext%len(st.records)]
	f.pick = balance.Pick{Endpoint: balance.Endpoint{Address: r.GetGateAddress(), Version: r.GetVersion()}}
	return true
}

func (f *forwarding) isTried(address string) bool {
	for _, t := range f.tried {
		if t == address {
			return true
		}
	}
	return false
}

// sendAttempt sends the request once to the picked gate.
func (f *forwarding) sendAttempt(out *fasthttp.Request) *attempt {
	start := time.Now()
	id := f.setAttemptHeaders(out, start)
	failure := f.entry.pool.do(f.pick.Address, &exchange{
		request: out, response: &f.ctx.Response, deadline: f.entry.deps.Stops.limit(f.call.deadline),
		id: id, cancelled: f.entry.deps.Stops.orExpired(callerDisconnected(f.ctx)), client: clientOf(f.ctx),
	})
	a := &attempt{latency: time.Since(start), failure: failure}
	if failure != nil {
		a.rej = &rejection{reason: f.entry.deps.Stops.reasonOf(failure)}
		if !failure.sent && reasonStatuses[failure.reason].ranState != RanNotRun {
			a.rej.reason = ReasonNoConnection
		}
		a.ranState, a.status = a.rej.ranState(), a.rej.status()
		return a
	}
	h := &f.ctx.Response.Header
	a.ranState, a.status = string(h.Peek(HeaderRan)), f.ctx.Response.StatusCode()
	a.nestedCallFailed = h.Peek(HeaderFailedBelow) != nil
	if reason := Reason(h.Peek(HeaderReason)); a.ranState != RanRun && reason != "" {
		a.rej = &rejection{reason: reason, retryAfter: retryAfter(h)}
		if _, known := reasonStatuses[reason]; !known || a.rej.ranState() != a.ranState {
			a.rej.reason, a.ranState = ReasonResponseMismatch, RanUnknown // inconsistent response, from a gate of another release
		}
	}
	cleanResponse(&f.ctx.Response)
	return a
}

func retryAfter(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.Atoi(string(h.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// setAttemptHeaders sets the headers of one attempt and returns its unique call id.
func (f *forwarding) setAttemptHeaders(out *fasthttp.Request, now time.Time) string {
	f.entry.mu.Lock()
	nonce := f.entry.random.Uint64()
	f.entry.mu.Unlock()
	base := baseID(f.call.id)
	if base == "" {
		base = strconv.FormatUint(nonce, 16)
	}
	id := base[:min(len(base), maxCallIDLength-17)] + "." + strconv.FormatUint(nonce, 16)
	h := &out.Header
	h.Set(HeaderCallID, id)
	h.Set(HeaderAttempt, strconv.Itoa(f.attempts))
	h.Set(HeaderDepth, strconv.Itoa(f.call.depth+1))
	h.Set(HeaderDeadline, remainingMs(now, f.entry.deps.Stops.limit(f.call.deadline)))
	h.Set(HeaderFingerprint, strconv.FormatUint(f.call.fingerprint, 16))
	h.Set(HeaderVersion, f.pick.Version)
	if f.call.class != "" {
		h.Set(HeaderClass, f.call.class)
	}
	h.Del(HeaderSuspect)
	if f.crashes > 0 {
		h.Set(HeaderSuspect, "1")
	}
	return id
}

// recordOutcome passes the outcome of the attempt to the balancer and to the outcome recorder.
func (f *forwarding) recordOutcome(a *attempt) {
	e := f.entry
	if a.reason() == ReasonUpstreamCrashed {
		f.crashes++
	}
	o := balance.Outcome{
		Latency: a.latency, Failed: a.failed() && !a.nestedCallFailed, Unavailable: a.unavailable(), TimedOut: a.reason() == ReasonDeadlineAfterStart,
		Rejected: a.ranState == RanNotRun, Bytes: len(f.ctx.Request.Body()) + len(f.ctx.Response.Body()),
	}
	if a.failure == nil {
		o.Load = parseLoad(f.ctx.Response.Header.Peek(HeaderLoad))
	}
	e.mu.Lock()
	if !e.options.Baseline {
		e.stateLocked(f.service).balancer.Done(time.Now(), f.pick.Address, o)
	}
	e.mu.Unlock()
	// An attempt that was not run is no evidence about the version, unless it was rejected because of overload.
	if e.deps.Outcomes == nil || a.unreached() || (a.ranState == RanNotRun && !a.overload()) || a.reason() == ReasonCancelledAfterStart {
		return
	}
	e.deps.Outcomes.Record(ports.CallOutcome{
		Service: f.service.GetName(), Route: f.route.GetName(), Version: f.pick.Version,
		Tenant: f.call.tenant, Class: f.call.class, Latency: a.latency,
		Error: a.failed() && !a.nestedCallFailed, Overload: a.overload(),
		Suspect:       a.reason() == ReasonCrashSuspect || a.reason() == ReasonUpstreamCrashed || f.crashes > 0,
		FreshEndpoint: f.pick.InSlowStart,
	})
}

// shouldRetry decides whether to make another attempt.
func (f *forwarding) shouldRetry(a *attempt) bool {
	if !a.failed() && !a.overload() {
		return false
	}
	e := f.entry
	if e.options.Baseline {
		return f.attempts < retry.MaxAttempts && (a.ranState == RanNotRun || f.route.GetIdempotent())
	}
	now := time.Now()
	verdict := retry.Decide(retry.Attempt{
		Number: f.attempts, Reroutes: f.reroutes,
		NotRun: a.ranState == RanNotRun, Unreached: a.unreached(), NestedFailure: a.nestedCallFailed, Overload: a.overload(),
		Idempotent: f.route.GetIdempotent(), Terminal: f.isTerminal(a), Remaining: f.call.deadline.Sub(now),
	})
	f.mayRepickTried = verdict == retry.Retry
	switch verdict {
	case retry.Reroute:
		f.reroutes++
		e.metrics.reroutes.Inc()
	case retry.Retry:
		e.mu.Lock()
		allowed := e.stateLocked(f.service).budget.Take(now)
		e.mu.Unlock()
		if !allowed {
			return false
		}
		e.metrics.retries.Inc()
	default:
		return false
	}
	f.tried = append(f.tried, f.pick.Address)
	return true
}

// isTerminal reports an outcome that an attempt at another endpoint would not improve.
func (f *forwarding) isTerminal(a *attempt) bool {
	switch a.reason() {
	case ReasonDeadlineBeforeStart, ReasonDeadlineAfterStart, ReasonCancelledBeforeStart, ReasonCancelledAfterStart, ReasonKeyOwnerUnreachable:
		return true
	}
	return f.crashes > 1
}

// parseLoad parses the value of HeaderLoad. It returns nil if the value is invalid.
func parseLoad(v []byte) *balance.Load {
	parts := strings.SplitN(string(v), ",", 3)
	if len(parts) != 3 {
		return nil
	}
	var n [3]int
	for i, p := range parts {
		var err error
		if n[i], err = strconv.Atoi(p); err != nil {
			return nil
		}
	}
	return &balance.Load{InFlight: n[0], Queue: n[1], Slots: n[2]}
}
