package httpproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/memory"
)

// startShared serves a handler that answers with the length of the body, on servers that share an account.
func startShared(t *testing.T, account *memory.Account, largest, servers int) (addresses []string) {
	r := NewResources(account, largest)
	for range servers {
		s := NewSharedServer(func(ctx *fasthttp.RequestCtx) { _, _ = fmt.Fprint(ctx, len(ctx.PostBody())) }, r)
		l := listen(t)
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = l.Close() })
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// dialFrom connects from a source address.
func dialFrom(t *testing.T, source, address string) net.Conn {
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}).Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// sendPart sends a request with a part of its body.
func sendPart(t *testing.T, c net.Conn, length, part int) {
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", part)); err != nil {
		t.Fatal(err)
	}
}

func readAnswer(t *testing.T, c net.Conn) *fasthttp.Response {
	var r fasthttp.Response
	if err := r.Read(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	return &r
}

func awaitHeld(t *testing.T, a *memory.Account, ok func(held int64) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		held, _, _ := a.Counts()
		if ok(held) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held", held)
		}
	}
}

// Guards against one source whose bodies stop short and that takes the memory of all others, at this server or at another one of
// the process, and against a body that gives way and whose call runs or is not answered.
func TestServersShareMemoryBySource(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	account := memory.NewAccount(4<<20, 7<<19)
	addresses := startShared(t, account, 7<<19, 2)
	var greedy []net.Conn
	for range 3 {
		c := dialFrom(t, "127.0.0.2", addresses[0])
		sendPart(t, c, size, size-1)
		greedy = append(greedy, c)
	}
	awaitHeld(t, account, func(held int64) bool { return held >= 3*(size+connBytes) })
	other := dialFrom(t, "127.0.0.3", addresses[1])
	sendPart(t, other, size, size) // at once: a source above its share gives way although it may still be sending
	is.Equal(string(readAnswer(t, other).Body()), fmt.Sprint(size))
	refused := 0
	for _, c := range greedy {
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		var r fasthttp.Response
		if r.Read(bufio.NewReader(c)) == nil {
			refused++
			is.Equal(r.StatusCode(), fasthttp.StatusServiceUnavailable)
			is.Equal(string(r.Header.Peek(HeaderRan)), RanNotRun)
			is.Equal(string(r.Header.Peek(HeaderReason)), string(ReasonNoMemory))
		}
	}
	is.Equal(refused, 1)
	for _, c := range append(greedy, other) {
		_ = c.Close()
	}
	awaitHeld(t, account, func(held int64) bool { return held == 0 })
}

// Guards against connections and small bodies that nothing counts, and against an idle connection that keeps its memory from a new
// one.
func TestConnectionsCountInTheAccount(t *testing.T) {
	is := is.New(t)
	const connections, size = 4, 20 << 10
	account := memory.NewAccount(connections*connBytes, connections*connBytes)
	address := startShared(t, account, 1<<20, 1)[0]
	var open []net.Conn
	for range connections {
		c := dialFrom(t, "127.0.0.2", address)
		sendPart(t, c, 1, 1)
		is.Equal(readAnswer(t, c).StatusCode(), fasthttp.StatusOK)
		open = append(open, c)
	}
	awaitHeld(t, account, func(held int64) bool { return held == connections*connBytes })
	time.Sleep(400 * time.Millisecond) // without a byte, so that they give way
	sendPart(t, open[1], size, size)   // takes room for its body from the first connection
	is.Equal(string(readAnswer(t, open[1]).Body()), fmt.Sprint(size))
	_, err := io.ReadAll(open[0])
	is.NoErr(err) // closed
	awaitHeld(t, account, func(held int64) bool { return held == (connections-1)*connBytes })
	for range 2 { // the second one takes room from another idle connection
		c := dialFrom(t, "127.0.0.3", address)
		sendPart(t, c, 1, 1)
		is.Equal(readAnswer(t, c).StatusCode(), fasthttp.StatusOK)
	}
	awaitHeld(t, account, func(held int64) bool { return held == connections*connBytes })
}

// Guards against responses that nobody reads and that keep their memory from others.
func TestUnreadResponseGivesWay(t *testing.T) {
	is := is.New(t)
	account := memory.NewAccount(2*connBytes, 2*connBytes)
	s := NewSharedServer(func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, 6<<20)) }, NewResources(account, 1<<20))
	l := listen(t)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	for range 3 { // the third one takes the memory of the first
		c := dialFrom(t, "127.0.0.2", l.Addr().String())
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		_, err = c.Read(make([]byte, 1))
		is.NoErr(err)
		time.Sleep(400 * time.Millisecond)
	}
}

// Guards against connections to gates and upstreams that nothing counts, against a call that is sent without memory for its
// connection, or rejected although connections are idle, and against responses in transit that nothing counts until they are
// written.
func TestOutgoingConnectionsAndResponsesCount(t *testing.T) {
	is := is.New(t)
	const size = 40 << 10
	upstream, ran := startServer(t, func(*Server) {})
	other, _ := startServer(t, func(*Server) {})
	account := memory.NewAccount(poolConnBytes+connBytes+64<<10, 1<<20)
	r := NewResources(account, 1<<20)
	p := newSharedPool(nil, 10, r.responses(), r.account)
	do := func(address string, client *serverConn) *exchangeError {
		x := &exchange{request: &fasthttp.Request{}, response: &fasthttp.Response{}, deadline: time.Now().Add(5 * time.Second), idOptional: true, client: client}
		x.request.SetRequestURI("http://h/x")
		return p.do(address, x)
	}
	is.True(do(other, nil) == nil)
	held, _, _ := account.Counts()
	is.Equal(held, int64(poolConnBytes))
	rest := account.NewHolder("", "", time.Now(), nil)
	is.True(rest.Add(connBytes+64<<10, false, time.Now()))
	is.True(do(upstream, nil) == nil) // the idle connection to the other one is closed for it
	is.Equal(<-ran, "/x")
	p.closeIdle(func(string) bool { return false })
	is.True(rest.Add(poolConnBytes, false, time.Now()))
	failure := do(upstream, nil)
	is.Equal(failure.reason, ReasonNoMemory)
	is.True(!failure.sent)
	is.Equal(len(ran), 0)
	rest.Release()

	// A large response holds its memory from its header until it was written.
	half, written, write := make(chan struct{}), make(chan struct{}), make(chan struct{})
	slow, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = slow.Close() })
	go func() {
		c, err := slow.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(c, make([]byte, 16))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
		<-half
		_, _ = io.WriteString(c, strings.Repeat("x", size/2))
	}()
	s := NewSharedServer(func(ctx *fasthttp.RequestCtx) {
		x := &exchange{request: &fasthttp.Request{}, response: &ctx.Response, deadline: time.Now().Add(5 * time.Second), idOptional: true, client: clientOf(ctx)}
		x.request.SetRequestURI("http://h/x")
		if failure := p.do(slow.Addr().String(), x); failure != nil {
			reject(failure.reason).write(ctx)
		}
		close(written)
		<-write
	}, r)
	l := listen(t)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	c := dialFrom(t, "127.0.0.2", l.Addr().String())
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	awaitHeld(t, account, func(held int64) bool { return held == poolConnBytes+connBytes+64<<10 })
	close(half)
	<-written
	held, _, _ = account.Counts()
	is.Equal(held, int64(poolConnBytes+connBytes+64<<10))
	close(write)
	is.Equal(len(readAnswer(t, c).Body()), size)
	awaitHeld(t, account, func(held int64) bool { return held == poolConnBytes+connBytes })
}

// Measures an ordinary call on a connection that is kept.
func BenchmarkServe(b *testing.B) {
	s := NewServer(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("body") })
	l := listen(b)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	var r fasthttp.Response
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, "POST /read/page HTTP/1.1\r\nHost: service.example\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
			b.Fatal(err)
		}
		if err := r.Read(br); err != nil {
			b.Fatal(err)
		}
	}
}
