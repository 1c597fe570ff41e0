package proxy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxOrganisationLabels bounds the organisations with metrics of their own. The others share the label "other".
	maxOrganisationLabels = 32
	// organisationReview is the number of requests after which the organisations with most requests are found anew.
	organisationReview = 4096
	// maxCountedOrganisations bounds the counts between two reviews. It is above the 10,000 organisations of the design target.
	maxCountedOrganisations = 1 << 14
	otherOrganisations      = "other"
)

// topNames finds the names that occur most. Older occurrences count less.
type topNames struct {
	counts map[string]int
	top    map[string]bool
	added  int // since the last review
}

// add counts a name. It returns whether the name is among the top ones, and the names that no longer are.
func (t *topNames) add(name string) (isTop bool, dropped []string) {
	if len(t.counts) < maxCountedOrganisations || t.counts[name] > 0 {
		t.counts[name]++
	}
	if len(t.top) < maxOrganisationLabels {
		t.top[name] = true
	}
	if t.added++; t.added >= organisationReview {
		dropped = t.review()
	}
	return t.top[name], dropped
}

// review replaces the top names by those with more than twice their occurrences, so that names with about as many do not
// alternate, and halves all counts.
func (t *topNames) review() (dropped []string) {
	t.added = 0
	others := slices.SortedFunc(maps.Keys(t.counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.counts[b], t.counts[a]), cmp.Compare(a, b))
	})
	others = slices.DeleteFunc(others, func(name string) bool { return t.top[name] })
	top := slices.SortedFunc(maps.Keys(t.top), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.counts[a], t.counts[b]), cmp.Compare(a, b))
	})
	for i := range min(len(top), len(others)) {
		if t.counts[others[i]] <= 2*t.counts[top[i]] {
			break
		}
		delete(t.top, top[i])
		t.top[others[i]] = true
		dropped = append(dropped, top[i])
	}
	for name, n := range t.counts {
		if t.counts[name] = n / 2; n < 2 {
			delete(t.counts, name)
		}
	}
	return dropped
}

// organisationMetrics holds the metrics of the organisations with most requests.
type organisationMetrics struct {
	set *metrics.Set

	mu    sync.Mutex
	names topNames
}

func newOrganisationMetrics(set *metrics.Set) *organisationMetrics {
	return &organisationMetrics{set: set, names: topNames{counts: make(map[string]int), top: make(map[string]bool)}}
}

func latencyName(label string) string {
	return fmt.Sprintf(`rattanfield_organisation_request_seconds{organisation=%q}`, label)
}

func rejectionName(label string) string {
	return fmt.Sprintf(`rattanfield_organisation_rejections_total{organisation=%q}`, label)
}

// label returns the label of an organisation and removes the metrics of those that have one no longer. The caller must
// hold the mutex.
func (m *organisationMetrics) label(organisation string) string {
	top, dropped := m.names.add(organisation)
	for _, name := range dropped {
		m.set.UnregisterMetric(latencyName(name))
		m.set.UnregisterMetric(rejectionName(name))
	}
	if !top {
		return otherOrganisations
	}
	return organisation
}

// answered records an answered request; "" stands for no organisation.
func (m *organisationMetrics) answered(organisation string, latency time.Duration) {
	if organisation == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set.GetOrCreateHistogram(latencyName(m.label(organisation))).Update(latency.Seconds())
}

// rejected counts a request that was not answered by an upstream; "" stands for no organisation.
func (m *organisationMetrics) rejected(organisation string) {
	if organisation == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set.GetOrCreateCounter(rejectionName(m.label(organisation))).Inc()
}
