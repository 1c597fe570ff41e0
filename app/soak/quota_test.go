package soak

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// runsOf returns arrivals at the upstreams of 4 nodes, one every 1/rate s between two times.
func runsOf(organisation string, rate, from, to float64) (out []arrival) {
	for i := range int((to - from) * rate) {
		out = append(out, arrival{id: fmt.Sprint(organisation, rate, from, "-", i), node: i % 4, at: second(from + float64(i)/rate), organisation: organisation})
	}
	return out
}

// Guards against a check of quotas that passes although more requests run, also for a short time, and against one that counts
// other requests.
func TestRequestsBeyondAQuotaAreAViolation(t *testing.T) {
	is := is.New(t)
	allowed := quotaRate*1.1*5 + quotaBurst*1.1 + 20 // 141
	judge := func(parts ...[]arrival) int {
		var all []arrival
		for _, p := range parts {
			all = append(all, p...)
		}
		out, _ := quotaViolations(clock{testStart}, all)
		return len(out)
	}
	is.Equal(judge(runsOf(limitedOrganisation, 28, 0, 60)), 0)
	is.Equal(judge(runsOf(limitedOrganisation, 28.6, 0, 60)), 1)
	burst := runsOf(limitedOrganisation, 500, 30, 30+(allowed-1)/500)
	is.Equal(judge(runsOf(limitedOrganisation, 1, 0, 20), burst), 0)
	is.Equal(judge(runsOf(limitedOrganisation, 1, 0, 30), burst), 1)
	is.Equal(judge(burst, burst), 0) // the same requests again
	is.Equal(judge(runsOf(steadyOrganisation, 100, 0, 60)), 0)
	misdirected := runsOf(limitedOrganisation, 100, 0, 60)
	for i := range misdirected {
		misdirected[i].misdirected = true
	}
	is.Equal(judge(misdirected), 0)
}
