package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// model simulates a service during a rollout. Requests arrive evenly and are distributed by share.
type model struct {
	perSecond        float64
	capacity         float64 // requests per second that each version runs; 0: unlimited
	bound            float64 // exposure bound, as for NewJudge
	oldRate, newRate func(t time.Duration, share uint32) float64
	oldTime, newTime time.Duration
}

const (
	tick     = 200 * time.Millisecond
	delay    = 500 * time.Millisecond // from a decision until its share is in force
	duration = 16 * time.Second
)

// countsOf returns the counts of a route that has one upstream of each version.
func countsOf(r Route) []UpstreamCounts {
	return []UpstreamCounts{{Upstream: "new", Route: "r", New: true, Counts: r.New}, {Upstream: "old", Route: "r", Counts: r.Old}}
}

func always(p float64) func(time.Duration, uint32) float64 {
	return func(time.Duration, uint32) float64 { return p }
}

// result holds the outcome of one rollout.
type result struct {
	phase   pb.RolloutPhase
	at      time.Duration // when it ended
	exposed float64       // fraction of the requests of its whole duration that the new version received
	badAt   time.Duration // when the new version failed its badFailures-th request; 0: never
}

const (
	// badFailures is the number of failed requests after which a version must be reverted within
	// revertTimeout.
	badFailures   = 50
	revertTimeout = 5 * time.Second
)

func (m model) run(seed uint64) (out result) {
	random := rand.New(rand.NewPCG(seed, 1))
	j := NewJudge(m.bound)
	route := Route{}
	share, decided, total, toNew := uint32(0), uint32(0), 0.0, 0.0
	type change struct {
		at    time.Duration
		share uint32
	}
	var pending []change
	for t := time.Duration(0); t < duration; t += tick {
		for len(pending) > 0 && pending[0].at <= t {
			share, pending = pending[0].share, pending[1:]
		}
		tickCapacity := math.Inf(1)
		if m.capacity > 0 {
			tickCapacity = m.capacity * tick.Seconds()
		}
		ranNew, ranOld := 0.0, 0.0
		for range int(m.perSecond * tick.Seconds()) {
			switch isNew := random.Float64() < float64(share)/1000; {
			case isNew && ranNew < tickCapacity:
				ranNew++
				count(&route.New, random, m.newRate(t, share), m.newTime)
			case !isNew && ranOld < tickCapacity:
				ranOld++
				count(&route.Old, random, m.oldRate(t, share), m.oldTime)
			}
		}
		total, toNew = total+ranNew+ranOld, toNew+ranNew
		if route.New.Failed >= badFailures && out.badAt == 0 {
			out.badAt = t
		}
		if out.phase != 0 {
			continue
		}
		d := j.Decide(Input{Elapsed: t, Duration: duration, SharePermille: decided, UpstreamCounts: countsOf(route), Ready: true})
		decided = d.SharePermille
		if d.Phase != pb.RolloutPhase_ROLLOUT_PHASE_RUNNING {
			out.phase, out.at = d.Phase, t
		}
		pending = append(pending, change{t + delay, d.SharePermille})
	}
	out.exposed = toNew / total
	return out
}

func count(c *Counts, random *rand.Rand, p float64, latency time.Duration) {
	c.Requests++
	if random.Float64() < p {
		c.Failed++
		c.ErrorAnswers++
	}
	spent := time.Duration(random.ExpFloat64() * float64(latency))
	c.Time += spent
	c.Times[TimeBucket(spent)]++
}

// Guards against a rollout of a good version that does not complete in time, at low and high
// request rates and with failures on both versions.
func TestGoodVersionCompletes(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		for _, perSecond := range []float64{40, 300, 640} {
			for _, p := range []float64{0.004, 0.05} {
				m := model{perSecond: perSecond, oldRate: always(p), newRate: always(p), oldTime: 60 * time.Millisecond, newTime: 75 * time.Millisecond}
				r := m.run(seed)
				is.Equal(r.phase, pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE)
				is.True(r.at < duration)
			}
		}
	}
}

// Guards against the revert of a new version because of a fault that affects both versions
// alike, whenever it begins.
func TestServiceWideFaultDoesNotRevert(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		for _, from := range []time.Duration{2 * time.Second, 6 * time.Second, 11 * time.Second} {
			faulty := func(t time.Duration, _ uint32) float64 {
				if t >= from && t < from+4*time.Second {
					return 0.24
				}
				return 0.004
			}
			m := model{perSecond: 400, oldRate: faulty, newRate: faulty, oldTime: 60 * time.Millisecond, newTime: 60 * time.Millisecond}
			is.Equal(m.run(seed).phase, pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE)
		}
	}
}

// Guards against a bad version that is not reverted, or that receives more than a tenth of
// the requests plus 50, for each kind of fault.
func TestBadVersionIsReverted(t *testing.T) {
	is := is.New(t)
	late := func(t time.Duration, _ uint32) float64 {
		if t < 3*time.Second {
			return 0.004
		}
		return 0.35
	}
	underLoad := func(limit uint32) func(time.Duration, uint32) float64 {
		return func(_ time.Duration, share uint32) float64 {
			if share < limit {
				return 0.004
			}
			return 0.5
		}
	}
	for name, m := range map[string]model{
		"errors":          {newRate: always(0.35), newTime: 60 * time.Millisecond},
		"late":            {newRate: late, newTime: 60 * time.Millisecond},
		"under load":      {newRate: underLoad(300), newTime: 60 * time.Millisecond},
		"under full load": {newRate: underLoad(650), newTime: 60 * time.Millisecond},
		"slow":            {newRate: always(0.004), newTime: 300 * time.Millisecond},
	} {
		for _, perSecond := range []float64{150, 300, 640} {
			m.perSecond, m.oldRate, m.oldTime = perSecond, always(0.004), 60*time.Millisecond
			for seed := range uint64(50) {
				r := m.run(seed)
				is.Equal(r.phase, pb.RolloutPhase_ROLLOUT_PHASE_REVERTED) // every kind of fault is found
				if limit := 0.1 + 50/(perSecond*duration.Seconds()); r.exposed > limit {
					t.Fatalf("%s at %v/s, seed %d: the new version got %.3f, at most %.3f is allowed", name, perSecond, seed, r.exposed, limit)
				}
			}
		}
	}
}

// Guards against a bad version that receives too many requests because its fault
// begins late: the requests that it received before count too.
func TestLateFaultStaysWithinExposureBound(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{150, 300, 640} {
		for fraction := 0.05; fraction <= 0.9; fraction += 0.05 {
			from := time.Duration(fraction * float64(duration))
			late := func(t time.Duration, _ uint32) float64 {
				if t < from {
					return 0.004
				}
				return 0.35
			}
			m := model{perSecond: perSecond, oldRate: always(0.004), newRate: late, oldTime: 60 * time.Millisecond, newTime: 60 * time.Millisecond}
			for seed := range uint64(20) {
				r := m.run(seed)
				if limit := 0.1 + 50/(perSecond*duration.Seconds()); r.phase != pb.RolloutPhase_ROLLOUT_PHASE_REVERTED || r.exposed > limit {
					t.Errorf("fault from %v on, %v/s, seed %d: %v after %v, the new version got %.3f, at most %.3f is allowed", from, perSecond, seed, r.phase, r.at, r.exposed, limit)
				}
			}
		}
	}
	is.True(!t.Failed()) // every late fault is found within the bound
}

// Guards against a schedule that only works with the default bound: the settings may
// allow a bad version less or more.
func TestScheduleKeepsConfiguredBound(t *testing.T) {
	is := is.New(t)
	const perSecond = 640
	for _, bound := range []float64{0.08, 0.2} {
		for fraction := 0.1; fraction <= 0.8; fraction += 0.1 {
			from := time.Duration(fraction * float64(duration))
			late := func(t time.Duration, _ uint32) float64 {
				if t < from {
					return 0.004
				}
				return 0.35
			}
			m := model{bound: bound, perSecond: perSecond, oldRate: always(0.004), newRate: late, oldTime: 60 * time.Millisecond, newTime: 60 * time.Millisecond}
			for seed := range uint64(20) {
				r := m.run(seed)
				if limit := bound + 50/(perSecond*duration.Seconds()); r.phase != pb.RolloutPhase_ROLLOUT_PHASE_REVERTED || r.exposed > limit {
					t.Errorf("bound %v, fault from %v on, seed %d: %v after %v, the new version got %.3f", bound, from, seed, r.phase, r.at, r.exposed)
				}
				m.newRate = always(0.004)
				if r := m.run(seed); r.phase != pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE {
					t.Errorf("bound %v, good version, seed %d: %v", bound, seed, r.phase)
				}
				m.newRate = late
			}
		}
	}
	is.True(!t.Failed())
}

// Guards against a bad version that is never reverted because the old version fails
// too, as under overload, where it failed a fifth of its requests.
func TestBadVersionIsRevertedWhileOldVersionFails(t *testing.T) {
	is := is.New(t)
	for _, old := range []float64{0.1, 0.2, 0.4} {
		for seed := range uint64(50) {
			m := model{perSecond: 640, oldRate: always(old), newRate: always(1 - (1-old)*(1-0.33)), oldTime: 60 * time.Millisecond, newTime: 60 * time.Millisecond}
			r := m.run(seed)
			if r.phase != pb.RolloutPhase_ROLLOUT_PHASE_REVERTED || (r.badAt > 0 && r.at+delay > r.badAt+revertTimeout) || r.exposed > 0.1 {
				t.Errorf("old version fails %.1f, seed %d: %v after %v, bad after %v, the new version got %.3f", old, seed, r.phase, r.at, r.badAt, r.exposed)
			}
		}
	}
	is.True(!t.Failed()) // the excess over the old version is found
}

// Guards against a new version that runs far more of the requests than its share:
// under overload the old version answers only up to its capacity, so a share of the
// offered requests is a larger share of those that run.
func TestExposureBoundHoldsUnderOverload(t *testing.T) {
	is := is.New(t)
	for fraction := 0.1; fraction <= 0.9; fraction += 0.2 {
		from := time.Duration(fraction * float64(duration))
		late := func(t time.Duration, _ uint32) float64 {
			if t < from {
				return 0.05
			}
			return 0.36
		}
		for seed := range uint64(20) {
			m := model{perSecond: 3000, capacity: 750, oldRate: always(0.05), newRate: late, oldTime: 60 * time.Millisecond, newTime: 60 * time.Millisecond}
			r := m.run(seed)
			if r.phase != pb.RolloutPhase_ROLLOUT_PHASE_REVERTED || r.exposed > 0.1 {
				t.Errorf("fault from %v on, seed %d: %v after %v, the new version got %.3f of what ran", from, seed, r.phase, r.at, r.exposed)
			}
		}
	}
	is.True(!t.Failed()) // the requests that run on the new version stay within the bound
}

// Guards against a good version that is reverted because connections to its
// upstreams were reset: such failures are reported together, but are few among
// the requests of that second.
func TestConnectionResetsDoNotRevert(t *testing.T) {
	is := is.New(t)
	j := NewJudge(DefaultBound)
	route := Route{}
	add := func(requests, failed, oldRequests, oldFailed uint64) Decision {
		route.New.Requests += requests
		route.New.Failed += failed
		route.New.Time += time.Duration(requests) * 60 * time.Millisecond
		route.Old.Requests += oldRequests
		route.Old.Failed += oldFailed
		route.Old.Time += time.Duration(oldRequests) * 60 * time.Millisecond
		return j.Decide(Input{Elapsed: 9 * time.Second, Duration: duration, UpstreamCounts: countsOf(route), Ready: true})
	}
	for range 10 {
		is.Equal(add(140, 1, 400, 2).Phase, pb.RolloutPhase_ROLLOUT_PHASE_RUNNING)
	}
	for range 4 {
		is.Equal(add(12, 8, 400, 2).Phase, pb.RolloutPhase_ROLLOUT_PHASE_RUNNING) // other reports are late
		for range 4 {
			is.Equal(add(170, 2, 420, 2).Phase, pb.RolloutPhase_ROLLOUT_PHASE_RUNNING)
		}
	}
}

// Guards against a new leader that compares the versions over the whole rollout,
// although the new version received most of its requests while connections were
// reset, and the old one before.
func TestNewLeaderComparesOnlyCountsItObserved(t *testing.T) {
	is := is.New(t)
	j := NewJudge(DefaultBound)
	route := Route{New: Counts{Requests: 1500, Failed: 115, Time: 90 * time.Second}, Old: Counts{Requests: 4000, Failed: 80, Time: 240 * time.Second}}
	next := func(requests, failed uint64) Decision {
		route.New.Requests += requests
		route.New.Failed += failed
		route.New.Time += time.Duration(requests) * 60 * time.Millisecond
		route.Old.Requests += 40
		route.Old.Time += 2400 * time.Millisecond
		return j.Decide(Input{Elapsed: 11 * time.Second, Duration: duration, UpstreamCounts: countsOf(route), Ready: true})
	}
	for range 4 {
		is.Equal(next(100, 0).Phase, pb.RolloutPhase_ROLLOUT_PHASE_RUNNING)
	}
	is.Equal(next(12, 8).Phase, pb.RolloutPhase_ROLLOUT_PHASE_RUNNING)
	for range 10 {
		if next(100, 35).Phase == pb.RolloutPhase_ROLLOUT_PHASE_REVERTED {
			return
		}
	}
	t.Fatal("a version that fails after the change of the leader was not reverted")
}

// Guards against a good version that is reverted because a request that crashes upstreams met it and not the old one: it ends
// two upstreams of the new version within a second and a third one later, with what was in progress there.
func TestCrashingRequestDoesNotRevert(t *testing.T) {
	for _, perInterval := range []uint64{2, 10, 40} { // requests of the new version in 200 ms
		t.Run(fmt.Sprint(perInterval), func(t *testing.T) {
			is := is.New(t)
			j := NewJudge(DefaultBound)
			route := Route{}
			for i := range 60 {
				lost := uint64(0)
				switch i {
				case 10, 13, 38: // upstreams with 9 slots that are half used
					lost = min(4, perInterval)
				}
				route.New.Requests += perInterval
				route.New.Failed += lost
				route.New.Time += time.Duration(perInterval) * 60 * time.Millisecond
				route.Old.Requests += 40
				route.Old.Time += 40 * 60 * time.Millisecond
				d := j.Decide(Input{Elapsed: 2*time.Second + time.Duration(i)*200*time.Millisecond, Duration: duration, UpstreamCounts: countsOf(route), Ready: true})
				is.Equal(d.Phase, pb.RolloutPhase_ROLLOUT_PHASE_RUNNING)
			}
		})
	}
}
