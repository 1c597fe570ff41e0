package httpproxy

import (
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/limit"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	announceInterval       = time.Second
	maxMissedAnnouncements = 3
	watchInterval          = 250 * time.Millisecond
	// leaveTimeout is how long a leave request waits for the drain before it is answered with 202;
	// the upstream then repeats it.
	leaveTimeout      = 800 * time.Millisecond
	leavePollInterval = 5 * time.Millisecond
)

// NewAnnounceHandler returns the handler of POST /v1/announce and POST /v1/leave for the
// upstream of this host. The body of both is a ports.UpstreamAnnouncement as JSON. Leave responds
// with 200 when every accepted request is finished, so that the upstream may exit, and with 202
// when the upstream must repeat the request.
func NewAnnounceHandler(g *Gate) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !ctx.IsPost() {
			ctx.Error("use POST", fasthttp.StatusMethodNotAllowed)
			return
		}
		var u ports.UpstreamAnnouncement
		if err := json.Unmarshal(ctx.PostBody(), &u); err != nil {
			ctx.Error("body: "+err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if problem := validateUpstream(u); problem != "" {
			ctx.Error(problem, fasthttp.StatusBadRequest)
			return
		}
		if strings.HasSuffix(string(ctx.Path()), "/leave") {
			if !g.DrainUpstream(u, leaveTimeout) {
				ctx.SetStatusCode(fasthttp.StatusAccepted)
			}
			return
		}
		g.Announce(u)
	}
}

// validateUpstream returns the first problem of an announcement, or "".
func validateUpstream(u ports.UpstreamAnnouncement) string {
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		return "address: want IP:port"
	}
	switch {
	case u.Service == "" || len(u.Service) > maxLabelLength:
		return "service: want 1 to 64 characters"
	case u.Version == "" || len(u.Version) > maxLabelLength:
		return "version: want 1 to 64 characters"
	case u.Slots < 1:
		return "slots: want at least 1"
	case u.Instance == "":
		return "instance: is missing"
	}
	return ""
}

// Announce applies an announcement: it updates the upstream of this host, or replaces it if the
// instance or address is a new one.
func (g *Gate) Announce(u ports.UpstreamAnnouncement) {
	slots, connections, queue := g.limitsOf(u)
	g.mu.Lock()
	if u.Instance == g.leftInstance {
		g.mu.Unlock()
		return // an announcement that was sent before the leave request arrived late
	}
	current := g.upstream
	if current == nil || current.ended() || current.announced.Instance != u.Instance || current.announced.Address != u.Address {
		g.upstream = newUpstream(u, slots, connections, g.options, queue, g.memory)
		if current != nil && current.announced.Instance != u.Instance {
			g.former = current // it may still finish its running requests
		}
		g.mu.Unlock()
		if current != nil {
			current.pool.close() // connections in use are closed at the end of their request
			g.recordCrashIfReplaced(current, u)
		}
		g.publish()
		return
	}
	previous := current.announced
	current.announcedAt = time.Now()
	current.announced.Slots, current.announced.MaxConnections = u.Slots, u.MaxConnections
	current.announced.Version, current.announced.Service = u.Version, u.Service
	current.deliver(current.limiter.SetSlots(time.Now(), slots))
	changed := current.announced != previous
	g.mu.Unlock()
	if changed {
		g.publish()
	}
}

// recordCrashIfReplaced records a crash of an instance that was replaced without leaving, if the
// next instance uses its address or its address accepts no connection. Otherwise both instances
// run for a while and the former one finishes its requests.
func (g *Gate) recordCrashIfReplaced(former *upstream, next ports.UpstreamAnnouncement) {
	g.mu.Lock()
	serving := !former.crashed && former.state == pb.EndpointState_ENDPOINT_STATE_SERVING
	g.mu.Unlock()
	if !serving {
		return
	}
	if former.announced.Address != next.Address {
		conn, err := net.DialTimeout("tcp", former.announced.Address, crashDialTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	g.recordCrash(former)
}

// limitsOf returns the limits of an upstream. slots and connections are the announced values,
// each capped by the limit that the service configures; connections is 110 if none is announced.
// queue is not announced: it is the limit of the service, or else that of GateOptions. Before the
// first configuration, slots is capped at 9 instead.
func (g *Gate) limitsOf(u ports.UpstreamAnnouncement) (slots, connections, queue int) {
	slots, connections, queue = u.Slots, u.MaxConnections, g.options.MaxQueue
	if connections <= 0 {
		connections = defaultMaxConnections
	}
	p := g.deps.Configuration.Projection()
	if p == nil {
		return min(slots, defaultSlots), connections, queue
	}
	l := p.Service(u.Service).GetLimits()
	if n := int(l.GetSlots()); n > 0 {
		slots = min(slots, n)
	}
	if n := int(l.GetMaxConnections()); n > 0 {
		connections = min(connections, n)
	}
	if n := int(l.GetMaxQueue()); n > 0 {
		queue = n
	}
	return slots, connections, queue
}

// DrainUpstream stops new requests for the upstream and waits for those that it has accepted. It
// returns false if they are not finished after the duration wait.
func (g *Gate) DrainUpstream(u ports.UpstreamAnnouncement, wait time.Duration) bool {
	g.mu.Lock()
	current := g.upstream
	if current == nil || current.announced.Instance != u.Instance {
		current = g.former
	}
	if current == nil || current.announced.Instance != u.Instance {
		g.mu.Unlock()
		return true
	}
	g.leftInstance = u.Instance
	if current.state == pb.EndpointState_ENDPOINT_STATE_SERVING {
		current.state = pb.EndpointState_ENDPOINT_STATE_LEAVING
	}
	g.mu.Unlock()
	g.publish()
	end := time.Now().Add(wait)
	for !g.markGoneIfDrained(current) {
		if !time.Now().Before(end) {
			return false
		}
		time.Sleep(leavePollInterval)
	}
	g.publish()
	current.pool.close()
	return true
}

// markGoneIfDrained marks the upstream as gone if it has no request left, and reports whether it did.
func (g *Gate) markGoneIfDrained(u *upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(u.running) > 0 || len(u.waiting) > 0 {
		return false
	}
	u.state = pb.EndpointState_ENDPOINT_STATE_GONE
	return true
}

// watchAnnouncements marks an upstream as gone once its last announcement is older than
// maxMissedAnnouncements intervals, and closes expired idle connections.
func (g *Gate) watchAnnouncements() {
	defer g.watcher.Done()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case now := <-ticker.C:
			g.mu.Lock()
			u := g.upstream
			late := u != nil && u.state == pb.EndpointState_ENDPOINT_STATE_SERVING &&
				now.Sub(u.announcedAt) > maxMissedAnnouncements*announceInterval
			g.mu.Unlock()
			if late {
				g.markGone(u)
			}
			if u != nil {
				u.pool.closeIdle(func(string) bool { return true })
			}
		}
	}
}

// markGone stops new requests for an upstream that is unreachable and rejects its queue.
func (g *Gate) markGone(u *upstream) {
	g.mu.Lock()
	changed := u.state == pb.EndpointState_ENDPOINT_STATE_SERVING
	if changed {
		u.state = pb.EndpointState_ENDPOINT_STATE_GONE
		u.rejectWaiting()
	}
	g.mu.Unlock()
	if changed {
		g.publish()
	}
}

// recordCrash records that the upstream crashed and makes its requests in flight suspects. It
// returns after the suspects were passed on for the other gates, so that the call that detected
// the crash fails only then. Queued calls, which were not sent to the upstream, are rejected before.
func (g *Gate) recordCrash(u *upstream) {
	now := time.Now()
	g.mu.Lock()
	if u.crashed {
		g.mu.Unlock()
		return
	}
	u.crashed = true
	u.state = pb.EndpointState_ENDPOINT_STATE_GONE
	records := g.quarantine.Crashed(now, u.announced.Service, u.inFlight(now))
	u.rejectWaiting()
	g.mu.Unlock()
	u.pool.close()
	if len(records) > 0 && g.deps.Suspects != nil {
		g.deps.Suspects.Spread(records)
	}
	g.publish()
}

// rejectWaiting rejects the queued requests, none of which was sent to the upstream. The lock
// of the gate must be held.
func (u *upstream) rejectWaiting() {
	events := make([]limit.Event, 0, len(u.waiting))
	for id := range u.waiting {
		events = append(events, limit.Event{ID: id, Decision: decisionUpstreamGone})
	}
	for _, e := range events {
		u.limiter.Cancel(time.Now(), e.ID)
	}
	u.deliver(events)
}

// publish publishes the current state of the upstream.
func (g *Gate) publish() {
	g.publishMu.Lock()
	defer g.publishMu.Unlock()
	g.mu.Lock()
	u := g.upstream
	if u == nil {
		g.mu.Unlock()
		return
	}
	state, announced := u.state, u.announced
	if (g.stopping || g.leaving) && state == pb.EndpointState_ENDPOINT_STATE_SERVING {
		state = pb.EndpointState_ENDPOINT_STATE_LEAVING
	}
	g.mu.Unlock()
	g.deps.Local.Publish(state, announced)
}
