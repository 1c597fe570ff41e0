package nodetable

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// TestMergeOrderDoesNotMatter checks that a table holds the newest record of each
// node, in whatever order and however often the records arrive.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []*pb.NodeRecord
		newest := make(map[string]*pb.NodeRecord)
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			r := &pb.NodeRecord{
				Node: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"), Epoch: rapid.Int64Range(1, 3).Draw(t, "epoch"),
				Seq: rapid.Uint64Range(1, 5).Draw(t, "seq"),
			}
			records = append(records, r)
			if n := newest[r.GetNode()]; n == nil || Supersedes(r, n) {
				newest[r.GetNode()] = r
			}
		}
		table := New()
		for _, r := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			if rapid.Bool().Draw(t, "direct") {
				table.Put(r, 0)
			} else {
				table.Merge(r, "host", 0)
			}
		}
		for node, want := range newest {
			if got := table.Find(node); got.GetEpoch() != want.GetEpoch() || got.GetSeq() != want.GetSeq() {
				t.Fatalf("%s: %v, want %v", node, got, want)
			}
		}
	})
}

// TestMarkSilent checks that a node that stops reporting is marked as silent by the
// control host that it reports to, that records received from other control hosts
// are not marked, and that the mark is removed when the node reports again.
func TestMarkSilent(t *testing.T) {
	is := is.New(t)
	mark := func(r *pb.NodeRecord) *pb.NodeRecord {
		c := proto.CloneOf(r)
		c.Silent = true
		return c
	}
	table := New()
	table.Put(&pb.NodeRecord{Node: "a", Epoch: 1, Seq: 1, State: serving}, 0)
	table.Merge(&pb.NodeRecord{Node: "b", Epoch: 1, Seq: 1}, "other", 0)
	is.True(!table.MarkSilent(time.Second, 2*time.Second, time.Minute, mark))
	is.True(table.MarkSilent(3*time.Second, 2*time.Second, time.Minute, mark))
	is.True(table.Find("a").GetSilent())
	is.True(!table.Find("b").GetSilent())
	is.True(table.Put(&pb.NodeRecord{Node: "a", Epoch: 1, Seq: 1, State: serving}, 4*time.Second))
	is.True(!table.Find("a").GetSilent())
	table.Confirm("other", 50*time.Second)
	table.MarkSilent(70*time.Second, 2*time.Second, time.Minute, mark)
	is.Equal(table.Find("a"), nil)
	is.True(table.Find("b") != nil)
}

func announcement(instance string, born int64, seq uint64, state pb.UpstreamState) *pb.Announcement {
	return &pb.Announcement{
		Instance: instance, BornUnixMs: born, Seq: seq, State: state, Service: "s", Version: "v", Slots: 1, Address: "10.0.0.1:80",
	}
}

const (
	serving = pb.UpstreamState_UPSTREAM_STATE_SERVING
	leaving = pb.UpstreamState_UPSTREAM_STATE_LEAVING
	gone    = pb.UpstreamState_UPSTREAM_STATE_GONE
)

// TestLateAnnouncementsChangeNothing guards against late announcements that make
// an upstream current again after it left or after another process replaced it at
// its address.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	is := is.New(t)
	var u Upstream
	is.True(u.Apply(announcement("i1", 10, 1, serving), 1000))
	is.True(u.Apply(announcement("i1", 10, 3, leaving), 1000))
	is.True(!u.Apply(announcement("i1", 10, 2, serving), 1000)) // lower sequence number
	is.True(!u.Apply(announcement("i1", 10, 4, serving), 1000)) // a leaving process does not serve again
	is.True(u.Apply(announcement("i1", 20, 1, serving), 1000))  // a later process with the same id
	is.True(!u.Apply(announcement("i1", 10, 9, serving), 1000)) // from the earlier process
	is.True(u.Apply(announcement("i2", 30, 1, serving), 1000))
	is.True(!u.Apply(announcement("i1", 20, 7, leaving), 1000))
	is.Equal(u.Current().GetInstance(), "i2")
	is.True(u.Apply(&pb.Announcement{Instance: "i2", State: gone}, 1000)) // a leave announcement states only the id
	is.Equal(u.Current().GetService(), "s")
	is.True(!u.Apply(announcement("i2", 30, 5, serving), 1000))
}

// TestSwitchOfControlHostIsNoContentChange guards against the record of a node being
// sent to all other nodes again when it switches to another control host, and
// against records that are not sent to the other control hosts.
func TestSwitchOfControlHostIsNoContentChange(t *testing.T) {
	is := is.New(t)
	record := func(seq uint64) *pb.NodeRecord {
		return &pb.NodeRecord{Node: "a", Epoch: 1, Seq: seq, Instance: "i", State: serving}
	}
	table := New()
	is.True(table.Put(record(1), 0))
	version, own := table.Version(), table.OwnVersion()
	is.True(!table.Merge(record(2), "other", 0)) // the node switches to the other control host
	is.True(!table.Put(record(3), 0))            // the node returns
	is.Equal(len(table.Since(version)), 0)
	is.Equal(len(table.OwnSince(own)), 1)
	table.Put(&pb.NodeRecord{Node: "b", Epoch: 1, Seq: 1}, 0) // without an upstream
	is.Equal(len(table.Since(0)), 1)
	is.Equal(len(table.OwnSince(0)), 2)
}

// TestLeaveOfUnknownProcess checks that a host that started just before a process left
// ignores a late announcement of that process but accepts the announcement of its
// successor.
func TestLeaveOfUnknownProcess(t *testing.T) {
	is := is.New(t)
	var u Upstream
	is.True(u.Apply(&pb.Announcement{Instance: "i", State: gone}, 5000))
	is.True(!u.Apply(announcement("i", 1000, 20, serving), 7000)) // late
	is.True(u.Apply(announcement("i", 8000, 1, serving), 9000))   // restarted with the same id
}

// Find returns the record of a node, or nil.
func (t *Table) Find(node string) *pb.NodeRecord {
	if e := t.entries[node]; e != nil {
		return e.record
	}
	return nil
}

// Guards against a second slow start of the same process that no other node hears of.
func TestSlowStartThatBeginsAgainIsAChange(t *testing.T) {
	is := is.New(t)
	var u Upstream
	for i, step := range []struct {
		coldMs  uint32
		changed bool
	}{{8000, true}, {6500, false}, {5000, false}, {7900, true}, {0, true}, {0, false}, {8000, true}, {8100, false}} {
		a := announcement("i", 20, uint64(i+1), serving)
		a.ColdMs = step.coldMs
		is.Equal(u.Apply(a, 1000), step.changed)
	}
}
