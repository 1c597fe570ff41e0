package carry

import (
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Announce takes what an upstream of this host says of itself.
func (g *Gate) Announce(a *pb.Announcement) {
	now := time.Now()
	g.mu.Lock()
	changed := g.known.Apply(a, now.UnixMilli())
	current := g.known.Current()
	if u := g.upstream; u != nil && isProcess(u.announced, a) {
		u.lost, u.renewed = false, now
	}
	if changed {
		g.adopt(now, current)
	}
	if u := g.upstream; u != nil && isProcess(u.announced, a) && u.cutAt.IsZero() && a.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING {
		u.cutAt = now.Add(g.drainTime()) // its announcement came late, its departure counts all the same
	}
	stopping := g.stopping
	g.mu.Unlock()
	if changed {
		_ = g.logger.Log("event", "upstream", "instance", current.GetInstance(), "service", current.GetService(), "version", current.GetVersion(),
			"state", current.GetState(), "seq", current.GetSeq(), "born", current.GetBornUnixMs())
		if !stopping { // other nodes have been told that the upstream is leaving
			g.options.Publish(current)
		}
	}
}

func (g *Gate) drainTime() time.Duration {
	return time.Duration(float64(g.options.DrainBound) * drainShare)
}

func isProcess(a, b *pb.Announcement) bool {
	return a.GetInstance() == b.GetInstance() && (a.GetBornUnixMs() == b.GetBornUnixMs() || b.GetBornUnixMs() == 0)
}

// adopt is called with the lock held.
func (g *Gate) adopt(now time.Time, a *pb.Announcement) {
	u := g.upstream
	if u == nil || u.announced.GetInstance() != a.GetInstance() || u.announced.GetBornUnixMs() != a.GetBornUnixMs() {
		if u != nil {
			u.deliver(u.queue.Clear(), reasonMoved)
		}
		u = newUpstream(a, now)
		g.upstream = u
		if a.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING {
			u.cutAt = now // the departure may have been acknowledged before this node started
		}
	}
	u.announced = a
	u.deliver(u.queue.SetSlots(now, int(a.GetSlots())), "")
	if a.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING && u.cutAt.IsZero() {
		u.cutAt = now.Add(g.drainTime())
		time.AfterFunc(g.drainTime(), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			u.deliver(u.queue.Clear(), reasonLeaving)
		})
	}
}

// Stop makes the node tell others that its upstream is leaving.
func (g *Gate) Stop() {
	g.mu.Lock()
	g.stopping = true
	current := g.known.Current()
	g.mu.Unlock()
	if current != nil && current.GetState() == pb.UpstreamState_UPSTREAM_STATE_SERVING {
		leaving := &pb.Announcement{
			Instance: current.GetInstance(), Service: current.GetService(), Version: current.GetVersion(), Slots: current.GetSlots(),
			State: pb.UpstreamState_UPSTREAM_STATE_LEAVING,
		}
		g.options.Publish(leaving)
	}
}
