package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against a departure that is lost with a snapshot or replaced by an older one, and against departures that use up
// the memory of control hosts or the stored results of operators.
func TestDeparturesAreKeptWithinBounds(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	index := uint64(0)
	record := func(instance string, bornUntil, at int64) {
		index++
		payload, err := proto.Marshal(&pb.Command{
			CommandId: fmt.Sprint(index), SubmittedUnixMs: at,
			Command: &pb.Command_RecordDeparture{RecordDeparture: &pb.Departure{Node: "n", Instance: instance, BornUntilUnixMs: bornUntil}},
		})
		is.NoErr(err)
		r := m.Apply(&pb.Entry{Index: index, Term: 1, Kind: pb.EntryKind_ENTRY_KIND_COMMAND, Payload: payload})
		is.Equal(r.GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	}
	record("i", 5, 1000)
	record("i", 3, 1001) // arrives late
	record("j", 4, 1002)
	before := m.View().Departures
	record("i", 9, 1003)
	is.Equal(before[0].GetBornUntilUnixMs(), int64(5)) // views do not change
	is.Equal(len(m.results), 0)
	encoded, err := m.Encode()
	is.NoErr(err)
	m, err = Decode(encoded)
	is.NoErr(err)
	got := m.View().Departures
	is.Equal(len(got), 2)
	is.True(got[0].GetInstance() == "j" && got[1].GetInstance() == "i" && got[1].GetBornUntilUnixMs() == 9)
	record("k", 1, 1003+DepartureRetentionMs)
	got = m.View().Departures
	is.True(len(got) == 2 && got[0].GetInstance() == "i") // the one of j is older than the retention
	for i := range MaxDepartures + 10 {
		record(fmt.Sprint("many-", i), 1, 2000+DepartureRetentionMs)
	}
	is.Equal(len(m.View().Departures), MaxDepartures)
	is.Equal(m.View().Departures[0].GetInstance(), "many-10")
}
