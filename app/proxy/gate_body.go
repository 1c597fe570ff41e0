package proxy

import (
	"context"
	"time"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/transfer"
)

// AdmitBody decides whether the body of a request, of which only the header was read, may cross the link of this node. It waits
// until the link has time for it, and rejects a request that the upstream would not get in time.
func (g *Gate) AdmitBody(ctx context.Context, x *meshhttp.Exchange) (release func(), ok bool) {
	req, valid := g.parseRequest(x)
	if !valid {
		g.reject(x, req, ranNo, reasonBadRequest, "")
		return nil, false
	}
	now := time.Now()
	g.mu.Lock()
	u := g.activeUpstream
	reason := g.domainReason(now)
	if reason == "" {
		reason = u.rejectionReason(now, g.options.LostAfter)
	}
	if reason != "" {
		g.mu.Unlock()
		g.reject(x, req, ranNo, reason, "")
		return nil, false
	}
	if g.link == nil {
		g.mu.Unlock()
		return func() {}, true
	}
	service := u.queue.Load(now).ServiceTime
	b := transfer.Body{
		Bytes:     int64(x.Request.Header.ContentLength()),
		MaxWait:   admission.Request{Goal: req.goal, Deadline: req.deadline, GoalDuration: req.goalDuration}.MaxWait(now, service),
		LatestEnd: req.deadline.Add(-service),
	}
	start, admitted := g.link.Admit(now, b)
	g.mu.Unlock()
	if !admitted {
		g.reject(x, req, ranNo, reasonLink, "")
		return nil, false
	}
	end := func(cancelled bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.link.End(b, cancelled)
	}
	if wait := time.Until(start); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			end(true)
			g.reject(x, req, ranNo, reasonCancelled, "")
			return nil, false
		}
	}
	return func() { end(false) }, true
}
