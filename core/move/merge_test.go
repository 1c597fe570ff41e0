package move

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

var t0 = time.Unix(1_700_000_000, 0)

func report(node string, incarnation int64, sequence, calls uint64) *pb.OutcomeReport {
	return &pb.OutcomeReport{
		MoveId: "m", NodeId: node, Incarnation: incarnation, Sequence: sequence, FailureDomain: "k1",
		Routes: []*pb.RouteOutcome{{Route: "times", Old: &pb.VersionOutcome{Calls: calls, LatencyBuckets: []uint64{0, calls}}}},
	}
}

func oldCalls(reports []*pb.OutcomeReport) uint64 {
	n := uint64(0)
	for _, r := range reports {
		for _, route := range r.GetRoutes() {
			n += route.GetOld().GetCalls()
		}
	}
	return n
}

// node sends reports like a Recorder: one at a time, resent with the same sequence
// number until it is delivered.
type node struct {
	incarnation          int64
	sequence, cumulative uint64
	unacked              *pb.OutcomeReport
	resent               bool
}

func (n *node) next() *pb.OutcomeReport {
	if n.unacked == nil {
		n.sequence, n.resent = NextSequence(n.sequence, n.resent), false
		n.unacked = report("n1", n.incarnation, n.sequence, n.cumulative)
	}
	return n.unacked
}

// Guards against calls that are counted twice when responses are lost, the node changes
// its relay or restarts, or the network repeats or delays reports.
func TestReportsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relays, moveCounts := []*Merger{NewMerger(), NewMerger()}, NewMoveCounts()
		names, sequences, received := []string{"relay/a", "relay/b"}, []uint64{0, 0}, make([][]*pb.OutcomeReport, 2)
		n, to, calls := &node{incarnation: 1}, 0, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			made := uint64(rapid.IntRange(0, 50).Draw(t, "calls"))
			calls, n.cumulative = calls+made, n.cumulative+made
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0: // the network repeats a report
				if len(received[to]) > 0 {
					relays[to].Add(rapid.SampledFrom(received[to]).Draw(t, "again"), t0)
				}
				continue
			case 1:
				to = 1 - to
			case 2:
				*n = node{incarnation: n.incarnation + 1}
			case 3: // a merged report arrives late
				if moveCounts.Add(report(names[to], 1, sequences[to], 1_000_000), t0) && sequences[to] > 0 {
					t.Fatal("a late report was accepted")
				}
				moveCounts = NewMoveCounts() // the leader changes: evidence is rebuilt
			}
			r := n.next()
			lost := rapid.IntRange(0, 5).Draw(t, "delivery") // 0: the report is lost; 1: the response is lost
			if lost != 0 {
				received[to] = append(received[to], r)
				relays[to].Add(r, t0)
			}
			if lost > 1 {
				n.unacked = nil
			} else {
				n.resent = true
			}
			for i := range relays {
				for _, m := range relays[i].Reports("m") {
					sequences[i]++
					m.NodeId, m.Incarnation, m.Sequence = names[i], 1, sequences[i]
					moveCounts.Add(m, t0)
				}
			}
		}
		got := uint64(0)
		for _, c := range moveCounts.Evidence().Cells {
			got += c.Old.Calls
		}
		if got > calls {
			t.Fatalf("%d calls were counted of %d", got, calls)
		}
	})
}

// Guards against calls that are counted twice in cases that the property test rarely
// generates: responses lost twice in a row while the node changes between two relays,
// and a late series of consecutive reports.
func TestRepeatsAtTwoRelaysCountOnce(t *testing.T) {
	is := is.New(t)
	a, b, n := NewMerger(), NewMerger(), &node{incarnation: 1}
	send := func(relays ...*Merger) {
		n.cumulative += 10
		for i, relay := range relays {
			relay.Add(n.next(), t0)
			n.resent = i > 0 || len(relays) > 1
		}
		n.unacked = nil
	}
	send(a)
	send(a, b)
	send(a, b)
	send(a, b)
	is.True(oldCalls(a.Reports("m"))+oldCalls(b.Reports("m")) <= 30)

	m := NewMerger()
	for i, sequence := range []uint64{1, 2, 3, 4, 2, 3, 4, 3, 4} {
		is.Equal(m.Add(report("n1", 1, sequence, 10*sequence), t0), i < 4)
	}
	is.Equal(oldCalls(m.Reports("m")), uint64(30))
}

// Guards against lost counts without any fault: only the counts of a node's first report
// are left out.
func TestConsecutiveReportsLoseNoCalls(t *testing.T) {
	is := is.New(t)
	m, n := NewMerger(), &node{incarnation: 1}
	for i := range uint64(20) {
		n.cumulative = 10 * (i + 1)
		is.True(m.Add(n.next(), t0))
		n.unacked = nil
	}
	is.Equal(oldCalls(m.Reports("m")), uint64(190))
}

// Guards against evidence that is lost when a relay restarts, and counts that are
// added again when reports of its earlier incarnation arrive late.
func TestMoveCountsKeepEndedIncarnations(t *testing.T) {
	is := is.New(t)
	counts := NewMoveCounts()
	is.True(counts.Add(report("relay/a", 1, 7, 100), t0))
	is.True(counts.Add(report("relay/a", 2, 1, 5), t0)) // restarted
	is.True(!counts.Add(report("relay/a", 1, 9, 900), t0))
	is.True(!counts.Add(report("relay/a", 2, 1, 5), t0))
	is.True(counts.Add(report("relay/b", 1, 1, 11), t0))
	is.Equal(counts.Evidence().Cells[0].Old.Calls, uint64(116))
	is.Equal(counts.Evidence().Cells[0].Old.Latency[1], uint64(116))
}

// Guards against one faulty node that opens the circuit breaker of a whole failure domain,
// and against two that do not.
func TestBrakeNeedsTwoNodesOrHalf(t *testing.T) {
	for name, tc := range map[string]struct {
		nodes, braked int
		want          bool
	}{"none": {5, 0, false}, "one of five": {5, 1, false}, "two of five": {5, 2, true}, "one of two": {2, 1, true}, "only one": {1, 1, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMerger()
			for i := range tc.nodes {
				r := report(string(rune('a'+i)), 1, 1, 10)
				r.Braked = i < tc.braked
				m.Add(r, t0)
			}
			is.Equal(m.Braked("m", "k1"), tc.want)
			m.Retain(func(string) bool { return false })
			is.Equal(len(m.Domains("m")), 0)
		})
	}
}

// Guards against latencies outside the bounds of their bucket, and counts that change
// when they are converted to a message and back.
func TestLatencyBucketsAndMessageForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(9*time.Second)).Draw(t, "latency"))
		i := Bucket(d)
		if i < BucketCount-1 && d > BucketBound(i)+time.Nanosecond {
			t.Fatalf("%s is above bucket %d", d, i)
		}
		if i > 0 && d < BucketBound(i-1)-time.Nanosecond {
			t.Fatalf("%s is below bucket %d", d, i)
		}
		c := Counts{Calls: 3, Errors: 1, Overloads: 2}
		c.Latency[i] = 2
		if back := CountsOf(c.ToProto()); back != c {
			t.Fatalf("%v was converted to %v", c, back)
		}
	})
}
