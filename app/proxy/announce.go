package proxy

import (
	"time"

	"github.com/rattanfield/rattanfield/core/drain"
	"github.com/rattanfield/rattanfield/core/nodetable"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Announce applies an announcement or a leave message of an upstream on this host. A
// change of the current upstream is logged and published to other nodes. One that is not
// valid changes nothing: it comes from another writer. Announce returns what the announcement
// says about processes that leave, or nil if there is nothing.
//
// Until SetDepartures, announcements of upstreams that serve are held back.
func (g *Gate) Announce(a *pb.Announcement) *pb.Departure {
	now := time.Now()
	if err := nodetable.CheckAnnouncement(a, now.UnixMilli()); err != nil {
		_ = g.logger.Log("event", "announcement ignored", "instance", a.GetInstance(), "err", err)
		return nil
	}
	if g.hold(now, a) {
		return nil
	}
	g.apply(now, a)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.processes.Departure(a)
}

// apply applies a valid announcement.
func (g *Gate) apply(now time.Time, a *pb.Announcement) {
	g.mu.Lock()
	changed := g.processes.Apply(a, now.UnixMilli())
	current, before := g.processes.Current(), g.activeUpstream
	if u := g.activeUpstream; u != nil && sameProcess(u.announcement, a) {
		if u.unreachable {
			g.assumeCold(now) // the process may have started again
		}
		u.unreachable, u.lastAnnounced = false, now
	}
	if changed {
		g.applyAnnouncement(now, current)
	}
	if u := g.activeUpstream; u != nil && sameProcess(u.announcement, a) && u.closesAt.IsZero() && a.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING {
		u.closesAt = now.Add(g.drainTime()) // an out-of-date announcement, but the process does leave
	}
	if current == a {
		g.learnCold(now, a, g.activeUpstream != before)
	}
	published := current
	if changed {
		published = g.withColdLeft(now, current)
	}
	g.mu.Unlock()
	if changed {
		_ = g.logger.Log("event", "upstream", "instance", current.GetInstance(), "service", current.GetService(), "version", current.GetVersion(),
			"state", current.GetState(), "seq", current.GetSeq(), "born", current.GetBornUnixMs())
		g.publish(published)
	}
}

// drainTime is how long the gate still starts requests on an upstream that leaves.
func (g *Gate) drainTime() time.Duration {
	return time.Duration(float64(g.options.DrainBound) * drainShare)
}

// sameProcess reports whether b is about the process of a. The birth time of b may be missing.
func sameProcess(a, b *pb.Announcement) bool {
	return a.GetInstance() == b.GetInstance() && (a.GetBornUnixMs() == b.GetBornUnixMs() || b.GetBornUnixMs() == 0)
}

// applyAnnouncement makes a the current announcement and replaces the upstream if
// it is a new process. The caller must hold g.mu.
func (g *Gate) applyAnnouncement(now time.Time, a *pb.Announcement) {
	u := g.activeUpstream
	if u == nil || u.announcement.GetInstance() != a.GetInstance() || u.announcement.GetBornUnixMs() != a.GetBornUnixMs() {
		if u != nil {
			u.notify(u.queue.Clear(), reasonOtherUpstream)
			g.noticeEnd(u, "replaced", u.unanswered.recent(now))
		}
		u = newUpstream(a, now)
		g.activeUpstream = u
		if a.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING {
			u.closesAt = now // the leave may have been acknowledged before this node started
		}
	}
	u.announcement = a
	u.capacity.Announce(int(a.GetSlots()), a.GetVersion())
	u.applyCapacity(now)
	if a.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING && u.closesAt.IsZero() {
		u.closesAt = now.Add(g.drainTime())
		time.AfterFunc(g.drainTime(), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			u.notify(u.queue.Clear(), reasonLeaving)
		})
	}
}

// Stop publishes that the upstream is leaving, because its node stops. Later
// announcements are not published. Requests are admitted as the schedule of the stop allows.
func (g *Gate) Stop(s drain.Stop) {
	g.stop.Store(&s)
	g.mu.Lock()
	current := g.processes.Current()
	g.mu.Unlock()
	if current != nil && current.GetState() == pb.UpstreamState_UPSTREAM_STATE_SERVING {
		leaving := &pb.Announcement{
			Instance: current.GetInstance(), Service: current.GetService(), Version: current.GetVersion(), Slots: current.GetSlots(),
			State: pb.UpstreamState_UPSTREAM_STATE_LEAVING, Stopping: true,
		}
		g.publish(leaving)
	}
}

// publish tells other nodes of a change of the upstream. After Stop they know that it is leaving, so that one that
// serves is not published.
func (g *Gate) publish(a *pb.Announcement) {
	g.publishing.Lock()
	defer g.publishing.Unlock()
	if g.stop.Load() == nil || a.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING {
		g.options.Publish(a)
	}
}
