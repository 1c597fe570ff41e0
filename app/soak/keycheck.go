package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// keyCheck finds requests that ran or were rejected against the rules on keys.
type keyCheck struct {
	clock clock
	touch *touch
	keys  map[string]heldKey
}

// violations returns the violated rules, and how many requests had no key of a plan and how many a withdrawn one at a node that
// must know it. The arrivals are in the order of their times.
func (c keyCheck) violations(sendings []sending, arrivals []arrival) (out []string, denied, withdrawn int) {
	sent, first := make(map[string]sending), make(map[string]arrival)
	for _, q := range sendings {
		sent[q.id] = q
	}
	for _, a := range arrivals {
		if a.health {
			continue
		}
		if _, ok := first[a.id]; !ok {
			first[a.id] = a
		}
		if text := wrongHeader(a, sent[a.id].credentials); text != "" {
			out = append(out, fmt.Sprintf("request %s reached the upstream of node %d %s %s", a.id, a.node, c.clock.at(a.at), text))
		}
	}
	for _, q := range sendings {
		if q.credentials == nil {
			continue
		}
		switch {
		case q.credentials.use != validUse && q.credentials.use != publicUse:
			denied++
		case c.isWithdrawn(q):
			withdrawn++
		}
		text := c.wrongAnswer(q)
		if a, ok := first[q.id]; ok && text == "" {
			text = c.wrongRun(q, a)
		}
		if text != "" {
			out = append(out, fmt.Sprintf("request %s to node %d with %s %s (ended after %v): %s",
				q.id, q.node, q.credentials.use, c.clock.at(q.at), q.ended.Sub(q.at).Round(time.Millisecond), text))
		}
	}
	return out, denied, withdrawn
}

// keysInLogs names the processes whose logs contain a key.
func (r *run) keysInLogs() (out []string) {
	for _, p := range append(append([]*process{}, r.nodes...), r.controls...) {
		log, err := os.ReadFile(p.log.Name())
		switch {
		case err != nil:
			out = append(out, fmt.Sprintf("the log of %s %s cannot be read: %v", p.role, p.host.IP, err))
		case bytes.Contains(log, []byte(platformtest.KeyPrefix)):
			at := bytes.Index(log, []byte(platformtest.KeyPrefix))
			out = append(out, fmt.Sprintf("the log of %s %s contains a key of an organisation, after %d bytes", p.role, p.host.IP, at))
		}
	}
	return out
}

// wrongHeader returns what is wrong with what an upstream was told of the caller of a request, or "".
func wrongHeader(a arrival, k *credentials) string {
	want := ""
	if k != nil && k.use == validUse {
		want = k.held.organisation
	}
	switch {
	case a.hasKey:
		return "with a key"
	case a.organisation != want:
		return fmt.Sprintf("as one of organisation %q, not %q", a.organisation, want)
	}
	return ""
}

// wrongRun returns why a request must not have reached an upstream, or "".
func (c keyCheck) wrongRun(q sending, a arrival) string {
	switch {
	case q.credentials.use != validUse && q.credentials.use != publicUse:
		return fmt.Sprintf("it reached the upstream of node %d", a.node)
	case q.status == http.StatusUnauthorized:
		return fmt.Sprintf("status 401, but it reached the upstream of node %d", a.node)
	case c.isWithdrawn(q):
		return fmt.Sprintf("key %d was withdrawn %v before, but it reached the upstream of node %d", q.credentials.held.number, c.withdrawnFor(q), a.node)
	}
	return ""
}

// wrongAnswer returns what is wrong with the answer to a request, or "". A request without an answer is judged by its run.
func (c keyCheck) wrongAnswer(q sending) string {
	inTouch, denied := c.touch.inTouch(q.node, q.at, q.ended), q.status == http.StatusUnauthorized
	switch k := q.credentials; {
	case q.status == 0:
		return ""
	case q.status >= 400 && q.status < 500 && !denied && !isRejection(q.status):
		return fmt.Sprintf("status %d", q.status)
	case k.use == publicUse:
		if denied || q.status == http.StatusTooManyRequests {
			return fmt.Sprintf("status %d", q.status)
		}
	case k.use != validUse:
		if !denied && (inTouch || q.status != http.StatusServiceUnavailable) {
			return fmt.Sprintf("status %d instead of 401", q.status)
		}
	case c.isWithdrawn(q):
		if !denied {
			return fmt.Sprintf("status %d instead of 401, key %d was withdrawn %v before", q.status, k.held.number, c.withdrawnFor(q))
		}
	case denied:
		if c.isHeld(q, inTouch) {
			return fmt.Sprintf("status 401, but the plans have key %d of organisation %s", k.held.number, k.held.organisation)
		}
	case q.status == http.StatusTooManyRequests && k.held.organisation != limitedOrganisation:
		return "status 429 without a quota"
	}
	return ""
}

// isWithdrawn reports whether the node must know that the key of a request was withdrawn.
func (c keyCheck) isWithdrawn(q sending) bool {
	if q.credentials.use != validUse {
		return false
	}
	held := c.keys[q.credentials.held.key]
	return !held.withdrawn.IsZero() && q.at.After(c.touch.deadline(held.withdrawn, applyBound)) && c.touch.inTouch(q.node, q.at, q.ended)
}

func (c keyCheck) withdrawnFor(q sending) time.Duration {
	return q.at.Sub(c.keys[q.credentials.held.key].withdrawn).Round(time.Millisecond)
}

// isHeld reports whether every plan that the node may have has the key of a request.
func (c keyCheck) isHeld(q sending, inTouch bool) bool {
	held := c.keys[q.credentials.held.key]
	if held.organisation != rotatingOrganisation {
		return true
	}
	return inTouch && !held.accepted.IsZero() && q.at.After(c.touch.deadline(held.accepted, applyBound)) &&
		(held.withdrawing.IsZero() || held.withdrawing.After(q.ended))
}
