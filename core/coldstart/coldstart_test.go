package coldstart

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	base      = time.Unix(1000, 0)
	bound     = NewBound(17, 1.5, 8)
	coldStart = 8 * time.Second
)

const hardBound = 17*1.5 + 8

// Guards against more arrivals in a second than a cold upstream survives, whatever the demand, with requests that take up to
// 240 ms to arrive, and also in the second in which a warm upstream turns out to be cold.
func TestArrivalsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker(base)
		now, cold, coldAt := base, false, time.Time{}
		var arrivals []time.Time
		pause := rapid.IntRange(2, 40).Draw(t, "longest pause")
		late := rapid.IntRange(0, 700).Draw(t, "late") // requests before it take longest to arrive
		for i := range rapid.IntRange(1, 700).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, pause).Draw(t, "pause")) * time.Millisecond)
			if !cold && rapid.IntRange(0, 50).Draw(t, "event") == 0 {
				tracker.Assume(now)
				cold, coldAt = true, now
			}
			if tracker.Take(now, bound, time.Hour) && cold {
				delay := rapid.IntRange(0, 240).Draw(t, "delay")
				if i < late {
					delay = 240
				}
				arrivals = append(arrivals, now.Add(time.Duration(delay)*time.Millisecond))
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		for i := range arrivals {
			n := 0
			for _, a := range arrivals[i:] {
				if a.Sub(arrivals[i]) <= time.Second {
					n++
				}
			}
			if float64(n) > hardBound {
				t.Fatalf("%d arrivals within a second, cold since %v", n, coldAt)
			}
		}
	})
}

// Guards against a bound of 0, which would never warm an upstream up, and one where the plan sets none.
func TestBounds(t *testing.T) {
	is := is.New(t)
	is.True(!NewBound(0, 1.5, 8).Applies())
	is.Equal(NewBound(0.1, 0, 0).limit, 1)
	is.Equal(bound.limit, 26)
	is.Equal(NewBound(20, 0, 0).limit, 16) // without settings, the rate itself is the bound
}

// Guards against an upstream that is taken for warm on old evidence, and one that stays bounded although it is warm.
func TestEvidenceOfSlowStart(t *testing.T) {
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		events func(k *Tracker)
		at     int
		cold   bool
	}{
		"a process that states its slow start":     {func(k *Tracker) { k.Started(at(0), 3*time.Second) }, 2900, true},
		"its end":                                  {func(k *Tracker) { k.Started(at(0), 3*time.Second) }, 3101, false},
		"a process that may be old":                {func(k *Tracker) { k.Started(at(0), 0) }, 7900, true},
		"the end of any slow start":                {func(k *Tracker) { k.Started(at(0), 0) }, 8101, false},
		"cold again under the same instance id":    {func(k *Tracker) { k.Started(at(0), 0); k.Probed(at(1), at(2), 0); k.Announced(at(100), coldStart) }, 5000, true},
		"one announcement without a slow start":    {func(k *Tracker) { k.Assume(at(0)); k.Announced(at(100), 0); k.Announced(at(900), 0) }, 1000, true},
		"two of them":                              {func(k *Tracker) { k.Assume(at(0)); k.Announced(at(100), 0); k.Announced(at(1600), 0) }, 1601, false},
		"two around an event":                      {func(k *Tracker) { k.Announced(at(0), 0); k.Assume(at(1000)); k.Announced(at(1600), 0) }, 1601, true},
		"a probe without a slow start":             {func(k *Tracker) { k.Assume(at(0)); k.Probed(at(1), at(5), 0) }, 6, false},
		"a probe that was sent before the event":   {func(k *Tracker) { k.Assume(at(3)); k.Probed(at(1), at(5), 0) }, 6, true},
		"a probe with a slow start":                {func(k *Tracker) { k.Assume(at(0)); k.Probed(at(1), at(5), time.Second) }, 1000, true},
		"an announcement while a probe is sent":    {func(k *Tracker) { k.Announced(at(3), time.Second); k.Probed(at(1), at(5), 0) }, 1000, true},
		"a wrong announcement, which a probe ends": {func(k *Tracker) { k.Announced(at(0), time.Hour); k.Probed(at(1), at(5), time.Second) }, 2000, false},
	} {
		k := NewTracker(base)
		c.events(k)
		if got := k.Left(at(c.at), coldStart) > 0; got != c.cold {
			t.Errorf("%s: cold %v", name, got)
		}
	}
}

// Guards against entries that all send at once to a cold upstream, so that it rejects most of them, and against an upstream
// that takes less than it could. The load: 60 entries, of which 15 have ten requests per second each for a cold
// upstream, and the others none or one.
func TestEntriesShareAColdUpstream(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	tracker := NewTracker(base.Add(-window))
	tracker.Assume(base)
	const entries, steps = 60, 800 // of 10 ms
	pacers := make([]*Pacer, entries)
	for i := range pacers {
		pacers[i] = NewPacer()
	}
	taken, rejected, first := 0, 0, 0
	perEntry := make([]int, entries)
	for step := range steps {
		now := base.Add(time.Duration(step) * 10 * time.Millisecond)
		for i, p := range pacers {
			demand := 0.1
			if i >= entries/4 {
				demand = 0.01 * float64(i%2)
			}
			if random.Float64() >= demand || !p.Due(now, "g", bound, entries, random.Float64()) {
				continue
			}
			p.Sent(now, "g", random.Float64())
			ok := tracker.Take(now, bound, time.Hour)
			p.Answered("g", ok, tracker.RoomShare(now, bound), bound)
			if ok {
				taken++
				perEntry[i]++
			} else {
				rejected++
			}
		}
		if step == 9 {
			first = taken + rejected
		}
	}
	share := float64(taken) / (bound.Rate() * steps / 100)
	t.Logf("taken %d, %.2f of the bound, rejected %d, in the first 100 ms %d, most by one entry %d", taken, share, rejected, first, slices.Max(perEntry))
	is.True(first <= 10)
	is.True(share >= 0.7)
	is.True(rejected <= taken)
	is.True(slices.Max(perEntry) <= taken/5)
}
