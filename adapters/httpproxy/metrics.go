package httpproxy

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxLabels bounds the histograms of one side, because callers choose the tenants.
	maxLabels  = 64
	otherLabel = "other"
	noneLabel  = "none"
)

type labels struct{ tenant, class string }

// callMetrics counts calls by outcome and records latency per tenant and class.
type callMetrics struct {
	set  *metrics.Set
	side string

	mu       sync.RWMutex
	latency  map[labels]*metrics.Histogram
	rejected map[Reason]*metrics.Counter
	answered *metrics.Counter
	retries  *metrics.Counter
	reroutes *metrics.Counter // label value redirect
}

func newCallMetrics(set *metrics.Set, side string) *callMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	m := &callMetrics{
		set: set, side: side,
		latency:  make(map[labels]*metrics.Histogram),
		rejected: make(map[Reason]*metrics.Counter),
	}
	m.answered = set.GetOrCreateCounter(fmt.Sprintf(`rattanfield_calls_total{side=%q,reason="answered"}`, side))
	m.retries = set.GetOrCreateCounter(fmt.Sprintf(`rattanfield_call_attempts_total{side=%q,kind="retry"}`, side))
	m.reroutes = set.GetOrCreateCounter(fmt.Sprintf(`rattanfield_call_attempts_total{side=%q,kind="redirect"}`, side))
	for reason := range reasonStatuses {
		m.rejected[reason] = set.GetOrCreateCounter(fmt.Sprintf(`rattanfield_calls_total{side=%q,reason=%q}`, side, string(reason)))
	}
	return m
}

func (m *callMetrics) observe(c *call, r *rejection, latency time.Duration) {
	if r != nil {
		m.rejected[r.reason].Inc()
		return
	}
	m.answered.Inc()
	m.histogram(labels{tenant: c.tenant, class: c.class}).Update(latency.Seconds())
}

func (m *callMetrics) histogram(l labels) *metrics.Histogram {
	m.mu.RLock()
	h := m.latency[l]
	full := len(m.latency) >= maxLabels
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	other := labels{tenant: otherLabel, class: otherLabel}
	if full && l != other {
		return m.histogram(other)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h = m.latency[l]; h == nil {
		h = m.set.GetOrCreateHistogram(fmt.Sprintf(`rattanfield_call_seconds{side=%q,tenant=%q,class=%q}`,
			m.side, labelValue(l.tenant), labelValue(l.class)))
		m.latency[l] = h
	}
	return h
}

// labelValue replaces characters of a caller-supplied value that would break the exposition
// format of the metrics.
func labelValue(v string) string {
	if v == "" {
		return noneLabel
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' || r == '"' || r == '\\' || r == '{' || r == '}' {
			return '_'
		}
		return r
	}, v)
}
