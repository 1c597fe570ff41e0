package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// mixedKinds returns kinds of requests whose work differs by a factor of 17 and whose goals by one of 25, with factor
// times the capacity of 18 slots together.
func mixedKinds(factor float64) []*simKind {
	kind := func(share float64, priority uint32, work, goal, limit time.Duration) *simKind {
		return &simKind{
			perSecond: factor * 18 * share / work.Seconds(), work: work, goal: goal, timeLimit: limit,
			request: Request{Priority: priority, ServiceTime: work},
		}
	}
	return []*simKind{
		kind(0.15, 0, 50*time.Millisecond, 200*time.Millisecond, 600*time.Millisecond),
		kind(0.25, 1, 210*time.Millisecond, 800*time.Millisecond, 3*time.Second),
		kind(0.2, 1, 120*time.Millisecond, 500*time.Millisecond, 1500*time.Millisecond),
		kind(0.4, 2, 850*time.Millisecond, 5*time.Second, 10*time.Second),
	}
}

func (k *simKind) servedShare() float64 { return float64(k.timely+k.late) / float64(k.offered) }

// earnedShare values a late answer at half of a timely one.
func (k *simKind) earnedShare() float64 {
	return (float64(k.timely) + 0.5*float64(k.late)) / float64(k.offered)
}

// Guards against urgent requests that are served less often than patient ones of the same service, because the patient
// ones fill the queue, and against patient ones that are starved. Load: 1.2 to 2.5 times the capacity of 18 slots, with
// work of 50 to 850 ms and goals of 0.2 to 5 s.
func TestUrgentKindsAreServedNoLessUnderOverload(t *testing.T) {
	for _, factor := range []float64{1.2, 1.6, 2.5} {
		is := is.New(t)
		kinds := mixedKinds(factor)
		var o overload
		o.run(18, 60*time.Second, kinds...)
		offered, served, useful := 0, 0, 0.0
		for i, k := range kinds {
			t.Logf("load %.1f, work %v: served %.2f, earned %.2f, too late for their time limit %d of %d", factor, k.work, k.servedShare(), k.earnedShare(), k.useless, k.offered)
			offered, served = offered+k.offered, served+k.timely+k.late
			useful += float64(k.timely+k.late) * k.work.Seconds()
			for _, urgent := range kinds[:i] {
				if urgent.request.Priority < k.request.Priority {
					is.True(urgent.servedShare() > k.servedShare()-0.05)
					is.True(urgent.earnedShare() > k.earnedShare()-0.15)
				}
			}
		}
		for _, k := range kinds {
			is.True(k.servedShare() > 0.25*float64(served)/float64(offered))
			is.True(k.useless < k.offered/50)
		}
		is.True(useful > 0.93*18*60) // the capacity is used for answers that are still wanted
	}
}

// Guards against requests that are rejected in a peak of a second although their time limit is far away. Load: 0.7 times
// the capacity, and 2.5 times for one second in eight.
func TestShortPeakIsWaitedOut(t *testing.T) {
	is := is.New(t)
	kinds := mixedKinds(0.7)
	for _, k := range kinds {
		k.peak = func(elapsed time.Duration) float64 {
			if elapsed%(8*time.Second) < time.Second {
				return 2.5 / 0.7
			}
			return 1
		}
	}
	var o overload
	o.run(18, 64*time.Second, kinds...)
	for _, k := range kinds {
		t.Logf("work %v, time limit %v: served %.3f, earned %.3f", k.work, k.timeLimit, k.servedShare(), k.earnedShare())
		if k.timeLimit >= 1500*time.Millisecond { // longer than the peak
			is.True(k.servedShare() > 0.97)
		}
	}
}
