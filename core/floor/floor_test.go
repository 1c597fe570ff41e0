package floor

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a floor below the revision that a node has applied (invariant
// 1) when no quorum of control hosts is reachable. Two answers from three
// recorders must suffice, whichever recorder restarts, misses a record or evicts
// floors of other nodes.
func TestFloorIsNeverBelowAppliedRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fresh := func() *Recorder { return NewRecorder(2) }
		recorders := []*Recorder{fresh(), fresh(), fresh()}
		var accepted, applied uint64 = 1, 0
		pick := func() *Recorder { return recorders[rapid.IntRange(0, 2).Draw(t, "recorder")] }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				accepted++
			case 1: // the node applies a revision that at least two recorders have stored
				missing := rapid.IntRange(0, 3).Draw(t, "missing")
				revision := rapid.Uint64Range(applied, accepted).Draw(t, "revision")
				for i, r := range recorders {
					if i != missing {
						r.Record("node", revision)
					}
				}
				applied = revision
			case 2:
				recorders[rapid.IntRange(0, 2).Draw(t, "restarted")] = fresh()
			case 3: // a quorum confirms everything accepted so far
				pick().Confirm(accepted)
			case 4: // recorded but not applied, because the node crashed in between; or a request that arrives late
				pick().Record("node", rapid.Uint64Range(0, accepted).Draw(t, "recorded"))
			case 5:
				other := fmt.Sprintf("other-%d", rapid.IntRange(0, 3).Draw(t, "other"))
				pick().Record(other, rapid.Uint64Range(1, accepted).Draw(t, "revision"))
			}
			silent := rapid.IntRange(0, 3).Draw(t, "silent")
			var answers []Answer
			for i, r := range recorders {
				if i != silent {
					answers = append(answers, r.Read("node"))
				}
			}
			if floor, known := Decide(answers, QuorumOf(len(recorders))); known && floor < applied {
				t.Fatalf("floor %d, applied %d, answers %+v", floor, applied, answers)
			}
		}
	})
}

// Guards against a restarted recorder whose missing record is taken for "no
// floor", and against a decision from one answer where two recorders exist.
func TestAnswersThatCount(t *testing.T) {
	is := is.New(t)
	incomplete := NewRecorder(10).Read("node")
	complete := NewRecorder(10)
	complete.Confirm(7)
	complete.Confirm(3) // only the first confirmation has an effect
	for _, c := range []struct {
		answers []Answer
		needed  int
		floor   uint64
		known   bool
	}{
		{nil, 1, 0, false},
		{[]Answer{incomplete, incomplete, incomplete}, 2, 0, false},
		{[]Answer{incomplete, complete.Read("node")}, 2, 7, false},
		{[]Answer{complete.Read("node")}, 2, 7, false},
		{[]Answer{complete.Read("node"), {Known: true, Floor: 9}}, 2, 9, false},
		{[]Answer{complete.Read("node"), complete.Read("node"), {Known: true, Floor: 9}}, 2, 9, true},
		{[]Answer{complete.Read("node"), {Complete: true}}, 2, 7, true},
	} {
		floor, known := Decide(c.answers, c.needed)
		is.Equal(floor, c.floor)
		is.Equal(known, c.known)
	}
	is.Equal([]int{QuorumOf(0), QuorumOf(1), QuorumOf(2), QuorumOf(9)}, []int{1, 1, 2, 2})
	is.Equal(NewRecorder(1).Record("", 5), uint64(0)) // a request without a node id is not stored
}

// Guards against a full recorder that answers below the floor it has evicted.
func TestEvictionKeepsTheBound(t *testing.T) {
	is := is.New(t)
	r := NewRecorder(1)
	r.Confirm(1)
	r.Record("node", 5)
	r.Record("other", 9)
	is.Equal(r.Read("node"), Answer{Floor: 5, Complete: true})
	is.Equal(r.Read("other"), Answer{Known: true, Floor: 9, Complete: true})
}
