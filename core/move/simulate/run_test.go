package simulate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/move"
)

func judge(s Service) func() Controller {
	return func() Controller { return move.NewJudge(s.Preference) }
}

// Guards against a good version that is rolled back or late, and a bad one that
// completes, for each service and without process faults.
func TestMovesWithoutProcessFaults(t *testing.T) {
	for _, s := range Services() {
		t.Run(s.Name, func(t *testing.T) {
			is := is.New(t)
			good := Trial{Service: s, Deadline: 10 * time.Minute, Seed: 1}
			r := Run(&good, judge(s))
			is.True(r.Completed(&good)) // good version by its deadline
			for _, f := range []Fault{{ErrorRate: 0.5}, {Slow: 1.5}} {
				bad := good
				bad.Fault = &f
				r = Run(&bad, judge(s))
				is.True(r.RolledBack())                       // bad version
				is.True(r.BadCalls*100 < r.PlannedCalls)      // under 1% of the calls
				is.True(r.LastNewCallAt <= r.EndedAt+1)       // no calls after those in flight
				is.True(r.Steps[len(r.Steps)-1].Reason != "") // a reason is given
			}
		})
	}
}

// Guards against trials that are not reproducible from their seed.
func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	s := Services()[0]
	tr := Trial{Service: s, Deadline: 2 * time.Minute, Seed: 9, ProcessFault: CrashedHost, Fault: &Fault{Slow: 2, Trigger: AfterShare, Share: 500}}
	is.Equal(Run(&tr, judge(s)), Run(&tr, judge(s)))
}
