package httpproxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/limit"
	"github.com/rattanfield/rattanfield/core/quarantine"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

var reasonForDecision = map[limit.Decision]Reason{
	limit.QueueFull:         ReasonQueueFull,
	limit.ShareExhausted:    ReasonShareExhausted,
	limit.CannotStartInTime: ReasonCannotStartInTime,
	limit.DeadlinePast:      ReasonDeadlineBeforeStart,
	decisionUpstreamGone:    ReasonNoEndpoint,
}

// decisionUpstreamGone is delivered to queued requests when their upstream is gone. They were not
// sent to it and are rejected with ReasonNoEndpoint as not run, whereas ReasonUpstreamLost means
// that the request may have run.
const decisionUpstreamGone limit.Decision = 255

// admit waits until the request may run and returns its slot. No byte of the request is
// written to the upstream before that.
func (g *Gate) admit(ctx *fasthttp.RequestCtx, c *call, t target) (*slot, *rejection) {
	g.mu.Lock()
	u, rej := g.checkUpstreamLocked(c)
	if rej != nil {
		g.mu.Unlock()
		return nil, rej
	}
	handling := quarantine.Run
	if !g.options.Baseline {
		handling = g.quarantine.Handle(time.Now(), u.announced.Service, c.fingerprint, c.suspect)
	}
	if handling == quarantine.Reject {
		g.mu.Unlock()
		return nil, reject(ReasonCrashSuspect)
	}
	s := &slot{
		id: g.nextID.Add(1), upstream: u, fingerprint: c.fingerprint,
		exclusive: handling == quarantine.RunAlone,
	}
	if g.options.Baseline {
		g.beginLocked(s)
		g.mu.Unlock()
		return s, nil
	}
	decision, events := u.limiter.Offer(time.Now(), limit.Request{
		ID: s.id, Tenant: c.tenant, Weight: tenantWeight(t.service, c.tenant),
		Deadline: c.deadline, Exclusive: s.exclusive,
	})
	u.deliver(events)
	switch decision {
	case limit.Started:
		g.beginLocked(s)
		g.mu.Unlock()
		return s, nil
	case limit.Queued:
		ch := make(chan limit.Decision, 1)
		u.waiting[s.id] = ch
		g.active++ // queued requests count as accepted
		g.mu.Unlock()
		return g.awaitDecision(ctx, c, s, ch)
	default:
		rej := &rejection{reason: reasonForDecision[decision], retryAfter: u.limiter.RetryAfter()}
		g.mu.Unlock()
		return nil, rej
	}
}

// checkUpstreamLocked returns the upstream, or a rejection if it accepts no calls. The lock must be held.
func (g *Gate) checkUpstreamLocked(c *call) (*upstream, *rejection) {
	u := g.upstream
	switch {
	case g.leaving:
		return nil, g.deps.Stops.rejection()
	case u == nil || u.crashed:
		return nil, reject(ReasonNoEndpoint)
	case u.state == pb.EndpointState_ENDPOINT_STATE_LEAVING:
		return nil, reject(ReasonLeaving)
	case u.state != pb.EndpointState_ENDPOINT_STATE_SERVING:
		return nil, reject(ReasonNoEndpoint)
	case c.version != "" && c.version != u.announced.Version:
		return nil, reject(ReasonOtherVersion)
	}
	return u, nil
}

// beginLocked counts a request as running. The lock must be held.
func (g *Gate) beginLocked(s *slot) {
	g.active++
	s.upstream.running[s.id] = s
}

// awaitDecision waits for the decision on a queued request until the deadline or until the
// caller disconnects.
func (g *Gate) awaitDecision(ctx *fasthttp.RequestCtx, c *call, s *slot, ch chan limit.Decision) (*slot, *rejection) {
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	poll := time.NewTicker(cancelPollInterval)
	defer poll.Stop()
	disconnected := callerDisconnected(ctx)
	reason := ReasonDeadlineBeforeStart
wait:
	for {
		select {
		case d := <-ch:
			return g.applyDecision(s, d)
		case <-timer.C:
			break wait
		case <-poll.C:
			if g.deps.Stops.expired() {
				break wait
			}
			if disconnected() {
				reason = ReasonCancelledBeforeStart
				break wait
			}
		}
	}
	g.mu.Lock()
	select {
	case d := <-ch: // the decision arrived in the meantime
		g.mu.Unlock()
		return g.applyDecision(s, d)
	default:
	}
	delete(s.upstream.waiting, s.id)
	s.upstream.deliver(s.upstream.limiter.Cancel(time.Now(), s.id))
	g.endLocked()
	g.mu.Unlock()
	return nil, reject(reason)
}

// applyDecision applies the decision on a queued request, which is already counted as active.
func (g *Gate) applyDecision(s *slot, d limit.Decision) (*slot, *rejection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d == limit.Started && !s.upstream.crashed {
		s.upstream.running[s.id] = s
		return s, nil
	}
	if d == limit.Started {
		d = decisionUpstreamGone
	}
	g.endLocked()
	return nil, &rejection{reason: reasonForDecision[d], retryAfter: s.upstream.limiter.RetryAfter()}
}

// endLocked counts a call as no longer active. The lock must be held.
func (g *Gate) endLocked() {
	g.active--
	if g.active == 0 && g.leaving {
		close(g.drained)
	}
}

// runResult is the result of a request at the upstream.
type runResult struct {
	limit     limit.Result
	completed bool // the upstream sent a complete response
}

// finish releases the slot and clears the suspect if its request completed.
func (g *Gate) finish(s *slot, r runResult) {
	now := time.Now()
	u := s.upstream
	g.mu.Lock()
	delete(u.running, s.id)
	if !g.options.Baseline {
		u.deliver(u.limiter.Finish(now, s.id, r.limit))
	}
	var cleared []*pb.SuspectRecord
	if r.completed {
		cleared = g.quarantine.Completed(now, s.fingerprint, s.exclusive)
	}
	if len(u.running) == 0 && len(u.waiting) == 0 && u.state == pb.EndpointState_ENDPOINT_STATE_LEAVING {
		u.state = pb.EndpointState_ENDPOINT_STATE_GONE
		defer g.publish()
	}
	g.endLocked()
	g.mu.Unlock()
	if len(cleared) > 0 && g.deps.Suspects != nil {
		g.deps.Suspects.Spread(cleared)
	}
}

func tenantWeight(s *pb.Service, tenant string) uint32 {
	for _, w := range s.GetTenantWeights() {
		if w.GetTenant() == tenant {
			return w.GetWeight()
		}
	}
	return 1
}

// loadHeader returns the value of HeaderLoad.
func (g *Gate) loadHeader() string {
	var l limit.Load
	g.mu.Lock()
	if u := g.upstream; u != nil {
		l = u.limiter.Load()
		l.Running = len(u.running)
	}
	g.mu.Unlock()
	b := make([]byte, 0, 16)
	b = strconv.AppendInt(b, int64(l.Running), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.Queued), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.Slots), 10)
	return string(b)
}
