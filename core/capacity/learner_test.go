package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// meanWork is the mean of a log-normal with a median of 1, a sigma of 0.8 and the tail.
const meanWork = 1.377 * 1.18

const median = 210 * time.Millisecond

// rate returns the requests per second that this many slots at full speed complete.
func rate(slots float64) float64 { return slots / (median.Seconds() * meanWork) }

// during returns a function that is a in a span of time and b otherwise.
func during(from, to time.Duration, a, b float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return a
		}
		return b
	}
}

func always(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

// neighbour slows a host by a factor of 2.5 for 0.6 s every 8 s.
func neighbour(now time.Duration) float64 {
	if now%(8*time.Second) < 600*time.Millisecond {
		return 0.4
	}
	return 1
}

// results runs a load with each policy and logs what came out.
func results(t *testing.T, seed uint64, l load, hosts func() []host) (f, n, b outcome) {
	t.Helper()
	if l.kinds == nil {
		l.kinds = []time.Duration{median}
	}
	l.spread = 0.8
	f, n, b = simulate(seed, fixed, l, hosts()...), simulate(seed, learned, l, hosts()...), simulate(seed, best, l, hosts()...)
	for i, o := range []outcome{f, n, b} {
		t.Logf("seed %d, %s: p50 %v, p99 %v, refused %.4f, distance %.3f, limits %v, trials %d, changes %q", seed,
			[...]string{"fixed slots", "learned", "best split"}[i], o.p50, o.p99, o.refused, distance(o.served, b.served), o.limits, o.trials, o.changes)
	}
	return f, n, b
}

// Guards against a limit that moves although the upstream has no knee: in every load here, a lower limit only costs.
func TestWithoutKneeNothingIsLimited(t *testing.T) {
	alike := func() []host { return []host{{slots: 9}, {slots: 9}, {slots: 9}} }
	all := rate(27)
	for name, c := range map[string]struct {
		load  load
		hosts func() []host
		check func(is *is.I, learned, best outcome)
	}{
		"speeds of 0.5, 1 and 1.5 at 0.9 of the capacity": {load{perSecond: always(0.9 * all), length: 120 * time.Second, measured: 20 * time.Second}, func() []host {
			return []host{{slots: 9, speed: always(0.5)}, {slots: 9}, {slots: 9, speed: always(1.5)}}
		}, func(is *is.I, learned, best outcome) {
			is.True(distance(learned.served, best.served) <= 0.05) // the goal of the requirements, over all seeds
		}},
		"a neighbour for 0.6 s every 8 s at 0.8": {load{perSecond: always(0.8 * all), length: 120 * time.Second}, func() []host {
			return []host{{slots: 9, speed: neighbour}, {slots: 9}, {slots: 9}}
		}, nil},
		"half speed for 10 s at 0.8": {load{perSecond: always(0.8 * all), length: 60 * time.Second}, func() []host {
			return []host{{slots: 9, speed: during(20*time.Second, 30*time.Second, 0.5, 1)}, {slots: 9}, {slots: 9}}
		}, nil},
		"a step up from half speed after a restart at 0.8": {load{perSecond: always(0.8 * all), length: 60 * time.Second}, func() []host {
			return []host{{slots: 9, speed: during(0, 30*time.Second, 0.5, 1), restarts: 30 * time.Second}, {slots: 9}, {slots: 9}}
		}, nil},
		"noise alone, kinds of 50 ms and 850 ms, at 0.8":  {load{perSecond: always(0.8 * all * 0.21 / 0.45), kinds: []time.Duration{50 * time.Millisecond, 850 * time.Millisecond}, length: 300 * time.Second}, alike, nil},
		"overload, twice the capacity after a quiet time": {load{perSecond: during(0, 20*time.Second, 0.4*all, 2*all), length: 120 * time.Second}, alike, nil},
		"fast errors for 10 s at 0.8": {load{perSecond: always(0.8 * all), length: 60 * time.Second}, func() []host {
			return []host{{slots: 9, errorsAt: func(now time.Duration) bool { return now/time.Second/10 == 2 }}, {slots: 9}, {slots: 9}}
		}, func(is *is.I, learned, _ outcome) {
			bad, all := 0, 0
			for _, answers := range learned.bySecond[20:30] {
				bad, all = bad+answers[0], all+answers[0]+answers[1]+answers[2]
			}
			is.True(3*bad <= all) // errors attract no load
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all, allBest := outcome{served: make([]int, 3), bySecond: make([][]int, 301)}, outcome{served: make([]int, 3)}
			for i := range all.bySecond {
				all.bySecond[i] = make([]int, 3)
			}
			for seed := range uint64(2) {
				f, n, b := results(t, seed, c.load, c.hosts)
				is.Equal(n.changes, nil)      // no limit moves
				is.Equal(n.trials, uint64(0)) // and no trial holds the upstream back
				is.Equal(n.served, f.served)  // so that all is as with fixed slots
				is.Equal([]any{n.p50, n.p99, n.refused}, []any{f.p50, f.p99, f.refused})
				for i := range n.served {
					all.served[i], allBest.served[i] = all.served[i]+n.served[i], allBest.served[i]+b.served[i]
				}
				for second, answers := range n.bySecond {
					for i := range answers {
						all.bySecond[second][i] += answers[i]
					}
				}
			}
			if c.check != nil {
				c.check(is, all, allBest)
			}
		})
	}
}

// Guards against a split that follows a change of speed late, or does not return.
func TestSplitFollowsHalfSpeed(t *testing.T) {
	is := is.New(t)
	sums := make(map[string][2]float64)
	const seeds = 6
	for seed := range uint64(seeds) {
		_, n, b := results(t, seed, load{perSecond: always(0.9 * rate(27)), length: 60 * time.Second}, func() []host {
			return []host{{slots: 9, speed: during(20*time.Second, 30*time.Second, 0.5, 1)}, {slots: 9}, {slots: 9}}
		})
		for name, span := range map[string][2]int{"slow": {22, 30}, "back": {32, 60}} {
			sum := sums[name]
			for i, o := range []outcome{n, b} {
				for _, answers := range o.bySecond[span[0]:span[1]] {
					sum[i] += float64(answers[0]) / float64((answers[0]+answers[1]+answers[2])*(span[1]-span[0])*seeds)
				}
			}
			sums[name] = sum
		}
	}
	t.Logf("share of the slow host, learned and best: %.3f from 2 s after the begin, %.3f from 2 s after the end", sums["slow"], sums["back"])
	for _, sum := range sums {
		is.True(math.Abs(sum[0]-sum[1]) <= 0.05) // the goal of the requirements
	}
}

// Guards against evidence from errors, and against evidence that outlives what it is about.
func TestWhatIsForgotten(t *testing.T) {
	now, id := origin, uint64(0)
	// run lets requests end one after the other while the given number runs; each takes the given time.
	run := func(l *Learner, n, concurrency int, each time.Duration, good bool) {
		for range n {
			first := id
			for range concurrency {
				id++
				l.Started(now, id)
			}
			now = now.Add(each)
			for i := first + 1; i <= id; i++ {
				l.Ended(now, i, "r", each, good)
			}
			l.Tick(now)
		}
	}
	for name, c := range map[string]struct {
		event  func(*Learner)
		reason Reason
	}{
		"another version":         {func(l *Learner) { l.Announce(9, "v2") }, Announced},
		"another number of slots": {func(l *Learner) { l.Announce(9, "v1"); l.Announce(12, "v1"); l.Announce(9, "v1") }, Announced},
		"a slow start":            {func(l *Learner) { l.SlowStart() }, SlowStart},
		"a limit not reached":     {func(l *Learner) { now = now.Add(2 * unusedTime); l.trial = nil; l.Tick(now) }, NotReached},
		"the same announcement":   {func(l *Learner) { l.Announce(9, "v1") }, Knee},
		"fast errors":             {func(l *Learner) { run(l, 3000, l.InForce(), 2*time.Millisecond, false) }, Knee},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New(9, "v1")
			run(l, 20, 9, 100*time.Millisecond, true)
			for range 5 {
				l.setLimit(now, l.lower(), Knee)
			}
			c.event(l)
			limit, reason := l.Limit()
			is.Equal(reason, c.reason)
			if c.reason == Knee {
				is.Equal(limit, 3) // never below a third
			} else {
				is.Equal([]int{limit, l.InForce()}, []int{9, 9})
			}
		})
	}
	l := New(9, "v1")
	for i := range uint64(1000) {
		l.Started(now, i)
		l.Ended(now.Add(time.Millisecond), i, time.Duration(i).String(), time.Millisecond, true)
	}
	is.New(t).True(len(l.kinds) <= maxKinds+1) // names of routes do not grow the state without bound
}

// Guards against an upstream that stays in the state in which all slots are taken and it completes less.
func TestKneeAtHalfOfTheSlots(t *testing.T) {
	const capacity = 22.5 // slots at full speed of one host with the knee and two without
	for name, top := range map[string]float64{"at 0.9 of the capacity": 0.9, "at 1.2 of the capacity": 1.2} {
		for power, kind := range map[float64]string{1: "the throughput stays", 1.5: "the throughput falls"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				is := is.New(t)
				lowered, refusedFixed, refusedLearned, off := 0, 0.0, 0.0, 0.0
				const seeds = 3
				for seed := range uint64(seeds) {
					f, n, b := results(t, seed, load{perSecond: during(0, 10*time.Second, 0.4*rate(capacity), top*rate(capacity)), length: 300 * time.Second, measured: 120 * time.Second}, func() []host {
						return []host{{slots: 9, knee: 4.5, power: power}, {slots: 9}, {slots: 9}}
					})
					if n.limits[0] < 9 {
						lowered++
					}
					is.Equal(n.limits[1:], []int{9, 9}) // only the host with the knee is limited
					refusedFixed, refusedLearned, off = refusedFixed+f.refused/seeds, refusedLearned+n.refused/seeds, off+distance(n.served, b.served)/seeds
				}
				t.Logf("limit lowered in %d of %d runs, refused %.4f with fixed slots, %.4f learned, distance %.3f", lowered, seeds, refusedFixed, refusedLearned, off)
				is.True(refusedLearned <= refusedFixed+0.005) // the limit costs nothing
				if power > 1 {
					is.True(lowered > seeds/2)             // the knee is found
					is.True(refusedLearned < refusedFixed) // and the limit pays
				}
				is.True(off <= 0.05) // the goal of the requirements
			})
		}
	}
}
