package suspects

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

var start = time.Unix(1_000_000, 0)

func sec(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Second))) }

const crasher uint64 = 99

// Checks how a request is handled after a sequence of events.
func TestHandling(t *testing.T) {
	type event func(*Registry)
	ended := func(at float64, upstream string, inProgress ...uint64) event {
		return func(r *Registry) { r.Ended(sec(at), upstream, "s", inProgress) }
	}
	completed := func(at float64) event { return func(r *Registry) { r.Completed(sec(at), crasher) } }
	merged := func(at float64, upstream string, age float64, refuted bool) event {
		return func(r *Registry) {
			r.Merge(sec(at), []*pb.SuspectRequest{{Fingerprint: crasher, Service: "s", Crashes: []*pb.UpstreamCrash{
				{Upstream: upstream, AgeMs: uint64(age * 1000), Refuted: refuted},
			}}}, false)
		}
	}
	for _, c := range []struct {
		name   string
		events []event
		at     float64
		want   Handling
	}{
		{"unknown", nil, 0, Run},
		{"after a crash", []event{ended(0, "a", crasher)}, 1, Isolate},
		{"crash is forgotten", []event{ended(0, "a", crasher)}, 600, Run},
		{"after two crashes", []event{ended(0, "a", crasher), ended(1, "b", crasher)}, 1.1, Reject},
		{"twice in progress at one crash", []event{ended(0, "a", crasher, crasher)}, 1, Isolate},
		{"first trial", []event{ended(0, "a", crasher), ended(1, "b", crasher)}, 6, Isolate},
		{"first trial, others wait as well", []event{
			ended(0, "a", crasher), ended(1, "b", crasher), ended(2, "c", 100), ended(3, "d", 100), ended(2, "e", 101), ended(3, "f", 101),
		}, 6, Isolate},
		{"second of three trials", []event{
			ended(0, "a", crasher), ended(1, "b", crasher), ended(2, "c", 97), ended(3, "d", 97), ended(2, "e", 98), ended(3, "f", 98), ended(2, "g", 102), ended(3, "h", 102),
		}, 20.9, Reject},
		{"after a failed trial", []event{ended(0, "a", crasher), ended(1, "b", crasher), ended(6, "c", crasher)}, 600, Reject},
		{"second trial", []event{ended(0, "a", crasher), ended(1, "b", crasher), ended(6, "c", crasher)}, 606, Isolate},
		{"third trial is later", []event{ended(0, "a", crasher), ended(1, "b", crasher), ended(6, "c", crasher), ended(700, "d", crasher)}, 1899, Reject},
		{"completed after one crash", []event{ended(0, "a", crasher), completed(1)}, 1, Run},
		{"completed in a trial", []event{ended(0, "a", crasher), ended(1, "b", crasher), completed(4)}, 4, Run},
		{"in progress at a crash after it completed", []event{ended(0, "a", crasher), completed(1), ended(30, "b", crasher, 1, 2)}, 30, Run},
		{"in progress at three crashes after it completed", []event{
			completed(1), ended(30, "b", crasher, 1, 2), ended(31, "c", crasher, 1, 2), ended(32, "d", crasher, 1, 2),
		}, 32, Isolate},
		{"alone at two crashes after it completed", []event{completed(1), ended(30, "b", crasher), ended(31, "c", crasher)}, 31, Reject},
		{"popular request", []event{completed(9), ended(10, "a", crasher)}, 10, Run},
		{"popular request at two crashes", []event{completed(9), ended(10, "a", crasher), completed(11), ended(12, "b", crasher)}, 12, Run},
		{"popular request that crashes all upstreams from now on", []event{completed(9), ended(10, "a", crasher), ended(10.1, "b", crasher), ended(10.2, "c", crasher)}, 10.3, Reject},
		{"popular request, crash at another node", []event{completed(9.9), merged(10, "a", 0.2, false)}, 10, Run},
		{"bystander of a suspect", []event{ended(0, "a", 1), ended(1, "b", 1, crasher)}, 1, Isolate},
		{"popular bystander of a suspect", []event{completed(0), ended(0, "a", 1), ended(1, "b", 1, crasher)}, 1, Run},
		{"crash at another node", []event{merged(1, "a", 1, false)}, 1, Isolate},
		{"crashes at two nodes", []event{ended(0, "a", crasher), merged(1, "b", 0.5, false)}, 1, Reject},
		{"the same crash from another node", []event{ended(0, "a", crasher), merged(1, "a", 1, false)}, 1, Isolate},
		{"cleared at another node", []event{ended(0, "a", crasher), merged(1, "a", 1, true)}, 1, Run},
		{"old copy after it was cleared", []event{ended(0, "a", crasher), completed(1), merged(8, "a", 8, false)}, 8, Run},
		{"unusable crash of another writer", []event{merged(1, "", 0, false), merged(1, "a", 1e9, false)}, 1, Run},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			for _, e := range c.events {
				e(r)
			}
			is.New(t).Equal(r.Decide(sec(c.at), crasher).Handling, c.want)
		})
	}
}

// Guards against callers that come back before a rejected request may run again, and against decisions without their reasons.
func TestDecisionNamesItsCrashes(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Ended(sec(0), "a", "s", []uint64{crasher})
	r.Ended(sec(1), "b", "s", []uint64{crasher})
	d := r.Decide(sec(1.5), crasher)
	is.Equal(d.Wait, trialPause-500*time.Millisecond)
	is.Equal(d.Crashes, []Crash{{"a", 1500 * time.Millisecond}, {"b", 500 * time.Millisecond}})
}

// Guards against a table without bound, and against one in which many requests in progress at one crash each displace those
// that have crashed several upstreams.
func TestBoundedMemory(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Ended(sec(0), "a", "s", []uint64{crasher})
	r.Ended(sec(0.1), "b", "s", []uint64{crasher})
	for i := range MaxRecords + 100 {
		r.Ended(sec(1), fmt.Sprint("u", i), "s", []uint64{uint64(1000 + i)})
	}
	is.Equal(r.Len(), MaxRecords)
	is.Equal(r.Decide(sec(1.1), crasher).Handling, Reject)
	for i := range 3 * maxCrashes {
		r.Ended(sec(2), fmt.Sprint("v", i), "s", []uint64{crasher})
	}
	m := r.Record(sec(2), crasher)
	is.Equal(len(m.GetCrashes()), maxCrashes)
	is.True(proto.Size(m) < maxCrashes*(maxUpstreamName+16)+32)
	for i := range 3 * maxCompletions {
		r.Completed(sec(3), uint64(i))
	}
	is.True(len(r.completed.newer)+len(r.completed.older) <= 2*maxCompletions)
}

// Checks that nodes which have got the same news decide alike, whatever the order of the messages and however often they came.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := sec(100)
		var messages []*pb.SuspectRequest
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			m := &pb.SuspectRequest{Fingerprint: rapid.Uint64Range(1, 2).Draw(t, "fingerprint"), Service: "s"}
			for range rapid.IntRange(1, 3).Draw(t, "crashes") {
				u := rapid.IntRange(0, 5).Draw(t, "upstream")
				m.Crashes = append(m.Crashes, &pb.UpstreamCrash{Upstream: fmt.Sprint(u), AgeMs: uint64(1000 * (6 - u)), Refuted: rapid.Bool().Draw(t, "refuted")})
			}
			messages = append(messages, m)
		}
		first, second := New(), New()
		first.Merge(now, messages, false)
		again := rapid.SliceOfN(rapid.SampledFrom(messages), 0, 8).Draw(t, "again")
		second.Merge(now, rapid.Permutation(append(again, messages...)).Draw(t, "order"), false)
		for f := range uint64(3) {
			a, b := first.Decide(now, f), second.Decide(now, f)
			if fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("request %d: %v and %v", f, a, b)
			}
		}
		if first.Merge(now, messages, false) {
			t.Fatal("the same messages change the table again")
		}
	})
}

// Checks that a request that crashes every upstream crashes at most 3 in 9 minutes, and that no request that completes is
// rejected, for any order of runs at four nodes, if the news of a crash arrives before the request comes again.
func TestOneRequestCrashesFewUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, crashes := start, 0
		nodes := []*Registry{New(), New(), New(), New()}
		spread := func(from *Registry) {
			for _, n := range nodes {
				if n != from {
					n.Merge(now, from.OwnSince(now, 0), false)
				}
			}
		}
		for now.Sub(start) < 9*time.Minute {
			now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			n := nodes[rapid.IntRange(0, 3).Draw(t, "node")]
			var beside []uint64
			for f := range uint64(4) { // ordinary requests
				switch n.Decide(now, f).Handling {
				case Reject:
					t.Fatalf("request %d is rejected, it crashes nothing", f)
				case Isolate:
					n.Completed(now, f)
				case Run:
					beside = append(beside, f)
				}
			}
			switch n.Decide(now, crasher).Handling {
			case Run:
				crashes++
				n.Ended(now, fmt.Sprint("u", crashes), "s", append(beside, crasher))
			case Isolate:
				crashes++
				n.Ended(now, fmt.Sprint("u", crashes), "s", append(beside, crasher))
			case Reject:
				for _, f := range beside {
					n.Completed(now, f)
				}
			}
			spread(n)
		}
		if crashes > crashesToReject+1 {
			t.Fatalf("%d upstreams crashed", crashes)
		}
	})
}

// Guards against nodes that send each other the record of a request with many crashes again and again, because each drops
// what the other one has.
func TestFullRecordsSettle(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	for i := range maxCrashes {
		a.Ended(sec(float64(i)), fmt.Sprint("a", i), "s", []uint64{crasher})
		b.Ended(sec(float64(i)+0.5), fmt.Sprint("b", i), "s", []uint64{crasher})
	}
	now := sec(maxCrashes)
	messages := append(a.Since(now, 0), b.Since(now, 0)...)
	a.Merge(now, messages, false)
	b.Merge(now, messages, false)
	is.True(!a.Merge(now, messages, false))
	is.True(!b.Merge(now, messages, false))
	is.Equal(a.Decide(now, crasher), b.Decide(now, crasher))
}

// Guards against times of day in records: nodes whose clocks differ by hours decide alike.
func TestClocksMayDiffer(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	a.Ended(sec(0), "u1", "s", []uint64{crasher})
	a.Ended(sec(1), "u2", "s", []uint64{crasher})
	ahead := sec(2).Add(5 * time.Hour)
	b.Merge(ahead, a.Since(sec(2), 0), false)
	is.Equal(a.Decide(sec(2), crasher), b.Decide(ahead, crasher))
}
