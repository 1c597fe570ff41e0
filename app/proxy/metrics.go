package proxy

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxLabels bounds the number of histograms, because operators choose the names of routes.
// Further routes share the label "other".
const maxLabels = 256

// Metrics counts the requests that pass through the entry and gate of a node.
type Metrics struct {
	set           *metrics.Set
	organisations *organisationMetrics

	mu        sync.RWMutex
	counters  map[string]*metrics.Counter
	latencies map[string]*metrics.Histogram
}

// NewMetrics returns metrics that register their counters and histograms in the set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, organisations: newOrganisationMetrics(set), counters: make(map[string]*metrics.Counter), latencies: make(map[string]*metrics.Histogram)}
}

// count counts a request by its reason; side is entry or gate.
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

// countStopDecision counts a decision about a request that was read during a stop.
func (m *Metrics) countStopDecision(side, decision string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanfield_stop_requests_total{side=%q,decision=%q}`, side, decision)).Inc()
}

// countUpstreamEnd counts an upstream that ended while it ran requests.
func (m *Metrics) countUpstreamEnd() {
	m.set.GetOrCreateCounter("rattanfield_upstream_ends_total").Inc()
}

// observe counts an answered request and records its latency.
func (m *Metrics) observe(side, route string, latency time.Duration) {
	m.count(side, "answered")
	key := side + " " + route
	m.mu.RLock()
	h, full := m.latencies[key], len(m.latencies) >= maxLabels
	m.mu.RUnlock()
	if h == nil {
		if full {
			route = "other"
		}
		m.mu.Lock()
		h = m.set.GetOrCreateHistogram(fmt.Sprintf(`rattanfield_request_seconds{side=%q,route=%q}`, side, route))
		m.latencies[key] = h
		if full {
			delete(m.latencies, key)
		}
		m.mu.Unlock()
	}
	h.Update(latency.Seconds())
}

// countColdChange counts the beginning or the end of a slow start of the upstream, as far as the gate knows of it.
func (m *Metrics) countColdChange(cold bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanfield_cold_changes_total{cold="%t"}`, cold)).Inc()
}

// countColdProbe counts a health probe that was sent to find out whether the upstream is cold.
func (m *Metrics) countColdProbe(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanfield_cold_probes_total{result=%q}`, result)).Inc()
}
