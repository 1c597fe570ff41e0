package meshhttp

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func offer(p *Pool, address string, size int) (Outcome, *fasthttp.Response) {
	c := newCall("1", false)
	c.AwaitContinue = true
	c.Request.Header.SetMethod(fasthttp.MethodPost)
	c.Request.Header.Set(idHeader, "1")
	c.Request.SetBody([]byte(strings.Repeat("x", size)))
	return p.Do(context.Background(), address, c), c.Response
}

// Guards against a large body that crosses the link although the destination rejects it by its header, against one that is cut or
// kept back although it is wanted, and against a small one that costs a round trip more.
func TestBodyIsSentWhenItIsWanted(t *testing.T) {
	is := is.New(t)
	offered, read := 0, 0
	s := NewServer(ServerOptions{
		Limits: func() Limits { return DefaultLimits },
		Handler: func(_ context.Context, x *Exchange) {
			read = len(x.Request.Body())
			x.Response.Header.SetBytesV(idHeader, x.Request.Header.Peek(idHeader))
		},
		AdmitBody: func(_ context.Context, x *Exchange) (func(), bool) {
			offered++
			if x.Request.Header.ContentLength() > 1<<20 {
				x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
				x.Response.Header.Set(idHeader, "1")
				return nil, false
			}
			return func() {}, true
		},
		OnReadError: func(x *Exchange, status int, _ error) { x.Response.SetStatusCode(status) },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	p := newTestPool()
	for _, c := range []struct{ size, offered, read, status int }{
		{continueBytes - 1, 0, continueBytes - 1, fasthttp.StatusOK},
		{continueBytes, 1, continueBytes, fasthttp.StatusOK},
		{1 << 20, 1, 1 << 20, fasthttp.StatusOK},
		{1<<20 + 1, 1, 0, fasthttp.StatusServiceUnavailable},
		{60_000, 1, 60_000, fasthttp.StatusOK},
	} {
		offered, read = 0, 0
		o, r := offer(p, l.Addr().String(), c.size)
		is.Equal(o.Failure, Answered)
		is.True(!o.Unconfirmed) // it proves that the request did not run
		is.Equal(r.StatusCode(), c.status)
		is.Equal(offered, c.offered)
		is.Equal(read, c.read)
	}
}

// Guards against a request that counts as possibly run although its body was never sent.
func TestBodyThatWasNotSentHasNotRun(t *testing.T) {
	is := is.New(t)
	for _, answer := range []string{"", "HTTP/1.1 1", "HTTP/1.1 100 Continue\r\n"} {
		address := earlyBackend(t, func(c *net.TCPConn, _ *bufio.Reader) { write(c, answer) })
		o, _ := offer(newTestPool(), address, 60_000)
		is.Equal(o.Failure, NotSent)
	}
}
