package meshhttp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/request"
)

// dialBounded starts a server with an account and returns a function that connects to it.
func dialBounded(t testing.TB, account *memory.Account, handler Handler) func() net.Conn {
	s := NewServer(ServerOptions{
		Limits: func() Limits { return DefaultLimits }, Account: account, Handler: handler,
		Memory:      body.NewSharedRequestMemory(1<<20, account),
		OnReadError: func(x *Exchange, status int, _ error) { x.Response.SetStatusCode(status) },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.StopListening)
	return func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		return c
	}
}

func readStatus(t *testing.T, r *bufio.Reader) int {
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode()
}

// Guards against a body that stops short and holds its memory against others: it is refused as not run, and the other one served.
func TestSilentBodyGivesWay(t *testing.T) {
	is := is.New(t)
	ran := make(chan string, 10)
	dial := dialBounded(t, memory.NewAccount(600<<10, 500<<10), func(_ context.Context, x *Exchange) { ran <- string(x.Request.RequestURI()) })
	const size = 400 << 10
	send := func(c net.Conn, path string, bytes int) {
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", bytes))
		is.NoErr(err)
	}
	silent, other := dial(), dial()
	send(silent, "/silent", size-1)
	time.Sleep(400 * time.Millisecond)
	send(other, "/other", size)
	is.Equal(readStatus(t, bufio.NewReader(other)), fasthttp.StatusOK)
	is.Equal(readStatus(t, bufio.NewReader(silent)), fasthttp.StatusServiceUnavailable)
	is.Equal(<-ran, "/other")
	is.Equal(len(ran), 0)
}

// Guards against a request body that holds its memory until its response was written. The next body of its client, which is sent
// when the response arrives, may find no room then, and a client that does not read would hold it for long.
func TestBodyIsReleasedBeforeTheResponseIsWritten(t *testing.T) {
	is := is.New(t)
	const size, unread = 400 << 10, 32 << 20
	account := memory.NewAccount(600<<10, 500<<10)
	dial := dialBounded(t, account, func(_ context.Context, x *Exchange) { x.Response.SetBodyRaw(make([]byte, unread)) })
	c := dial()
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(held(account), int64(connectionBytes+exchangeBytes))
}

// Guards against read buffers of the maximum header for each connection, and against headers of that size that are refused.
func TestReadBufferGrowsByNeed(t *testing.T) {
	is := is.New(t)
	account := memory.NewAccount(1<<20, 1<<20)
	dial := dialBounded(t, account, func(_ context.Context, x *Exchange) {
		x.Response.Header.Set("X-Length", fmt.Sprint(len(x.Request.Header.Peek("X-Long"))))
	})
	c := dial()
	br := bufio.NewReader(c)
	for _, size := range []int{10, DefaultLimits.HeaderBytes - 100, 10, 3 * readBufferBytes} {
		_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", size))
		is.NoErr(err)
		var resp fasthttp.Response
		is.NoErr(resp.Read(br))
		is.Equal(string(resp.Header.Peek("X-Length")), fmt.Sprint(size))
	}
	held, _, _ := account.Counts()
	for end := time.Now().Add(5 * time.Second); held > connectionBytes && time.Now().Before(end); held, _, _ = account.Counts() {
		time.Sleep(time.Millisecond)
	}
	is.Equal(held, int64(connectionBytes))
	_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", 2*DefaultLimits.HeaderBytes))
	is.NoErr(err)
	is.Equal(readStatus(t, br), fasthttp.StatusRequestHeaderFieldsTooLarge)
}

// Guards against a pool that opens more connections than it may, and against a call that gets none although others are idle.
func TestPoolBoundsConnections(t *testing.T) {
	is := is.New(t)
	slow := func(_ context.Context, x *Exchange) { time.Sleep(100 * time.Millisecond) }
	account := memory.NewAccount(1<<20, 1<<20)
	a, b := dialBounded(t, account, slow)().RemoteAddr().String(), dialBounded(t, account, slow)().RemoteAddr().String()
	p := newTestPool()
	p.Limit(1)
	outcomes := make(chan Outcome, 4)
	for _, address := range []string{a, a, b, b} {
		go func() {
			c := newCall("1", false)
			c.Deadline = time.Now().Add(10 * time.Second)
			outcomes <- p.Do(context.Background(), address, c)
		}()
	}
	for range 4 {
		is.Equal((<-outcomes).Failure, Answered)
		is.True(len(p.slots) <= 1)
	}
	for _, address := range []string{a, b} { // the connection to a is idle when b needs one
		c := newCall("1", false)
		c.Deadline = time.Now().Add(2 * time.Second)
		is.Equal(p.Do(context.Background(), address, c).Failure, Answered)
	}
}

// Measures what the check of the framing and the account add to the reading of an ordinary request.
func BenchmarkReadHeader(b *testing.B) {
	raw := []byte("GET /read/page?x=1 HTTP/1.1\r\nHost: service.example\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Request-Id: 0123456789\r\n" +
		"X-Time-Left: 1500\r\nCookie: " + strings.Repeat("c", 200) + "\r\n\r\n")
	source := func() io.Reader { return &repeated{raw: raw} }
	account := memory.NewAccount(1<<20, 1<<20)
	holder := account.NewHolder("s", "d", time.Now(), nil)
	for name, bench := range map[string]struct {
		r       io.Reader
		account bool
	}{
		"baseline": {source(), false}, "checked": {&request.Reader{Source: source()}, false}, "checked and accounted": {&request.Reader{Source: source()}, true},
	} {
		b.Run(name, func(b *testing.B) {
			br := bufio.NewReaderSize(bench.r, readBufferBytes)
			var r fasthttp.Request
			b.ReportAllocs()
			for b.Loop() {
				if bench.account && !body.Take(account, holder, exchangeBytes, false) {
					b.Fatal("no room")
				}
				if err := r.Header.Read(br); err != nil {
					b.Fatal(err)
				}
				if bench.account {
					holder.Add(-exchangeBytes, false, time.Time{})
				}
			}
		})
	}
}

// repeated returns the same bytes again and again, at most once for each Read.
type repeated struct {
	raw  []byte
	rest bytes.Reader
}

func (r *repeated) Read(b []byte) (int, error) {
	if r.rest.Len() == 0 {
		r.rest.Reset(r.raw)
	}
	return r.rest.Read(b)
}

// Measures an ordinary request on a connection that is kept.
func BenchmarkServe(b *testing.B) {
	c := dialBounded(b, memory.NewAccount(1<<20, 1<<20), func(_ context.Context, x *Exchange) { x.Response.SetBodyString("body") })()
	_ = c.SetDeadline(time.Time{})
	br := bufio.NewReader(c)
	var r fasthttp.Response
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, "GET /read/page HTTP/1.1\r\nHost: service.example\r\nX-Request-Id: 0123456789\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
		if err := r.Read(br); err != nil {
			b.Fatal(err)
		}
	}
}

// deadlineConn records the last read deadline.
type deadlineConn struct {
	net.Conn
	last time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.last = t
	return c.Conn.SetReadDeadline(t)
}

// Guards against a body whose deadline does not follow its rate, or prolongs a stop.
func TestReadOfABodySetsItsDeadline(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		for i := 0; i < 3; i++ {
			_, _ = io.WriteString(far, head)
		}
	}()
	s := NewServer(ServerOptions{Limits: func() Limits { return DefaultLimits }})
	nc := &deadlineConn{Conn: near}
	c := newConn(s, nc, context.Background(), func() {})
	read := func() { _, err := connReader{c}.Read(make([]byte, len(head))); is.NoErr(err) }
	read()
	is.True(nc.last.IsZero()) // no body is read
	c.bodyBegin, c.bodyRead = time.Now(), 1<<20
	read()
	is.Equal(nc.last, bodyDeadline(c.bodyBegin, 1<<20))
	s.draining.Store(true)
	nc.last = time.Time{}
	read()
	is.True(nc.last.IsZero())
}

const head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
