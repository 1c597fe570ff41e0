package proxy

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/app/suspectlist"
	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/condition"
	"github.com/rattanfield/rattanfield/core/drain"
	"github.com/rattanfield/rattanfield/core/nodetable"
	"github.com/rattanfield/rattanfield/core/transfer"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Mesh provides the node's current view of the mesh.
type Mesh interface {
	View() *controlclient.View
}

// GateOptions configures a Gate.
type GateOptions struct {
	Headers Headers
	// DrainBound is the time in which requests may still reach an upstream after this node
	// acknowledged its leave.
	DrainBound time.Duration
	// Publish sends the announcement of this node's upstream to other nodes.
	Publish func(*pb.Announcement)
	// Report sends the condition of that upstream to other nodes.
	Report func(condition.Condition)
	// FailureDomain is that of the upstream.
	FailureDomain string
	// AwaitPlan lets the gate start no request before the node has a plan, and with it the evacuations and the bounds of
	// slow starts.
	AwaitPlan bool
	// AwaitDepartures lets the gate use no upstream before SetDepartures, because it may have left before this process
	// started.
	AwaitDepartures bool
	// ColdExcess and ColdSlack bound the requests to an upstream in its slow start, see coldstart.NewBound.
	ColdExcess, ColdSlack float64
	// Suspects are the suspects of the node, which its entry uses as well; nil stands for an empty list.
	Suspects *suspectlist.List
	// LinkMbps is the bandwidth of the link of this node in Mbit/s; 0: not known, bodies are not scheduled.
	LinkMbps float64
	// LostAfter is the time without an announcement after which an upstream is considered gone.
	LostAfter time.Duration
}

// drainShare is the share of DrainBound after which the gate starts no more requests. The rest
// covers requests that are on their way to the upstream.
const drainShare = 0.6

const (
	// returnShare and maxReturn bound the time before its deadline at which a queued request is
	// rejected, so that the caller still hears that it did not run.
	returnShare = 0.125
	maxReturn   = 50 * time.Millisecond
)

// answerSlack is how long after the deadline the gate still waits for a response that is on its way.
const answerSlack = 40 * time.Millisecond

// Gate is the proxy in front of the upstream of its host.
type Gate struct {
	options  GateOptions
	mesh     Mesh
	pool     *meshhttp.Pool
	logger   log.Logger
	metrics  *Metrics
	outcomes outcomes
	suspects *suspectlist.List
	isolated chan struct{} // holds a value while a suspect waits for a slot or runs
	nextID   atomic.Uint64

	dependencies dependencies

	stop      atomic.Pointer[drain.Stop] // nil unless the node stops
	stopLines atomic.Int32               // logged about requests during the stop
	durations durations                  // of requests on the upstream

	publishing sync.Mutex // held during GateOptions.Publish, so that Stop is published last

	mu             sync.Mutex
	processes      nodetable.Upstream // tracks which process on this host is current, by its announcements
	activeUpstream *upstream          // the current process with its queue; nil before the first announcement
	link           *transfer.Link     // schedule of the large bodies that other nodes send; nil: they are not scheduled
	evacuated      bool               // whether the failure domain is evacuated, see followView
	cold           gateCold
	held           heldAnnouncements
}

const bytesPerMbit = 1e6 / 8

// NewGate returns a gate without an upstream. Announce adds one.
func NewGate(o GateOptions, mesh Mesh, pool *meshhttp.Pool, m *Metrics, logger log.Logger) *Gate {
	if o.Suspects == nil {
		o.Suspects = suspectlist.New(func() {})
	}
	g := &Gate{options: o, mesh: mesh, pool: pool, metrics: m, logger: logger, suspects: o.Suspects, isolated: make(chan struct{}, 1), cold: newGateCold(time.Now())}
	if o.LinkMbps > 0 {
		g.link = transfer.New(o.LinkMbps * bytesPerMbit)
	}
	return g
}

// Outcomes returns the outcomes of the local upstream in the running rollout of
// its service, or nil if there are none.
func (g *Gate) Outcomes() []*pb.RouteOutcomes {
	g.mu.Lock()
	u := g.activeUpstream
	g.mu.Unlock()
	if u == nil {
		return nil
	}
	return g.outcomes.snapshot(g.mesh.View().Rollouts[u.announcement.GetService()])
}

// Suspects returns the suspects of the node.
func (g *Gate) Suspects() *suspectlist.List { return g.suspects }

// Handle decides whether the request of an entry runs and, if so, sends it to the upstream.
func (g *Gate) Handle(ctx context.Context, x *meshhttp.Exchange) { g.handle(ctx, x, false) }

// handle is Handle; lateNested tells that the entry of this node, which stops, admitted the request as a nested call of one in
// progress.
func (g *Gate) handle(ctx context.Context, x *meshhttp.Exchange, lateNested bool) {
	req, ok := g.parseRequest(x)
	if !ok {
		g.reject(x, req, ranNo, reasonBadRequest, "")
		return
	}
	req.deadline, req.lateNested = limitByStop(g.stop.Load(), req.deadline), lateNested
	req.fingerprint = fingerprint(req.service, &x.Request)
	if g.rejectsForDependency(req) {
		g.reject(x, req, ranNo, reasonDependency, "")
		return
	}
	release, reason := g.isolate(ctx, x, req)
	if reason != "" {
		g.reject(x, req, ranNo, reason, "")
		return
	}
	defer release()
	u, id, reason := g.admit(ctx, req)
	if reason != "" {
		g.reject(x, req, ranNo, reason, "")
		return
	}
	g.run(ctx, x, req, u, id)
}

// RejectUnreadable fills in the response to a request that could not be read, and so has not run.
func (g *Gate) RejectUnreadable(x *meshhttp.Exchange, status int, err error) {
	reason := reasonBadRequest
	if status == fasthttp.StatusServiceUnavailable {
		reason = reasonMemory
	}
	g.reject(x, gateRequest{id: string(x.Request.Header.Peek(g.options.Headers.ID)), received: x.Received}, ranNo, reason, describeReadError(err))
}

// admit waits for a slot. It returns the upstream and the queue id of the request,
// or the reason why the request does not run.
func (g *Gate) admit(ctx context.Context, req gateRequest) (*upstream, uint64, string) {
	now := time.Now()
	g.mu.Lock()
	u := g.activeUpstream
	reason := g.domainReason(now)
	if reason == "" {
		reason = u.rejectionReason(now, g.options.LostAfter)
	}
	if reason != "" {
		g.mu.Unlock()
		return nil, 0, reason
	}
	a := u.announcement
	if a.GetService() != req.service || (req.version != "" && a.GetVersion() != req.version) {
		g.mu.Unlock()
		return nil, 0, reasonOtherUpstream
	}
	if !g.hasColdRoom(now, u) {
		g.mu.Unlock()
		return nil, 0, reasonCold
	}
	id := g.nextID.Add(1)
	if !req.lateNested {
		u.deadlines[id] = req.deadline
	}
	decision, evicted := u.queue.Offer(now, g.admissionRequest(id, req))
	u.notify(evicted, reasonEvicted)
	if decision != admission.Queued {
		defer g.mu.Unlock()
		if decision != admission.Started {
			delete(u.deadlines, id)
			return nil, 0, rejectionReasons[decision]
		}
		return u, id, ""
	}
	ch := make(chan string, 1)
	u.waiting[id] = ch
	g.mu.Unlock()
	wayBack := min(maxReturn, time.Duration(returnShare*float64(req.deadline.Sub(now))))
	reason = g.await(ctx, u, id, ch, req.deadline.Add(-wayBack))
	if reason != "" {
		g.mu.Lock()
		delete(u.deadlines, id)
		g.mu.Unlock()
	}
	return u, id, reason
}

// await waits until a queued request starts, at most until the given time. It returns "" or the
// reason why the request does not run.
func (g *Gate) await(ctx context.Context, u *upstream, id uint64, ch chan string, until time.Time) string {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	reason := reasonDeadline
	select {
	case r := <-ch:
		return r
	case <-timer.C:
	case <-ctx.Done():
		reason = reasonCancelled
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case r := <-ch: // decided at the same time; a slot that was granted is released
		if r == "" {
			u.notify(u.queue.Finish(time.Now(), id, 0, false), "")
		}
	default:
		delete(u.waiting, id)
		u.queue.Cancel(id)
	}
	return reason
}

// run sends the request to the upstream, once only.
func (g *Gate) run(ctx context.Context, x *meshhttp.Exchange, req gateRequest, u *upstream, id uint64) {
	now := time.Now()
	req.deadline = limitByStop(g.stop.Load(), req.deadline) // the stop may have begun while the request was queued
	g.mu.Lock()
	reason, a := u.rejectionReason(now, g.options.LostAfter), u.announcement
	if evacuated := g.domainReason(now); evacuated != "" {
		reason = evacuated
	}
	if reason == "" && drain.Passed(now, req.deadline) {
		reason = reasonDeadline // the process was paused, or waited for processor time
	}
	if reason == "" && !g.takeColdRoom(now, u) {
		reason = reasonCold
	}
	if reason != "" {
		delete(u.deadlines, id)
		u.notify(u.queue.Finish(time.Now(), id, 0, false), "")
	} else {
		req.passedDeadline = now.Add(req.deadline.Sub(now).Truncate(time.Millisecond)) // as formatMs
		u.running[id] = req
		u.parents.Add(id, req.id, req.passedDeadline, req.retry)
		u.capacity.Started(now, id)
	}
	g.mu.Unlock()
	if reason != "" {
		g.reject(x, req, ranNo, reason, "")
		return
	}
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	copyRequest(&x.Request, out)
	dropHopHeaders(&out.Header, out.Header.All())
	out.Header.Set(g.options.Headers.RemainingMs, formatMs(req.deadline.Sub(now)))
	out.Header.Set(g.options.Headers.ExpectInstance, a.GetInstance())
	if x.Lease == nil {
		x.Lease = x.ResponseLease(g.pool)
	}
	o := g.pool.Do(ctx, a.GetAddress(), &meshhttp.Call{
		Request: out, Response: &x.Response, Deadline: req.deadline.Add(answerSlack),
		IDHeader: g.options.Headers.ID, ID: req.id, IDRequired: req.id != "", RecentlyUsedOnly: !req.idempotent,
		Lease: x.Lease,
	})
	latency := time.Since(now)
	ended := g.checkEnded(ctx, u, o.Failure)
	g.finish(x, req, u, id, o, latency, ended)
}

// finish releases the slot, records the outcome and fills in the response to the entry. ended states that the upstream
// has ended, see checkEnded.
func (g *Gate) finish(x *meshhttp.Exchange, req gateRequest, u *upstream, id uint64, o meshhttp.Outcome, latency time.Duration, ended bool) {
	// There are three cases. knownRun: the upstream answered the request. knownNotRun: the request
	// was not sent, or the upstream answered that it did not run it. Neither: it is unknown whether
	// the request ran. unknownOrError is true in the third case, and with a status of 500 or above
	// in the other two.
	knownNotRun := o.Failure == meshhttp.NotSent
	status := 0
	if o.Failure == meshhttp.Answered {
		status = x.Response.StatusCode()
		if knownNotRun, o.Err = g.refused(&x.Response, o.Unconfirmed); o.Err != nil {
			o.Failure = meshhttp.InvalidResponse
		}
	}
	knownRun := o.Failure == meshhttp.Answered && !knownNotRun
	noRoom := errors.Is(o.Err, body.ErrNoRoom) // for the response; it is no fault of the upstream
	unknownOrError := !knownRun && o.Failure != meshhttp.NotSent && !knownNotRun || status >= fasthttp.StatusInternalServerError
	g.mu.Lock()
	a := u.announcement
	if o.Failure != meshhttp.Cancelled && o.Failure != meshhttp.NotSent && !noRoom {
		u.condition.RecordOutcome(time.Now(), latency, unknownOrError || knownNotRun)
	}
	delete(u.deadlines, id)
	delete(u.running, id)
	u.capacity.Ended(time.Now(), id, req.route, latency, knownRun && status < fasthttp.StatusInternalServerError)
	u.parents.Remove(id, req.id, req.passedDeadline)
	u.unanswered.record(time.Now(), req, o.Failure)
	g.cold.noteOutcome(time.Now(), o.Failure)
	u.notify(u.queue.EvictLate(time.Now()), reasonDeadline)
	u.notify(u.queue.Finish(time.Now(), id, latency, knownRun && status < fasthttp.StatusInternalServerError), "")
	if o.Refused || (knownNotRun && status == fasthttp.StatusMisdirectedRequest) {
		u.unreachable = true
		g.assumeCold(time.Now())
		u.notify(u.queue.Clear(), reasonNoUpstream)
		g.noticeEnd(u, "refused or replaced", u.unanswered.recent(time.Now())) // what is in u.running may not have been sent
	}
	bySuspect := u.endedBySuspect
	g.mu.Unlock()
	if knownRun && completed(status) && g.suspects.Completed(req.fingerprint) {
		_ = g.logger.Log("event", "suspect cleared", "request", req.id, "fingerprint", formatFingerprint(req.fingerprint), "instance", a.GetInstance())
	}
	if knownRun || (unknownOrError && o.Failure != meshhttp.Cancelled && !noRoom && !(ended && bySuspect)) {
		r := g.mesh.View().Rollouts[a.GetService()]
		isError := (knownRun || errors.Is(o.Err, errRefusalStatus)) && status >= fasthttp.StatusInternalServerError && status != fasthttp.StatusGatewayTimeout
		g.outcomes.add(r, a.GetInstance(), req.route, unknownOrError, isError, latency)
	}
	switch {
	case knownRun:
		g.metrics.observe("gate", req.route, latency)
		g.durations.record(drain.Kind{Route: req.route, Service: req.service}, latency)
		dropHopByHop(&x.Response)
		dropHopHeaders(&x.Response.Header, x.Response.Header.All())
		if req.id != "" {
			x.Response.Header.Set(g.options.Headers.ID, req.id) // the entry believes only responses with the id
		}
		x.Response.Header.Set(hopRan, ranYes)
		x.Response.Header.Set(hopLoad, g.load(u))
		g.setRejectedHeader(&x.Response.Header, req)
		g.setColdHeader(&x.Response.Header, u)
		x.Response.Header.Set(hopTook, strconv.FormatInt(latency.Microseconds(), 10))
	case knownNotRun && o.Failure == meshhttp.Answered:
		g.reject(x, req, ranNo, reasonUpstreamNotRun, strconv.Itoa(status))
	case o.Ended:
		g.reject(x, req, ranNo, reasonCancelled, "")
	case o.NoMemory:
		g.reject(x, req, ranNo, reasonMemory, o.Err.Error())
	case knownNotRun:
		g.reject(x, req, ranNo, reasonNoUpstream, o.Err.Error())
	case noRoom:
		g.reject(x, req, ranUnknown, reasonMemory, o.Err.Error())
	case o.Failure == meshhttp.Cancelled:
		g.reject(x, req, ranUnknown, reasonCancelled, "")
	case o.Failure == meshhttp.TimedOut:
		g.durations.record(drain.Kind{Route: req.route, Service: req.service}, latency)
		g.reject(x, req, ranUnknown, reasonDeadline, "")
	case ended:
		g.reject(x, req, ranUnknown, reasonUpstreamEnded, o.Err.Error())
	case o.Failure == meshhttp.InvalidResponse:
		g.reject(x, req, ranUnknown, reasonUnreadable, o.Err.Error())
	default:
		g.reject(x, req, ranUnknown, reasonLost, o.Err.Error())
	}
}

var (
	errUnconfirmedRefusal = errors.New("the response that the request did not run may belong to another request")
	errUnsignedSuccess    = errors.New("the response states success without the signature of the upstream")
	errRefusedSuccess     = errors.New("the response states success and that the request did not run")
	// errRefusalStatus marks a response whose status tells clients that the request did not run,
	// although the upstream does not state it. It must not be passed on, because the request may have run.
	errRefusalStatus = errors.New("the status of the response means that the request did not run, but the upstream does not state it")
)

// refused reports whether a response of the upstream states that it did not run the request. It
// returns an error if the response leaves it unknown, or if it is a success without a signature: an
// upstream that ends its header early leaves a response whose body seems to end with the connection.
func (g *Gate) refused(r *fasthttp.Response, unconfirmed bool) (bool, error) {
	status := r.StatusCode()
	refused := len(r.Header.Peek(g.options.Headers.NotRun)) > 0 || status == fasthttp.StatusMisdirectedRequest
	switch {
	case refused && unconfirmed:
		return false, errUnconfirmedRefusal
	case refused && status < fasthttp.StatusBadRequest:
		return false, errRefusedSuccess
	case refused:
		return true, nil
	}
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return false, errRefusalStatus
	}
	signature := g.options.Headers.Signature
	if status < fasthttp.StatusMultipleChoices && signature != "" && len(r.Header.Peek(signature)) == 0 {
		return false, errUnsignedSuccess
	}
	return false, nil
}

func (g *Gate) load(u *upstream) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return formatLoad(u.queue.Load(time.Now()))
}

// reject fills in the gate's own response. ran tells the entry whether an upstream
// ran the request: ranNo or ranUnknown.
func (g *Gate) reject(x *meshhttp.Exchange, req gateRequest, ran, reason, detail string) {
	g.metrics.count("gate", reason)
	body.Discard(&x.Response)
	x.Response.Reset()
	x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	h := &x.Response.Header
	h.Set(hopRan, ran)
	h.Set(hopReason, reason)
	h.Set(g.options.Headers.ID, req.id)
	setSuspect(h, g.suspects.Record(req.fingerprint))
	g.setRejectedHeader(h, req)
	g.mu.Lock()
	u := g.activeUpstream
	if u != nil {
		h.Set(hopLoad, formatLoad(u.queue.Load(time.Now())))
	}
	g.mu.Unlock()
	g.setColdHeader(h, u)
	if reason == reasonEvacuated {
		g.setStateHeader(h)
	}
	if reason == reasonCancelled {
		return
	}
	_ = g.logger.Log("event", "not answered", "request", req.id, "route", req.route, "service", req.service, "ran", ran, "reason", reason,
		"detail", detail, "load", string(h.Peek(hopLoad)), "after", time.Since(req.received).Round(time.Millisecond))
}
