package carry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxLabels bounds the histograms; names of routes come from operators.
const maxLabels = 256

// Metrics of the requests that a node carries.
type Metrics struct {
	set *metrics.Set

	mu       sync.RWMutex
	counters map[string]*metrics.Counter
	times    map[string]*metrics.Histogram
}

// NewMetrics registers in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, counters: make(map[string]*metrics.Counter), times: make(map[string]*metrics.Histogram)}
}

func (m *Metrics) count(side, reason string) {
	key := side + " " + reason
	m.mu.RLock()
	c := m.counters[key]
	m.mu.RUnlock()
	if c == nil {
		m.mu.Lock()
		c = m.set.GetOrCreateCounter(fmt.Sprintf(`rattanfield_requests_total{side=%q,reason=%q}`, side, reason))
		m.counters[key] = c
		m.mu.Unlock()
	}
	c.Inc()
}

func (m *Metrics) observe(side, route string, latency time.Duration) {
	m.count(side, "answered")
	key := side + " " + route
	m.mu.RLock()
	h, full := m.times[key], len(m.times) >= maxLabels
	m.mu.RUnlock()
	if h == nil {
		if full {
			route = "other"
		}
		m.mu.Lock()
		h = m.set.GetOrCreateHistogram(fmt.Sprintf(`rattanfield_request_seconds{side=%q,route=%q}`, side, route))
		m.times[key] = h
		if full {
			delete(m.times, key)
		}
		m.mu.Unlock()
	}
	h.Update(latency.Seconds())
}
