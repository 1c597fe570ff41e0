package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// organisationLoad returns one kind of requests for each of 70 small organisations and, last, a large one that sends
// its usual tenth of the demand and, from 5 s on, factor times that. Without named, the requests name no organisation.
func organisationLoad(factor float64, named bool) []*simKind {
	var kinds []*simKind
	for i := range 71 {
		share, name := 0.9*0.75/70, fmt.Sprint("small-", i)
		if i == 70 {
			share, name = 0.1*0.75, "large"
		}
		if !named {
			name = ""
		}
		work := time.Duration(60+20*(i%8)) * time.Millisecond
		peak := func(elapsed time.Duration) float64 {
			if i == 70 && elapsed > 5*time.Second {
				return factor
			}
			return 1
		}
		kinds = append(kinds, &simKind{
			perSecond: share * 18 / work.Seconds(), work: work, goal: 4 * work, timeLimit: 10 * work, peak: peak,
			request: Request{Priority: uint32(i % 3), ServiceTime: work, Organisation: name},
		})
	}
	return kinds
}

// Guards against an organisation that sends far more than usual at the expense of all others. Load: 18 slots at 0.75 of
// their capacity by 70 small organisations and a large one, which sends 8 or 20 times its usual tenth of that.
func TestOneOrganisationDoesNotCrowdOutOthers(t *testing.T) {
	for _, factor := range []float64{8, 20} {
		is := is.New(t)
		small := func(kinds []*simKind) float64 {
			served, offered := 0, 0
			for _, k := range kinds[:70] {
				served, offered = served+k.timely, offered+k.offered
			}
			return float64(served) / float64(offered)
		}
		calm, named, unnamed := organisationLoad(1, true), organisationLoad(factor, true), organisationLoad(factor, false)
		for _, kinds := range [][]*simKind{calm, named, unnamed} {
			var o overload
			o.run(18, 40*time.Second, kinds...)
		}
		large := named[70]
		t.Logf("%.0f times: small ones in time %.3f, in calm %.3f, without names %.3f; the large one served %.3f", factor, small(named), small(calm), small(unnamed), large.servedShare())
		is.True(small(unnamed) < 0.9) // the load is an overload
		is.True(small(named) > small(calm)-0.02)
		for _, k := range named[:70] {
			is.True(float64(k.timely) > 0.9*float64(k.offered)) // each of them
		}
		usual := 0.75 * 0.1 * factor
		is.True(large.servedShare() > 0.8*(1-0.75*0.9)/usual) // what the small ones leave is used
	}
}
