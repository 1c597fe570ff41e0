package simulate

import (
	"math"

	"github.com/rattanfield/rattanfield/core/move"
)

const (
	slowStartSeconds = 15   // duration of the slow start of an upstream
	meanFactor       = 1.13 // ratio of the mean latency to the median
	// maxBusyShare is the fraction of busy slots above which calls are rejected.
	maxBusyShare  = 0.9
	queueSlowdown = 2.5 // factor of the latency at maxBusyShare, where calls wait for a slot
)

const (
	oldVersion = iota
	newVersion
)

// simulateCalls simulates the calls of one second.
func (sim *simulation) simulateCalls() {
	s := &sim.trial.Service
	rate := s.Rate * sim.processFaults.demandFactor()
	fault := sim.faultExtent()
	if fault > 0 && sim.result.FaultAt < 0 {
		sim.result.FaultAt = sim.second
	}
	sim.updateLoad(rate, fault)
	for d := range s.Domains {
		for r := range s.Routes {
			n := samplePoisson(sim.rand, rate*s.Routes[r].Weight/float64(len(s.Domains)))
			toNew := sampleBinomial(sim.rand, n, float64(sim.applied[d])/1000)
			cell := &sim.cells[r*len(s.Domains)+d].Pair
			sim.offeredCalls += uint64(n)
			sim.addCalls(&cell.Old, oldVersion, r, d, n-toNew, 0)
			sim.addCalls(&cell.New, newVersion, r, d, toNew, fault)
			if toNew > 0 {
				sim.result.LastNewCallAt = sim.second
				if sim.result.FaultAt >= 0 {
					sim.result.BadCalls += uint64(toNew)
				}
			}
		}
	}
	sim.processFaults.nextSecond()
}

// share returns the mean share of the new version over all failure domains, in permille.
func (sim *simulation) share() float64 {
	sum := 0.0
	for _, s := range sim.applied {
		sum += float64(s)
	}
	return sum / float64(len(sim.applied))
}

// faultExtent returns the current extent of the version's fault, from 0 to 1.
func (sim *simulation) faultExtent() float64 {
	f := sim.trial.Fault
	share := sim.share()
	if f == nil || share == 0 {
		return 0
	}
	switch f.Trigger {
	case AfterShare:
		if sim.shareReachedAt < 0 && share >= float64(f.Share) {
			sim.shareReachedAt = sim.second
		}
		if sim.shareReachedAt < 0 || sim.second < sim.shareReachedAt+sim.faultDelay {
			return 0
		}
	case UnderLoad:
		if share <= 500 {
			return 0
		}
	case Gradual:
		began := sim.result.FaultAt
		if began < 0 {
			began = sim.second
		}
		return max(0.01, min(1, float64(sim.second-began)/GrowthTime.Seconds()))
	}
	return 1
}

// updateLoad computes the slowdown and the rejections of each version from its busy slots.
func (sim *simulation) updateLoad(rate, fault float64) {
	share := sim.share() / 1000
	for v, versionShare := range []float64{1 - share, share} {
		mean := 0.0
		for i, m := range sim.medians {
			mean += sim.trial.Service.Routes[i].Weight * 0.0001 * math.Exp(m*logGrowth)
		}
		mean *= meanFactor
		if f := sim.trial.Fault; v == newVersion && f != nil && f.Slow > 0 && !f.RareRoute && !f.OneDomain {
			mean *= 1 + (f.Slow-1)*fault
		}
		busy := rate * versionShare * mean / (float64(sim.trial.Service.Upstreams) * slots)
		sim.rejected[v], sim.loadSlowdown[v] = 0, 1
		if busy > maxBusyShare {
			sim.rejected[v], sim.loadSlowdown[v] = 1-maxBusyShare/busy, queueSlowdown
		} else if busy > 0.6 {
			sim.loadSlowdown[v] = 1 + (queueSlowdown-1)*(busy-0.6)/(maxBusyShare-0.6)
		}
	}
}

// addCalls adds the outcomes of n calls of one version in a cell.
func (sim *simulation) addCalls(c *move.Counts, v, route, domain, n int, fault float64) {
	if n == 0 {
		return
	}
	rejected := sampleBinomial(sim.rand, n, sim.rejected[v])
	n -= rejected
	c.Overloads += uint64(rejected)
	errorRate, slow := baseErrors, sim.loadSlowdown[v]*sim.processFaults.latencyFactor()
	if v == newVersion {
		slow *= sim.newLatencyFactor
	}
	if f := sim.trial.Fault; fault > 0 && sim.affects(f, route, domain) {
		errorRate += f.ErrorRate * fault
		if f.Slow > 0 {
			slow *= 1 + (f.Slow-1)*fault
			sim.result.AffectedCalls += float64(n)
		} else {
			sim.result.AffectedCalls += float64(n) * f.ErrorRate * fault
		}
	}
	lost := sampleBinomial(sim.rand, n, sim.processFaults.lostShare(v, domain))
	errors := lost + sampleBinomial(sim.rand, n-lost, errorRate)
	c.Calls += uint64(n)
	c.Errors += uint64(errors)
	// Calls on upstreams in slow start are slower and not counted in the histogram.
	inSlowStart := sampleBinomial(sim.rand, n-errors, sim.slowStartShare(v))
	addLatencies(sim.rand, &c.Latency, n-errors-inSlowStart, sim.medians[route]+math.Log(slow)/logGrowth)
}

func (sim *simulation) affects(f *Fault, route, domain int) bool {
	if f.RareRoute && route != len(sim.trial.Service.Routes)-1 {
		return false
	}
	return !f.OneDomain || domain == len(sim.trial.Service.Domains)-1
}

// slowStartShare returns the fraction of a version's calls on upstreams in slow start.
func (sim *simulation) slowStartShare(v int) float64 {
	if v == newVersion && len(sim.result.Steps) > 0 && sim.second-sim.result.Steps[0].At < slowStartSeconds {
		return 1
	}
	return sim.processFaults.slowStartShare(v)
}
