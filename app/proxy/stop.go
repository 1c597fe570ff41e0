package proxy

import (
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/core/drain"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// durations is a drain.Durations for concurrent use.
type durations struct {
	mu     sync.Mutex
	values drain.Durations
}

func (d *durations) record(k drain.Kind, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.values.Record(k, took)
}

func (d *durations) usual(k drain.Kind) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.values.Usual(k)
}

func (d *durations) mean(k drain.Kind) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.values.Mean(k)
}

func (d *durations) longest() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.values.Longest()
}

// limitByStop returns the time limit of a request that a node starts; s is nil if the node does not stop.
func limitByStop(s *drain.Stop, deadline time.Time) time.Time {
	if s == nil {
		return deadline
	}
	return s.Limit(deadline)
}

// Admit decides whether a request that was read is forwarded. It always is, unless the node stops.
func (e *Entry) Admit(x *meshhttp.Exchange) bool {
	s := e.gate.stop.Load()
	if s == nil {
		return true
	}
	f := e.newForwarding(x)
	timeout, reason := f.match()
	if reason != "" {
		return true // Handle rejects it for that reason
	}
	now := time.Now()
	r := drain.Request{Deadline: x.Received.Add(timeout), Usual: e.usualOf(f.route), ParentDeadline: e.gate.latestDeadline()}
	limit, admitted := s.Admit(now, r)
	e.gate.countStopDecision("entry", f.id, f.route.GetName(), s, r, now, admitted)
	if !admitted {
		f.reject(reasonStopping)
		return false
	}
	x.Limit, x.Nested = limit, drain.Passed(now, s.CloseAt)
	return true
}

// closed reports whether a rejected client can come back only to the successor of this process.
func (e *Entry) closed(reason string) bool {
	s := e.gate.stop.Load()
	return s != nil && (reason == reasonStopping || drain.Passed(time.Now(), s.CloseAt))
}

// successorRetryAfter returns the Retry-After of a node that stops, with a spread, so that rejected clients do not
// return at the same time.
func (e *Entry) successorRetryAfter() time.Duration {
	return e.gate.stop.Load().RetryAfter(time.Now(), e.durations.longest()) + e.randomRetryAfter()
}

// usualOf returns the usual duration of the requests of a route, the longest of its services.
func (e *Entry) usualOf(route *pb.PlanRoute) time.Duration {
	var longest time.Duration
	for _, t := range route.GetTargets() {
		longest = max(longest, e.durations.usual(drain.Kind{Route: route.GetName(), Service: t.GetService()}))
	}
	return longest
}

// Admit decides whether a request of an entry is handled. It always is, unless the node stops. Whether a request is
// nested is not known here, so one that comes late is admitted if its time limit passes before the stop ends.
func (g *Gate) Admit(x *meshhttp.Exchange) bool {
	s := g.stop.Load()
	if s == nil {
		return true
	}
	req, ok := g.parseRequest(x)
	if !ok {
		return true // Handle rejects it
	}
	now := time.Now()
	r := drain.Request{Deadline: req.deadline, Usual: g.durations.usual(drain.Kind{Route: req.route, Service: req.service}), ParentDeadline: s.LatestAnswer()}
	_, admitted := s.Admit(now, r)
	g.countStopDecision("gate", req.id, req.route, s, r, now, admitted)
	if !admitted {
		g.reject(x, req, ranNo, reasonNoTime, "")
	}
	return admitted
}

// latestDeadline returns the latest time limit of the requests that the local upstream runs or that wait for it;
// the zero time if there are none.
func (g *Gate) latestDeadline() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	var latest time.Time
	if g.activeUpstream != nil {
		for _, deadline := range g.activeUpstream.deadlines {
			if deadline.After(latest) {
				latest = deadline
			}
		}
	}
	return latest
}

// countStopDecision counts what was decided about a request that was read during a stop, and logs the first
// rejections and late admissions. Others end as usual.
func (g *Gate) countStopDecision(side, id, route string, s *drain.Stop, r drain.Request, now time.Time, admitted bool) {
	decision := "rejected"
	if admitted {
		decision = "admitted"
	}
	g.metrics.countStopDecision(side, decision)
	if (admitted && !drain.Passed(now, s.CloseAt)) || g.stopLines.Add(1) > maxStopLines {
		return
	}
	_ = g.logger.Log("event", "request during a stop", "side", side, "request", id, "route", route, "decision", decision,
		"after_signal", now.Sub(s.Begin).Round(time.Millisecond), "left", s.EndAt.Sub(now).Round(time.Millisecond),
		"time_limit", r.Deadline.Sub(now).Round(time.Millisecond), "usual", r.Usual.Round(time.Millisecond),
		"parent_limit", max(0, r.ParentDeadline.Sub(now)).Round(time.Millisecond))
}

// maxStopLines bounds the lines about requests of one stop, so that the rate limit of the log leaves room for the
// lines about its end.
const maxStopLines = 100
