package meshhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
)

func newCountedPool(limit int64) (*Pool, *memory.Account) {
	a := memory.NewAccount(limit, limit)
	p := newTestPool()
	p.CountIn(a)
	return p, a
}

func held(a *memory.Account) int64 {
	n, _, _ := a.Counts()
	return n
}

// awaitHeld waits until the holders of an account hold a number of bytes.
func awaitHeld(t *testing.T, a *memory.Account, want int64) {
	t.Helper()
	for end := time.Now().Add(testWait); held(a) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held, want %d", held(a), want)
		}
	}
}

// holdingBackend is a destination that answers each request when it may.
func holdingBackend(t *testing.T) (address string, received chan struct{}, answer chan string) {
	received, answer = make(chan struct{}, 100), make(chan string)
	return listenAndServe(t, func(c *net.TCPConn) {
		for r := bufio.NewReader(c); ; {
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
			received <- struct{}{}
			if _, err := io.WriteString(c, <-answer); err != nil {
				return
			}
		}
	}), received, answer
}

// Guards against connections to others whose buffers nothing counts, or that count for longer than they are open.
func TestOutgoingConnectionsAreCounted(t *testing.T) {
	is := is.New(t)
	p, a := newCountedPool(1 << 20)
	address, received, answer := holdingBackend(t)
	done := make(chan Outcome, 1)
	go func() {
		c := newCall("1", false)
		c.Request.Header.SetMethod(fasthttp.MethodPost)
		c.Request.SetBodyString(strings.Repeat("x", 20<<10))
		done <- p.Do(context.Background(), address, c)
	}()
	<-received
	is.Equal(held(a), int64(clientConnBytes+20<<10+headerBufferBytes-coveredWriteBytes))
	answer <- rawResponse("1", "body")
	is.Equal((<-done).Failure, Answered)
	is.Equal(held(a), int64(clientConnBytes))
	p.CloseIdle(func(string) bool { return false })
	is.Equal(held(a), int64(0))
	refused := listenAndServe(t, func(*net.TCPConn) {})
	_ = p.Preconnect(context.Background(), refused)
	p.CloseIdle(func(string) bool { return false })
	o, _ := call(t, p, "127.0.0.1:1", "1")
	is.Equal(o.Failure, NotSent)
	is.Equal(held(a), int64(0))
}

// Guards against a request that is rejected although connections are idle, and against one that is sent, or whose connection is
// opened, without memory for it.
func TestIdleConnectionsGiveWayBeforeARequestIsRejected(t *testing.T) {
	is := is.New(t)
	p, a := newCountedPool(2 * clientConnBytes)
	other := newTestPool() // shares the account
	other.CountIn(a)
	var addresses []string
	for range 3 {
		addresses = append(addresses, backend(t, rawResponse("1", "body"), rawResponse("1", "body")))
	}
	for i, pool := range []*Pool{other, p, p} {
		o, _ := call(t, pool, addresses[i], "1")
		is.Equal(o.Failure, Answered)
	}
	is.Equal(len(other.idle[addresses[0]]), 0) // idle for the longest time
	is.Equal(len(p.idle[addresses[1]]), 1)
	is.Equal(len(p.idle[addresses[2]]), 1)

	address, received, answer := holdingBackend(t)
	done := make(chan Outcome, 2)
	for range 2 {
		go func() { done <- p.Do(context.Background(), address, newCall("1", false)) }()
		<-received
	}
	o, _ := call(t, p, addresses[0], "1")
	is.Equal(o.Failure, NotSent)
	is.True(o.NoMemory)
	for range 2 {
		answer <- rawResponse("1", "body")
		is.Equal((<-done).Failure, Answered)
	}
	c := newCall("1", false)
	c.Request.Header.SetMethod(fasthttp.MethodPost)
	c.Request.SetBodyString(strings.Repeat("x", 60<<10)) // its write buffer does not fit
	o = p.Do(context.Background(), address, c)
	is.Equal(o.Failure, NotSent)
	is.True(o.NoMemory)
	is.Equal(len(received), 0)
}

// Guards against responses in transit that nothing counts until the whole body has arrived, against one that counts after it was
// written, and against one that is read without memory for it.
func TestResponseInTransitIsCounted(t *testing.T) {
	const size = 48 << 10
	for name, raw := range map[string]string{
		"length": rawResponse("1", strings.Repeat("x", size)),
		"chunks": "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\nc000\r\n" + strings.Repeat("x", size) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			account := memory.NewAccount(1<<20, 1<<20)
			p := NewPool(nil, body.NewSharedMemory(1<<20, account))
			address, received, answer := holdingBackend(t)
			outcomes := make(chan Outcome, 2)
			dial := dialBounded(t, account, func(ctx context.Context, x *Exchange) {
				c := newCall("1", false)
				x.Lease = x.ResponseLease(p)
				c.Response, c.Lease = &x.Response, x.Lease
				outcomes <- p.Do(ctx, address, c)
			})
			c := dial()
			br := bufio.NewReader(c)
			send := func() {
				_, err := io.WriteString(c, head)
				is.NoErr(err)
				<-received
			}
			send()
			awaitHeld(t, account, connectionBytes+exchangeBytes)
			answer <- raw[:len(raw)-size/2]
			awaitHeld(t, account, connectionBytes+exchangeBytes+body.UncountedBytes)
			// The backend waits for the next request with the rest, which fails the call.
			_ = c.Close()
			<-outcomes
			awaitHeld(t, account, 0)

			c = dial()
			br.Reset(c)
			send()
			answer <- raw
			is.Equal((<-outcomes).Failure, Answered)
			is.Equal(readStatus(t, br), fasthttp.StatusOK)
			awaitHeld(t, account, connectionBytes)
			full := account.NewHolder("", "", time.Now(), nil)
			is.True(full.Add(1<<20-held(account)-exchangeBytes-size/2, false, time.Now()))
			send()
			answer <- raw
			o := <-outcomes
			is.Equal(o.Failure, InvalidResponse)
			is.True(strings.Contains(o.Err.Error(), body.ErrNoRoom.Error()))
		})
	}
}

// Measures an ordinary request through a server and a pool whose memory is counted.
func BenchmarkServeThroughPool(b *testing.B) {
	account := memory.NewAccount(1<<20, 1<<20)
	address := dialBounded(b, account, func(_ context.Context, x *Exchange) { x.Response.SetBodyString("body") })().RemoteAddr().String()
	p := NewPool(nil, body.NewSharedMemory(1<<20, account))
	p.CountIn(account)
	c := dialBounded(b, account, func(ctx context.Context, x *Exchange) {
		call := newCall("1", false)
		x.Lease = x.ResponseLease(p)
		call.Response, call.Lease = &x.Response, x.Lease
		p.Do(ctx, address, call)
	})()
	_ = c.SetDeadline(time.Time{})
	br := bufio.NewReader(c)
	var r fasthttp.Response
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, head); err != nil {
			b.Fatal(err)
		}
		if err := r.Read(br); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a destination that counts as unreachable because this process may not open more connections.
func TestCallWithoutASlotTellsNothingOfItsDestination(t *testing.T) {
	is := is.New(t)
	address, received, answer := holdingBackend(t)
	p := newTestPool()
	p.Limit(1)
	var req fasthttp.Request
	req.Header.SetHost("h")
	req.Header.SetRequestURI("/")
	first := make(chan Outcome)
	go func() {
		first <- p.Do(context.Background(), address, &Call{Request: &req, Response: &fasthttp.Response{}, Deadline: time.Now().Add(testWait)})
	}()
	<-received
	o := p.Do(context.Background(), address, &Call{Request: &req, Response: &fasthttp.Response{}, Deadline: time.Now().Add(20 * time.Millisecond)})
	is.Equal(o.Failure, NotSent)
	is.True(o.Abandoned && !o.Ended)
	answer <- "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	is.Equal((<-first).Failure, Answered)
	o = p.Do(context.Background(), "127.0.0.1:1", &Call{Request: &req, Response: &fasthttp.Response{}, Deadline: time.Now().Add(testWait)})
	is.True(o.Refused && !o.Abandoned)
}

// Guards against a destination that does not answer and is never noticed, because all calls to it have short time limits, and against one
// that counts as unreachable for a call without the time of a round trip.
func TestShortCallWithoutAConnectionTellsNothing(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	is.NoErr(err)
	p := newTestPool()
	for p.Preconnect(context.Background(), l.Addr().String()) == nil { // until the queue of the listener is full
	}
	var req fasthttp.Request
	req.Header.SetHost("h")
	req.Header.SetRequestURI("/")
	do := func(limit time.Duration) Outcome {
		return newTestPool().Do(context.Background(), l.Addr().String(), &Call{Request: &req, Response: &fasthttp.Response{}, Deadline: time.Now().Add(limit)})
	}
	short, long := do(connectTime/2), do(2*connectTime)
	is.Equal(short.Failure, NotSent)
	is.True(short.Abandoned)
	is.Equal(long.Failure, NotSent)
	is.True(!long.Abandoned)
}
