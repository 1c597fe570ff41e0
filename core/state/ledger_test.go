package state

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/ledger"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func putGroup(id string, expected uint64, atUnixMs int64, members ...string) *pb.Command {
	change := putService("tills", "v1")
	s := change.GetPutService()
	s.LedgerMembers = members
	// The state machine must ignore these fields in a submitted change.
	s.PreviousLedgerMembers, s.LedgerChangedUnixMs, s.LedgerRevision = []string{"x", "y", "z"}, 1, 99
	c := configure(id, expected, change)
	c.SubmittedUnixMs = atUnixMs
	return c
}

// Guards against dropping the previous ledger group while its claims may not
// have expired: a request with the same key could then run twice.
func TestPreviousLedgerGroupIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	window := ledger.GroupWindow.Milliseconds()
	steps := []struct {
		name     string
		atUnixMs int64
		members  []string
		outcome  pb.Outcome
		previous []string
		changed  int64
	}{
		{"first group", 1000, []string{"a", "b", "c"}, pb.Outcome_OUTCOME_ACCEPTED, nil, 1000},
		{"other change", 2000, []string{"a", "b", "c"}, pb.Outcome_OUTCOME_ACCEPTED, nil, 1000},
		{"second group", 3000, []string{"c", "d", "e"}, pb.Outcome_OUTCOME_ACCEPTED, []string{"a", "b", "c"}, 3000},
		{"third too early", 3000 + window - 1, []string{"e", "f", "g"}, pb.Outcome_OUTCOME_INVALID, []string{"a", "b", "c"}, 3000},
		{"none too early", 3000 + window - 1, nil, pb.Outcome_OUTCOME_INVALID, []string{"a", "b", "c"}, 3000},
		{"third in time", 3000 + window, []string{"e", "f", "g"}, pb.Outcome_OUTCOME_ACCEPTED, []string{"c", "d", "e"}, 3000 + window},
	}
	set := uint64(0)
	for _, s := range steps {
		before := f.m.Revision()
		r := f.apply(putGroup(s.name, before, s.atUnixMs, s.members...))
		is.Equal(r.GetOutcome(), s.outcome)
		got := f.m.service("tills")
		is.Equal(got.GetPreviousLedgerMembers(), s.previous)
		is.Equal(got.GetLedgerChangedUnixMs(), s.changed)
		if s.changed == s.atUnixMs {
			set = before + 1
		}
		is.Equal(got.GetLedgerRevision(), set)
	}
}
