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
	renewalInterval = time.Second
	missedRenewals  = 3
	watchInterval   = 250 * time.Millisecond
	// leaveWait is how long a leave request waits for the drain before it answers
	// "still draining"; the upstream then asks again.
	leaveWait = 800 * time.Millisecond
	leavePoll = 5 * time.Millisecond
)

// NewAnnounceHandler serves POST /v1/announce and POST /v1/leave for the
// upstream of this host; both carry ports.Upstream as JSON. Leave answers 200
// when every accepted request is finished, so that the upstream may exit, and
// 202 when it must ask again.
func NewAnnounceHandler(g *Gate) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !ctx.IsPost() {
			ctx.Error("use POST", fasthttp.StatusMethodNotAllowed)
			return
		}
		var u ports.Upstream
		if err := json.Unmarshal(ctx.PostBody(), &u); err != nil {
			ctx.Error("body: "+err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if problem := validateUpstream(u); problem != "" {
			ctx.Error(problem, fasthttp.StatusBadRequest)
			return
		}
		if strings.HasSuffix(string(ctx.Path()), "/leave") {
			if !g.UpstreamLeaves(u, leaveWait) {
				ctx.SetStatusCode(fasthttp.StatusAccepted)
			}
			return
		}
		g.Announce(u)
	}
}

func validateUpstream(u ports.Upstream) string {
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

// Announce renews the upstream of this host or takes a new one.
func (g *Gate) Announce(u ports.Upstream) {
	slots, connections, queue := g.bounds(u)
	g.mu.Lock()
	if u.Instance == g.leftInstance {
		g.mu.Unlock()
		return // a renewal that was sent before the leave request
	}
	current := g.upstream
	if current == nil || current.ended() || current.announced.Instance != u.Instance || current.announced.Address != u.Address {
		g.upstream = newUpstream(u, slots, connections, g.options, queue)
		if current != nil && current.announced.Instance != u.Instance {
			g.former = current // it may still finish what it runs
		}
		g.mu.Unlock()
		if current != nil {
			current.pool.close() // connections in use end with their request
			g.replaced(current, u)
		}
		g.publish()
		return
	}
	previous := current.announced
	current.renewed = time.Now()
	current.announced.Slots, current.announced.MaxConnections = u.Slots, u.MaxConnections
	current.announced.Version, current.announced.Service = u.Version, u.Service
	current.deliver(current.limiter.SetSlots(time.Now(), slots))
	changed := current.announced != previous
	g.mu.Unlock()
	if changed {
		g.publish()
	}
}

// replaced looks whether the instance that another one follows has crashed. It
// has when its successor took its address, or when its address is closed.
// Otherwise both run for a moment, and the former one finishes its requests.
func (g *Gate) replaced(former *upstream, next ports.Upstream) {
	g.mu.Lock()
	serving := !former.crashed && former.state == pb.EndpointState_ENDPOINT_STATE_SERVING
	g.mu.Unlock()
	if !serving {
		return
	}
	if former.announced.Address != next.Address {
		conn, err := net.DialTimeout("tcp", former.announced.Address, crashDial)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	g.crash(former)
}

// bounds of an upstream: what it announces is a hint, the configuration limits it.
func (g *Gate) bounds(u ports.Upstream) (slots, connections, queue int) {
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

// UpstreamLeaves stops new work for the upstream and reports true when what was accepted is finished.
func (g *Gate) UpstreamLeaves(u ports.Upstream, wait time.Duration) bool {
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
	for !g.isDrained(current) {
		if !time.Now().Before(end) {
			return false
		}
		time.Sleep(leavePoll)
	}
	g.publish()
	current.pool.close()
	return true
}

func (g *Gate) isDrained(u *upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(u.running) > 0 || len(u.waiting) > 0 {
		return false
	}
	u.state = pb.EndpointState_ENDPOINT_STATE_GONE
	return true
}

// watchRenewals notices an upstream that stopped announcing itself.
func (g *Gate) watchRenewals() {
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
				now.Sub(u.renewed) > missedRenewals*renewalInterval
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

// markGone stops new work for an upstream that is not reachable.
func (g *Gate) markGone(u *upstream) {
	g.mu.Lock()
	changed := u.state == pb.EndpointState_ENDPOINT_STATE_SERVING
	if changed {
		u.state = pb.EndpointState_ENDPOINT_STATE_GONE
		u.dropWaiting()
	}
	g.mu.Unlock()
	if changed {
		g.publish()
	}
}

// crash records that the upstream crashed, makes its requests in flight
// suspects and tells the other gates before any caller gets its failure.
func (g *Gate) crash(u *upstream) {
	now := time.Now()
	g.mu.Lock()
	if u.crashed {
		g.mu.Unlock()
		return
	}
	u.crashed = true
	u.state = pb.EndpointState_ENDPOINT_STATE_GONE
	records := g.quarantine.Crashed(now, u.announced.Service, u.inFlight(now))
	u.dropWaiting()
	g.mu.Unlock()
	u.pool.close()
	if len(records) > 0 && g.deps.Suspects != nil {
		g.deps.Suspects.Spread(records)
	}
	g.publish()
}

// dropWaiting rejects what is queued; none of it was sent to the upstream.
func (u *upstream) dropWaiting() {
	events := make([]limit.Event, 0, len(u.waiting))
	for id := range u.waiting {
		events = append(events, limit.Event{ID: id, Decision: upstreamLost})
	}
	for _, e := range events {
		u.limiter.Cancel(time.Now(), e.ID)
	}
	u.deliver(events)
}

// publish makes the present state of the upstream known.
func (g *Gate) publish() {
	g.publishing.Lock()
	defer g.publishing.Unlock()
	g.mu.Lock()
	u := g.upstream
	if u == nil {
		g.mu.Unlock()
		return
	}
	state, announced := u.state, u.announced
	if g.leaving && state == pb.EndpointState_ENDPOINT_STATE_SERVING {
		state = pb.EndpointState_ENDPOINT_STATE_LEAVING
	}
	g.mu.Unlock()
	g.deps.Local.Publish(state, announced)
}
