package proxy

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/app/quotas"
	"github.com/rattanfield/rattanfield/core/drain"
	"github.com/rattanfield/rattanfield/core/placement"
	"github.com/rattanfield/rattanfield/core/suspects"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// forwarding is the state of one request in the entry.
type forwarding struct {
	entry *Entry
	x     *meshhttp.Exchange
	view  *controlclient.View
	id    string

	route       *pb.PlanRoute
	info        requestInfo
	keyPlan     uint64 // serial of the plan by which info was made
	parentRoute string // route of the request that made this nested call; "" if it is not known
	service     string
	versions    versions
	deadline    time.Time
	goal        time.Time
	remaining   time.Duration // that the client states; 0: not stated
	waited      time.Duration // time that the client spent on earlier attempts
	out         *fasthttp.Request

	arrived         bool               // an attempt reached an upstream, or may have
	retryCause      string             // see retryCause; of the attempt in progress, "" for the first one
	sends           int                // attempts that may have reached an upstream
	reroutes        int                // attempts that no upstream received, because the gate did not run them or was unreachable, except those in withoutUpstream
	withoutUpstream int                // gates that had no upstream
	tried           []string           // gate addresses
	mayHaveRun      bool               // an attempt had an unknown outcome; not set by a response of an upstream
	savedFailure    *fasthttp.Response // failure response of an upstream, returned if the retry fails
	savedLease      *body.Lease        // memory of savedFailure
	lastReason      string             // why the last attempt was not answered
	lastDetail      string             // what was wrong with the connection or the response of the gate then
	notRetried      string             // why no further attempt followed

	quota           quotas.Ticket
	quotaRetryAfter time.Duration // if the request is beyond the quota

	suspicion        suspects.Decision // at the last attempt
	fingerprintValue uint64            // see fingerprint
	hasFingerprint   bool
}

// match finds the route and the time limit of the request. It returns the reason if the request is
// rejected, or "".
func (f *forwarding) match() (timeout time.Duration, reason string) {
	if f.view.Plan == nil {
		return 0, reasonNoPlan
	}
	f.route = f.view.Plan.Match(hostOf(&f.x.Request), targetOf(&f.x.Request))
	if f.route == nil {
		return 0, reasonNoRoute
	}
	if f.info, reason = identify(&f.entry.options.Headers, f.view.Plan, f.route, &f.x.Request.Header); reason != "" {
		return 0, reason
	}
	f.keyPlan = f.view.Plan.Serial
	timeout = time.Duration(f.route.GetTimeoutMs()) * time.Millisecond
	if v := f.x.Request.Header.Peek(f.entry.options.Headers.RemainingMs); len(v) > 0 {
		remaining, ok := parseMs(v)
		if !ok {
			return 0, reasonBadRequest
		}
		f.remaining = remaining
		timeout = min(timeout, remaining)
	}
	return timeout, ""
}

// prepare finds the route, deadline, service and versions of the request. It
// returns the reason if the request is rejected, or "".
func (f *forwarding) prepare() string {
	e := f.entry
	timeout, reason := f.match()
	if reason != "" {
		return reason
	}
	f.recogniseNested()
	if !f.withinQuota() {
		return reasonQuota
	}
	if f.remaining > 0 && !f.info.nested {
		f.waited = e.clientWaits.waited(f.route.GetName(), f.remaining)
	}
	f.deadline = f.x.Received.Add(timeout)
	if limit := f.x.Limit; !limit.IsZero() && limit.Before(f.deadline) {
		f.deadline = limit
	}
	f.goal = f.x.Received.Add(time.Duration(f.route.GetGoalMs())*time.Millisecond - f.waited)
	e.mu.Lock()
	f.service = e.splitter.Pick(f.route, e.random.Float64())
	f.versions = versionsOf(f.view, f.service, e.random.Float64())
	e.mu.Unlock()
	f.out = fasthttp.AcquireRequest()
	f.setGateHeaders()
	return ""
}

// kind identifies requests that usually take as long as this one.
func (f *forwarding) kind() drain.Kind {
	return drain.Kind{Route: f.route.GetName(), Service: f.service}
}

// setGateHeaders builds the request to the gate, except for the headers that
// differ between attempts.
func (f *forwarding) setGateHeaders() {
	copyRequest(&f.x.Request, f.out)
	h := &f.out.Header
	dropHopHeaders(h, h.All())
	h.Del(f.entry.options.Headers.ExpectInstance)
	h.Set(f.entry.options.Headers.Caller, f.entry.options.Service)
	if f.view.Plan.HasOrganisations() {
		f.setOrganisation(h)
	}
	h.Set(hopService, f.service)
	h.Set(hopRoute, f.route.GetName())
	h.Set(hopPriority, strconv.FormatUint(uint64(f.info.priority), 10))
	h.Set(hopGoalDurationMs, strconv.FormatUint(uint64(f.route.GetGoalMs()), 10))
	if f.route.GetIdempotent() {
		h.Set(hopIdempotent, "1")
	}
	if f.info.nested {
		h.Set(hopNested, "1")
	}
}

// forward sends the request to gates, unless its service is known to be overloaded.
func (f *forwarding) forward(ctx context.Context) {
	if reason := f.checkSuspect(); reason != "" {
		f.reject(reason)
		return
	}
	key := f.throttleKey()
	if f.info.nested {
		f.tryGates(ctx) // never throttled
		return
	}
	if !f.entry.offer(time.Now(), key, f.info.organisation.GetName()) {
		f.lastReason = reasonOverload
		f.giveUp()
		return
	}
	answered := f.tryGates(ctx)
	f.entry.countOutcome(key, answered || !lacksCapacity(f.lastReason))
}

// lacksCapacity reports whether a request was not answered for lack of capacity.
func lacksCapacity(reason string) bool {
	switch reason {
	case reasonBusy, reasonFairShare, reasonEvicted, reasonFull, reasonUpstreamNotRun, reasonDeadline, reasonLink, reasonProcessor:
		return true
	}
	return false
}

// tryGates tries one gate after the other until the request is answered or must not be tried
// again. It reports whether an upstream answered.
func (f *forwarding) tryGates(ctx context.Context) bool {
	for {
		gate, version, ok := f.pick()
		if !ok {
			if f.lastReason == "" {
				f.lastReason = reasonNoEndpoint
			}
			f.giveUp()
			return false
		}
		a := f.sendAttempt(ctx, gate, version)
		if a.ran == ranYes && !f.worthRetrying(a) {
			f.passResponse(a)
			return true
		}
		f.lastReason, f.lastDetail = a.reason, a.detail
		if ctx.Err() != nil || !f.shouldRetry(a) {
			if a.ran == ranYes {
				f.passResponse(a)
				return true
			}
			f.giveUp()
			return false
		}
		f.tried = append(f.tried, gate)
	}
}

// pick chooses the gate for the next attempt and returns its address and the version of its upstream.
func (f *forwarding) pick() (gate, version string, ok bool) {
	e := f.entry
	now := time.Now()
	f.view = e.mesh.View() // the view may have changed since the last attempt
	if !f.identifyAgain() {
		f.lastReason = reasonUnknownKey
		return "", "", false
	}
	left := f.goal.Sub(now)
	if left <= 0 {
		left = f.deadline.Sub(now)
	}
	ask := placement.PickRequest{
		Tried: f.isTried, Random: e.random.Float64, Service: f.service, TimeLeft: left,
		ServiceTime: e.onUpstream.mean(f.kind()),
		Kilobytes:   f.kilobytes(), LinkMbps: e.options.LinkMbps, Priority: f.info.priority,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !f.info.nested { // a nested call does not wait for the queue
		ask.MaxQueueWait = f.maxQueueWait(now)
	}
	list, stopping := e.candidates(f.view, f.service, f.versions, &f.info, now)
	if f.suspicion.Handling == suspects.Isolate {
		list, stopping = f.isolate(list, now), f.isolate(stopping, now)
	}
	i, full := e.picker.Pick(now, list, ask)
	if i < 0 { // a gate that stops still serves what fits its remaining time
		list = stopping
		var alsoFull bool
		i, alsoFull = e.picker.Pick(now, list, ask)
		full = full || alsoFull
	}
	if i < 0 {
		if full {
			f.lastReason = reasonFull
		} else if f.lastReason == "" {
			f.lastReason = f.exclusion(now)
		}
		return "", "", false
	}
	gate = list[i].Gate
	e.picker.Sent(gate)
	if list[i].Cold {
		e.countSentCold(gate, now)
	}
	for _, c := range f.view.Endpoints[f.service] {
		if c.Gate == gate {
			version = c.Version
		}
	}
	return gate, version, true
}

// isolate reduces the candidates to the one on which an isolated request may run. The caller must hold the mutex of the entry.
func (f *forwarding) isolate(list []placement.Candidate, now time.Time) []placement.Candidate {
	unavailable := f.entry.picker.UnavailableGates(now)
	return isolatedGate(list, f.fingerprint(), func(gate string) bool { return f.isTried(gate) || slices.Contains(unavailable, gate) })
}

func (f *forwarding) isTried(gate string) bool {
	for _, t := range f.tried {
		if t == gate {
			return true
		}
	}
	return false
}

// attempt is the result of one attempt.
type attempt struct {
	ran, reason string
	detail      string // what was wrong with the connection or the response of the gate
	status      int
	latency     time.Duration
}

// detailIncomplete is the detail of an attempt whose body the gate did not receive to its end.
const detailIncomplete = "a part of the body was not sent"

// sendAttempt sends the request to one gate and records the outcome.
func (f *forwarding) sendAttempt(ctx context.Context, gate, version string) attempt {
	e := f.entry
	start := time.Now()
	f.deadline = limitByStop(e.gate.stop.Load(), f.deadline)
	h := &f.out.Header
	h.Set(hopVersion, version)
	h.Set(hopRemainingMs, formatMs(f.deadline.Sub(start)))
	h.Set(hopGoalMs, strconv.FormatInt(max(0, f.goal.Sub(start).Milliseconds()), 10))
	if f.arrived || f.info.ofRetry {
		h.Set(hopRetry, "1")
	}
	if len(f.suspicion.Crashes) > 0 {
		setSuspect(h, e.gate.suspects.Record(f.fingerprint()))
	}
	o := f.send(ctx, gate, start)
	a := f.classify(o)
	a.latency = time.Since(start)
	if o.Failure == meshhttp.Answered {
		f.learnDependency(&f.x.Response.Header, a)
	}
	if a.ran != ranNo {
		f.sends++
	}
	if a.ran == ranYes && completed(a.status) {
		e.gate.suspects.Completed(f.fingerprint())
	}
	f.mayHaveRun = f.mayHaveRun || a.ran == ranUnknown
	f.countAttempt(gate, a, time.Now())
	if o.Abandoned {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.picker.Abandoned(gate)
		return a
	}
	out := placement.Outcome{
		Latency: a.latency, NotRun: a.ran == ranNo, Waited: f.waitedThere(a), Unavailable: (o.Failure == meshhttp.NotSent && !o.NoMemory) || a.reason == reasonNoUpstream || a.reason == reasonNoPlan || a.reason == reasonStopping,
		Failed: a.reason == reasonUpstreamNotRun || (o.Incomplete && o.Failure == meshhttp.ConnectionLost) || (a.ran == ranUnknown && a.reason != reasonCancelled && a.reason != reasonMemory) || a.status >= fasthttp.StatusInternalServerError,
	}
	if o.Failure == meshhttp.Answered && a.reason != reasonEvacuated { // the load of a closed gate is no measure of others
		out.Load = parseLoad(f.x.Response.Header.Peek(hopLoad))
		f.learnServiceTime(a)
	}
	e.mu.Lock()
	e.picker.Done(time.Now(), gate, f.service, out)
	if o.Failure == meshhttp.Answered {
		f.learnFromGate(gate, a, time.Now())
	}
	e.mu.Unlock()
	return a
}

// send calls the gate of this node directly and other gates over a connection. A
// node is identified by the address of its gate.
func (f *forwarding) send(ctx context.Context, gate string, now time.Time) meshhttp.Outcome {
	e := f.entry
	if f.x.Lease == nil {
		f.x.Lease = f.x.ResponseLease(e.pool)
	}
	if gate != e.options.Node {
		return e.pool.Do(ctx, gate, &meshhttp.Call{
			Request: f.out, Response: &f.x.Response, Deadline: f.deadline.Add(2 * answerSlack),
			IDHeader: e.options.Headers.ID, ID: f.id, RecentlyUsedOnly: !f.route.GetIdempotent(),
			Lease: f.x.Lease, AwaitContinue: true,
		})
	}
	local := &meshhttp.Exchange{Received: now, Lease: f.x.Lease}
	copyRequest(f.out, &local.Request)
	e.gate.handle(ctx, local, f.x.Nested)
	moveResponse(&local.Response, &f.x.Response)
	return meshhttp.Outcome{}
}

// moveResponse moves a response with its body. A copy of a large body would be memory that no lease holds.
func moveResponse(from, to *fasthttp.Response) {
	content := from.SwapBody(nil)
	body.Discard(to)
	from.CopyTo(to)
	to.SwapBody(content)
}

// discardSavedFailure releases the failure response of an earlier attempt, if there is one.
func (f *forwarding) discardSavedFailure() {
	if f.savedFailure == nil {
		return
	}
	body.Discard(f.savedFailure)
	fasthttp.ReleaseResponse(f.savedFailure)
	f.savedFailure = nil
	if f.savedLease != nil {
		f.savedLease.Release()
		f.savedLease = nil
	}
}

// classify determines from the outcome and the headers of the gate whether the request ran.
func (f *forwarding) classify(o meshhttp.Outcome) attempt {
	switch {
	case o.NoMemory:
		return attempt{ran: ranNo, reason: reasonMemory, detail: o.Err.Error()}
	case o.Ended:
		return attempt{ran: ranNo, reason: reasonCancelled}
	case o.Failure == meshhttp.NotSent:
		return attempt{ran: ranNo, reason: reasonUnreachable}
	case o.Incomplete && o.Failure == meshhttp.TimedOut: // gates run only requests that they have read to the end
		return attempt{ran: ranNo, reason: reasonDeadline, detail: detailIncomplete}
	case o.Incomplete && o.Failure == meshhttp.ConnectionLost:
		return attempt{ran: ranNo, reason: reasonUnreachable, detail: detailIncomplete}
	}
	switch o.Failure {
	case meshhttp.TimedOut:
		return attempt{ran: ranUnknown, reason: reasonDeadline}
	case meshhttp.Cancelled:
		return attempt{ran: ranUnknown, reason: reasonCancelled}
	case meshhttp.InvalidResponse:
		if errors.Is(o.Err, body.ErrNoRoom) {
			return attempt{ran: ranUnknown, reason: reasonMemory, detail: o.Err.Error()}
		}
		return attempt{ran: ranUnknown, reason: reasonUnreadable, detail: o.Err.Error()}
	case meshhttp.ConnectionLost:
		return attempt{ran: ranUnknown, reason: reasonLost, detail: o.Err.Error()}
	}
	h := &f.x.Response.Header
	if record := h.Peek(hopSuspect); len(record) > 0 {
		f.entry.gate.learnSuspect(f.fingerprint(), record)
	}
	a := attempt{ran: string(h.Peek(hopRan)), reason: string(h.Peek(hopReason))}
	switch a.ran {
	case ranYes:
		a.status = f.x.Response.StatusCode()
	case ranNo:
		if o.Unconfirmed { // may be a rejection of another request
			a.ran, a.reason = ranUnknown, reasonUnreadable
		}
	default:
		a.ran = ranUnknown
	}
	return a
}

// worthRetrying reports whether the response is a failure of the upstream that a
// retry on another upstream may avoid.
func (f *forwarding) worthRetrying(a attempt) bool {
	return a.status >= fasthttp.StatusInternalServerError && f.route.GetIdempotent()
}

// retryObstacle returns why no further attempt may follow one, or "". It counts the attempt towards the limit that applies.
func (f *forwarding) retryObstacle(a attempt, now time.Time) string {
	switch {
	case f.deadline.Sub(now) < minRemaining:
		return "time"
	case a.reason == reasonCrashSuspect || f.checkSuspect() != "":
		return "suspect"
	case a.reason == reasonDependency:
		return "dependency" // the other gates decide alike
	case isFreeReroute(a):
		if f.withoutUpstream++; f.withoutUpstream >= maxGatesWithoutUpstream {
			return "reroutes"
		}
	case a.reason == reasonFairShare && f.entry.rejectsMany(f.throttleKey()):
		return "fair-share" // other gates are as busy
	case a.ran == ranNo && a.reason != reasonUpstreamNotRun:
		noCapacity := a.reason == reasonBusy || a.reason == reasonFairShare || a.reason == reasonEvicted || a.reason == reasonMemory || a.reason == reasonLink || a.reason == reasonProcessor
		if f.reroutes++; f.reroutes > maxReroutes || (noCapacity && !f.info.nested && !f.entry.takeReroute(f.service)) {
			return "reroutes"
		}
	case a.ran != ranNo && !f.route.GetIdempotent():
		return "not-idempotent"
	case a.reason == reasonDeadline || a.reason == reasonCancelled:
		return a.reason
	case f.sends >= max(1, int(f.route.GetMaxAttempts())):
		return "attempts"
	default:
		return f.takeRetry(a, now)
	}
	return ""
}

// shouldRetry decides whether another attempt follows. If one follows a response
// of an upstream, the response is kept in savedFailure.
func (f *forwarding) shouldRetry(a attempt) bool {
	now := time.Now()
	f.deadline = limitByStop(f.entry.gate.stop.Load(), f.deadline)
	if f.notRetried = f.retryObstacle(a, now); f.notRetried != "" {
		return false
	}
	if a.ran == ranNo && a.reason != reasonUpstreamNotRun {
		return true
	}
	f.entry.metrics.count("entry", "repeated")
	if a.ran == ranYes {
		f.discardSavedFailure()
		f.savedFailure = fasthttp.AcquireResponse()
		moveResponse(&f.x.Response, f.savedFailure)
		f.savedLease, f.x.Lease = f.x.Lease, nil
	}
	return true
}
