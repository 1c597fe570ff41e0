package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// evacuationCase is a request to node 0 that reached the upstream of node 1, whose failure domain was evacuated: the order was
// acknowledged at 10 s and withdrawn at 20 s.
type evacuationCase struct {
	sent, arrived        float64
	killed               []int // killed 1 s before the arrival
	controls             bool  // and all control hosts
	otherDomain, unknown bool  // the upstream is that of node 2; the sender is not known
}

func (c evacuationCase) violations() []string {
	check := evacuationCheck{clock: clock{testStart}, touch: newTestTouch(), domains: []string{"d0", "d1", "d0"}}
	check.touch.record(false, c.killed, second(c.arrived-1), second(c.arrived-0.5))
	if c.controls {
		check.touch.record(true, []int{0, 1, 2, 3}, second(c.arrived-1), second(c.arrived-0.5))
	}
	a := arrival{id: "r-1", node: 1, at: second(c.arrived)}
	if c.otherDomain {
		a.node = 2
	}
	var sendings []sending
	if !c.unknown {
		sendings = []sending{{id: "r-1", node: 0, at: second(c.sent)}}
	}
	return check.violations([]evacuation{{domain: "d1", acknowledged: second(10), withdrawing: second(20), withdrawn: second(20.1)}}, sendings, []arrival{a})
}

// Guards against a check of evacuations that passes although a node in touch sends requests to the failure domain, and against one that
// blames others.
func TestRequestsToAnEvacuatedDomainAreAViolation(t *testing.T) {
	for name, c := range map[string]evacuationCase{
		"both in touch":                       {sent: 15.1, arrived: 15.2},
		"sent before the bound":               {sent: 12, arrived: 15.1},
		"right before the end":                {sent: 19.8, arrived: 19.9},
		"the sender is unknown":               {arrived: 16, unknown: true},
		"entry killed":                        {sent: 16, arrived: 16.1, killed: []int{0}},
		"node of the gate killed":             {sent: 16, arrived: 16.1, killed: []int{1}},
		"after all control hosts were killed": {sent: 17, arrived: 17.1},
	} {
		if out := c.violations(); len(out) != 1 || !strings.Contains(out[0], "node 1 ") || !strings.Contains(out[0], " s, ") {
			t.Errorf("%s: %v", name, out)
		}
	}
	for name, c := range map[string]evacuationCase{
		"within the bound":                   {sent: 14.8, arrived: 14.9},
		"after the end":                      {sent: 20, arrived: 20.1},
		"before":                             {sent: 9, arrived: 9.1},
		"another domain":                     {sent: 16, arrived: 16.1, otherDomain: true},
		"both killed":                        {sent: 16, arrived: 16.1, killed: []int{0, 1}},
		"gate killed, sent before the bound": {sent: 14.9, arrived: 15.1, killed: []int{1}},
		"no majority":                        {sent: 16, arrived: 16.1, controls: true},
	} {
		if out := c.violations(); len(out) != 0 {
			t.Errorf("%s: %v", name, out)
		}
	}
}

// Guards against evacuations that overlap, and against ones that end before they are judged.
func TestEvacuationsOfASchedule(t *testing.T) {
	is := is.New(t)
	most := 0
	for seed := range uint64(20) {
		free := time.Duration(0)
		events := randomEvacuations(seed, 60*time.Second, 4)
		for _, e := range events {
			is.True(e.At > free && e.Length > platformtest.EvacuationBound)
			free = e.At + e.Length
		}
		most = max(most, len(events))
	}
	is.True(most >= 5)
}
