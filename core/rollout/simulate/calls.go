package simulate

import (
	"math"

	"github.com/rattanfield/rattanfield/core/rollout"
)

const (
	freshSeconds = 15 // slow start of an upstream
	meanFactor   = 1.13
	// busyLimit is the share of busy slots from which calls wait and are rejected.
	busyLimit = 0.9
	queueSlow = 2.5
)

const (
	oldVersion = iota
	newVersion
)

// calls simulates one second.
func (w *world) calls() {
	s := &w.trial.Service
	rate := s.Rate * w.process.demand()
	fault := w.faultNow()
	if fault > 0 && w.result.FaultAt < 0 {
		w.result.FaultAt = w.second
	}
	w.load(rate, fault)
	for d := range s.Domains {
		for r := range s.Routes {
			n := poisson(w.rand, rate*s.Routes[r].Weight/float64(len(s.Domains)))
			toNew := binomial(w.rand, n, float64(w.applied[d])/1000)
			cell := &w.cells[r*len(s.Domains)+d].Pair
			w.planned += uint64(n)
			w.version(&cell.Old, oldVersion, r, d, n-toNew, 0)
			w.version(&cell.New, newVersion, r, d, toNew, fault)
			if toNew > 0 {
				w.result.LastNewCall = w.second
				if w.result.FaultAt >= 0 {
					w.result.BadCalls += uint64(toNew)
				}
			}
		}
	}
	w.process.advance()
}

// share of the new version over all failure domains, permille.
func (w *world) share() float64 {
	sum := 0.0
	for _, s := range w.applied {
		sum += float64(s)
	}
	return sum / float64(len(w.applied))
}

// faultNow is the extent of the version's fault, 0 to 1.
func (w *world) faultNow() float64 {
	f := w.trial.Fault
	share := w.share()
	if f == nil || share == 0 {
		return 0
	}
	switch f.Trigger {
	case AfterShare:
		if w.reached < 0 && share >= float64(f.Share) {
			w.reached = w.second
		}
		if w.reached < 0 || w.second < w.reached+w.delay {
			return 0
		}
	case UnderLoad:
		if share <= 500 {
			return 0
		}
	case Gradual:
		began := w.result.FaultAt
		if began < 0 {
			began = w.second
		}
		return max(0.01, min(1, float64(w.second-began)/GrowthTime.Seconds()))
	}
	return 1
}

// load derives waiting and rejections from the busy slots of each version.
func (w *world) load(rate, fault float64) {
	share := w.share() / 1000
	for v, part := range []float64{1 - share, share} {
		mean := 0.0
		for i, m := range w.medians {
			mean += w.trial.Service.Routes[i].Weight * 0.0001 * math.Exp(m*logGrowth)
		}
		mean *= meanFactor
		if f := w.trial.Fault; v == newVersion && f != nil && f.Slow > 0 && !f.RareRoute && !f.OneDomain {
			mean *= 1 + (f.Slow-1)*fault
		}
		busy := rate * part * mean / (float64(w.trial.Service.Upstreams) * slots)
		w.rejected[v], w.slower[v] = 0, 1
		if busy > busyLimit {
			w.rejected[v], w.slower[v] = 1-busyLimit/busy, queueSlow
		} else if busy > 0.6 {
			w.slower[v] = 1 + (queueSlow-1)*(busy-0.6)/(busyLimit-0.6)
		}
	}
}

// version adds the outcomes of n calls of one version in a cell.
func (w *world) version(c *rollout.Counts, v, route, domain, n int, fault float64) {
	if n == 0 {
		return
	}
	rejected := binomial(w.rand, n, w.rejected[v])
	n -= rejected
	c.Overloads += uint64(rejected)
	errorRate, slow := baseErrors, w.slower[v]*w.process.slowness()
	if v == newVersion {
		slow *= w.factor
	}
	if f := w.trial.Fault; fault > 0 && w.concerns(f, route, domain) {
		errorRate += f.ErrorRate * fault
		if f.Slow > 0 {
			slow *= 1 + (f.Slow-1)*fault
			w.result.AffectedCalls += float64(n)
		} else {
			w.result.AffectedCalls += float64(n) * f.ErrorRate * fault
		}
	}
	lost := binomial(w.rand, n, w.process.lost(v, domain))
	errors := lost + binomial(w.rand, n-lost, errorRate)
	c.Calls += uint64(n)
	c.Errors += uint64(errors)
	// Calls on fresh upstreams are slower and not in the histogram.
	fresh := binomial(w.rand, n-errors, w.fresh(v))
	addLatencies(w.rand, &c.Latency, n-errors-fresh, w.medians[route]+math.Log(slow)/logGrowth)
}

func (w *world) concerns(f *Fault, route, domain int) bool {
	if f.RareRoute && route != len(w.trial.Service.Routes)-1 {
		return false
	}
	return !f.OneDomain || domain == len(w.trial.Service.Domains)-1
}

// fresh is the share of a version's calls on upstreams in slow start.
func (w *world) fresh(v int) float64 {
	if v == newVersion && len(w.result.Steps) > 0 && w.second-w.result.Steps[0].At < freshSeconds {
		return 1
	}
	return w.process.fresh(v)
}
