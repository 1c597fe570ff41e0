package carry

import (
	"context"
	"time"

	"github.com/rattanfield/rattanfield/core/condition"
)

// conditionInterval is how soon a change of the upstream's condition is noticed; it is a small part
// of the time that slow upstreams cost.
const conditionInterval = 100 * time.Millisecond

// Run tells other nodes when the upstream becomes slow or fails, and when it does
// as usual again, until the context ends.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(conditionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			g.reportCondition(now)
		}
	}
}

func (g *Gate) reportCondition(now time.Time) {
	var next condition.Condition
	changed, instance := false, ""
	g.mu.Lock()
	if u := g.upstream; u != nil {
		next, changed = u.condition.Next(now, u.queue.MeanRunningTime(now))
		instance = u.announced.GetInstance()
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	_ = g.logger.Log("event", "upstream condition", "instance", instance, "slow", next.Slow, "failing_percent", next.Failing)
	g.options.Report(next)
}
