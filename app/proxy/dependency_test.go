package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Loads: nested calls that gates reject, that miss their goal, or that all upstreams of a service refuse although they are not
// full. Guards against parents that are rejected for refusals that do not depend on the load.
func TestOnlyOverloadLimitsParents(t *testing.T) {
	for name, c := range map[string]struct {
		attempt attempt
		limited bool
	}{
		"rejected by the gate":    {attempt{ran: ranNo, reason: reasonBusy}, true},
		"late":                    {attempt{ran: ranYes, status: 200, latency: time.Second}, true},
		"in time":                 {attempt{ran: ranYes, status: 200, latency: time.Millisecond}, false},
		"refused by the upstream": {attempt{ran: ranNo, reason: reasonUpstreamNotRun}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newTestEntry(newMesh())
			f := &forwarding{entry: e, parentRoute: "parent", route: &pb.PlanRoute{Name: "nested", GoalMs: 100}}
			var h fasthttp.ResponseHeader
			h.Set(hopRejected, "0,0,0")
			for range 50 {
				f.learnDependency(&h, c.attempt)
			}
			is.Equal(e.gate.dependencies.routes.Rejection(time.Now(), "parent", 0) > 0.5, c.limited)
		})
	}
}
