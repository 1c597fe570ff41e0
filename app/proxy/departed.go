package proxy

import (
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// maxHeld bounds the announcements that are held back. An upstream sends one in each announcement interval; a newer one of a
// process takes the place of the older one.
const maxHeld = 16

// heldAnnouncements are the announcements of upstreams that serve which have arrived before SetDepartures.
type heldAnnouncements struct {
	released bool // SetDepartures has been called
	pending  []heldAnnouncement
}

type heldAnnouncement struct {
	announcement *pb.Announcement
	at           time.Time
}

// hold holds an announcement back and reports whether it does. Announcements of upstreams that leave are never held back.
func (g *Gate) hold(now time.Time, a *pb.Announcement) bool {
	if !g.options.AwaitDepartures || a.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &g.held
	if h.released {
		return false
	}
	for i, o := range h.pending {
		if sameProcess(o.announcement, a) {
			if a.GetSeq() > o.announcement.GetSeq() {
				h.pending[i] = heldAnnouncement{a, now}
			}
			return true
		}
	}
	if len(h.pending) < maxHeld {
		h.pending = append(h.pending, heldAnnouncement{a, now})
	}
	return true
}

// DeparturesKnown reports whether SetDepartures has been called.
func (g *Gate) DeparturesKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held.released
}

// SetDepartures tells which upstreams on this host have left according to announcements that earlier processes of this
// node have acknowledged, and applies the announcements that were held back, except for those that are out of date.
func (g *Gate) SetDepartures(departures []*pb.Departure) {
	g.mu.Lock()
	for _, d := range departures {
		g.processes.RecordDeparture(d)
	}
	pending := g.held.pending
	g.held = heldAnnouncements{released: true}
	g.mu.Unlock()
	now := time.Now()
	for _, h := range pending {
		if g.options.LostAfter == 0 || now.Sub(h.at) < g.options.LostAfter {
			g.apply(now, h.announcement)
		}
	}
	_ = g.logger.Log("event", "departures known", "departures", len(departures), "held", len(pending))
}
