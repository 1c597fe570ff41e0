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

// forwarding is one call on its way through the entry.
type forwarding struct {
	entry      *Entry
	ctx        *fasthttp.RequestCtx
	call       *call
	projection *config.Projection
	route      *pb.Route
	service    *pb.Service

	version   string
	attempts  int
	redirects int
	crashes   int
	tried     []string // gates that are not tried again
	mayReuse  bool     // the last attempt was accepted by its gate, so that the same one may be tried again
	pick      balance.Pick
}

// attempt is how one attempt ended.
type attempt struct {
	rejected *rejection // nil: a response of the upstream is in ctx.Response
	failure  *exchangeError
	ran      string
	status   int
	below    bool
	latency  time.Duration
}

func (a *attempt) reason() Reason {
	if a.rejected == nil {
		return ""
	}
	return a.rejected.reason
}

func (a *attempt) overload() bool {
	return a.status == fasthttp.StatusTooManyRequests && a.ran == RanNotRun
}

func (a *attempt) failed() bool { return a.status >= fasthttp.StatusInternalServerError }

// unreached reports an endpoint that took no request at all.
func (a *attempt) unreached() bool {
	if a.failure != nil {
		return !a.failure.sent
	}
	switch a.reason() {
	case ReasonLeaving, ReasonNoEndpoint, ReasonVersion, ReasonNoConnection:
		return a.ran == RanNotRun
	}
	return false
}

// closed reports an endpoint that takes no request for some time. Too few
// connections of this entry, a short deadline or another version say nothing of that kind.
func (a *attempt) closed() bool {
	if a.failure != nil {
		return !a.failure.sent && a.failure.reason != ReasonDeadlineBefore && !errors.Is(a.failure.err, errTooManyCon)
	}
	return a.unreached() && (a.reason() == ReasonLeaving || a.reason() == ReasonNoEndpoint)
}

func (f *forwarding) run() *rejection {
	e := f.entry
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	prepareRequest(&f.ctx.Request, out)
	e.mu.Lock()
	e.state(f.service).budget.CountCall()
	f.version = e.pickVersion(f.projection, f.service)
	e.mu.Unlock()
	var last *attempt
	mayHaveRun := false
	for {
		if !f.choose() {
			break
		}
		f.attempts++
		a := f.try(out)
		last = a
		f.report(a)
		mayHaveRun = mayHaveRun || a.ran != RanNotRun
		if !f.again(a) {
			break
		}
	}
	if last == nil {
		return reject(ReasonNoEndpoint)
	}
	if last.rejected != nil && (!last.below || mayHaveRun) {
		last.rejected.mayHaveRun = mayHaveRun
		return last.rejected
	}
	if last.failed() || last.overload() {
		f.ctx.Response.Header.Set(HeaderFailedBelow, "1")
		e.deps.Below.mark(f.call.id)
	}
	return nil
}

// choose picks the endpoint of the next attempt.
func (f *forwarding) choose() bool {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.state(f.service)
	if e.options.Baseline {
		return f.roundRobin(st)
	}
	now := time.Now()
	var ok bool
	f.pick, ok = st.balancer.Pick(now, f.version, f.isTried, e.random.Float64)
	if !ok && f.mayReuse {
		// No other endpoint is left; the failure of one attempt does not condemn the only one.
		f.pick, ok = st.balancer.Pick(now, f.version, nil, e.random.Float64)
	}
	if !ok && f.fallBack() {
		f.pick, ok = st.balancer.Pick(now, f.version, f.isTried, e.random.Float64)
	}
	return ok
}

// fallBack takes the old version when the new one of a move has no endpoint
// left; the other direction would exceed the share of the new version.
func (f *forwarding) fallBack() bool {
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
	st.next++
	r := st.records[st.next%len(st.records)]
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

// try sends the request once to the chosen gate.
func (f *forwarding) try(out *fasthttp.Request) *attempt {
	start := time.Now()
	id := f.stamp(out, start)
	failure := f.entry.pool.do(f.pick.Address, &exchange{
		request: out, response: &f.ctx.Response, deadline: f.call.deadline,
		id: id, cancelled: callerGone(f.ctx),
	})
	a := &attempt{latency: time.Since(start), failure: failure}
	if failure != nil {
		a.rejected = &rejection{reason: failure.reason}
		if !failure.sent && verdicts[failure.reason].ran != RanNotRun {
			a.rejected.reason = ReasonNoConnection
		}
		a.ran, a.status = a.rejected.ran(), a.rejected.status()
		return a
	}
	h := &f.ctx.Response.Header
	a.ran, a.status = string(h.Peek(HeaderRan)), f.ctx.Response.StatusCode()
	a.below = h.Peek(HeaderFailedBelow) != nil
	if reason := Reason(h.Peek(HeaderReason)); a.ran != RanRun && reason != "" {
		a.rejected = &rejection{reason: reason, retryAfter: retryAfter(h)}
		if _, known := verdicts[reason]; !known || a.rejected.ran() != a.ran {
			a.rejected.reason, a.ran = ReasonMismatch, RanUnknown // a gate of another release
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

// stamp sets the headers of one attempt and returns its id, which no other attempt has.
func (f *forwarding) stamp(out *fasthttp.Request, now time.Time) string {
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
	h.Set(HeaderDeadline, remainingMs(now, f.call.deadline))
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

// report tells balancer and rollout how the attempt ended.
func (f *forwarding) report(a *attempt) {
	e := f.entry
	if a.reason() == ReasonUpstreamCrashed {
		f.crashes++
	}
	o := balance.Outcome{
		Latency: a.latency, Failed: a.failed() && !a.below, Refused: a.closed(), TimedOut: a.reason() == ReasonDeadlineAfter,
		Rejected: a.ran == RanNotRun, Bytes: len(f.ctx.Request.Body()) + len(f.ctx.Response.Body()),
	}
	if a.failure == nil {
		o.Load = parseLoad(f.ctx.Response.Header.Peek(HeaderLoad))
	}
	e.mu.Lock()
	if !e.options.Baseline {
		e.state(f.service).balancer.Done(time.Now(), f.pick.Address, o)
	}
	e.mu.Unlock()
	// A call that was not run says nothing about the version, unless the upstream sheds load.
	if e.deps.Outcomes == nil || a.unreached() || (a.ran == RanNotRun && !a.overload()) || a.reason() == ReasonCancelledAfter {
		return
	}
	e.deps.Outcomes.Record(ports.CallOutcome{
		Service: f.service.GetName(), Route: f.route.GetName(), Version: f.pick.Version,
		Tenant: f.call.tenant, Class: f.call.class, Latency: a.latency,
		Error: a.failed() && !a.below, Overload: a.overload(),
		Suspect:       a.reason() == ReasonSuspect || a.reason() == ReasonUpstreamCrashed || f.crashes > 0,
		FreshEndpoint: f.pick.Fresh,
	})
}

// again decides on another attempt.
func (f *forwarding) again(a *attempt) bool {
	if !a.failed() && !a.overload() {
		return false
	}
	e := f.entry
	if e.options.Baseline {
		return f.attempts < retry.MaxAttempts && (a.ran == RanNotRun || f.route.GetIdempotent())
	}
	now := time.Now()
	verdict := retry.Decide(retry.Attempt{
		Number: f.attempts, Redirects: f.redirects,
		NotRun: a.ran == RanNotRun, Unreached: a.unreached(), FailedBelow: a.below, Overload: a.overload(),
		Idempotent: f.route.GetIdempotent(), Terminal: f.isTerminal(a), Remaining: f.call.deadline.Sub(now),
	})
	f.mayReuse = verdict == retry.Repeat
	switch verdict {
	case retry.Redirect:
		f.redirects++
		e.metrics.redirects.Inc()
	case retry.Repeat:
		e.mu.Lock()
		taken := e.state(f.service).budget.Take(now)
		e.mu.Unlock()
		if !taken {
			return false
		}
		e.metrics.retries.Inc()
	default:
		return false
	}
	f.tried = append(f.tried, f.pick.Address)
	return true
}

// isTerminal reports an outcome that another endpoint would not improve.
func (f *forwarding) isTerminal(a *attempt) bool {
	switch a.reason() {
	case ReasonDeadlineBefore, ReasonDeadlineAfter, ReasonCancelledBefore, ReasonCancelledAfter, ReasonKeyOwner:
		return true
	}
	return f.crashes > 1
}

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
