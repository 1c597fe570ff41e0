package dependency

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var base = time.Unix(1000, 0)

// Load: a service is called directly by urgent requests and by nested calls, which go first, of less urgent requests; together
// they need one and a half times its capacity. Guards against urgent requests that are displaced by nested calls of less urgent
// ones: without a limit on the parents, all nested calls are served and the urgent requests get what is left.
func TestParentsGiveWayToMoreUrgentRequests(t *testing.T) {
	is := is.New(t)
	const capacity, urgent, parents = 100.0, 70.0, 80.0 // per 100 ms
	run := func(limited bool) (urgentShare, parentShare float64) {
		random := rand.New(rand.NewPCG(1, 2))
		var r Routes
		rejected, served, started := 0.0, 0.0, 0.0
		for step := range 300 {
			now := base.Add(time.Duration(step) * 100 * time.Millisecond)
			calls := 0.0
			for range int(parents) {
				if !limited || random.Float64() >= r.Rejection(now, "parent", 2) {
					calls++
				}
			}
			room := max(0, capacity-calls)
			rejected += 0.05 * (1 - min(1, room/urgent) - rejected) // the service counts over about 2 s
			for range int(calls) {
				r.Learn(now, "parent", Shares{rejected}, false)
			}
			if step >= 100 {
				served += min(urgent, room)
				started += calls
			}
		}
		return served / (200 * urgent), started / (200 * parents)
	}
	urgentAlone, parentAlone := run(false)
	urgentShare, parentShare := run(true)
	t.Logf("urgent %.2f -> %.2f, parents %.2f -> %.2f", urgentAlone, urgentShare, parentAlone, parentShare)
	is.True(urgentAlone < 0.35)
	is.True(urgentShare > parentShare) // the urgent ones are served at least as often
	is.True(urgentShare+parentShare > 1.1)
}

// Guards against a route that stays limited after the overload of the service that it calls, and against one that is limited
// because of requests that are less urgent.
func TestLimitEndsWithTheOverload(t *testing.T) {
	is := is.New(t)
	var r Routes
	for i := range 100 {
		r.Learn(base.Add(time.Duration(i)*10*time.Millisecond), "a", Shares{0.4}, false)
		r.Learn(base.Add(time.Duration(i)*10*time.Millisecond), "b", Shares{0, 0.9, 0.9}, false)
	}
	is.True(r.Rejection(base.Add(time.Second), "a", 1) > 0.3)
	is.Equal(r.Rejection(base.Add(time.Second), "b", 0), 0.0)
	is.Equal(r.Rejection(base.Add(time.Second), "unknown", 2), 0.0)
	is.Equal(r.Rejection(base.Add(8*time.Second), "a", 2), 0.0)
	for range 100 {
		r.Learn(base, "c", Shares{}, true)
	}
	is.True(r.Rejection(base, "c", 0) > 0.8) // the nested calls themselves are rejected
}
