package meshhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against requests that are sent on after their caller has left: the context of a call has ended before anything of it was
// written.
func TestCallWhoseCallerHasLeftIsNotSent(t *testing.T) {
	is := is.New(t)
	address, received, answer := holdingBackend(t)
	close(answer)
	p := newTestPool()
	for range 20 {
		is.NoErr(p.Preconnect(context.Background(), address))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var req fasthttp.Request
		req.Header.SetHost("h")
		req.Header.SetRequestURI("/")
		o := p.Do(ctx, address, &Call{Request: &req, Response: &fasthttp.Response{}, Deadline: time.Now().Add(testWait)})
		is.True(o.Failure != Answered)
	}
	select {
	case <-received:
		t.Fatal("a request arrived whose caller had left before it was sent")
	case <-time.After(100 * time.Millisecond):
	}
}

// lateAfter is the time after which callers consider a request held: half a second past its route's timeout.
const lateAfter = 500 * time.Millisecond

// Guards against requests that are held on because the process lacks processor time: their connections wait to be accepted, and no
// time limit has begun. They get an answer at once instead, and do not run.
func TestRequestsThatWaitedToBeAcceptedAreRejected(t *testing.T) {
	is := is.New(t)
	const clients = 10
	var mu sync.Mutex
	var handled []string
	stalled, stall := make(chan struct{}), sync.OnceFunc(func() { time.Sleep(lateAfter) })
	s := NewServer(ServerOptions{
		Limits: func() Limits { return DefaultLimits },
		Handler: func(_ context.Context, x *Exchange) {
			mu.Lock()
			defer mu.Unlock()
			handled = append(handled, string(x.Request.Header.RequestURI()))
		},
		OnReadError: func(x *Exchange, status int, _ error) { x.Response.SetStatusCode(status) },
		FailureDomain: func(net.Addr) string { // called when a connection is accepted
			<-stalled
			stall()
			return ""
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(l) }()
	send := func(path string) *bufio.Reader {
		c, r := dial(t, l.Addr().String())
		_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		return r
	}
	first := send("/first")
	var waiting []*bufio.Reader
	for range clients {
		waiting = append(waiting, send("/waited"))
	}
	close(stalled)
	readBody(t, first)
	for _, r := range waiting {
		_, resp := readBody(t, r)
		is.Equal(resp.StatusCode(), fasthttp.StatusServiceUnavailable)
		is.True(resp.ConnectionClose())
	}
	_, resp := readBody(t, send("/later"))
	is.Equal(resp.StatusCode(), fasthttp.StatusOK)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(handled, []string{"/first", "/later"})
}
