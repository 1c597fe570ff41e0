package meshhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// Guards against work for a client that has left while as many requests as allowed are in progress on its connection: nothing is read from it
// then, so its end has to be looked for.
func TestClientThatLeavesWithAllPipelinedRequestsInProgress(t *testing.T) {
	is := is.New(t)
	const pipelined = 2
	began, ended := make(chan struct{}, pipelined), make(chan struct{}, pipelined)
	s := NewServer(ServerOptions{
		Limits: func() Limits { return DefaultLimits }, Pipelined: pipelined,
		Handler: func(ctx context.Context, _ *Exchange) {
			began <- struct{}{}
			<-ctx.Done()
			ended <- struct{}{}
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(l) }()
	c, _ := dial(t, l.Addr().String())
	_, err = io.WriteString(c, get("/1")+get("/2")+get("/3"))
	is.NoErr(err)
	<-began
	<-began
	_ = c.Close()
	for range pipelined {
		select {
		case <-ended:
		case <-time.After(testWait):
			t.Fatal("the end of the client was not noticed")
		}
	}
}

// lateAfter is the time after which callers consider a request held: half a second past its route's timeout.
const lateAfter = 500 * time.Millisecond

// stalledServer is a server that does not accept from the first connection on, until resume is called. What connected meanwhile
// then has waited for lateAfter.
type stalledServer struct {
	address string
	resume  func()
	server  *Server

	mu      sync.Mutex
	handled []string // targets of the requests that were handled, without the one whose connection is accepted first
}

func (s *stalledServer) handledRequests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.handled)
}

// serveStalled starts a server whose handler answers 200. change may be nil.
func serveStalled(t *testing.T, change func(*ServerOptions)) *stalledServer {
	stalled, stall := make(chan struct{}), sync.OnceFunc(func() { time.Sleep(lateAfter) })
	s := &stalledServer{resume: sync.OnceFunc(func() { close(stalled) })}
	o := ServerOptions{
		Limits: func() Limits { return DefaultLimits },
		Handler: func(_ context.Context, x *Exchange) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if target := string(x.Request.Header.RequestURI()); target != "/first" {
				s.handled = append(s.handled, target)
			}
			x.Response.SetBodyRaw(bytes.Clone(x.Request.Body()))
		},
		OnReadError: func(x *Exchange, status int, _ error) {
			x.Response.SetStatusCode(status)
			x.Response.SetBodyString("rejected")
		},
		FailureDomain: func(net.Addr) string { // called when a connection is accepted
			<-stalled
			stall()
			return ""
		},
	}
	if change != nil {
		change(&o)
	}
	s.server = NewServer(o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	t.Cleanup(s.resume)
	go func() { _ = s.server.Serve(l) }()
	s.address = l.Addr().String()
	s.send(t, get("/first"))
	return s
}

// get returns a request.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// send sends bytes on a new connection.
func (s *stalledServer) send(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	c, r := dial(t, s.address)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, r
}

// Guards against requests that are held on because the process lacks processor time: their connections wait to be accepted, and no
// time limit has begun. They get an answer at once instead, and do not run.
func TestRequestsThatWaitedToBeAcceptedAreRejected(t *testing.T) {
	is := is.New(t)
	const clients = 10
	s := serveStalled(t, nil)
	var waiting []*bufio.Reader
	for range clients {
		_, r := s.send(t, get("/waited"))
		waiting = append(waiting, r)
	}
	s.resume()
	for _, r := range waiting {
		_, resp := readBody(t, r)
		is.Equal(resp.StatusCode(), fasthttp.StatusServiceUnavailable)
		is.True(resp.ConnectionClose())
		_, err := r.ReadByte()
		is.Equal(err, io.EOF) // in order, and not by a reset
	}
	for end := time.Now().Add(testWait); ; { // until the server has seen that its queue is empty
		_, later := s.send(t, get("/later"))
		_, resp := readBody(t, later)
		if resp.StatusCode() == fasthttp.StatusOK {
			break
		}
		is.True(time.Now().Before(end))
	}
	is.Equal(s.handledRequests(), []string{"/later"})
}

// Guards against a rejection that answers too many or too few requests of a connection, takes a part of a body for a request, or waits for
// the rest of a request: what is not rejected whole is served as on any other connection.
func TestWhatArrivedOnAQueuedConnectionIsAnswered(t *testing.T) {
	const post = "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for name, c := range map[string]struct {
		first, second string // sent before and after the connection is accepted
		want          []int  // statuses
		handled       []string
	}{
		"pipelined":        {first: get("/1") + get("/2") + get("/3"), want: []int{503, 503, 503}},
		"body":             {first: post, want: []int{503}},
		"body and another": {first: post + get("/2"), want: []int{503, 503}},
		"part behind":      {first: get("/1") + "GET /2 HT", want: []int{503}},
		"chunked behind":   {first: get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", want: []int{503}},
		"chunked":          {first: "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", want: []int{200}, handled: []string{"/1"}},
		"part":             {first: "GET /1 HTTP/1.1\r\nHo", second: "st: h\r\n\r\n", want: []int{200}, handled: []string{"/1"}},
		"part of a body":   {first: post[:len(post)-1], second: post[len(post)-1:], want: []int{200}, handled: []string{"/body"}},
		"nothing":          {second: get("/1"), want: []int{200}, handled: []string{"/1"}},
		"invalid":          {first: "GET /1 HTTP/1.1\r\nHost : h\r\n\r\n", want: []int{400}},
		"many fields":      {first: "GET /1 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 100) + "\r\n", want: []int{200}, handled: []string{"/1"}},
		"long":             {first: "GET /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000), want: []int{200}, handled: []string{"/1"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := serveStalled(t, nil)
			conn, r := s.send(t, c.first)
			s.resume()
			if c.second != "" {
				time.Sleep(lateAfter + 100*time.Millisecond)
				_, err := io.WriteString(conn, c.second)
				is.NoErr(err)
			}
			for i, want := range c.want {
				_, resp := readBody(t, r)
				is.Equal(resp.StatusCode(), want)
				is.True(want != 503 || resp.ConnectionClose() == (i == len(c.want)-1))
			}
			is.Equal(s.handledRequests(), c.handled)
		})
	}
}

// Guards against the work for a request whose client left while its connection waited, and against one that is not counted.
func TestQueuedConnectionWhoseClientHasLeftIsClosed(t *testing.T) {
	is := is.New(t)
	var rejected atomic.Int32
	s := serveStalled(t, func(o *ServerOptions) {
		o.AdmitQueued = func(*Exchange) bool {
			rejected.Add(1)
			return false
		}
	})
	c, _ := s.send(t, get("/left"))
	_ = c.Close()
	_, r := s.send(t, get("/waited"))
	s.resume()
	readBody(t, r)
	is.Equal(rejected.Load(), int32(1))
	is.Equal(s.server.counts[clientLeft].Load(), uint64(1))
	is.Equal(s.server.counts[queued].Load(), uint64(1))
	is.Equal(len(s.handledRequests()), 0)
}

// Guards against requests that must be served and are rejected with the others, and against one whose wait is not known then.
func TestAdmittedRequestOfAQueuedConnectionIsServed(t *testing.T) {
	is := is.New(t)
	waits := make(chan time.Duration, 1)
	s := serveStalled(t, func(o *ServerOptions) {
		o.AdmitQueued = func(x *Exchange) bool { return string(x.Request.Header.RequestURI()) == "/urgent" }
		serve := o.Handler
		o.Handler = func(ctx context.Context, x *Exchange) {
			if x.Queued > 0 {
				waits <- x.Queued
			}
			serve(ctx, x)
		}
	})
	_, rejected := s.send(t, get("/waited"))
	_, r := s.send(t, get("/urgent"))
	s.resume()
	_, resp := readBody(t, r)
	is.Equal(resp.StatusCode(), fasthttp.StatusOK)
	readBody(t, rejected)
	is.Equal(s.handledRequests(), []string{"/urgent"})
	is.True(<-waits >= lateAfter)
}

// Guards against a listener for readiness, metrics or announcements that rejects: its calls are few, and tell whether the process lives.
func TestCallsThatWaitedToBeAcceptedAreServed(t *testing.T) {
	is := is.New(t)
	s := serveStalled(t, func(o *ServerOptions) { o.servesQueued = true })
	_, r := s.send(t, get("/ready"))
	s.resume()
	_, resp := readBody(t, r)
	is.Equal(resp.StatusCode(), fasthttp.StatusOK)
}
