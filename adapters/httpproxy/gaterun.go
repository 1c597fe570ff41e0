package httpproxy

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/limit"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	// maxStoredBytes is the maximum size of a response body that is stored with its idempotency key.
	maxStoredBytes = 64 << 10
	// crashRecheckDelay is the delay between the dials of a crash check, because the listener of
	// a dying process may close after its connections.
	crashRecheckDelay = 3 * time.Millisecond
	crashDialTimeout  = 100 * time.Millisecond
)

// claimState is the claim of a request on its idempotency key.
type claimState struct {
	held     *pb.Claim // nil if the request needs no claim
	answered bool      // ctx.Response holds the stored response
}

// claim acquires the claim that lets only this gate run a non-idempotent request with an
// idempotency key.
func (g *Gate) claim(ctx *fasthttp.RequestCtx, c *call, t target) (claimState, *rejection) {
	if c.key == "" || t.route.GetIdempotent() {
		return claimState{}, nil
	}
	if g.deps.Claims == nil || t.service == nil || len(t.service.GetLedgerMembers()) == 0 {
		return claimState{}, reject(ReasonKeyOwnerUnreachable)
	}
	claimCtx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	r := g.deps.Claims.Acquire(claimCtx, t.service, ports.ClaimKey{
		Service: t.service.GetName(), Tenant: c.tenant, Key: c.key, Fingerprint: c.fingerprint,
	})
	switch r.Status {
	case ports.ClaimGranted:
		return claimState{held: r.Claim}, nil
	case ports.ClaimAnswered:
		if r.Answer.GetTruncated() {
			return claimState{}, &rejection{reason: ReasonKeyClaimed, detail: "the response was too large to keep"}
		}
		writeStoredAnswer(r.Answer, ctx)
		return claimState{answered: true}, nil
	case ports.ClaimPending:
		return claimState{}, reject(ReasonKeyClaimed)
	case ports.ClaimKeyReused:
		return claimState{}, reject(ReasonKeyReused)
	default:
		return claimState{}, reject(ReasonKeyOwnerUnreachable)
	}
}

// finishClaim reports the end of the request to the ledger. If it is unknown whether the
// request ran, the claim is kept, so that no other gate runs the request.
func (g *Gate) finishClaim(ctx *fasthttp.RequestCtx, t target, c claimState, r runResult, rej *rejection) {
	switch {
	case c.held == nil:
	case r.completed:
		g.deps.Claims.Complete(t.service, c.held, storedAnswer(&ctx.Response))
	case rej != nil && rej.ranState() == RanNotRun:
		g.deps.Claims.Release(t.service, c.held)
	}
}

func storedAnswer(resp *fasthttp.Response) *pb.StoredAnswer {
	a := &pb.StoredAnswer{Status: uint32(resp.StatusCode())}
	if len(resp.Body()) > maxStoredBytes {
		a.Truncated = true
		return a
	}
	a.Body = append([]byte(nil), resp.Body()...)
	for k, v := range resp.Header.All() {
		a.Headers = append(a.Headers, &pb.Header{Name: string(k), Value: string(v)})
	}
	return a
}

func writeStoredAnswer(a *pb.StoredAnswer, ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.Response.SetStatusCode(int(a.GetStatus()))
	for _, h := range a.GetHeaders() {
		switch h.GetName() {
		case fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, HeaderRan:
		default:
			ctx.Response.Header.Add(h.GetName(), h.GetValue())
		}
	}
	ctx.Response.Header.Set(HeaderReplayed, "1")
	ctx.Response.SetBody(a.GetBody())
}

// forward writes the request to the upstream once and reads its response. A claimed request
// is completed even if its caller disconnects, so that the response is available when the
// caller repeats the request.
func (g *Gate) forward(ctx *fasthttp.RequestCtx, c *call, s *slot, claimed bool) (runResult, *rejection) {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	prepareRequest(&ctx.Request, out)
	start := time.Now()
	deadline := g.deps.Stops.limit(c.deadline)
	out.Header.Set(HeaderDeadline, remainingMs(start, deadline))
	out.Header.Del(HeaderSuspect)
	x := &exchange{
		request: out, response: &ctx.Response, deadline: deadline,
		id: c.id, idOptional: true, cancelled: g.deps.Stops.orExpired(callerDisconnected(ctx)), client: clientOf(ctx),
	}
	if claimed && start.Before(deadline) {
		x.deadline, x.cancelled = g.deps.Stops.limit(c.limit), g.deps.Stops.orExpired(nil)
	}
	failure := s.upstream.pool.do(s.upstream.announced.Address, x)
	if failure != nil {
		return runResult{}, g.rejectionFor(s, failure)
	}
	status := ctx.Response.StatusCode()
	// Only gates and entries may set these headers.
	ctx.Response.Header.Del(HeaderRan)
	ctx.Response.Header.Del(HeaderReason)
	if status >= fasthttp.StatusInternalServerError && g.deps.NestedFailures.consume(c.id) {
		ctx.Response.Header.Set(HeaderFailedBelow, "1")
	}
	shed := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	return runResult{
		completed: true,
		limit:     limit.Result{Latency: time.Since(start), Shed: shed, Valid: !shed},
	}, nil
}

// rejectionFor converts a failed exchange to a rejection. It checks whether the upstream has crashed.
func (g *Gate) rejectionFor(s *slot, f *exchangeError) *rejection {
	if f.refused {
		g.markGone(s.upstream)
		return &rejection{reason: ReasonNoEndpoint, detail: "the upstream refuses connections"}
	}
	if f.lost && g.detectCrash(s) {
		return &rejection{reason: ReasonUpstreamCrashed, detail: f.err.Error()}
	}
	return &rejection{reason: g.deps.Stops.reasonOf(f), detail: f.err.Error()}
}

// detectCrash reports whether the upstream no longer accepts connections, and records the crash.
func (g *Gate) detectCrash(s *slot) bool {
	u := s.upstream
	g.mu.Lock()
	u.recordLost(time.Now(), s.fingerprint)
	crashed := u.crashed
	g.mu.Unlock()
	if crashed {
		return true
	}
	for range 2 {
		conn, err := net.DialTimeout("tcp", u.announced.Address, crashDialTimeout)
		if err != nil {
			g.recordCrash(u)
			return true
		}
		_ = conn.Close()
		time.Sleep(crashRecheckDelay)
	}
	return false
}
