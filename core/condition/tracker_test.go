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

// upstream simulates requests one after the other, at a fixed pace.
type upstream struct {
	tracker Tracker
	now     time.Time
	random  *rand.Rand
	hanging time.Duration
	told    []Condition
}

func newUpstream(seed uint64) *upstream {
	return &upstream{now: base, random: rand.New(rand.NewPCG(seed, 1))}
}

// run sends requests whose times have the spread that the class sheets state.
func (u *upstream) run(n int, factor, failing float64) {
	const sigma = 0.8
	for range n {
		u.now = u.now.Add(20 * time.Millisecond)
		x := factor * usual.Seconds() * math.Exp(sigma*u.random.NormFloat64()-sigma*sigma/2)
		failed := u.random.Float64() < failing
		u.tracker.Answered(u.now, time.Duration(x*float64(time.Second)), failed)
		u.next()
	}
}

func (u *upstream) next() {
	if c, changed := u.tracker.Next(u.now, u.hanging); changed {
		u.told = append(u.told, c)
	}
}

// Guards against messages about upstreams that do as usual: their number grows
// with the nodes, and each makes all nodes avoid an upstream for nothing.
func TestUsualUpstreamIsNotTold(t *testing.T) {
	is := is.New(t)
	told := 0
	for seed := range uint64(50) {
		u := newUpstream(seed)
		u.run(2000, 1, 0.004)
		told += len(u.told)
	}
	is.True(told <= 2) // in 100,000 requests
}

// Guards against a slow upstream that other nodes keep asking, and against one
// that stays avoided after it has recovered.
func TestSlowUpstreamIsToldAndTakenBack(t *testing.T) {
	is := is.New(t)
	u := newUpstream(1)
	u.run(100, 1, 0)
	is.Equal(len(u.told), 0)
	u.run(20, 12, 0)
	is.True(len(u.told) > 0)
	is.True(u.told[len(u.told)-1].Slow > time.Duration(slowFactor*float64(usual)))
	u.run(200, 1, 0)
	is.Equal(u.told[len(u.told)-1], Condition{})
}

// Guards against an upstream that fails part of its requests and stays in use,
// and against one that is avoided for a single failure.
func TestFailingUpstreamIsTold(t *testing.T) {
	is := is.New(t)
	u := newUpstream(2)
	u.run(100, 1, 0)
	u.run(1, 1, 1)
	is.Equal(len(u.told), 0)
	u.run(60, 1, 0.4)
	is.True(len(u.told) > 0)
	is.True(u.told[len(u.told)-1].Failing >= failingFrom)
	u.run(400, 1, 0)
	is.Equal(u.told[len(u.told)-1], Condition{})
}

// Guards against an upstream that nobody asks, because it failed, and that is
// therefore never found to have recovered.
func TestConditionIsForgottenWithoutOutcomes(t *testing.T) {
	is := is.New(t)
	u := newUpstream(3)
	u.run(100, 1, 0)
	u.run(50, 1, 1)
	is.True(u.tracker.told.Failing > 0)
	u.now = u.now.Add(2 * forgetAfter)
	u.next()
	is.Equal(u.told[len(u.told)-1], Condition{})

	u.run(100, 12, 0)
	is.True(u.tracker.told.Slow > 0)
	u.now = u.now.Add(2 * forgetAfter)
	u.next()
	is.Equal(u.tracker.told, Condition{})
	u.run(100, 1, 0)
	is.Equal(u.tracker.told, Condition{}) // what it was does not count any more
}

// Guards against an upstream that hangs and is asked until the first request times out.
func TestHangingUpstreamIsTold(t *testing.T) {
	is := is.New(t)
	u := newUpstream(4)
	u.run(100, 1, 0)
	u.hanging = 3 * usual
	u.now = u.now.Add(3 * usual)
	u.next()
	is.Equal(u.tracker.told.Slow, 3*usual)
	u.now = u.now.Add(2 * forgetAfter)
	u.hanging = 2 * forgetAfter
	u.next()
	is.Equal(u.tracker.told.Slow, 2*forgetAfter) // it still hangs
}

// Guards against a flood of messages about an upstream whose condition changes all the time.
func TestConditionsAreToldSeldom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := newUpstream(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 20).Draw(t, "phases") {
			u.run(rapid.IntRange(1, 100).Draw(t, "requests"), rapid.Float64Range(0.2, 20).Draw(t, "factor"), rapid.Float64Range(0, 1).Draw(t, "failing"))
		}
		if most := int(u.now.Sub(base)/worseAfter) + 1; len(u.told) > most {
			t.Fatalf("%d conditions in %v", len(u.told), u.now.Sub(base))
		}
	})
}
