package proxy

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// How long a request that got no answer counts as in progress when its upstream turns out to have ended. A lost one
// was in progress if its connection ended with the process; one that was given up may still be running.
const (
	lostMemory    = 2 * time.Second
	givenUpMemory = time.Second
)

// maxUnanswered bounds the requests that unanswered keeps.
const maxUnanswered = 64

// unanswered holds requests that were sent to an upstream and got no answer recently.
type unanswered struct{ requests []unansweredRequest }

type unansweredRequest struct {
	gateRequest
	until time.Time // end of the time in which it counts as in progress
}

// record keeps a request whose outcome is unknown.
func (u *unanswered) record(now time.Time, req gateRequest, f meshhttp.Failure) {
	memory := lostMemory
	switch f {
	case meshhttp.Answered, meshhttp.NotSent:
		return
	case meshhttp.Cancelled, meshhttp.TimedOut:
		memory = givenUpMemory
	}
	if len(u.requests) == maxUnanswered {
		u.requests = append(u.requests[:0], u.requests[1:]...)
	}
	u.requests = append(u.requests, unansweredRequest{req, now.Add(memory)})
}

// recent returns the requests that still count as in progress.
func (u *unanswered) recent(now time.Time) []gateRequest {
	var out []gateRequest
	for _, r := range u.requests {
		if now.Before(r.until) {
			out = append(out, r.gateRequest)
		}
	}
	return out
}

// inProgress returns the requests that were in progress on an upstream that has just ended.
func (u *upstream) inProgress(now time.Time) []gateRequest {
	return slices.AppendSeq(u.unanswered.recent(now), maps.Values(u.running))
}

// checkEnded reports whether the upstream ended while it ran a request that failed in this way. A lost connection alone does
// not show it: upstreams reset connections when they are full, and break off answers. One that has ended accepts no
// connections, or another process has announced itself in its place.
func (g *Gate) checkEnded(ctx context.Context, u *upstream, f meshhttp.Failure) bool {
	if f != meshhttp.ConnectionLost && f != meshhttp.InvalidResponse {
		return false
	}
	lost := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for u.endCheck != nil {
		check := u.endCheck
		g.mu.Unlock()
		<-check
		g.mu.Lock()
	}
	switch {
	case u.ended, !u.closesAt.IsZero(), u.aliveAt.After(lost):
	case g.activeUpstream != u:
		g.noticeEnd(u, "replaced", u.inProgress(time.Now()))
	case g.refuses(ctx, u):
		u.unreachable = true
		g.assumeCold(time.Now())
		u.notify(u.queue.Clear(), reasonNoUpstream)
		g.noticeEnd(u, "connection refused", u.inProgress(time.Now()))
	}
	return u.ended
}

// refuses checks whether the upstream refuses connections. Others wait for the result meanwhile. The caller must hold g.mu,
// which is released during the check.
func (g *Gate) refuses(ctx context.Context, u *upstream) bool {
	address, check := u.announcement.GetAddress(), make(chan struct{})
	u.endCheck = check
	g.mu.Unlock()
	refused := g.pool.Refuses(context.WithoutCancel(ctx), address)
	g.mu.Lock()
	close(check)
	u.endCheck = nil
	if !refused {
		u.aliveAt = time.Now()
	}
	return refused
}

// noticeEnd records that an upstream has ended while these requests were in progress, unless its end was planned. The
// caller must hold g.mu.
func (g *Gate) noticeEnd(u *upstream, evidence string, requests []gateRequest) {
	a := u.announcement
	if u.ended || !u.closesAt.IsZero() || len(requests) == 0 || g.superseded(a) {
		return
	}
	u.ended = true
	g.metrics.countUpstreamEnd()
	fingerprints := make([]uint64, 0, len(requests))
	for _, r := range requests {
		fingerprints = append(fingerprints, r.fingerprint)
	}
	counted := g.suspects.Ended(processName(a), a.GetService(), fingerprints)
	for _, f := range counted {
		u.endedBySuspect = u.endedBySuspect || len(g.suspects.Decide(f).Crashes) > 1
	}
	_ = g.logger.Log("event", "upstream ended", "instance", a.GetInstance(), "service", a.GetService(), "version", a.GetVersion(),
		"evidence", evidence, "in_progress", len(requests), "requests", describeRequests(requests), "suspects", len(counted), "known", u.endedBySuspect)
}

// processName identifies the process of an upstream: instances may start again with the id that they had.
func processName(a *pb.Announcement) string {
	return a.GetInstance() + "/" + strconv.FormatInt(a.GetBornUnixMs(), 36)
}

// superseded reports whether a completed rollout has replaced the version of an upstream, which is then stopped at once.
func (g *Gate) superseded(a *pb.Announcement) bool {
	r := g.mesh.View().Rollouts[a.GetService()]
	return r.GetPhase() == pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE && r.GetTargetVersion() != a.GetVersion()
}

// maxDescribed bounds the requests that one line names.
const maxDescribed = 16

// describeRequests returns the ids of requests with their fingerprints.
func describeRequests(requests []gateRequest) string {
	var b strings.Builder
	for i, r := range requests {
		if i == maxDescribed {
			break
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(r.id + "/" + formatFingerprint(r.fingerprint))
	}
	return b.String()
}
