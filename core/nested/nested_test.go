package nested

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against requests that stay in the table after they have ended, and against a binary search that misses a
// parent: compares with a linear search.
func TestMatchFindsTheNearestParent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Parents
		deadlines := make(map[uint64]time.Time)
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			deadlines[id] = start.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "deadline")) * time.Millisecond)
			p.Add(id, "", deadlines[id], id%2 == 0)
			if old := uint64(rapid.IntRange(0, 80).Draw(t, "removed")); old < id {
				p.Remove(old, "", deadlines[old])
				delete(deadlines, old)
			}
		}
		call := start.Add(time.Duration(rapid.IntRange(-10, 300).Draw(t, "call")) * time.Millisecond)
		want := Match{}
		nearest := time.Hour
		for _, d := range deadlines {
			distance := call.Sub(d)
			want.coincidence = want.coincidence || (distance > narrow && distance <= 2*narrow+early)
			if distance >= -early && distance < nearest {
				nearest = distance
			}
		}
		want.close, want.possible = nearest <= narrow, nearest <= late
		got := p.Match(call)
		got.Retry = false
		if len(p.list) != len(deadlines) || got != want {
			t.Fatalf("%d of %d parents; %+v, want %+v", len(p.list), len(deadlines), got, want)
		}
	})
}

// Guards against client requests that are taken for nested calls because they have by chance the time limit of a
// running request, and against nested calls that are missed. Load: an upstream with 18 slots that starts 50, 90 or 200
// requests/s of 200 ms, each with 3 s of time limit; 40 nested calls/s, which the busy host delays by up to 12 ms;
// and 40 requests/s of clients on the same host on each of two routes, with limits of 3 s and 0.6 s.
func TestNestedCallsAreToldFromClientRequests(t *testing.T) {
	for _, perSecond := range []float64{50, 90, 200} {
		random := rand.New(rand.NewPCG(1, 2))
		var parents Parents
		var routes Routes
		type running struct {
			id            uint64
			end, deadline time.Time
		}
		var active []running
		counts, taken := make(map[string]int), make(map[string]int)
		recognise := func(route string, i int, deadline time.Time) {
			if ok := routes.Recognise(route, parents.Match(deadline)); i > 10000 { // after the first seconds
				counts[route]++
				if ok {
					taken[route]++
				}
			}
		}
		now := start
		for i := range 60000 { // milliseconds
			now = now.Add(time.Millisecond)
			for len(active) > 0 && !active[0].end.After(now) {
				parents.Remove(active[0].id, "", active[0].deadline)
				active = active[1:]
			}
			if random.Float64() < perSecond/1000 {
				r := running{uint64(i), now.Add(200 * time.Millisecond), now.Add(3 * time.Second)}
				active = append(active, r)
				parents.Add(r.id, "", r.deadline, false)
			}
			if random.Float64() < 0.04 && len(active) > 0 {
				delay := time.Duration(random.IntN(12)) * time.Millisecond
				recognise("nested", i, active[random.IntN(len(active))].deadline.Add(delay))
			}
			if random.Float64() < 0.04 {
				recognise("client", i, now.Add(3*time.Second))
				recognise("short", i, now.Add(600*time.Millisecond))
			}
		}
		t.Logf("%.0f/s: %v of %v", perSecond, taken, counts)
		is := is.New(t)
		is.True(float64(taken["nested"]) > 0.95*float64(counts["nested"]))
		is.True(float64(taken["client"]) < 0.01*float64(counts["client"]))
		is.True(float64(taken["short"]) < 0.01*float64(counts["short"]))
	}
}

// Guards against calls that are not taken for nested because they have a short time limit of their own, and against requests
// of clients that profit from the id of a request that does not run.
func TestCallNamesItsParent(t *testing.T) {
	is := is.New(t)
	var p Parents
	p.Add(1, "a7", time.Time{}, false)
	p.Add(2, "a7.b8", time.Time{}, true)
	for id, want := range map[string]bool{"a7.c9": true, "a7:c9": true, "a7.b8.c9": true, "a7": false, "a7x": false, "a.c9": false, ".c9": false, "": false} {
		_, ok := p.Named(id)
		is.Equal(ok, want)
	}
	parent, _ := p.Named("a7.b8.c9")
	is.Equal(parent, uint64(2))
	p.Remove(1, "a7", time.Time{})
	_, ok := p.Named("a7.c9")
	is.True(!ok)
}
