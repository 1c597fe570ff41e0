package fairness

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against capacity that stays idle while an organisation is rejected, and against organisations that are cut
// although they demand less than another one gets.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Shares
		demands := rapid.SliceOfN(rapid.Float64Range(0.1, 100), 1, 80).Draw(t, "demands")
		total := 0.0
		for i, d := range demands {
			s.Add(start, fmt.Sprint(i), d)
			total += d
		}
		s.refresh(start)
		capacity := total * rapid.Float64Range(0.05, 1.2).Draw(t, "capacity")
		served, largest := 0.0, 0.0
		for i, d := range demands {
			got := d * (1 - s.Excess(fmt.Sprint(i), capacity))
			served, largest = served+got, max(largest, got)
		}
		if math.Abs(served-min(capacity, total)) > 1e-6*total {
			t.Fatalf("%v of %v served", served, min(capacity, total))
		}
		for i, d := range demands {
			if got := d * (1 - s.Excess(fmt.Sprint(i), capacity)); got < d*(1-1e-9) && got < largest*(1-1e-9) {
				t.Fatalf("an organisation gets %v of %v, another one %v", got, d, largest)
			}
		}
	})
}

// Guards against a table that grows with the organisations, and against one that forgets the largest of them.
func TestManyOrganisations(t *testing.T) {
	is := is.New(t)
	var s Shares
	for i := range 10000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		s.Add(now, fmt.Sprint(i), 1)
		s.Add(now, "large", 1)
	}
	is.True(len(s.demand) <= maxOrganisations)
	is.True(s.Excess("large", s.Total(start.Add(10*time.Second))/2) > 0.4)
	is.Equal(s.Excess("unknown", 1), 0.0)
	s.Add(start.Add(time.Hour), "late", 1)
	is.Equal(len(s.demand), 1)
}
