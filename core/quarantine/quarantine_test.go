package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

var start = time.Unix(1_000_000, 0)

const poison uint64 = 99

// Checks that one request crashes at most 2 upstreams and causes no other request
// to be rejected, for any order of crashes, duplicates and messages, provided that
// the records of a crash are delivered before the request is retried. Duplicates
// that run at the same time crash their upstreams before anything is known; such a
// group counts as one crash.
func TestOneRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		gates := make([]*Registry, 4)
		for i := range gates {
			gates[i] = New()
		}
		broadcast := func(from int, records []*pb.SuspectRecord) {
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
				if i != from {
					gates[i].Merge(now, records)
				}
			}
		}
		crashes := 0
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			g := rapid.IntRange(0, 3).Draw(t, "gate")
			var neighbours []uint64
			for fp := range uint64(4) {
				h := gates[g].Handle(now, "s", fp, false)
				if h == Reject {
					t.Fatalf("request %d is rejected, it never crashed anything", fp)
				}
				if h == Run {
					neighbours = append(neighbours, fp)
				} else {
					broadcast(g, gates[g].Completed(now, fp, true))
				}
			}
			h := gates[g].Handle(now, "s", poison, rapid.Bool().Draw(t, "hint") && crashes > 0)
			switch h {
			case Run:
				crashes++
				broadcast(g, gates[g].Crashed(now, "s", append(neighbours, poison, poison)))
			case RunAlone:
				crashes++
				broadcast(g, gates[g].Crashed(now, "s", []uint64{poison}))
			}
		}
		if crashes > 2 {
			t.Fatalf("%d upstreams crashed", crashes)
		}
	})
}

func suspect(at time.Time) []*pb.SuspectRecord {
	return []*pb.SuspectRecord{{Fingerprint: poison, Service: "s", State: pb.SuspectState_SUSPECT_STATE_SUSPECT, Crashes: 1, ChangedUnixMs: at.UnixMilli()}}
}

// Checks how a request is handled after a sequence of events.
func TestHandling(t *testing.T) {
	sec := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	crash := func(at int) func(*Registry) {
		return func(r *Registry) { r.Crashed(sec(at), "s", []uint64{poison}) }
	}
	merge := func(at int) func(*Registry) {
		return func(r *Registry) { r.Merge(sec(at), suspect(sec(at))) }
	}
	cases := []struct {
		name   string
		events []func(*Registry)
		at     int
		want   Handling
	}{
		{"unknown", nil, 0, Run},
		{"after a crash", []func(*Registry){crash(0)}, 29, RunAlone},
		{"two duplicates at one crash", []func(*Registry){func(r *Registry) { r.Crashed(sec(0), "s", []uint64{poison, 1, poison}) }}, 1, RunAlone},
		{"runs beside others again after 30 s", []func(*Registry){crash(0)}, 30, Run},
		{"second crash after 40 s", []func(*Registry){crash(0), crash(40)}, 41, Reject},
		{"crash at another gate", []func(*Registry){merge(0)}, 1, RunAlone},
		{"the same record twice", []func(*Registry){merge(0), merge(0)}, 1, RunAlone},
		{"different crashes at two gates", []func(*Registry){crash(0), merge(1)}, 2, Reject},
		{"hint, then the record of that crash", []func(*Registry){func(r *Registry) { r.Handle(sec(0), "s", poison, true) }, merge(1)}, 2, RunAlone},
		{"cleared", []func(*Registry){crash(0), func(r *Registry) { r.Completed(sec(1), poison, true) }}, 2, Run},
		{"not cleared beside others", []func(*Registry){crash(0), func(r *Registry) { r.Completed(sec(1), poison, false) }}, 2, RunAlone},
		{"older record after clearing", []func(*Registry){crash(0), func(r *Registry) { r.Completed(sec(1), poison, true); r.Merge(sec(2), suspect(sec(0))) }}, 3, Run},
		{"rejected stays rejected after a cleared record", []func(*Registry){crash(0), crash(1), func(r *Registry) {
			r.Merge(sec(5), []*pb.SuspectRecord{{Fingerprint: poison, State: pb.SuspectState_SUSPECT_STATE_CLEARED, ChangedUnixMs: sec(5).UnixMilli()}})
		}}, 6, Reject},
		{"rejected as long as attempts go on", []func(*Registry){crash(0), crash(1), func(r *Registry) { r.Handle(sec(599), "s", poison, false) }}, 1100, Reject},
		{"forgotten after 10 minutes without an attempt", []func(*Registry){crash(0), crash(1)}, 700, Run},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			for _, e := range c.events {
				e(r)
			}
			is.New(t).Equal(r.Handle(sec(c.at), "s", poison, false), c.want)
		})
	}
}

// Checks that the number of records is bounded and that a rejected request is not
// evicted in favour of newer suspects.
func TestBoundedMemory(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Crashed(start, "s", []uint64{poison})
	r.Crashed(start, "s", []uint64{poison})
	for i := range uint64(maxRecords + 100) {
		r.Crashed(start.Add(time.Second), "s", []uint64{1000 + i})
	}
	is.Equal(len(r.Records(start.Add(time.Second))), maxRecords)
	is.Equal(r.Handle(start.Add(2*time.Second), "s", poison, false), Reject)
}
