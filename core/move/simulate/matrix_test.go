package simulate

import (
	"testing"
	"time"
)

// Guards against a faulty version that is not rolled back, for each fault, trigger and
// process fault, and against a good one that does not complete because of a process fault.
func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, s := range Services() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			for i, c := range Cases() {
				tr := c.Trial(s, uint64(1000+i))
				tr.Deadline = 10 * time.Minute
				r := Run(&tr, judge(s))
				switch {
				case c.Fault == nil && !r.Completed(&tr):
					t.Errorf("%s: %s at %d s: %s", c.Name, r.Phase, r.EndedAt, r.Reason)
				case r.FaultAt >= 0 && !r.RolledBack():
					t.Errorf("%s: %s at %d s: %s", c.Name, r.Phase, r.EndedAt, r.Reason)
				case r.RolledBack() && r.LastNewCallAt > r.EndedAt+1:
					t.Errorf("%s: last call of the new version at %d s, end of the move at %d s", c.Name, r.LastNewCallAt, r.EndedAt)
				}
			}
		})
	}
}

// Guards against process faults that hide a bad version while they last: each process
// fault is combined with each effect, at once and at later shares.
func TestProcessFaultsHideNoBadVersion(t *testing.T) {
	s := Services()[0]
	for p := range ProcessFaultCount {
		for _, e := range effects {
			for _, share := range []uint32{0, 500, 900} {
				f := e.Fault
				if share > 0 {
					f.Trigger, f.Share = AfterShare, share
				}
				tr := Trial{Service: s, Fault: &f, ProcessFault: p, Deadline: 5 * time.Minute, Seed: uint64(share) + 7}
				if r := Run(&tr, judge(s)); r.FaultAt >= 0 && !r.RolledBack() {
					t.Errorf("%s after %d permille with %s: %s: %s", e.name, share, p, r.Phase, r.Reason)
				}
			}
		}
	}
}
