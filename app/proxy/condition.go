package proxy

import (
	"context"
	"time"

	"github.com/rattanfield/rattanfield/core/condition"
)

// conditionInterval is the interval at which the condition of the upstream is checked. It is small
// compared with the time that requests lose on a slow upstream.
const conditionInterval = 100 * time.Millisecond

// Run reports changes of the upstream's condition (slow, failing or normal) to
// other nodes, and follows its slow start and its learned limit, until the context is done. It returns nil.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(conditionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			g.reportCondition(now)
			g.followCold(ctx, now)
			g.followCapacity(now)
		}
	}
}

func (g *Gate) reportCondition(now time.Time) {
	var next condition.Condition
	changed, instance := false, ""
	g.mu.Lock()
	if u := g.activeUpstream; u != nil {
		next, changed = u.condition.Next(now, u.queue.MeanRunningTime(now))
		instance = u.announcement.GetInstance()
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	_ = g.logger.Log("event", "upstream condition", "instance", instance, "slow", next.Slow, "failing_percent", next.Failing)
	g.options.Report(next)
}
