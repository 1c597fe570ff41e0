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

// fleet simulates a service whose versions run on several upstreams each.
type fleet struct {
	perSecond float64
	upstreams int                                                                       // of each version
	latency   func(random *rand.Rand, at time.Duration, new bool, upstream int) float64 // as a multiple of the usual one
}

// run simulates a rollout. It returns the phase in which it ended, when, and the fraction of
// all requests that the new version received.
func (f fleet) run(seed uint64) (phase pb.RolloutPhase, at time.Duration, exposed float64) {
	random := rand.New(rand.NewPCG(seed, 2))
	j := NewJudge(DefaultBound)
	counts := make([]UpstreamCounts, 2*f.upstreams)
	share, total, toNew := uint32(0), f.perSecond*duration.Seconds(), 0.0
	for t := time.Duration(0); t < duration; t += tick {
		for range int(f.perSecond * tick.Seconds()) {
			i := random.IntN(f.upstreams)
			isNew := random.Float64() < float64(share)/fullShare
			if isNew {
				i += f.upstreams
				toNew++
			}
			a := &counts[i]
			a.Upstream, a.Route, a.New = fmt.Sprint(i), "r", isNew
			a.Counts.Requests++
			const spread = 0.8 // sigma of the log-normal response time
			usual := math.Exp(spread*random.NormFloat64() - spread*spread/2)
			latency := time.Duration(usual * f.latency(random, t, isNew, i%f.upstreams) * float64(100*time.Millisecond))
			a.Counts.Time += latency
			a.Counts.Times[TimeBucket(latency)]++
		}
		d := j.Decide(Input{Elapsed: t, Duration: duration, SharePermille: share, UpstreamCounts: counts, Ready: true})
		if d.Phase != pb.RolloutPhase_ROLLOUT_PHASE_RUNNING {
			return d.Phase, t, (toNew + f.perSecond*delay.Seconds()*float64(share)/fullShare) / total
		}
		share = d.SharePermille
	}
	return pb.RolloutPhase_ROLLOUT_PHASE_RUNNING, duration, toNew / total
}

// coldStart returns the factor on the response time: 2 for new upstreams in the first three
// seconds, otherwise 1.
func coldStart(at time.Duration, new bool) float64 {
	if new && at < 3*time.Second {
		return 2
	}
	return 1
}

// Guards against a bad version that is not reverted because only some of its requests
// are several times slower, so that its mean stays below three times the usual one.
func TestPartlySlowVersionIsTakenBack(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{200, 600} {
		for seed := range uint64(50) {
			phase, at, exposed := fleet{perSecond: perSecond, upstreams: 8, latency: func(random *rand.Rand, at time.Duration, new bool, _ int) float64 {
				if new && random.Float64() < 0.25 {
					return 8 * coldStart(at, new)
				}
				return coldStart(at, new)
			}}.run(seed)
			if phase != pb.RolloutPhase_ROLLOUT_PHASE_REVERTED || exposed > 0.1+50/(perSecond*duration.Seconds()) {
				t.Errorf("%v/s, seed %d: %v after %v, the new version got %.3f", perSecond, seed, phase, at, exposed)
			}
		}
	}
	is.True(!t.Failed()) // every version is reverted within the bound
}

// Guards against a bad version that is not reverted because slow upstreams of the old version, as
// under overload, hide that its answers are slow.
func TestSlowVersionIsRevertedBesideSlowOldUpstreams(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{200, 600, 1800} {
		for seed := range uint64(50) {
			phase, at, exposed := fleet{perSecond: perSecond, upstreams: 8, latency: func(random *rand.Rand, at time.Duration, new bool, upstream int) float64 {
				switch {
				case new && random.Float64() < 0.35:
					return 8 * coldStart(at, new)
				case !new && upstream < 3:
					return 4
				}
				return coldStart(at, new)
			}}.run(seed)
			if phase != pb.RolloutPhase_ROLLOUT_PHASE_REVERTED || exposed > 0.1+50/(perSecond*duration.Seconds()) {
				t.Errorf("%v/s, seed %d: %v after %v, the new version got %.3f", perSecond, seed, phase, at, exposed)
			}
		}
	}
	is.True(!t.Failed()) // every version is reverted within the bound
}

// Guards against a good version that is reverted because up to a quarter of its
// upstreams are slow, or because they start slowly.
func TestSlowUpstreamsCondemnNoVersion(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{40, 200, 600} {
		for slow := range 3 {
			for seed := range uint64(100) {
				phase, at, _ := fleet{perSecond: perSecond, upstreams: 8, latency: func(_ *rand.Rand, at time.Duration, new bool, upstream int) float64 {
					if new && upstream < slow {
						return 5
					}
					return coldStart(at, new)
				}}.run(seed)
				if phase != pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE {
					t.Errorf("%v/s, %d slow upstreams, seed %d: %v after %v", perSecond, slow, seed, phase, at)
				}
			}
		}
	}
	is.True(!t.Failed())
}
