package condition

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var base = time.Unix(1000, 0)

const usual = 200 * time.Millisecond

// upstream simulates sequential requests at a fixed rate.
type upstream struct {
	tracker     Tracker
	now         time.Time
	random      *rand.Rand
	runningTime time.Duration
	published   []Condition
}

func newUpstream(seed uint64) *upstream {
	return &upstream{now: base, random: rand.New(rand.NewPCG(seed, 1))}
}

// run records n requests whose times are log-normally distributed, with the spread from the
// requirements of the traffic classes.
func (u *upstream) run(n int, factor, failing float64) {
	const sigma = 0.8
	for range n {
		u.now = u.now.Add(20 * time.Millisecond)
		x := factor * usual.Seconds() * math.Exp(sigma*u.random.NormFloat64()-sigma*sigma/2)
		failed := u.random.Float64() < failing
		u.tracker.RecordOutcome(u.now, time.Duration(x*float64(time.Second)), failed)
		u.publish()
	}
}

func (u *upstream) publish() {
	if c, changed := u.tracker.Next(u.now, u.runningTime); changed {
		u.published = append(u.published, c)
	}
}

// Guards against messages about healthy upstreams: their number grows with the number of
// nodes, and each makes all nodes avoid an upstream without need.
func TestHealthyUpstreamIsNotPublished(t *testing.T) {
	is := is.New(t)
	published := 0
	for seed := range uint64(50) {
		u := newUpstream(seed)
		u.run(2000, 1, 0.004)
		published += len(u.published)
	}
	is.True(published <= 2) // in 100,000 requests
}

// Guards against a slow upstream that other nodes keep using, and against one that stays
// avoided after it has recovered.
func TestSlowUpstreamIsPublishedAndCleared(t *testing.T) {
	is := is.New(t)
	u := newUpstream(1)
	u.run(100, 1, 0)
	is.Equal(len(u.published), 0)
	u.run(20, 12, 0)
	is.True(len(u.published) > 0)
	is.True(u.published[len(u.published)-1].Slow > time.Duration(slowFactor*float64(usual)))
	u.run(200, 1, 0)
	is.Equal(u.published[len(u.published)-1], Condition{})
}

// Guards against an upstream that fails some of its requests and stays in use, and against
// one that is avoided because of a single failure.
func TestFailingUpstreamIsPublished(t *testing.T) {
	is := is.New(t)
	u := newUpstream(2)
	u.run(100, 1, 0)
	u.run(1, 1, 1)
	is.Equal(len(u.published), 0)
	u.run(60, 1, 0.4)
	is.True(len(u.published) > 0)
	is.True(u.published[len(u.published)-1].Failing >= minFailing)
	u.run(400, 1, 0)
	is.Equal(u.published[len(u.published)-1], Condition{})
}

// Guards against an upstream that receives no requests because it failed, and whose recovery
// is therefore never noticed.
func TestConditionIsClearedWithoutOutcomes(t *testing.T) {
	is := is.New(t)
	u := newUpstream(3)
	u.run(100, 1, 0)
	u.run(50, 1, 1)
	is.True(u.tracker.published.Failing > 0)
	u.now = u.now.Add(2 * idleReset)
	u.publish()
	is.Equal(u.published[len(u.published)-1], Condition{})

	u.run(100, 12, 0)
	is.True(u.tracker.published.Slow > 0)
	u.now = u.now.Add(2 * idleReset)
	u.publish()
	is.Equal(u.tracker.published, Condition{})
	u.run(100, 1, 0)
	is.Equal(u.tracker.published, Condition{}) // earlier outcomes no longer count
}

// Guards against a hanging upstream that is used until the first request times out.
func TestHangingUpstreamIsPublished(t *testing.T) {
	is := is.New(t)
	u := newUpstream(4)
	u.run(100, 1, 0)
	u.runningTime = 3 * usual
	u.now = u.now.Add(3 * usual)
	u.publish()
	is.Equal(u.tracker.published.Slow, 3*usual)
	u.now = u.now.Add(2 * idleReset)
	u.runningTime = 2 * idleReset
	u.publish()
	is.Equal(u.tracker.published.Slow, 2*idleReset) // it still hangs
}

// Guards against too many messages about an upstream whose condition keeps changing.
func TestPublishRateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := newUpstream(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 20).Draw(t, "phases") {
			u.run(rapid.IntRange(1, 100).Draw(t, "requests"), rapid.Float64Range(0.2, 20).Draw(t, "factor"), rapid.Float64Range(0, 1).Draw(t, "failing"))
		}
		if most := int(u.now.Sub(base)/minWorseInterval) + 1; len(u.published) > most {
			t.Fatalf("%d conditions in %v", len(u.published), u.now.Sub(base))
		}
	})
}
