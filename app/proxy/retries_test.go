package proxy

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
)

// arrivalsBeyondFirst returns how many requests reached the upstreams beyond the first arrival of each request target.
func arrivalsBeyondFirst(nodes ...*node) int {
	total, targets := 0, make(map[string]bool)
	for _, n := range nodes {
		n.upstream.mu.Lock()
		for _, r := range n.upstream.got {
			total++
			targets[string(r.Header.RequestURI())] = true
		}
		n.upstream.mu.Unlock()
	}
	return total - len(targets)
}

// Guards against requests that are offered to one upstream after the other while all of them refuse. Load: 300 requests
// one after the other to four upstreams that refuse everything.
func TestServiceThatRefusesEverythingIsNotAskedAgain(t *testing.T) {
	m := newMesh()
	var nodes []*node
	for i := range 4 {
		nodes = append(nodes, newNode(t, m, "i"+strconv.Itoa(i), shed))
	}
	e := newTestEntry(m)
	for i := range 300 {
		send(e, "/write/"+strconv.Itoa(i))
	}
	if n := arrivalsBeyondFirst(nodes...); n < 1 || n > len(nodes) { // at most one refusal of each upstream is needed to tell
		t.Errorf("%d arrivals beyond the first of each request", n)
	}
}

// Guards against a budget that is spent on retries which fail as the first attempts did, such as those after a failure
// of nested calls. Load: 300 requests that fail on both upstreams, and 300 others that succeed and fill the budget.
func TestRetriesThatNeverSucceedEnd(t *testing.T) {
	m := newMesh()
	behave := func(x *meshhttp.Exchange) {
		if len(x.Request.Header.RequestURI()) > 0 && x.Request.Header.RequestURI()[1] == 'r' {
			respond(500)(x)
			return
		}
		succeed(x)
	}
	a, b := newNode(t, m, "i1", behave), newNode(t, m, "i2", behave)
	e := newTestEntry(m)
	for i := range 300 {
		send(e, "/write/"+strconv.Itoa(i))
		send(e, "/read/"+strconv.Itoa(i))
	}
	if n := arrivalsBeyondFirst(a, b); n < 1 || n > 10 {
		t.Errorf("%d arrivals beyond the first of each request", n)
	}
}

// Guards against budgets of single nodes that together exceed the bound when all of them use what they accumulated.
// Load: the nodes and the budget_extra of the deployments P and K, after requests that succeed.
func TestBurstsOfAllNodesFitTheBound(t *testing.T) {
	for _, site := range []struct{ nodes, extra int }{{62, 164}, {82, 202}, {12, 60}} {
		m := newMesh()
		m.change(func(v *controlclient.View) { v.Nodes = site.nodes })
		e := newTestEntry(m)
		e.retries.options.RetryBudgetExtra = site.extra
		now, total := time.Now(), 0
		for range 1000 {
			e.retries.credit("a")
		}
		for e.retries.take(now, "a", retryKind{"read", causeRefused}, m.View().Nodes) == "" {
			total += site.nodes
		}
		is.New(t).True(total > 0 && total <= site.extra)
	}
}

// Guards against nodes that each keep to their part of the budget while their sum exceeds the bound, because nested calls
// of retried requests count as retries too. Load of deployment K: 82 nodes, 1,630 requests/s at a service of 39 upstreams,
// of which each makes two nested calls; for 8.5 of 10 s, all 31 upstreams of the service that they call refuse 0.55.
func TestRetriesOfAllNodesFitTheBound(t *testing.T) {
	const nodes, extra, length = 82, 202, 10 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	entries := make([]retries, nodes)
	for i := range entries {
		entries[i].options = EntryOptions{RetryBudgetPercent: 20, RetryBudgetExtra: extra, RetryBudgetWindow: length}
	}
	start := time.Now()
	var now time.Time
	requests, beyond, served := map[string]int{}, map[string]int{}, map[string]int{}
	// send sends a request and its retries; run runs it on an upstream and states whether that refused it and failed.
	send := func(service string, upstreams int, ofRetry bool, run func(retry bool) (refused, failed bool)) bool {
		r, cause, requested := &entries[random.IntN(nodes)], "", "route-"+service
		if ofRetry {
			r.debit(service)
		} else {
			requests[service]++
		}
		for arrivals := 0; ; arrivals++ {
			if arrivals > 0 || ofRetry {
				beyond[service]++
			}
			refused, failed := run(arrivals > 0 || ofRetry)
			r.count(now, service, strconv.Itoa(random.IntN(upstreams)), retryKind{requested, cause}, refused, !failed)
			if !failed {
				served[service]++
				if !ofRetry {
					r.credit(service)
				}
				return true
			}
			if cause = causeFailed; refused {
				cause = causeRefused
			}
			if arrivals == 3 || r.take(now, service, retryKind{requested, cause}, nodes) != "" {
				return false
			}
		}
	}
	for now = start; now.Before(start.Add(length)); now = now.Add(time.Second / 1630) {
		send("parents", 39, false, func(retry bool) (refused, failed bool) {
			for range 2 {
				failed = failed || !send("calls", 31, retry, func(bool) (bool, bool) {
					refuses := now.Sub(start) < 8500*time.Millisecond && random.Float64() < 0.55
					return refuses, refuses
				})
			}
			return false, failed
		})
	}
	for service, n := range requests {
		t.Logf("%s: %d requests, %d served, %d arrivals beyond the first", service, n, served[service], beyond[service])
		if beyond[service] < n/100 || beyond[service] > n/5+extra {
			t.Errorf("%s: more than %d are not allowed", service, n/5+extra)
		}
	}
}
