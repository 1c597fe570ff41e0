package proxy

import (
	"fmt"
	"time"

	"github.com/rattanfield/rattanfield/core/capacity"
)

// loggedLimitChange is the change of the learned limit from which it is logged.
const loggedLimitChange = 2

// shownCapacity is what log and metrics show of the learned limit of an upstream.
type shownCapacity struct {
	logged int // limit; 0: none yet, which stands for the announced slots
	limit  int
	reason capacity.Reason
	trials uint64
}

// applyCapacity puts the learned limit in force, which is at most the announced slots. The caller must hold the mutex of
// the gate.
func (u *upstream) applyCapacity(now time.Time) {
	u.notify(u.queue.SetSlots(now, u.capacity.InForce()), "")
}

// followCapacity lets the learned limit of the upstream follow the time, and shows changes.
func (g *Gate) followCapacity(now time.Time) {
	g.mu.Lock()
	u := g.activeUpstream
	if u == nil {
		g.mu.Unlock()
		return
	}
	if p := g.coldPolicy(u); p.bound.Applies() && g.cold.tracker.Left(now, p.coldStart) > 0 {
		u.capacity.SlowStart()
	}
	u.capacity.Tick(now)
	u.applyCapacity(now)
	shown, a := u.capacityShown, u.announcement
	slots := max(1, int(a.GetSlots()))
	limit, reason := u.capacity.Limit()
	trials, ended := u.capacity.Trials(), uint64(0)
	for _, n := range trials {
		ended += n
	}
	before := shown.logged
	if before == 0 {
		before = slots
	}
	logged := max(limit-before, before-limit) >= loggedLimitChange
	next := shownCapacity{logged: shown.logged, limit: limit, reason: reason, trials: ended}
	if logged {
		next.logged = limit
	}
	u.capacityShown = next
	if next != shown {
		g.metrics.setCapacity(limit, reason, trials)
	}
	g.mu.Unlock()
	if logged {
		_ = g.logger.Log("event", "capacity limit", "instance", a.GetInstance(), "limit", limit, "before", before, "slots", slots, "reason", reason)
	}
}

// setCapacity sets the learned limit of the upstream, the reason of its last change and the number of its ended trials.
func (m *Metrics) setCapacity(limit int, last capacity.Reason, trials map[string]uint64) {
	m.set.GetOrCreateGauge("rattanfield_capacity_limit", nil).Set(float64(limit))
	for _, r := range capacity.Reasons {
		value := 0.0
		if r == last {
			value = 1
		}
		m.set.GetOrCreateGauge(fmt.Sprintf(`rattanfield_capacity_last_change{reason=%q}`, r), nil).Set(value)
	}
	for result, n := range trials {
		m.set.GetOrCreateGauge(fmt.Sprintf(`rattanfield_capacity_trials{result=%q}`, result), nil).Set(float64(n))
	}
}
