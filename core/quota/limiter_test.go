package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against nodes that use the extra of the calm state on totals that no control host renews, while the other nodes see more
// demand than the quota: the messages of lost control hosts, or of those without a quorum, do not tell when the limit is near. An
// organisation that was calm in the last totals keeps the extra until the next poll is overdue.
func TestExtraEndsWhenTotalsOfALimitedOrganisationAreOld(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 10.8, Burst: 2.2}
	for _, limited := range []bool{true, false} {
		l, now := New(DefaultSettings), time.Minute
		l.SetNodes(60)
		l.Admit(now, simID, limit, 0)
		l.Report(now, true)
		l.Acknowledge()
		l.Heard(now)
		l.Apply(now, []Report{{ID: simID, Demand: Demand{Rate: 24, Used: 30, Capacity: 58, Nodes: 52, Limited: limited}}})
		extra := func(age time.Duration) bool {
			s := l.organisation[simID]
			return l.capacityOf(s, now+age) > s.capacity
		}
		is.True(extra(current))
		is.Equal(extra(inTouchSmall), !limited)
		is.True(!extra(inTouchSmall + time.Millisecond))
	}
}

// Guards against quotas that lie idle because each node paces the callers it has for a second, while most of the quota is free. Near
// the limit the pace remains that of the share, so that a burst does not return every window.
func TestPaceIsFasterWhileTheQuotaIsFree(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 1000}
	admitted := func(used float64) (n int) {
		l, now := New(DefaultSettings), time.Minute
		l.SetNodes(2)
		l.Admit(now, simID, limit, 0)
		l.Report(now, true)
		l.Acknowledge()
		l.Heard(now)
		l.Apply(now, []Report{{ID: simID, Demand: Demand{Rate: 5000, Used: used, Capacity: 100, Nodes: 1, Limited: true}}})
		l.organisation[simID].capacity = 2500
		for range 1000 {
			now += time.Millisecond
			l.Heard(now)
			if l.Admit(now, simID, limit, 0).Admitted {
				n++
			}
		}
		return n
	}
	share := 2500 * paceExcess / DefaultSettings.Window.Seconds() // in a second
	is.True(float64(admitted(1000)) > 1.5*share)
	is.True(float64(admitted(4000)) < 1.01*share)
}
