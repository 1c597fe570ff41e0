package proxy

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/retry"
)

const (
	// retryBudgetShare is the share of RetryBudgetPercent that is used. The rest covers nested calls of retried
	// requests that are not recognised, and the windows of the nodes, which are not aligned.
	retryBudgetShare = 0.75
	// burstShare is the share of RetryBudgetExtra that the budgets of all nodes together may accumulate, and
	// extraShare the share that they may use beyond their budgets in a window. The rest covers nodes that are not
	// known. maxRetryBurst bounds what one node accumulates.
	burstShare    = 0.5
	extraShare    = 0.4
	maxRetryBurst = 3
	maxServices   = 4096 // bounds memory, since services that no longer exist are not removed
)

// Causes of retries, whose outcomes are learned separately.
const (
	causeRefused = "refused" // the upstream did not run the request
	causeFailed  = "failed"  // the upstream answered with a failure
	causeLost    = "lost"    // it is unknown whether the request ran
)

// retryKind identifies retries that are about equally likely to succeed.
type retryKind struct{ route, cause string }

// serviceRetries is what is known about the retries to one service.
type serviceRetries struct {
	budget   *retry.Budget
	extra    *retry.Window // retries beyond the budget
	refusals retry.Refusals
}

// retries decides which retries this node sends. The zero value has no budget yet.
type retries struct {
	mu        sync.Mutex
	services  map[string]*serviceRetries
	prospects map[retryKind]*retry.Prospect
	options   EntryOptions
}

// service returns the record of a service. Beyond maxServices, everything known is discarded. The caller must hold r.mu.
func (r *retries) service(name string) *serviceRetries {
	s := r.services[name]
	if s == nil {
		if r.services == nil || len(r.services) >= maxServices {
			r.services = make(map[string]*serviceRetries)
		}
		s = &serviceRetries{
			budget: retry.NewBudgetWithBurst(uint32(max(1, r.options.RetryBudgetPercent*retryBudgetShare)), maxRetryBurst),
			extra:  retry.NewWindow(r.options.RetryBudgetWindow),
		}
		r.services[name] = s
	}
	return s
}

// prospect returns the estimate for a kind of retries. Beyond maxRoutes, everything known is discarded. The caller must
// hold r.mu.
func (r *retries) prospect(k retryKind) *retry.Prospect {
	p := r.prospects[k]
	if p == nil {
		if r.prospects == nil || len(r.prospects) >= maxRoutes {
			r.prospects = make(map[retryKind]*retry.Prospect)
		}
		p = &retry.Prospect{}
		r.prospects[k] = p
	}
	return p
}

// credit adds the share of a request that succeeded to the budget of its service. Requests that fail add nothing, so
// that the budget shrinks when a retry is least likely to help.
func (r *retries) credit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).budget.CountCall()
}

// debit uses one retry for an arrival that counts as one, although the node did not decide on it.
func (r *retries) debit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).budget.Debit()
}

// count counts an attempt that reached an upstream. k is the kind of the retry, without a cause if it is the first attempt.
func (r *retries) count(now time.Time, service, gate string, k retryKind, refused, succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).refusals.Count(now, gate, refused)
	if k.cause != "" {
		r.prospect(k).Count(now, succeeded)
	}
}

// take uses one retry of this node's part of the budget, which it shares with that many nodes. It returns why the
// retry is not allowed, or "".
func (r *retries) take(now time.Time, service string, k retryKind, nodes int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	part := float64(r.options.RetryBudgetExtra) / float64(max(1, nodes))
	s.budget.SetBurst(min(maxRetryBurst, burstShare*part))
	switch {
	case !s.refusals.Worthwhile(now):
		return "refusals"
	case !r.prospect(k).Worthwhile(now):
		return "prospect"
	case s.budget.TakeSaved(), s.extra.Take(now, int(extraShare*part)):
		return ""
	}
	return "budget"
}

// retryCause returns the cause of a retry that follows an attempt.
func retryCause(a attempt) string {
	switch a.ran {
	case ranNo:
		return causeRefused
	case ranYes:
		return causeFailed
	}
	return causeLost
}

// countAttempt counts the outcome of an attempt for later decisions about retries. Attempts that did not reach an
// upstream, and those that only ran out of time, say nothing about the next upstream.
func (f *forwarding) countAttempt(gate string, a attempt, now time.Time) {
	if a.ran == ranNo && a.reason != reasonUpstreamNotRun {
		return
	}
	if f.info.ofRetry && !f.arrived {
		f.entry.retries.debit(f.service)
	}
	f.arrived = true
	if a.reason == reasonDeadline || a.reason == reasonCancelled {
		return
	}
	succeeded := a.ran == ranYes && a.status < fasthttp.StatusInternalServerError
	f.entry.retries.count(now, f.service, gate, retryKind{f.route.GetName(), f.retryCause}, a.ran != ranYes, succeeded)
	if succeeded && !f.info.ofRetry {
		f.entry.retries.credit(f.service)
	}
}

// takeRetry uses one retry after an attempt. It returns why none is allowed, or "".
func (f *forwarding) takeRetry(a attempt, now time.Time) string {
	cause := retryCause(a)
	reason := f.entry.retries.take(now, f.service, retryKind{f.route.GetName(), cause}, f.entry.mesh.View().Nodes)
	if reason == "" {
		f.retryCause = cause
	}
	return reason
}
