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
	// maxTimeout bounds how long a call holds resources. It is far below the retention time of claims.
	maxTimeout = 5 * time.Minute
)

// call holds the parsed headers of a request.
type call struct {
	id          string // as received
	depth       int
	received    time.Time
	deadline    time.Time
	limit       time.Time // latest deadline that route and service allow
	hasDeadline bool
	tenant      string
	class       string
	version     string
	key         string
	fingerprint uint64
	suspect     bool
}

// parseCall parses and validates the headers of a request. The call is not nil even if the
// request is rejected; it then holds the call id.
func parseCall(ctx *fasthttp.RequestCtx, now time.Time) (*call, *rejection) {
	h := &ctx.Request.Header
	c := &call{received: now}
	p := headerParser{h: h}
	c.id = p.label(HeaderCallID, maxCallIDLength) // parsed first, because rejections repeat it too
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
		p.invalid = HeaderCallID
	}
	if p.invalid != "" {
		return c, &rejection{reason: ReasonInvalidHeader, detail: p.invalid}
	}
	return c, nil
}

type headerParser struct {
	h       *fasthttp.RequestHeader
	invalid string // name of an invalid header, or ""
}

func (p *headerParser) label(name string, maxLength int) string {
	v := p.h.Peek(name)
	if len(v) > maxLength {
		p.invalid = name
		return ""
	}
	for _, b := range v {
		if b < ' ' || b > '~' {
			p.invalid = name // other bytes cannot be represented in messages and metrics
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
		p.invalid = name
		return 0
	}
	return n
}

// applyTimeouts bounds the deadline of the call by the timeout of the route, or else that of
// the service. Both may be nil. A call without a deadline gets that bound.
func (c *call) applyTimeouts(r *pb.Route, s *pb.Service) {
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

// baseID returns the call id without the suffix that an entry added for one attempt.
func baseID(id string) string {
	base, _, _ := strings.Cut(id, ".")
	return base
}

// fingerprint returns a hash of route, method, URI and body that identifies a repeated request.
func fingerprint(route string, req *fasthttp.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range [][]byte{[]byte(route), req.Header.Method(), req.Header.RequestURI(), req.Body()} {
		var length [8]byte
		n := len(field)
		for i := range length {
			length[i] = byte(n >> (8 * i))
		}
		_, _ = d.Write(length[:])
		_, _ = d.Write(field)
	}
	return d.Sum64()
}

// remainingMs returns the time until the deadline in milliseconds as a header value. It is
// at least 1, because 0 would not be sent.
func remainingMs(now, deadline time.Time) string {
	return strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 1), 10)
}

// hopHeaders are hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE,
	fasthttp.HeaderUpgrade, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderExpect, fasthttp.HeaderTrailer,
}

// prepareRequest copies a request without its hop-by-hop headers for forwarding. The request
// target is forwarded byte for byte.
func prepareRequest(in, out *fasthttp.Request) {
	in.Header.CopyTo(&out.Header)
	out.SetBodyRaw(in.Body())
	for _, name := range hopHeaders {
		out.Header.Del(name)
	}
	out.Header.ResetConnectionClose()
	out.Header.SetProtocol("HTTP/1.1")
}

// cleanResponse removes hop-by-hop headers from a response.
func cleanResponse(resp *fasthttp.Response) {
	for _, name := range hopHeaders {
		resp.Header.Del(name)
	}
	resp.Header.ResetConnectionClose()
}

// clientOf returns the connection on which a request arrived, or nil.
func clientOf(ctx *fasthttp.RequestCtx) *serverConn {
	c, _ := ctx.Conn().(*serverConn)
	return c
}

// callerDisconnected returns a function that reports whether the caller has closed its connection.
func callerDisconnected(ctx *fasthttp.RequestCtx) func() bool {
	conn := ctx.Conn()
	return func() bool { return socket.Peek(conn) == socket.Closed }
}
