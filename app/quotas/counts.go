package quotas

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattanfield/rattanfield/core/quota"
)

// maxNamed bounds the organisations with metrics of their own: the first ones that reached their quota at this node. The others
// are counted together as "other".
const maxNamed = 32

// counts counts decisions by organisation. The lock of the store guards it.
type counts struct {
	set   *metrics.Set
	store *Store
	named map[quota.ID]*count
	other *count
}

type count struct{ admitted, rejected *metrics.Counter }

func newCounts(set *metrics.Set, s *Store) counts {
	set.NewGauge("rattanfield_quota_limited_organisations", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(len(s.names))
	})
	set.NewGauge("rattanfield_quota_totals_age_seconds", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.applied {
			return -1
		}
		return (s.now() - s.appliedAt).Seconds()
	})
	return counts{set: set, store: s, named: make(map[quota.ID]*count)}
}

func (c *counts) count(name string, id quota.ID, admitted bool) {
	n := c.named[id]
	if n == nil && !admitted && len(c.named) < maxNamed {
		n = c.newCount(name)
		c.named[id] = n
		c.set.NewGauge(fmt.Sprintf(`rattanfield_quota_capacity{organisation=%q}`, name), func() float64 {
			c.store.mu.Lock()
			defer c.store.mu.Unlock()
			return c.store.limiter.State(id).Capacity
		})
	}
	if n == nil {
		if c.other == nil {
			c.other = c.newCount("other")
		}
		n = c.other
	}
	if admitted {
		n.admitted.Inc()
	} else {
		n.rejected.Inc()
	}
}

func (c *counts) newCount(organisation string) *count {
	counter := func(decision string) *metrics.Counter {
		return c.set.GetOrCreateCounter(fmt.Sprintf(`rattanfield_quota_requests_total{organisation=%q,decision=%q}`, organisation, decision))
	}
	return &count{admitted: counter("admitted"), rejected: counter("rejected")}
}
