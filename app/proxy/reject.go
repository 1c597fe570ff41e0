package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
)

// passResponse returns the response of an upstream to the client.
func (f *forwarding) passResponse(a attempt) {
	r := &f.x.Response
	dropHopByHop(r)
	dropHopHeaders(&r.Header, r.Header.All())
	f.recordSize(r)
	f.entry.metrics.observe("entry", f.route.GetName(), time.Since(f.x.Received))
	f.entry.durations.record(f.kind(), time.Since(f.x.Received))
	f.entry.metrics.organisations.answered(f.info.organisation.GetName(), time.Since(f.x.Received))
	if a.status >= fasthttp.StatusInternalServerError {
		f.log("failure of the upstream", "upstream", a.status)
	}
}

// giveUp ends a request after its last attempt: with the failure response of an
// earlier attempt if there is one, otherwise with the entry's own response.
func (f *forwarding) giveUp() {
	if f.savedFailure != nil {
		moveResponse(f.savedFailure, &f.x.Response)
		if f.x.Lease != nil {
			f.x.Lease.Release()
		}
		f.x.Lease, f.savedLease = f.savedLease, nil
		f.discardSavedFailure()
		f.passResponse(attempt{ran: ranYes, status: f.x.Response.StatusCode()})
		return
	}
	f.reject(f.lastReason)
}

// reject fills in the entry's own response with the status for the reason.
func (f *forwarding) reject(reason string) {
	r := &f.x.Response
	body.Discard(r)
	r.Reset()
	f.giveBackQuota()
	status := fasthttp.StatusServiceUnavailable
	switch {
	case reason == reasonNoRoute:
		status = fasthttp.StatusNotFound
	case reason == reasonUnknownKey && !f.mayHaveRun:
		status = fasthttp.StatusUnauthorized
	case reason == reasonBadRequest:
		status = fasthttp.StatusBadRequest
	case reason == reasonQuota:
		status = fasthttp.StatusTooManyRequests
		r.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(f.quotaRetryAfter))
	case f.mayHaveRun && reason == reasonDeadline:
		status = fasthttp.StatusGatewayTimeout
	case f.mayHaveRun:
		status = fasthttp.StatusBadGateway
	case reason == reasonNoPlan:
		r.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(retryAfterNoPlan))
	case reason == reasonCrashSuspect:
		r.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(f.suspectRetryAfter()))
	case f.entry.closed(reason):
		r.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(f.entry.successorRetryAfter()))
	default:
		r.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(f.retryAfter(reason)))
	}
	r.SetStatusCode(status)
	if f.id != "" {
		r.Header.Set(f.entry.options.Headers.ID, f.id)
	}
	r.SetBodyString(reason + "\n")
	f.entry.metrics.count("entry", reason)
	f.entry.metrics.organisations.rejected(f.info.organisation.GetName())
	if reason != reasonQuota { // the store logs the begin and the end; a line each would displace those that explain other requests
		f.log("not answered", reason, status)
	}
}

// randomRetryAfter returns a random time between 0.5 and 1.5 times retryAfter, so
// that rejected clients do not return at the same time.
func (e *Entry) randomRetryAfter() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return retryAfter/2 + time.Duration(e.random.Float64()*float64(retryAfter))
}

// log writes the line by which operators explain a failed request from its id. It
// states the plan in force, the number of known endpoints of the service and the age
// of that view.
func (f *forwarding) log(event, reason string, status int) {
	now := time.Now()
	caller, suppressed := f.describeCaller(reason)
	if suppressed {
		return
	}
	serial, number := uint64(0), uint64(0)
	if f.view.Plan != nil {
		serial, number = f.view.Plan.Serial, f.view.Plan.Plan.GetNumber()
	}
	_ = f.entry.logger.Log(append([]any{
		"event", event, "request", f.id, "reason", reason, "detail", f.lastDetail, "status", status, "host", hostOf(&f.x.Request),
		"route", f.route.GetName(), "service", f.service, "plan", number, "serial", serial, "view_age", f.view.Age(now).Round(time.Millisecond),
		"endpoints", len(f.view.Endpoints[f.service]), "tried", len(f.tried), "sends", f.sends, "redirects", f.reroutes, "without_upstream", f.withoutUpstream, "not_retried", f.notRetried,
		"may_have_run", f.mayHaveRun, "crashes", describeCrashes(f.suspicion.Crashes), "after", now.Sub(f.x.Received).Round(time.Millisecond), "queued", f.x.Queued.Round(time.Millisecond), "client", clientOf(f.x.Remote),
	}, caller...)...)
}
