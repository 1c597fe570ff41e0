package proxy

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/fairness"
	"github.com/rattanfield/rattanfield/core/retry"
	"github.com/rattanfield/rattanfield/core/throttle"
)

// Guards against an entry that rejects the requests of all organisations alike for an overload that one of them causes.
// Load: an entry with 70 small organisations that send 0.7 of what a service accepts, and one that sends 0.8 of it.
func TestThrottleRejectsTheOrganisationThatCausesTheOverload(t *testing.T) {
	is := is.New(t)
	e := &Entry{
		random: rand.New(rand.NewPCG(1, 2)), throttles: make(map[throttleKey]*throttle.Throttle),
		rerouteBudgets: make(map[string]*retry.Budget), shares: make(map[string]*fairness.Shares),
	}
	key := throttleKey{route: "r", service: "s"}
	const perSecond, capacity = 150, 100 // requests that are offered and accepted
	now, tokens := time.Unix(1000, 0), 0.0
	offered, sent := map[string]float64{}, map[string]float64{}
	for i := range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		tokens = min(tokens+capacity/float64(perSecond), 10)
		organisation, size := "large", "large"
		if e.random.Float64() < 70.0/150 {
			organisation, size = strconv.Itoa(e.random.IntN(70)), "small"
		}
		send := e.offer(now, key, organisation, false)
		if send {
			accepted := tokens >= 1
			if accepted {
				tokens--
			}
			e.throttle(key).Done(now, accepted)
		}
		if i > 5*perSecond { // after the first seconds
			offered[size]++
			if send {
				sent[size]++
			}
		}
	}
	t.Logf("sent: small %.3f, large %.3f", sent["small"]/offered["small"], sent["large"]/offered["large"])
	is.True(sent["small"] > 0.98*offered["small"])
	is.True(sent["large"] < 0.95*offered["large"]) // it is throttled
	is.True(sent["large"] > 0.3*offered["large"])  // down to its share
}

// Guards against a gate that does not pass the caller's organisation, or the time of the route, to its queue.
func TestGateTellsItsQueueWhoCalls(t *testing.T) {
	is := is.New(t)
	n := newNode(t, newMesh(), "i1", succeed)
	x := gateRequestFor("1", "300")
	x.Request.Header.Set(hopOrganisation, "small")
	n.gate.Handle(context.Background(), x)
	req, ok := n.gate.parseRequest(x)
	is.True(ok)
	r := n.gate.admissionRequest(1, req)
	is.Equal(r.Organisation, "small")
	is.True(r.ServiceTime > 0)
}
