// Package fairness divides what is short among organisations: each gets at most the max-min fair share, which is the
// largest level up to which all demands can be served together. Demands below the level are served in full, and only
// organisations above it are rejected, down to the level. The package does no I/O and reads no clock.
package fairness

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the half-life of counted demand. Until a burst is noticed, for about half of it, others wait behind the
	// burst; with a shorter one, a few requests
	// of a small organisation would look like a large demand.
	halfLife = time.Second
	// refreshInterval is the time after which the demands are decayed and sorted again.
	refreshInterval = 100 * time.Millisecond
	// maxOrganisations bounds memory. The organisation with the least demand is forgotten first; it counts as one without
	// demand, which is never above its share.
	maxOrganisations = 512
	// forgottenShare is the share of the total demand below which an organisation is forgotten.
	forgottenShare = 1e-6
)

// WindowSeconds is the time in which a steady demand amounts to the counted demand.
const WindowSeconds = float64(halfLife) / float64(time.Second) / math.Ln2

// Shares counts the recent demand by organisation. The zero value knows none. It is not safe for concurrent use.
type Shares struct {
	demand    map[string]float64 // decayed with halfLife, as of decayedAt
	total     float64
	decayedAt time.Time
	sorted    []float64 // the demands as of decayedAt, in increasing order
}

// Add counts a demand of an organisation, in any unit.
func (s *Shares) Add(now time.Time, organisation string, amount float64) {
	if s.demand == nil {
		s.demand, s.decayedAt = make(map[string]float64), now
	}
	if now.Sub(s.decayedAt) >= refreshInterval {
		s.refresh(now)
	}
	if _, known := s.demand[organisation]; !known && len(s.demand) >= maxOrganisations {
		s.forgetLeast()
	}
	s.demand[organisation] += amount
	s.total += amount
}

func (s *Shares) refresh(now time.Time) {
	keep, least := s.keep(now), forgottenShare*s.total
	s.decayedAt, s.total, s.sorted = now, 0, s.sorted[:0]
	for name, d := range s.demand {
		if d *= keep; d <= least {
			delete(s.demand, name)
			continue
		}
		s.demand[name] = d
		s.total += d
		s.sorted = append(s.sorted, d)
	}
	slices.Sort(s.sorted)
}

func (s *Shares) forgetLeast() {
	least, amount := "", math.Inf(1)
	for name, d := range s.demand {
		if d < amount {
			least, amount = name, d
		}
	}
	s.total -= amount
	delete(s.demand, least)
}

// Total returns the counted demand of all organisations.
func (s *Shares) Total(now time.Time) float64 { return s.total * s.keep(now) }

// keep returns the factor by which counted demands have decayed since decayedAt.
func (s *Shares) keep(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.decayedAt)) / float64(halfLife))
}

// Excess returns the share of the demand of an organisation, from 0 to 1, that exceeds its fair share if a total of
// capacity can be served.
func (s *Shares) Excess(organisation string, capacity float64) float64 {
	d := s.demand[organisation]
	if d == 0 {
		return 0
	}
	return max(0, 1-s.Level(capacity)/d)
}

// Level returns the largest demand that is served in full if a total of capacity can be served; infinite if all can.
func (s *Shares) Level(capacity float64) float64 {
	left := max(0, capacity)
	for i, d := range s.sorted {
		if level := left / float64(len(s.sorted)-i); d > level {
			return level
		}
		left -= d
	}
	return math.Inf(1)
}

// Demand returns the counted demand of an organisation, as of the last change.
func (s *Shares) Demand(organisation string) float64 { return s.demand[organisation] }
