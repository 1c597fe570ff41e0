package httpproxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/socket"
	"github.com/rattanfield/rattanfield/core/retry"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	defaultTimeout = 30 * time.Second
	// maxTimeout bounds how long a call holds resources; it is far below the retention of claims.
	maxTimeout = 5 * time.Minute
)

// call is what the headers of a request say about it.
type call struct {
	id          string // as received
	depth       int
	received    time.Time
	deadline    time.Time
	limit       time.Time // latest deadline that the service allows
	hasDeadline bool
	tenant      string
	class       string
	version     string
	key         string
	fingerprint uint64
	suspect     bool
}

// parseCall validates the headers of a request.
func parseCall(ctx *fasthttp.RequestCtx, now time.Time) (*call, *rejection) {
	h := &ctx.Request.Header
	c := &call{received: now}
	p := headerParser{h: h}
	c.id = p.label(HeaderCallID, maxCallIDLength) // rejections echo it too
	if h.Len() > maxHeaderCount {
		return c, reject(ReasonTooManyHeaders)
	}
	c.tenant = p.label(HeaderTenant, maxLabelLength)
	c.class = p.label(HeaderClass, maxLabelLength)
	c.version = p.label(HeaderVersion, maxLabelLength)
	c.key = p.label(HeaderIdempotencyKey, maxKeyLength)
	c.depth = int(min(p.number(HeaderDepth, 10), retry.MaxDepth+1))
	c.fingerprint = p.number(HeaderFingerprint, 16)
	c.suspect = h.Peek(HeaderSuspect) != nil
	if h.Peek(HeaderDeadline) != nil {
		remaining := p.number(HeaderDeadline, 10)
		c.hasDeadline = true
		c.deadline = now.Add(time.Duration(min(remaining, uint64(maxTimeout/time.Millisecond))) * time.Millisecond)
	}
	if c.id == closingCallID {
		p.bad = HeaderCallID
	}
	if p.bad != "" {
		return c, &rejection{reason: ReasonInvalidHeader, detail: p.bad}
	}
	return c, nil
}

type headerParser struct {
	h   *fasthttp.RequestHeader
	bad string // first header that is not valid
}

func (p *headerParser) label(name string, maxLength int) string {
	v := p.h.Peek(name)
	if len(v) > maxLength {
		p.bad = name
		return ""
	}
	for _, b := range v {
		if b < ' ' || b > '~' {
			p.bad = name // other bytes would not survive messages and metrics
			return ""
		}
	}
	return string(v)
}

func (p *headerParser) number(name string, base int) uint64 {
	v := p.h.Peek(name)
	if v == nil {
		return 0
	}
	n, err := strconv.ParseUint(string(v), base, 64)
	if err != nil {
		p.bad = name
		return 0
	}
	return n
}

// limitTo sets the deadline of a call that has none, and bounds the others.
func (c *call) limitTo(r *pb.Route, s *pb.Service) {
	timeout := defaultTimeout
	if ms := s.GetLimits().GetTimeoutMs(); ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	}
	if ms := r.GetTimeoutMs(); ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	}
	c.limit = c.received.Add(min(timeout, maxTimeout))
	if !c.hasDeadline || c.deadline.After(c.limit) {
		c.deadline = c.limit
	}
}

// baseID is the call id without the part that an entry added for one attempt.
func baseID(id string) string {
	base, _, _ := strings.Cut(id, ".")
	return base
}

// fingerprint identifies a request by route, method, path and body.
func fingerprint(route string, req *fasthttp.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(route), req.Header.Method(), req.Header.RequestURI(), req.Body()} {
		var length [8]byte
		n := len(part)
		for i := range length {
			length[i] = byte(n >> (8 * i))
		}
		_, _ = d.Write(length[:])
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// remainingMs is the deadline as a header value; at least 1, because 0 would not be sent.
func remainingMs(now, deadline time.Time) string {
	return strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 1), 10)
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE,
	fasthttp.HeaderUpgrade, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderExpect, fasthttp.HeaderTrailer,
}

// prepareRequest copies a request for forwarding. The target is passed on byte for byte.
func prepareRequest(in, out *fasthttp.Request) {
	in.Header.CopyTo(&out.Header)
	out.SetBodyRaw(in.Body())
	for _, name := range hopHeaders {
		out.Header.Del(name)
	}
	out.Header.ResetConnectionClose()
	out.Header.SetProtocol("HTTP/1.1")
}

// cleanResponse removes what concerns only the connection it came from.
func cleanResponse(resp *fasthttp.Response) {
	for _, name := range hopHeaders {
		resp.Header.Del(name)
	}
	resp.Header.ResetConnectionClose()
}

// callerGone reports that the peer of a request has closed its connection.
func callerGone(ctx *fasthttp.RequestCtx) func() bool {
	conn := ctx.Conn()
	return func() bool { return socket.Peek(conn) == socket.Closed }
}
