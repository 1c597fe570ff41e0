package proxy

import (
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/fairness"
)

// rejectionReasons are the reasons of the decisions of an admission.Queue by which a request does not run.
var rejectionReasons = map[admission.Decision]string{admission.Busy: reasonBusy, admission.OverShare: reasonFairShare}

// offer counts a request and reports whether its service is expected to accept it. Under shortage, the requests that the
// throttle rejects are those of the organisations that exceed their fair share of what is accepted.
func (e *Entry) offer(now time.Time, key throttleKey, organisation string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, sample := e.throttle(key), e.random.Float64()
	send := t.Offer(now, sample)
	if organisation != "" {
		s := e.serviceShares(key.service)
		s.Add(now, organisation, 1)
		if p := t.RejectionProbability(); p > 0 {
			send = sample >= s.Excess(organisation, (1-p)*s.Total(now))
		}
	}
	if send {
		e.rerouteBudget(key.service).CountCall() // with those that are not sent, most of the others would be rerouted
	}
	return send
}

// serviceShares returns the requests to a service by organisation. The caller must hold e.mu.
func (e *Entry) serviceShares(service string) *fairness.Shares {
	s := e.shares[service]
	if s == nil {
		if len(e.shares) >= maxRoutes {
			clear(e.shares)
		}
		s = &fairness.Shares{}
		e.shares[service] = s
	}
	return s
}

// rejectsMany reports whether so many requests of a kind are rejected that a request need not wait for the end of a
// short peak.
func (e *Entry) rejectsMany(key throttleKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return admission.Patience(e.throttle(key).RejectedShare()) == 0
}
