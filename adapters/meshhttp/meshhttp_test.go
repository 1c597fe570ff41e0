package meshhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const testWait = 10 * time.Second

// serve runs a server on a loopback listener until the test ends.
func serve(t *testing.T, h Handler, closingResponse string) (*Server, string) {
	s := NewServer(ServerOptions{
		Handler: h, Limits: func() Limits { return DefaultLimits }, ClosingResponse: closingResponse,
		OnReadError: func(x *Exchange, status int, _ error) { x.Response.SetStatusCode(status) },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return s, l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testWait))
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func readBody(t *testing.T, r *bufio.Reader) (string, *fasthttp.Response) {
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil {
		t.Fatal(err)
	}
	return string(resp.Body()), &resp
}

// Guards against responses out of request order on a connection, which comes about by
// handlers that finish in another order than the requests arrived.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	_, address := serve(t, func(_ context.Context, x *Exchange) {
		if string(x.Request.Header.RequestURI()) == "/1" {
			<-release // answered last
		} else if string(x.Request.Header.RequestURI()) == "/3" {
			close(release)
		}
		x.Response.SetBodyString(string(x.Request.Header.RequestURI()))
	}, "")
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	for _, want := range []string{"/1", "/2", "/3"} {
		got, _ := readBody(t, r)
		is.Equal(got, want)
	}
}

// Guards against request smuggling, which comes about by a body that is parsed as a request.
func TestBodyIsNotParsedAsRequest(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, func(_ context.Context, x *Exchange) {
		x.Response.SetBodyString(fmt.Sprintf("%s %d", x.Request.Header.RequestURI(), len(x.Request.Body())))
	}, "")
	hidden := "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, method := range []string{"GET", "POST", "DELETE"} {
		c, r := dial(t, address)
		_, err := fmt.Fprintf(c, "%s /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%sGET /b HTTP/1.1\r\nHost: h\r\n\r\n", method, len(hidden), hidden)
		is.NoErr(err)
		got, _ := readBody(t, r)
		is.Equal(got, fmt.Sprintf("/a %d", len(hidden)))
		got, _ = readBody(t, r)
		is.Equal(got, "/b 0")
	}
	c, r := dial(t, address)
	_, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", len(hidden), hidden)
	is.NoErr(err)
	got, _ := readBody(t, r)
	is.Equal(got, fmt.Sprintf("/a %d", len(hidden)))
	got, _ = readBody(t, r)
	is.Equal(got, "/b 0")
}

// Guards against handlers that go on working after the client has disconnected.
func TestClientDisconnectCancelsHandler(t *testing.T) {
	is := is.New(t)
	for _, header := range []string{"", "Connection: close\r\n"} {
		cancelled := make(chan struct{})
		started := make(chan struct{})
		_, address := serve(t, func(ctx context.Context, _ *Exchange) {
			close(started)
			<-ctx.Done()
			close(cancelled)
		}, "")
		c, _ := dial(t, address)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n")
		is.NoErr(err)
		<-started
		_ = c.Close()
		select {
		case <-cancelled:
		case <-time.After(testWait):
			t.Fatal("the handler was not cancelled")
		}
	}
}

// listenAndServe accepts connections until the test ends, serves each and closes it.
func listenAndServe(t *testing.T, serve func(c *net.TCPConn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// backend starts a destination that sends the given raw responses on each connection, one per request that it reads.
func backend(t *testing.T, responses ...string) string {
	return listenAndServe(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		for _, a := range responses {
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
			if _, err := io.WriteString(c, a); err != nil {
				return
			}
		}
	})
}

const idHeader = "X-Id"

func call(t *testing.T, p *Pool, address, id string) (Outcome, *fasthttp.Response) {
	var req fasthttp.Request
	req.Header.SetHost("h")
	req.Header.SetRequestURI("/")
	req.Header.Set(idHeader, id)
	resp := &fasthttp.Response{}
	o := p.Do(context.Background(), address, &Call{Request: &req, Response: resp, Deadline: time.Now().Add(testWait), IDHeader: idHeader, ID: id})
	return o, resp
}

func rawResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// Guards against truncated and invalid responses, and responses to other requests, that are
// reported as Answered.
func TestOnlyCompleteResponsesCount(t *testing.T) {
	is := is.New(t)
	complete := rawResponse("1", "body")
	for name, c := range map[string]struct {
		raw  string
		want Failure
	}{
		"complete":          {complete, Answered},
		"cut in the body":   {complete[:len(complete)-1], InvalidResponse},
		"cut in the header": {complete[:20], InvalidResponse},
		"nothing":           {"", ConnectionLost},
		"no HTTP":           {"\x00\x01garbage\r\n\r\n", InvalidResponse},
		"chunks cut":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", InvalidResponse},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nX-After: 1\r\n\r\n", Answered},
		"no length":         {"HTTP/1.1 200 OK\r\n\r\nbody", Answered},
		"another request's": {rawResponse("0", "other"), ConnectionLost},
	} {
		o, resp := call(t, newTestPool(), backend(t, c.raw), "1")
		if (o.Failure == Answered) != (c.want == Answered) || o.Failure == NotSent {
			t.Fatalf("%s: %v (%v), want %v", name, o.Failure, o.Err, c.want)
		}
		if o.Failure == Answered {
			is.Equal(string(resp.Body()), "body")
		}
	}
}

// Guards against a response to an earlier request that is taken for the response to the
// next one, which comes about by a destination that answers a request twice.
func TestStaleResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	p := newTestPool()
	address := backend(t, rawResponse("1", "one"), rawResponse("1", "extra")+rawResponse("2", "two"))
	o, resp := call(t, p, address, "1")
	is.Equal(o.Failure, Answered)
	is.Equal(string(resp.Body()), "one")
	o, resp = call(t, p, address, "2")
	is.Equal(o.Failure, Answered)
	is.True(o.Reused)
	is.Equal(string(resp.Body()), "two")
	o, _ = call(t, p, address, "1")
	is.True(!o.Reused) // the connection was closed after the skipped response
}

// Guards against NotSent for a request that was written, and against another failure
// for one that was not.
func TestNotSentMeansNothingWritten(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	_ = l.Close()
	o, _ := call(t, newTestPool(), address, "1")
	is.Equal(o.Failure, NotSent)
	is.True(o.Refused)
	o, _ = call(t, newTestPool(), backend(t, ""), "1")
	is.Equal(o.Failure, ConnectionLost)
}

// Guards against the rest of a long request body that mixes with the next request, which
// comes about by a destination that responds before it has read the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			var header fasthttp.RequestHeader
			_ = header.Read(bufio.NewReader(c))
			_, _ = io.WriteString(c, rawResponse("1", "early")) // the body is not read
		}
	}()
	var req fasthttp.Request
	req.Header.SetMethod("POST")
	req.Header.SetHost("h")
	req.Header.SetRequestURI("/")
	req.SetBodyString(strings.Repeat("x", 32<<20))
	p := newTestPool()
	var resp fasthttp.Response
	o := p.Do(context.Background(), l.Addr().String(), &Call{Request: &req, Response: &resp, Deadline: time.Now().Add(testWait)})
	is.Equal(o.Failure, Answered)
	is.Equal(string(resp.Body()), "early")
	is.Equal(len(p.idle), 0)
}

// Checks that a request which crosses the close of an idle connection reads the ClosingResponse
// as its response, so that the sender knows that it was not read.
// Guards against a drain that waits for idle connections, which comes about by clients
// that do not notice the close.
// Guards against the reuse of a connection after the idle timeout that its server stated
// in Keep-Alive.
func TestKeepAliveTimeoutIsHonoured(t *testing.T) {
	is := is.New(t)
	p := newTestPool()
	raw := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5, max=100\r\nContent-Length: 0\r\n\r\n"
	address := backend(t, raw, raw)
	o, _ := call(t, p, address, "1")
	is.Equal(o.Failure, Answered)
	c := p.idle[address][0]
	is.Equal(c.maxIdle, 5*time.Second-keepAliveMargin)
	c.idleSince = time.Now().Add(-c.maxIdle)
	is.Equal(p.getIdle(address, false), nil)
}

// unreadRequest returns a server connection on which a request has arrived that was not read yet.
// Guards against a request that is cut off without an answer because it is still in the socket when
// the server drains, such as a request on a connection that was accepted just before.
// Guards against a request that is cut off without an answer because it arrives when the idle
// timeout has passed but the process, short of processor time, has not yet closed the connection.
// Guards against a second copy of an earlier response that has no id and is taken for the
// response to the next request on the connection.
func TestCopyWithoutIDIsSkipped(t *testing.T) {
	for name, extra := range map[string]string{
		"one":         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy",
		"two":         strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy", 2),
		"interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy",
		"no content":  "HTTP/1.1 204 No Content\r\n\r\n",
		"one with id": rawResponse("1", "copy"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool()
			address := backend(t, rawResponse("1", "one"), extra+rawResponse("2", "two"))
			for i, want := range []string{"one", "two"} {
				var req fasthttp.Request
				req.Header.SetHost("h")
				req.Header.SetRequestURI("/")
				var resp fasthttp.Response
				o := p.Do(context.Background(), address, &Call{
					Request: &req, Response: &resp, Deadline: time.Now().Add(testWait), IDHeader: idHeader, ID: fmt.Sprint(i + 1), IDRequired: true,
				})
				is.Equal(o.Failure, Answered)
				is.Equal(string(resp.Body()), want)
			}
		})
	}
}

// Guards against a request that is rejected because the server drains while its body arrives.
// Guards against a request that is cut off because its connection is accepted when the draining
// server has no other connection left and is about to end.
// Guards against a wait that ends because there was no connection when the drain began.
// Guards against a response without a length whose connection is reset and that is reported as
// complete.
func TestResetEndsNoResponse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	reset := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		var header fasthttp.RequestHeader
		_ = header.Read(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\npart")
		<-reset
		_ = c.(*net.TCPConn).SetLinger(0) // the close sends a reset
		_ = c.Close()
	}()
	time.AfterFunc(50*time.Millisecond, func() { close(reset) })
	o, _ := call(t, newTestPool(), l.Addr().String(), "1")
	is.Equal(o.Failure, ConnectionLost)
}

// Guards against the rest of a chunked body that is read as the next request, for small bodies and for those that count
// towards the memory of the server.
func TestRequestsBehindChunkedBodies(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, func(_ context.Context, x *Exchange) {
		x.Response.SetBodyString(fmt.Sprint(string(x.Request.Header.RequestURI()), " ", len(x.Request.Body())))
	}, "")
	c, r := dial(t, address)
	sizes := []int{0, 1, 64 << 10, 64<<10 + 1, 1 << 20}
	go func() {
		for i, size := range sizes {
			chunks := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), min(2, size))
			_, _ = fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\nX-Sum: 1\r\n\r\n", i, chunks)
		}
		_, _ = io.WriteString(c, "GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
	}()
	for i, size := range sizes {
		got, _ := readBody(t, r)
		is.Equal(got, fmt.Sprintf("/%d %d", i, min(2, size)*size))
	}
	got, _ := readBody(t, r)
	is.Equal(got, "/last 0")
}

// Guards against waits that are reported for the wrong stage, so that a slow process looks like slow upstreams: a response that is ready
// waits behind an earlier one on its connection.
func TestWaitBehindAnEarlierResponseIsReported(t *testing.T) {
	is := is.New(t)
	const wait = 50 * time.Millisecond
	var mu sync.Mutex
	longest := make(map[Stage]time.Duration)
	second := make(chan struct{})
	s := NewServer(ServerOptions{
		Limits: func() Limits { return DefaultLimits },
		Handler: func(_ context.Context, x *Exchange) {
			if string(x.Request.Header.RequestURI()) == "/2" {
				close(second)
				return
			}
			<-second
			time.Sleep(wait)
		},
		OnWait: func(stage Stage, d time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			longest[stage] = max(longest[stage], d)
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(l) }()
	c, r := dial(t, l.Addr().String())
	_, err = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	readBody(t, r)
	readBody(t, r)
	mu.Lock()
	defer mu.Unlock()
	is.True(longest[StageOrder] >= wait/2)
	is.Equal(len(longest), int(Stages))
}
