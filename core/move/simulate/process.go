package simulate

import (
	"math"
	"math/rand/v2"
)

// processFaults simulates the process fault of a trial. It occurs twice at random times, once
// in each half of the move, because faults can recur.
type processFaults struct {
	trial       *Trial
	rand        *rand.Rand
	second      int
	starts      [2]int
	version     [2]int // version on the host that crashes
	domain      [2]int // index of the failure domain of the host, or of the first upstream that a poison request crashes
	driftPhase  float64
	silentUntil []int // per failure domain: silent until this second
}

const (
	hangSeconds      = 2 // until the members of the failure domain declare a host down
	overloadSeconds  = 60
	overloadFactor   = 5
	partitionSeconds = 90
	electionSeconds  = 3
	// partitionLoss is the fraction of calls that cross between the regions and are lost in
	// the first partitionLossSeconds.
	partitionLoss        = 0.15
	partitionLossSeconds = 3
	maxLateSeconds       = 5
	slowdownSeconds      = 60
	slowdownFactor       = 1.8
	driftSize            = 0.05 // amplitude of the latency drift, as a fraction
	driftPeriod          = 240  // s
)

func newProcessFaults(t *Trial, r *rand.Rand) *processFaults {
	p := &processFaults{trial: t, rand: r, silentUntil: make([]int, len(t.Service.Domains))}
	p.driftPhase = r.Float64()
	half := int(t.Deadline.Seconds()) / 2
	for i := range p.starts {
		p.starts[i] = i*half + 5 + r.IntN(half-10)
		p.version[i] = r.IntN(2)
		p.domain[i] = r.IntN(len(t.Service.Domains))
	}
	return p
}

func (p *processFaults) nextSecond() { p.second++ }

// since returns the seconds since the latest occurrence and its index; -1 seconds before the
// first.
func (p *processFaults) since() (seconds, occurrence int) {
	for i := len(p.starts) - 1; i >= 0; i-- {
		if p.second >= p.starts[i] {
			return p.second - p.starts[i], i
		}
	}
	return -1, 0
}

// active reports whether the process fault of the trial is of the given kind and began less
// than length seconds ago.
func (p *processFaults) active(kind ProcessFault, length int) bool {
	s, _ := p.since()
	return p.trial.ProcessFault == kind && s >= 0 && s < length
}

func (p *processFaults) leaderLost() bool { return p.active(LeaderChange, 1) }
func (p *processFaults) noLeader() bool   { return p.active(LeaderChange, electionSeconds) }

func (p *processFaults) demandFactor() float64 {
	if p.active(Overload, overloadSeconds) {
		return overloadFactor
	}
	return 1
}

// latencyFactor returns the factor of the latency of both versions: a slow drift over the
// whole move, and the Slowdown fault.
func (p *processFaults) latencyFactor() float64 {
	drift := 1 + driftSize*math.Sin(2*math.Pi*(float64(p.second)/driftPeriod+p.driftPhase))
	if p.active(Slowdown, slowdownSeconds) {
		return drift * slowdownFactor
	}
	return drift
}

// cutOff reports whether a failure domain is cut off by a partition, as the second region is.
func (p *processFaults) cutOff(domain int) bool {
	return domain >= len(p.trial.Service.Domains)/2 && p.active(Partition, partitionSeconds)
}

// silent reports whether the reports of a failure domain do not reach the leader in this
// second.
func (p *processFaults) silent(domain int) bool {
	if p.trial.ProcessFault != LateReports {
		return p.cutOff(domain)
	}
	if p.second < p.silentUntil[domain] {
		return true
	}
	p.silentUntil[domain] = p.second + 1 + p.rand.IntN(maxLateSeconds)
	return false
}

// lostShare returns the fraction of a version's calls in a failure domain that are lost.
func (p *processFaults) lostShare(version, domain int) float64 {
	s, i := p.since()
	if s < 0 {
		return 0
	}
	perDomain := max(1, float64(p.trial.Service.Upstreams)/float64(len(p.trial.Service.Domains)))
	switch p.trial.ProcessFault {
	case CrashedHost:
		if s < hangSeconds && p.version[i] == version && p.domain[i] == domain {
			return 1 / perDomain
		}
	case PoisonRequest:
		// Two upstreams crash one after the other; only calls in flight are lost.
		if s < 2 && domain == (p.domain[i]+s)%len(p.trial.Service.Domains) {
			return 0.05 / perDomain
		}
	case Partition:
		if s < partitionLossSeconds {
			return partitionLoss
		}
	}
	return 0
}

// slowStartShare returns the fraction of calls on upstreams that have just restarted.
func (p *processFaults) slowStartShare(version int) float64 {
	switch {
	case p.active(ColdStart, slowStartSeconds) && version == newVersion:
		return 0.25
	case p.active(CrashedHost, 20+slowStartSeconds):
		s, i := p.since()
		if s >= 20 && p.version[i] == version {
			return 1 / float64(p.trial.Service.Upstreams)
		}
	}
	return 0
}
