package simulate

import (
	"math"
	"math/rand/v2"
)

// process plays the fault that is not the version's, twice: early and late, at
// random times, because faults can come twice.
type process struct {
	trial   *Trial
	rand    *rand.Rand
	second  int
	starts  [2]int
	version [2]int // whose host crashes
	domain  [2]int
	phase   float64
	late    []int // per failure domain: silent until this second
}

const (
	hangSeconds     = 2 // until the members of the failure domain declare a host down
	overloadSeconds = 60
	overloadFactor  = 5
	cutSeconds      = 90
	electionSeconds = 3
	// lossAtCut is the share of calls that cross the cut and are lost at its start.
	lossAtCut       = 0.15
	lossAtCutLength = 3
	maxLateSeconds  = 5
	slowdownSeconds = 60
	slowdownFactor  = 1.8
	driftSize       = 0.05
	driftPeriod     = 240 // s
)

func newProcess(t *Trial, r *rand.Rand) *process {
	p := &process{trial: t, rand: r, late: make([]int, len(t.Service.Domains))}
	p.phase = r.Float64()
	half := int(t.Deadline.Seconds()) / 2
	for i := range p.starts {
		p.starts[i] = i*half + 5 + r.IntN(half-10)
		p.version[i] = r.IntN(2)
		p.domain[i] = r.IntN(len(t.Service.Domains))
	}
	return p
}

func (p *process) advance() { p.second++ }

// since returns the seconds since the latest occurrence and its number; -1 before the first.
func (p *process) since() (seconds, occurrence int) {
	for i := len(p.starts) - 1; i >= 0; i-- {
		if p.second >= p.starts[i] {
			return p.second - p.starts[i], i
		}
	}
	return -1, 0
}

func (p *process) within(kind Process, length int) bool {
	s, _ := p.since()
	return p.trial.Process == kind && s >= 0 && s < length
}

func (p *process) leaderLost() bool { return p.within(LeaderChange, 1) }
func (p *process) noLeader() bool   { return p.within(LeaderChange, electionSeconds) }

func (p *process) demand() float64 {
	if p.within(Overload, overloadSeconds) {
		return overloadFactor
	}
	return 1
}

// slowness is a factor of the latency of both versions: a slow drift over the
// whole move, and the general slowdown.
func (p *process) slowness() float64 {
	drift := 1 + driftSize*math.Sin(2*math.Pi*(float64(p.second)/driftPeriod+p.phase))
	if p.within(Slowdown, slowdownSeconds) {
		return drift * slowdownFactor
	}
	return drift
}

// cutOff reports a failure domain of the second region during a partition.
func (p *process) cutOff(domain int) bool {
	return domain >= len(p.trial.Service.Domains)/2 && p.within(Partition, cutSeconds)
}

// silent reports a failure domain whose reports do not reach the leader now.
func (p *process) silent(domain int) bool {
	if p.trial.Process != LateReports {
		return p.cutOff(domain)
	}
	if p.second < p.late[domain] {
		return true
	}
	p.late[domain] = p.second + 1 + p.rand.IntN(maxLateSeconds)
	return false
}

// lost is the share of a version's calls in a failure domain that are lost.
func (p *process) lost(version, domain int) float64 {
	s, i := p.since()
	if s < 0 {
		return 0
	}
	perDomain := max(1, float64(p.trial.Service.Upstreams)/float64(len(p.trial.Service.Domains)))
	switch p.trial.Process {
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
		if s < lossAtCutLength {
			return lossAtCut
		}
	}
	return 0
}

// fresh is the share of calls on upstreams that restarted.
func (p *process) fresh(version int) float64 {
	switch {
	case p.within(ColdStart, freshSeconds) && version == newVersion:
		return 0.25
	case p.within(CrashedHost, 20+freshSeconds):
		s, i := p.since()
		if s >= 20 && p.version[i] == version {
			return 1 / float64(p.trial.Service.Upstreams)
		}
	}
	return 0
}
