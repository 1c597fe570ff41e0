package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	serving = pb.EndpointState_ENDPOINT_STATE_SERVING
	gone    = pb.EndpointState_ENDPOINT_STATE_GONE
)

func record(id string, incarnation int64, sequence uint64, state pb.EndpointState) *pb.EndpointRecord {
	return &pb.EndpointRecord{NodeId: id, FailureDomain: "x", Service: "a", Incarnation: incarnation, Sequence: sequence, State: state}
}

// TestMergeIsIndependentOfOrder checks that the merged table does not depend on
// the order, repetition or delay of records.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []*pb.EndpointRecord
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			records = append(records, record(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "id"),
				rapid.Int64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "sequence"),
				rapid.SampledFrom([]pb.EndpointState{serving, gone, down}).Draw(t, "state")))
		}
		for _, r := range records { // an owner writes one record per sequence; other processes write only down
			if r.State == gone {
				r.State, r.Sequence = gone, 9
			}
		}
		one, other := NewTable(1, ""), NewTable(2, "")
		one.Merge(records, "s", time.Time{})
		shuffled := rapid.Permutation(append(records, records...)).Draw(t, "order")
		for _, r := range shuffled {
			other.Merge([]*pb.EndpointRecord{r}, "s", time.Time{})
		}
		for _, id := range []string{"p", "q"} {
			if !proto.Equal(one.Get(id), other.Get(id)) {
				t.Fatalf("%v differs from %v", one.Get(id), other.Get(id))
			}
		}
	})
}

// TestTombstonesExpireAndDoNotCirculate checks that a tombstone expires, and that
// a new process keeps it to reject late records but does not forward it. If it
// did, tombstones would circulate forever.
func TestTombstonesExpireAndDoNotCirculate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	old, joining := NewTable(1, ""), NewTable(2, "")
	old.Merge([]*pb.EndpointRecord{record("p", 1, 1, serving)}, "s", now)
	is.True(old.DeclareDown("p", 1, 1, now) != nil)
	is.True(old.DeclareDown("p", 1, 1, now) == nil) // only the first declaration counts
	tombstones, _ := old.Since(0, Filter{All: true})
	is.Equal(len(tombstones), 1)
	is.Equal(len(joining.Merge(tombstones, "old", now)), 0)
	forwarded, _ := joining.Since(0, Filter{All: true, Peer: "z"})
	is.Equal(len(forwarded), 0)
	is.Equal(len(joining.Merge([]*pb.EndpointRecord{record("p", 1, 1, serving)}, "late", now)), 0)
	old.Expire(now.Add(TombstoneTTL))
	is.True(old.Get("p") != nil) // kept until more than TombstoneTTL has passed
	old.Expire(now.Add(TombstoneTTL + 1))
	is.True(old.Get("p") == nil)
}

// TestOwnerRefutes checks that other processes cannot overwrite the owner's
// record, and that the owner refutes their records.
func TestOwnerRefutes(t *testing.T) {
	is := is.New(t)
	table := NewTable(5, "p")
	own := table.Publish(record("p", 5, 0, serving), time.Time{})
	is.Equal(own.GetSequence(), uint64(1))
	is.Equal(len(table.Merge([]*pb.EndpointRecord{record("p", 4, 9, serving)}, "s", time.Time{})), 0) // earlier process
	declared := record("p", 5, 1, down)
	is.Equal(len(table.Merge([]*pb.EndpointRecord{declared}, "s", time.Time{})), 1)
	is.Equal(table.Get("p").GetState(), serving)
	is.True(Supersedes(table.Get("p"), declared))
	is.True(table.DeclareDown("p", 5, 2, time.Time{}) == nil) // a node does not declare itself down
}

// TestDownIsForwardedToHoldersOfTheLiveVersion checks that every process that
// receives a declaration of down for a version that is held as live forwards it.
// The processes that declared it may have restarted and lost it.
func TestDownIsForwardedToHoldersOfTheLiveVersion(t *testing.T) {
	is := is.New(t)
	reader, relay := NewTable(1, "reader"), NewTable(2, "")
	live, declared := record("p", 1, 1, serving), record("p", 1, 1, down)
	other := Filter{Peer: "relay", FailureDomain: "other"}
	reader.Merge([]*pb.EndpointRecord{live}, "relay", time.Time{})
	_, stamp := reader.Since(0, other)
	reader.Merge([]*pb.EndpointRecord{declared}, "peer", time.Time{}) // the declaration arrives after the live record
	sent, stamp := reader.Since(stamp, other)
	is.Equal(len(sent), 1)
	relay.Merge([]*pb.EndpointRecord{live}, "p", time.Time{})
	is.Equal(len(relay.Merge(sent, "reader", time.Time{})), 1)
	reader.Merge([]*pb.EndpointRecord{live}, "relay", time.Time{}) // the declaration arrived before the live record
	sent, _ = reader.Since(stamp, other)
	is.Equal(len(sent), 1)
}

// TestOwnerSupersedesItsRecordAfterClockSetBack guards against a node being ignored
// after its clock was set back and it restarted with a lower incarnation. The node
// must receive its earlier record and supersede it.
func TestOwnerSupersedesItsRecordAfterClockSetBack(t *testing.T) {
	is := is.New(t)
	relay, owner := NewTable(1, ""), NewTable(3, "p")
	relay.Merge([]*pb.EndpointRecord{record("p", 5, 7, serving)}, "p", time.Time{})
	_, stamp := relay.Since(0, Filter{All: true, Peer: "p"})
	own := owner.Publish(record("p", 3, 0, serving), time.Time{})
	relay.Merge([]*pb.EndpointRecord{own}, "p", time.Time{})
	corrections, _ := relay.Since(stamp, Filter{All: true, Peer: "p"})
	is.Equal(len(corrections), 1)
	again, _ := relay.Since(stamp, Filter{All: true, Peer: "p"})
	is.Equal(len(again), 0) // sent only once, so that a long poll does not return in a loop
	is.Equal(len(owner.Merge(corrections, "relay", time.Time{})), 1)
	is.Equal(len(relay.Merge([]*pb.EndpointRecord{owner.Get("p")}, "p", time.Time{})), 1)
}

// TestFilterReportsChangeOfService checks that a process that reads only some
// services is told when a node changes to a different service.
func TestFilterReportsChangeOfService(t *testing.T) {
	is := is.New(t)
	table := NewTable(1, "")
	table.Merge([]*pb.EndpointRecord{record("p", 1, 1, serving)}, "p", time.Time{})
	_, stamp := table.Since(0, Filter{Services: []string{"a"}})
	moved := record("p", 1, 2, serving)
	moved.Service = "b"
	table.Merge([]*pb.EndpointRecord{moved}, "p", time.Time{})
	got, _ := table.Since(stamp, Filter{Services: []string{"a"}})
	is.Equal(len(got), 1)
	got, _ = table.Since(stamp, Filter{Services: []string{"c"}})
	is.Equal(len(got), 0)
	got, _ = table.Since(stamp, Filter{Peer: "p", All: true})
	is.Equal(len(got), 0) // not sent back to its source
}

// TestDigestsFindEveryDifference checks that records are left out because of equal
// digests only when both sides hold the same versions.
func TestDigestsFindEveryDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTable(1, ""), NewTable(2, "")
		for i := range rapid.IntRange(1, 30).Draw(t, "records") {
			r := record(fmt.Sprintf("n%d", i), 1, rapid.Uint64Range(1, 2).Draw(t, "sequence"), serving)
			a.Merge([]*pb.EndpointRecord{r}, "s", time.Time{})
			switch rapid.IntRange(0, 9).Draw(t, "other") {
			case 0:
			case 1:
				older := proto.Clone(r).(*pb.EndpointRecord)
				older.Sequence = 0
				b.Merge([]*pb.EndpointRecord{older}, "s", time.Time{})
			default:
				b.Merge([]*pb.EndpointRecord{r}, "s", time.Time{})
			}
		}
		all := Filter{All: true}
		got, _ := a.Since(0, Filter{All: true, Digests: b.Digests(all)})
		b.Merge(got, "a", time.Time{})
		if !slices.Equal(a.Digests(all), b.Digests(all)) {
			t.Fatal("tables differ after the exchange")
		}
		if again, _ := a.Since(0, Filter{All: true, Digests: b.Digests(all)}); len(again) != 0 {
			t.Fatalf("%d records are sent between equal tables", len(again))
		}
	})
}

// TestDetector checks that every member is probed once per round. It also checks
// that a member is declared down only after the timeout, and only by a host that
// other members answer.
func TestDetector(t *testing.T) {
	is := is.New(t)
	d := NewDetector(SuspicionTimeout, rand.New(rand.NewPCG(1, 2)))
	ids := []string{"a", "b", "c", "d", "e"}
	probed := make(map[string]int)
	for range len(ids) {
		id, ok := d.NextTarget(ids)
		is.True(ok)
		probed[id]++
	}
	is.Equal(len(probed), len(ids))
	helpers := d.Helpers("a", ids)
	is.Equal(len(helpers), IndirectProbes)
	is.True(!slices.Contains(helpers, "a"))
	_, ok := d.NextTarget(nil)
	is.True(!ok)

	start := time.Unix(0, 0)
	d.SuspectMember("a", 1, 1, start)
	d.SuspectMember("b", 1, 1, start)
	is.Equal(len(d.TakeExpired(start.Add(SuspicionTimeout))), 0) // no answer from anybody: this host may be isolated
	d.MarkAlive("b", start.Add(time.Second))
	is.Equal(len(d.TakeExpired(start.Add(SuspicionTimeout-1))), 0)
	d.SuspectMember("a", 1, 1, start.Add(time.Second)) // the timeout does not restart for the same record
	expired := d.TakeExpired(start.Add(SuspicionTimeout))
	is.Equal(len(expired), 1)
	is.Equal(expired[0].ID, "a")
	is.Equal(len(d.TakeExpired(start.Add(time.Hour))), 0) // each suspicion is reported once
}

// TestRendezvousBalancesAndKeepsAssignments checks that the nodes of a failed relay are
// distributed over the other relays, and that all other nodes keep their relay.
func TestRendezvousBalancesAndKeepsAssignments(t *testing.T) {
	is := is.New(t)
	all := []string{"r1", "r2", "r3", "r4"}
	counts := make(map[string]int)
	for i := range 400 {
		key := fmt.Sprintf("node-%d", i)
		before, after := Rendezvous(key, all), Rendezvous(key, all[1:])
		if before[0] != "r1" {
			is.Equal(before[0], after[0])
			continue
		}
		is.Equal(before[1], after[0])
		counts[after[0]]++
	}
	for _, id := range all[1:] {
		is.True(counts[id] > 15) // of about 100
	}
	ranked := RankRelays("n", "x", "east", []Relay{{ID: "1", FailureDomain: "z", Region: "west"}, {ID: "2", FailureDomain: "y", Region: "east"}, {ID: "3", FailureDomain: "x", Region: "east"}})
	is.Equal([]string{ranked[0].ID, ranked[1].ID, ranked[2].ID}, []string{"3", "2", "1"})
}

// TestSuspects checks that suspects converge in any order of merging, that their
// number is bounded and that they expire.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	a, b := NewTable(1, ""), NewTable(2, "")
	first := &pb.SuspectRecord{Fingerprint: 1, State: pb.SuspectState_SUSPECT_STATE_SUSPECT, Crashes: 1, ChangedUnixMs: 5}
	later := &pb.SuspectRecord{Fingerprint: 1, State: pb.SuspectState_SUSPECT_STATE_REFUSED, Crashes: 2, ChangedUnixMs: 5}
	is.Equal(len(a.MergeSuspects([]*pb.SuspectRecord{first, later}, "s", time.Time{})), 2)
	is.Equal(len(b.MergeSuspects([]*pb.SuspectRecord{later, first}, "s", time.Time{})), 1)
	is.True(proto.Equal(a.SuspectsSince(0, "")[0], b.SuspectsSince(0, "")[0]))
	is.Equal(len(a.SuspectsSince(1, "s")), 0)
	for i := range MaxSuspects + 5 {
		a.MergeSuspects([]*pb.SuspectRecord{{Fingerprint: uint64(i + 10), ChangedUnixMs: 1}}, "s", time.Unix(1, 0))
	}
	is.Equal(len(a.SuspectsSince(0, "")), MaxSuspects)
	a.Expire(time.Unix(1, 0).Add(SuspectTTL + 1))
	is.Equal(len(a.SuspectsSince(0, "")), 0)
}
