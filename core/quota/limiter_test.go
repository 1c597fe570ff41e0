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
