package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// Checks that a non-idempotent request is retried only if it certainly did not run,
// and none is retried after a failure on which a deeper layer has decided.
func TestDecide(t *testing.T) {
	is := is.New(t)
	base := Attempt{Number: 1, Remaining: time.Second}
	with := func(edit func(a *Attempt)) Verdict {
		a := base
		edit(&a)
		return Decide(a)
	}
	is.Equal(with(func(a *Attempt) {}), GiveUp)
	is.Equal(with(func(a *Attempt) { a.Idempotent = true }), Retry)
	is.Equal(with(func(a *Attempt) { a.NotRun = true }), Retry)
	is.Equal(with(func(a *Attempt) { a.NotRun, a.Unreached = true, true }), Reroute)
	is.Equal(with(func(a *Attempt) { a.NotRun, a.Unreached, a.Reroutes = true, true, MaxReroutes }), GiveUp)
	is.Equal(with(func(a *Attempt) { a.Idempotent, a.Number = true, MaxAttempts }), GiveUp)
	is.Equal(with(func(a *Attempt) { a.Idempotent, a.Number, a.Reroutes = true, MaxAttempts, 1 }), Retry)
	for _, stop := range []func(a *Attempt){
		func(a *Attempt) { a.NestedFailure = true },
		func(a *Attempt) { a.Terminal = true },
		func(a *Attempt) { a.Remaining = time.Millisecond },
	} {
		is.Equal(with(func(a *Attempt) { a.Idempotent, a.NotRun = true, true; stop(a) }), GiveUp)
	}
}

// Checks that retries stay within the share of the calls plus one per second and one more.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := uint32(rapid.IntRange(1, 50).Draw(t, "percent"))
		b := NewBudget(percent)
		now, calls, taken := start, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				n := rapid.IntRange(1, 500).Draw(t, "calls")
				for range n {
					b.CountCall()
				}
				calls += n
			},
			"retry": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "retries") {
					if b.Take(now) {
						taken++
					}
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				share := float64(percent) / float64(100+percent)
				allowed := float64(calls)*share + now.Sub(start).Seconds() + 1
				if float64(taken) > allowed+1e-6 {
					t.Fatalf("%d retries of %d calls at %d%%", taken, calls, percent)
				}
			},
		})
	})
}

// chain simulates nested calls through a chain of layers.
type chain struct {
	random         *rand.Rand
	budgets        []*Budget
	logical        []int // calls that the layer above made, without retries
	attempts       []int // attempts that reached each layer
	failureRate    float64
	lastLayerFails bool // the last layer fails every attempt of this call
	limited        bool // budgets and nested-failure marks are used
	now            time.Time
}

func (c *chain) run(layer int) (ok, nestedFailure bool) {
	c.attempts[layer]++
	last := layer+1 == len(c.attempts)
	if c.random.Float64() < c.failureRate || (last && c.lastLayerFails) {
		return false, false
	}
	if last {
		return true, false
	}
	c.logical[layer+1]++
	c.budgets[layer].CountCall()
	for n := 1; ; n++ {
		ok, nestedFailure = c.run(layer + 1)
		if ok {
			return true, false
		}
		verdict := Decide(Attempt{Number: n, Idempotent: true, NestedFailure: nestedFailure && c.limited, Remaining: time.Second})
		if verdict != Retry || (c.limited && !c.budgets[layer].Take(c.now)) {
			return false, true // this layer fails because of the one below
		}
	}
}

// amplification simulates calls through depth layers. It returns the largest number
// of attempts per call of a layer, and of attempts at a layer per call of the caller.
func amplification(depth, calls int, failureRate, lastLayerFailureRate float64, limited bool) (perLayer, total float64) {
	c := &chain{
		random: rand.New(rand.NewPCG(1, 2)), logical: make([]int, depth), attempts: make([]int, depth),
		failureRate: failureRate, limited: limited, now: start,
	}
	for range depth {
		c.budgets = append(c.budgets, NewBudget(0))
	}
	for range calls {
		c.now = c.now.Add(time.Millisecond)
		c.lastLayerFails = c.random.Float64() < lastLayerFailureRate
		c.run(0)
	}
	c.logical[0] = calls
	for i, n := range c.attempts {
		if c.logical[i] > 100 {
			perLayer = max(perLayer, float64(n)/float64(c.logical[i]))
		}
		total = max(total, float64(n)/float64(calls))
	}
	return perLayer, total
}

// Guards against retries that multiply over nested layers: at depth 28 with 10%
// failures there must be fewer than 1.1 attempts per call and layer. Without
// budgets and nested-failure marks they multiply.
func TestAmplificationAtDepth28(t *testing.T) {
	const calls = 5000
	for name, p := range map[string][2]float64{"each layer": {0.1, 0}, "last layer, same calls": {0, 0.1}} {
		perLayer, total := amplification(MaxDepth, calls, p[0], p[1], true)
		t.Logf("10%% failures of %s: %.3f attempts per call and layer, at most %.3f per call of the caller", name, perLayer, total)
		if perLayer >= 1.1 || total >= 1.1 {
			t.Errorf("%s: %.3f and %.3f, want under 1.1", name, perLayer, total)
		}
	}
	if _, unlimited := amplification(8, 300, 0, 0.1, false); unlimited < 100 {
		t.Errorf("the baseline multiplies only by %.1f: the test shows nothing", unlimited)
	}
}
