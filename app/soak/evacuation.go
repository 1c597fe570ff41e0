package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

const (
	orderTimeout = time.Second // for the answer of one control host
	orderRetry   = 50 * time.Millisecond
	// Bounds of the time between two evacuations, and of the time until one is withdrawn, which leaves time after the bound of
	// platformtest.EvacuationBound.
	minEvacuationGap  = time.Second
	maxEvacuationGap  = 6 * time.Second
	minEvacuationTime = platformtest.EvacuationBound + 1500*time.Millisecond
	maxEvacuationTime = platformtest.EvacuationBound + 7*time.Second
	// lateEvacuation is the time after the begin of the last faults until which an evacuation may last. No fault would coincide with the end of
	// a later one.
	lateEvacuation = 3 * time.Second
)

// evacuation is the evacuation of a failure domain. Zero times are those of what did not happen.
type evacuation struct {
	domain       string
	acknowledged time.Time // when a control host accepted the order
	withdrawing  time.Time // when the order to end it was sent first
	withdrawn    time.Time // when a control host accepted that
}

// evacuations are those of a run, of which one at a time is in force.
type evacuations struct {
	inForce sync.Mutex
	mu      sync.Mutex
	list    []evacuation
}

func (e *evacuations) record(of evacuation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, of)
}

func (e *evacuations) all() []evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.list)
}

// evacuate orders the evacuation of the target's failure domain and withdraws it e.Length after it was acknowledged.
func (r *run) evacuate(e Event) {
	r.evacuations.inForce.Lock()
	defer r.evacuations.inForce.Unlock()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(e.At)))
	of := evacuation{domain: r.nodes[e.Target].host.FailureDomain}
	if of.acknowledged = r.order(random, of.domain, true); !of.acknowledged.IsZero() {
		time.Sleep(e.Length)
	}
	of.withdrawing = time.Now()
	of.withdrawn = r.order(random, of.domain, false)
	r.evacuations.record(of)
}

// order sends an order to one random control host after the other until one acknowledges it, and returns the time then. It returns zero and
// records a violation if none does within settleTime or one rejects the order.
func (r *run) order(random *rand.Rand, domain string, active bool) time.Time {
	sent, status := time.Now(), 0
	for time.Since(sent) < settleTime {
		ip := r.controls[random.IntN(len(r.controls))].host.IP
		status = platformtest.ChangeEvacuation(platformtest.ControlAddress(ip), domain, active, orderTimeout)
		switch {
		case status >= 200 && status < 300:
			return time.Now()
		case status >= 400 && status < http.StatusInternalServerError:
			r.checks.add("control host %s rejected an order (evacuate %s: %v) with status %d", ip, domain, active, status)
			return time.Time{}
		}
		time.Sleep(orderRetry)
	}
	r.checks.add("no control host acknowledged an order (evacuate %s: %v) within %v, last status %d", domain, active, settleTime, status)
	return time.Time{}
}

// evacuationCheck finds requests that reached the upstreams of an evacuated failure domain.
type evacuationCheck struct {
	clock   clock
	touch   *touch
	domains []string // by node
}

// violations returns, for each evacuation and node that sent such requests, the first one and their number.
func (c evacuationCheck) violations(list []evacuation, sendings []sending, arrivals []arrival) []string {
	sent := make(map[string]sending)
	for _, q := range sendings {
		sent[q.id] = q
	}
	var out []string
	for _, e := range list {
		if e.acknowledged.IsZero() {
			continue
		}
		bound := c.touch.deadline(e.acknowledged, platformtest.EvacuationBound)
		first, count := make(map[string]arrival), make(map[string]int)
		var senders []string
		for _, a := range arrivals {
			if a.health || c.domains[a.node] != e.domain || !a.at.After(bound) || !a.at.Before(e.withdrawing) {
				continue
			}
			from := c.sender(a, bound, sent)
			if from == "" {
				continue
			}
			if count[from]++; count[from] == 1 {
				first[from], senders = a, append(senders, from)
			}
		}
		for _, from := range senders {
			a := first[from]
			out = append(out, fmt.Sprintf("%d requests from %s, which was in touch, reached upstreams of failure domain %s, which was evacuated %s; "+
				"the first, %s, that of node %d %s, %v after the acknowledgement", count[from], from, e.domain, c.clock.at(e.acknowledged),
				a.id, a.node, c.clock.at(a.at), a.at.Sub(e.acknowledged).Round(time.Millisecond)))
		}
	}
	return out
}

// sender names the node in touch that sent a request against an evacuation, "" if none did: the gate beside the upstream, or the
// entry that received the request, if that was later than the bound.
func (c evacuationCheck) sender(a arrival, bound time.Time, sent map[string]sending) string {
	if c.touch.inTouch(a.node, a.at, a.at) {
		return fmt.Sprint("the gate of node ", a.node)
	}
	q, ok := sent[a.id]
	if ok && q.at.After(bound) && c.touch.inTouch(q.node, q.at, a.at) {
		return fmt.Sprint("the entry of node ", q.node)
	}
	return ""
}

// judgedTime returns the time after the bound for which failure domains were evacuated and at least one of their nodes was in touch.
func (c evacuationCheck) judgedTime(list []evacuation) time.Duration {
	const step = 50 * time.Millisecond
	sum := time.Duration(0)
	for _, e := range list {
		if e.acknowledged.IsZero() {
			continue
		}
		for at := c.touch.deadline(e.acknowledged, platformtest.EvacuationBound); at.Before(e.withdrawing); at = at.Add(step) {
			if slices.ContainsFunc(c.nodesOf(e.domain), func(node int) bool { return c.touch.inTouch(node, at, at) }) {
				sum += step
			}
		}
	}
	return sum
}

func (c evacuationCheck) nodesOf(domain string) (out []int) {
	for i, d := range c.domains {
		if d == domain {
			out = append(out, i)
		}
	}
	return out
}

// randomEvacuations returns the evacuations of a seed. They do not overlap, unless an order takes long to be acknowledged: then the
// next one waits.
func randomEvacuations(seed uint64, length time.Duration, nodes int) []Event {
	random := rand.New(rand.NewPCG(seed, 19))
	between := func(low, high time.Duration) time.Duration {
		return (low + time.Duration(random.Int64N(int64(high-low)))).Round(time.Millisecond)
	}
	var events []Event
	for at := between(minEvacuationGap, maxEvacuationGap); at < length; at += between(minEvacuationGap, maxEvacuationGap) {
		e := Event{At: at, Kind: Evacuate, Target: random.IntN(nodes), Length: between(minEvacuationTime, maxEvacuationTime)}
		if at += e.Length; at < length+lateEvacuation {
			events = append(events, e)
		}
	}
	return events
}
