package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxReports bounds the organisations of one report.
const maxReports = 512

// Report returns what the control host does not know yet: values that have changed notably, of urgent organisations at most every
// UrgentInterval and of the others every second. An organisation with a zero Demand has no requests left. With whole, it
// returns everything that the node holds.
func (l *Limiter) Report(now time.Duration, whole bool) []Report {
	l.sent = nil
	urgent, calm := whole || now-l.lastUrgent >= UrgentInterval, whole || now-l.lastCalm >= calmInterval
	if !urgent && !calm {
		return nil
	}
	if calm {
		l.lastCalm = now
	}
	var out []Report
	for id, o := range l.organisation {
		l.advance(o, now)
		if whole {
			o.reported = Demand{}
		}
		d := l.demandOf(o, now)
		// Another node whose capacity does not suffice waits for what this one has given up.
		if (calm || d.Urgent || o.others.Urgent) && l.changed(o, d) {
			out = append(out, Report{ID: id, Demand: d})
		}
		if d == (Demand{}) && o.reported == (Demand{}) && !o.others.Limited && o.total == 0 {
			delete(l.organisation, id)
		}
	}
	if len(out) > maxReports {
		slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(b.Capacity, a.Capacity) })
		out = out[:maxReports]
	}
	if len(out) > 0 {
		l.lastUrgent = now
	}
	l.sent = make(map[ID]Demand, len(out))
	for _, r := range out {
		l.sent[r.ID] = r.Demand
	}
	return out
}

// HasUrgent reports whether a report would contain an urgent organisation.
func (l *Limiter) HasUrgent(now time.Duration) bool {
	for _, o := range l.organisation {
		l.advance(o, now)
		if d := l.demandOf(o, now); d.Urgent && l.changed(o, d) {
			return true
		}
	}
	return false
}

// Acknowledge records that a control host has the last report.
func (l *Limiter) Acknowledge() {
	for id, d := range l.sent {
		if o := l.organisation[id]; o != nil {
			o.reported = d
		}
	}
	l.sent = nil
}

// demandOf returns the values to report; zero if the organisation has had no request within the window.
func (l *Limiter) demandOf(o *organisation, now time.Duration) Demand {
	if o.total == 0 && o.demand*l.settings.Window.Seconds() < idleDemand {
		o.capacity = 0
		return Demand{}
	}
	return Demand{
		Rate: l.rate(o), Capacity: o.held(), Used: float64(o.total), Allowance: l.allowance(o.limit), Nodes: 1, Limited: o.limited || l.full(o, now), Urgent: o.limited || l.urgent(o, l.capacityOf(o, now)),
	}
}

// idleDemand is the number of requests in a window below which a node without admitted requests reports no demand.
const idleDemand = 0.1

func (l *Limiter) changed(o *organisation, d Demand) bool {
	if (d.Nodes == 0) != (o.reported.Nodes == 0) || d.Limited != o.reported.Limited {
		return true
	}
	if d.Nodes == 0 {
		return false
	}
	part, least := notable, leastNotable
	if d.Urgent || d.Limited || o.others.Urgent {
		part, least = notableUrgent, leastUrgent
	}
	even := l.quota(o.limit) / float64(l.nodes)
	far := func(x, y float64) bool { return math.Abs(x-y) > max(least, part*max(y, even)) }
	return far(d.Capacity, o.reported.Capacity) || far(d.Used, o.reported.Used) ||
		math.Abs(d.Rate-o.reported.Rate) > max(least/l.settings.Window.Seconds(), part*max(o.reported.Rate, even/l.settings.Window.Seconds()))
}

// State describes what this node knows of an organisation, for log lines.
type State struct {
	Capacity, Used, Demand float64
	Others                 Demand // of the other nodes
	SnapshotAge            time.Duration
	Heard                  bool // there was a snapshot
}

// State returns what this node knows of an organisation as of the last call of Admit.
func (l *Limiter) State(id ID) State {
	o := l.organisation[id]
	if o == nil {
		return State{}
	}
	return State{
		Capacity: l.capacityOf(o, o.decayedAt), Used: float64(o.total), Demand: o.demand, Others: o.others, Heard: o.heard, SnapshotAge: o.decayedAt - o.heardAt,
	}
}
