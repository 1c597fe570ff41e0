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
	// maxStoredBytes of a response are kept with its idempotency key.
	maxStoredBytes = 64 << 10
	// crashRecheck lets the listener of a dying process close after its connections.
	crashRecheck = 3 * time.Millisecond
	crashDial    = 100 * time.Millisecond
)

// claimed is the state of the idempotency key of a request.
type claimed struct {
	held     *pb.Claim // nil when the request needs none
	answered bool      // ctx.Response holds the stored response
}

// claim makes sure that this gate alone may run a non-idempotent request with a key.
func (g *Gate) claim(ctx *fasthttp.RequestCtx, c *call, t target) (claimed, *rejection) {
	if c.key == "" || t.route.GetIdempotent() {
		return claimed{}, nil
	}
	if g.deps.Claims == nil || t.service == nil || len(t.service.GetLedgerMembers()) == 0 {
		return claimed{}, reject(ReasonKeyOwner)
	}
	wait, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	r := g.deps.Claims.Acquire(wait, t.service, ports.ClaimKey{
		Service: t.service.GetName(), Tenant: c.tenant, Key: c.key, Fingerprint: c.fingerprint,
	})
	switch r.Status {
	case ports.ClaimGranted:
		return claimed{held: r.Claim}, nil
	case ports.ClaimAnswered:
		if r.Answer.GetTruncated() {
			return claimed{}, &rejection{reason: ReasonKeyClaimed, detail: "the response was too large to keep"}
		}
		replay(r.Answer, ctx)
		return claimed{answered: true}, nil
	case ports.ClaimPending:
		return claimed{}, reject(ReasonKeyClaimed)
	case ports.ClaimReused:
		return claimed{}, reject(ReasonKeyReused)
	default:
		return claimed{}, reject(ReasonKeyOwner)
	}
}

// settle tells the ledger how the request ended. A lost response leaves the
// claim as it is: its outcome is not known, so that no other gate may run it.
func (g *Gate) settle(ctx *fasthttp.RequestCtx, t target, c claimed, r runResult, rejected *rejection) {
	switch {
	case c.held == nil:
	case r.completed:
		g.deps.Claims.Complete(t.service, c.held, store(&ctx.Response))
	case rejected != nil && rejected.ran() == RanNotRun:
		g.deps.Claims.Release(t.service, c.held)
	}
}

func store(resp *fasthttp.Response) *pb.StoredAnswer {
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

func replay(a *pb.StoredAnswer, ctx *fasthttp.RequestCtx) {
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

// forward writes the request to the upstream once and reads its response. A
// claimed request runs to its end even when its caller has given up, so that the
// response is there when the caller sends the request again.
func (g *Gate) forward(ctx *fasthttp.RequestCtx, c *call, s *slot, claimed bool) (runResult, *rejection) {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	prepareRequest(&ctx.Request, out)
	start := time.Now()
	out.Header.Set(HeaderDeadline, remainingMs(start, c.deadline))
	out.Header.Del(HeaderSuspect)
	x := &exchange{
		request: out, response: &ctx.Response, deadline: c.deadline,
		id: c.id, idOptional: true, cancelled: callerGone(ctx),
	}
	if claimed && start.Before(c.deadline) {
		x.deadline, x.cancelled = c.limit, nil
	}
	failure := s.upstream.pool.do(s.upstream.announced.Address, x)
	if failure != nil {
		return runResult{}, g.failed(s, failure)
	}
	status := ctx.Response.StatusCode()
	// The upstream must not make statements that only gates and entries make.
	ctx.Response.Header.Del(HeaderRan)
	ctx.Response.Header.Del(HeaderReason)
	if status >= fasthttp.StatusInternalServerError && g.deps.Below.take(c.id) {
		ctx.Response.Header.Set(HeaderFailedBelow, "1")
	}
	shed := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	return runResult{
		completed: true,
		limit:     limit.Result{Latency: time.Since(start), Shed: shed, Valid: !shed},
	}, nil
}

// failed translates a failed exchange and looks whether the upstream has crashed.
func (g *Gate) failed(s *slot, f *exchangeError) *rejection {
	if f.refused {
		g.markGone(s.upstream)
		return &rejection{reason: ReasonNoEndpoint, detail: "the upstream refuses connections"}
	}
	if f.lost && g.detectCrash(s) {
		return &rejection{reason: ReasonUpstreamCrashed, detail: f.err.Error()}
	}
	return &rejection{reason: f.reason, detail: f.err.Error()}
}

// detectCrash reports that the upstream no longer accepts connections.
func (g *Gate) detectCrash(s *slot) bool {
	u := s.upstream
	g.mu.Lock()
	u.noteLost(time.Now(), s.fingerprint)
	crashed := u.crashed
	g.mu.Unlock()
	if crashed {
		return true
	}
	for range 2 {
		conn, err := net.DialTimeout("tcp", u.announced.Address, crashDial)
		if err != nil {
			g.crash(u)
			return true
		}
		_ = conn.Close()
		time.Sleep(crashRecheck)
	}
	return false
}
