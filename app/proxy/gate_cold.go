package proxy

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/core/coldstart"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// maxProbes is the number of health probes that are sent after an event that leaves unknown whether the upstream is
	// cold, until one is answered. A probe takes time of the upstream.
	maxProbes     = 3
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	// lostProbeInterval is the least time between probes after lost connections, which mostly have another cause than a
	// new start.
	lostProbeInterval = 2 * time.Second
	// coldShift is the change of the end of a slow start that other nodes are told of.
	coldShift = time.Second
)

// gateCold is what a gate knows of the slow start of its upstream. The mutex of the gate guards it.
type gateCold struct {
	tracker    *coldstart.Tracker
	probesLeft int
	nextProbe  time.Time
	probing    bool
	// publishedEnd is the end of the slow start that other nodes know of; the zero time: none.
	publishedEnd time.Time
}

func newGateCold(now time.Time) gateCold { return gateCold{tracker: coldstart.NewTracker(now)} }

// coldPolicy is what the plan states of the slow start of a service.
type coldPolicy struct {
	bound      coldstart.Bound
	coldStart  time.Duration
	healthPath string
}

// coldPolicyOf returns the policy of a service; its bound does not apply if there is no plan or no bound in it.
func coldPolicyOf(v *controlclient.View, service string, excess, slack float64) coldPolicy {
	if v.Plan == nil {
		return coldPolicy{}
	}
	s := v.Plan.Service(service)
	return coldPolicy{
		bound:      coldstart.NewBound(s.GetColdRequestsPerSecond(), excess, slack),
		coldStart:  time.Duration(s.GetColdStartMs()) * time.Millisecond,
		healthPath: s.GetHealthPath(),
	}
}

func (g *Gate) coldPolicy(u *upstream) coldPolicy {
	return coldPolicyOf(g.mesh.View(), u.announcement.GetService(), g.options.ColdExcess, g.options.ColdSlack)
}

// followView applies a start or an end of the evacuation of the own failure domain. The caller must hold g.mu. Every request
// passes it, so that none is decided on an older view than the one that it was sent with.
func (g *Gate) followView(now time.Time) {
	evacuated := g.mesh.View().Evacuated[g.options.FailureDomain]
	if evacuated == g.evacuated {
		return
	}
	g.evacuated = evacuated
	u := g.activeUpstream
	if !evacuated {
		g.assumeCold(now) // it may have become cold without requests
		_ = g.logger.Log("event", "gate open after evacuation", "domain", g.options.FailureDomain)
		return
	}
	queued := 0
	if u != nil {
		ids := u.queue.Clear()
		queued = len(ids)
		u.notify(ids, reasonEvacuated)
	}
	_ = g.logger.Log("event", "gate closed by evacuation", "domain", g.options.FailureDomain, "queued", queued)
}

// domainReason returns the reason why no request starts in the failure domain, or "". The caller must hold g.mu.
func (g *Gate) domainReason(now time.Time) string {
	g.followView(now)
	switch {
	case g.evacuated:
		return reasonEvacuated
	case g.options.AwaitPlan && g.mesh.View().Plan == nil:
		return reasonNoPlan
	}
	return ""
}

// assumeCold states that the upstream may be cold, and lets a health probe find out. The caller must hold g.mu.
func (g *Gate) assumeCold(now time.Time) {
	g.cold.tracker.Assume(now)
	g.cold.probesLeft, g.cold.nextProbe = maxProbes, now
}

// noteOutcome lets a health probe find out whether the upstream has started again after a lost connection. The caller must
// hold the mutex of the gate.
func (c *gateCold) noteOutcome(now time.Time, f meshhttp.Failure) {
	if f == meshhttp.ConnectionLost && c.probesLeft == 0 && now.Sub(c.nextProbe) > lostProbeInterval {
		c.probesLeft, c.nextProbe = 1, now
	}
}

// learnCold applies what the newest announcement states of the slow start. The caller must hold g.mu.
func (g *Gate) learnCold(now time.Time, a *pb.Announcement, newProcess bool) {
	left := time.Duration(a.GetColdMs()) * time.Millisecond
	if !newProcess {
		g.cold.tracker.Announced(now, left)
		return
	}
	g.cold.tracker.Started(now, left)
	g.cold.probesLeft = 0
	if left <= 0 {
		g.cold.probesLeft, g.cold.nextProbe = maxProbes, now
	}
}

// hasColdRoom reports whether another request is likely to fit, with those that are queued. The caller must hold g.mu.
func (g *Gate) hasColdRoom(now time.Time, u *upstream) bool {
	p := g.coldPolicy(u)
	return !p.bound.Applies() || g.cold.tracker.Left(now, p.coldStart) == 0 ||
		g.cold.tracker.Room(now, p.bound) > u.queue.Waiting()
}

// takeColdRoom reports whether a request may be sent now, and counts it. The caller must hold g.mu.
func (g *Gate) takeColdRoom(now time.Time, u *upstream) bool {
	p := g.coldPolicy(u)
	return !p.bound.Applies() || g.cold.tracker.Take(now, p.bound, p.coldStart)
}

// withColdLeft returns an announcement with the slow start that the gate knows, if the plan bounds it. The caller must
// hold g.mu.
func (g *Gate) withColdLeft(now time.Time, a *pb.Announcement) *pb.Announcement {
	u := g.activeUpstream
	if u == nil || a == nil {
		return a
	}
	p := g.coldPolicy(u)
	if !p.bound.Applies() {
		return a
	}
	left := g.cold.tracker.Left(now, p.coldStart)
	g.cold.publishedEnd = time.Time{}
	if left > 0 {
		g.cold.publishedEnd = now.Add(left)
	}
	a = proto.CloneOf(a)
	a.ColdMs = uint32(left.Milliseconds())
	return a
}

// ColdLeft returns the remaining slow start of the upstream, as far as the gate knows; 0 if the plan does not bound it.
func (g *Gate) ColdLeft() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.activeUpstream == nil {
		return 0
	}
	p := g.coldPolicy(g.activeUpstream)
	if !p.bound.Applies() {
		return 0
	}
	return g.cold.tracker.Left(time.Now(), p.coldStart)
}

// followCold applies the view, tells other nodes of changes of the slow start, and sends the health probes that are due.
func (g *Gate) followCold(ctx context.Context, now time.Time) {
	var changed *pb.Announcement
	g.mu.Lock()
	g.followView(now)
	u, c := g.activeUpstream, &g.cold
	if u == nil || !g.coldPolicy(u).bound.Applies() {
		g.mu.Unlock()
		return
	}
	p := g.coldPolicy(u)
	left := c.tracker.Left(now, p.coldStart)
	switch {
	case c.probesLeft > 0 && p.healthPath != "" && c.tracker.Assumed(now, p.coldStart): // a probe may show that it is warm
	case left == 0 && !c.publishedEnd.IsZero(), left > 0 && (c.publishedEnd.IsZero() || now.Add(left).Sub(c.publishedEnd).Abs() > coldShift):
		changed = g.withColdLeft(now, u.announcement)
	}
	if c.probesLeft > 0 && !c.probing && !now.Before(c.nextProbe) && !g.evacuated && p.healthPath != "" && u.rejectionReason(now, g.options.LostAfter) == "" {
		c.probesLeft, c.nextProbe, c.probing = c.probesLeft-1, now.Add(probeInterval), true
		c.tracker.Sent(now, p.bound)
		go g.probe(ctx, u, u.announcement, p.healthPath)
	}
	g.mu.Unlock()
	if changed == nil {
		return
	}
	_ = g.logger.Log("event", "upstream slow start", "instance", changed.GetInstance(), "left", left.Round(time.Millisecond))
	g.metrics.countColdChange(left > 0)
	g.publish(changed)
}

// probe asks the upstream for its remaining slow start. An answer without it is no evidence.
func (g *Gate) probe(ctx context.Context, u *upstream, a *pb.Announcement, path string) {
	started, address := time.Now(), a.GetAddress()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetHost(address)
	request.Header.SetRequestURI(path)
	request.Header.Set(g.options.Headers.RemainingMs, formatMs(probeTimeout))
	o := g.pool.Do(ctx, address, &meshhttp.Call{Request: request, Response: response, Deadline: started.Add(probeTimeout), RecentlyUsedOnly: true})
	left, ok := time.Duration(0), false
	if o.Failure == meshhttp.Answered {
		left, ok = parseMs(response.Header.Peek(g.options.Headers.ColdMs))
	}
	body.Discard(response)
	now := time.Now()
	g.mu.Lock()
	g.cold.probing = false
	if ok && g.activeUpstream == u {
		g.cold.tracker.Probed(started, now, left)
		g.cold.probesLeft = 0
	}
	g.mu.Unlock()
	result := "unanswered"
	if ok {
		result = "answered"
	}
	g.metrics.countColdProbe(result)
	_ = g.logger.Log("event", "health probe", "instance", a.GetInstance(), "result", result, "cold_left", left, "after", now.Sub(started).Round(time.Millisecond), "err", o.Err)
}

// setColdHeader tells the entry of the slow start of the upstream, if the plan bounds it.
func (g *Gate) setColdHeader(h *fasthttp.ResponseHeader, u *upstream) {
	if u == nil {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.coldPolicy(u)
	if !p.bound.Applies() {
		return
	}
	left, room := g.cold.tracker.Left(now, p.coldStart), g.cold.tracker.RoomShare(now, p.bound)
	h.Set(hopCold, strconv.FormatInt(left.Milliseconds(), 10)+","+strconv.Itoa(int(room*1000)))
}

// setStateHeader tells the entry which state the gate knows.
func (g *Gate) setStateHeader(h *fasthttp.ResponseHeader) {
	h.Set(hopState, strconv.FormatUint(g.mesh.View().ChangeCount, 10))
}
