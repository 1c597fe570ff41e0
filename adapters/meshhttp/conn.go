package meshhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/socket"
)

// conn is one client connection. One goroutine reads requests and one writes
// responses in request order; each request is handled in its own goroutine.
type conn struct {
	server    *Server
	nc        net.Conn
	br        *bufio.Reader
	ctx       context.Context
	cancel    context.CancelFunc
	pipelined chan struct{}
	queue     chan *Exchange

	accepted time.Time
	// draining is set if the connection was open when Server.Drain was called; guarded by the mutex of the server.
	draining bool

	mu          sync.Mutex
	requests    int  // requests read so far
	outstanding int  // requests read but not yet answered
	closing     bool // no further requests are read
	reading     bool // a request is being read
	interrupted bool // the wait for the next request was interrupted
}

func newConn(s *Server, nc net.Conn, ctx context.Context, cancel context.CancelFunc) *conn {
	return &conn{
		server: s, nc: nc, ctx: ctx, cancel: cancel,
		br:        bufio.NewReaderSize(nc, s.options.Limits().HeaderBytes+requestLineAllowance),
		pipelined: make(chan struct{}, maxPipelined), queue: make(chan *Exchange, maxPipelined), accepted: time.Now(),
	}
}

// requestLineAllowance is added to the read buffer, so that it holds the request line and a header of the maximum size.
const requestLineAllowance = 1 << 10

func (c *conn) run() {
	written := make(chan struct{})
	go func() {
		c.writeResponses()
		close(written)
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout)) // ends the read in awaitClientClose
	}()
	c.readRequests()
	close(c.queue)
	c.awaitClientClose(written)
	<-written
	c.cancel()
	_ = c.nc.Close()
	c.server.remove(c)
}

// readRequests queues requests until no further one will be read.
func (c *conn) readRequests() {
	for {
		select {
		case c.pipelined <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		x := c.readRequest()
		if x == nil {
			return
		}
		c.queue <- x // never blocks: the queue has the same capacity as pipelined
		if x.close || !c.discardUnread(x) {
			return
		}
	}
}

// readRequest reads one request and starts its handler. It returns nil when the connection ends.
func (c *conn) readRequest() *Exchange {
	limits := c.server.options.Limits()
	if !c.awaitFirstByte(limits.IdleTimeout) {
		return nil
	}
	x := &Exchange{Received: time.Now(), Remote: c.nc.RemoteAddr(), done: make(chan struct{})}
	c.setReading(true)
	defer c.setReading(false)
	c.setRequestDeadline(x.Received.Add(limits.HeaderTimeout))
	if err := x.Request.Header.Read(c.br); err != nil {
		return c.respondReadError(x, err)
	}
	if c.rejectsEarly(x) {
		return c.respondEarly(x)
	}
	x.requestLease = c.server.options.Memory.Lease()
	if err := body.CheckRequest(&x.Request, limits.BodyBytes, x.requestLease); err != nil {
		return c.respondReadError(x, err)
	}
	c.setRequestDeadline(x.Received.Add(bodyTimeout))
	if x.Request.MayContinue() {
		if admit := c.server.options.AdmitBody; admit != nil {
			release, ok := admit(c.ctx, x)
			if !ok {
				return c.respondUnread(x)
			}
			defer release()
		}
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return c.respondReadError(x, err)
		}
	}
	if err := body.ReadRequest(c.br, &x.Request, limits.BodyBytes, x.requestLease); err != nil {
		return c.respondReadError(x, err)
	}
	x.close = x.Request.Header.ConnectionClose()
	if !c.beginRequest() {
		x.release()
		return nil
	}
	if admit := c.server.options.Admit; admit != nil && !admit(x) {
		x.close = true // nothing is read behind it, so no later request is started and then cut by the close
		close(x.done)
		return x
	}
	go func() {
		defer close(x.done)
		c.server.options.Handler(c.ctx, x)
	}()
	return x
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// beginRequest counts a request that was read as outstanding. It returns false once the
// connection is closing; the client then learns from the close that the request was not handled.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.outstanding++
	c.requests++
	return true
}

// awaitFirstByte waits for the first byte of a request, for at most the idle timeout
// unless responses are outstanding. It returns false when the connection ends.
func (c *conn) awaitFirstByte(idle time.Duration) bool {
	for {
		closing, busy, first := c.beginWait(idle)
		if closing || (c.server.draining.Load() && !busy && !first && !c.requestArrived()) {
			return c.closeIdle()
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if !isTimeout(err) {
			c.cancel() // the client has disconnected
			return false
		}
		c.mu.Lock()
		busy = c.outstanding > 0 && !c.closing
		c.mu.Unlock()
		switch {
		case busy:
		case c.requestArrived():
			idle = arrivedReadTimeout
		default:
			return c.closeIdle()
		}
	}
}

// beginWait sets the deadline of the wait for the next request and returns the state of the connection. first is set if
// the server drains and waits for the first request of a new connection: it may be on its way.
func (c *conn) beginWait(idle time.Duration) (closing, busy, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = c.requests == 0 && !c.interrupted && c.server.draining.Load() && !c.server.closed.Load()
	if first {
		idle = firstRequestTimeout
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(idle))
	return c.closing, c.outstanding > 0, first
}

const (
	// firstRequestTimeout is how long a server that drains waits for the first request of a new connection.
	firstRequestTimeout = time.Second
	// drainReadTimeout bounds the read of a request that has partly arrived, on a server that drains.
	drainReadTimeout = time.Second
)

// arrivedReadTimeout is the timeout of the read of bytes that have arrived.
const arrivedReadTimeout = time.Second

// requestArrived reports whether bytes of a request have arrived and are not read yet. A read
// whose deadline has passed does not return them.
func (c *conn) requestArrived() bool {
	return c.br.Buffered() > 0 || socket.Peek(c.nc) == socket.Readable
}

// closeIdle sends the ClosingResponse on an idle connection and closes its write side. It always returns false.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	first := !c.closing
	c.closing = true
	c.mu.Unlock()
	if first {
		_ = c.nc.SetWriteDeadline(time.Now().Add(lingerTimeout))
		if response := c.server.options.ClosingResponse; response != "" {
			_, _ = io.WriteString(c.nc, response) // error ignored: the close tells the client the same
		}
		c.closeWrite()
	}
	return false
}

// interruptRead interrupts the wait for the next request if none is outstanding, and bounds the read of one that has
// partly arrived.
func (c *conn) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.reading:
		_ = c.nc.SetReadDeadline(time.Now().Add(drainReadTimeout))
	case c.outstanding == 0:
		c.interrupted = true
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

// setRequestDeadline sets the time by which the next part of a request must have arrived, which is soon if the
// server drains.
func (c *conn) setRequestDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if soon := time.Now().Add(drainReadTimeout); c.server.draining.Load() && soon.Before(t) {
		t = soon
	}
	_ = c.nc.SetReadDeadline(t)
}

// respondReadError returns an answered exchange for a request that could not be read. It
// returns nil when the connection has failed, so that nobody would read a response.
func (c *conn) respondReadError(x *Exchange, err error) *Exchange {
	status := fasthttp.StatusBadRequest
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.cancel()
		return nil
	case isTimeout(err):
		status = fasthttp.StatusRequestTimeout
	case errors.As(err, &smallBuffer):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, body.ErrTooLarge):
		status = fasthttp.StatusServiceUnavailable
	default:
		var opErr *net.OpError
		if errors.As(err, &opErr) {
			c.cancel()
			return nil
		}
	}
	c.server.options.OnReadError(x, status, err)
	return c.respondUnread(x)
}

// respondUnread returns an exchange whose response is complete although its request was not read to the end, so that nothing
// can be read behind it. It returns nil if the connection is closing.
func (c *conn) respondUnread(x *Exchange) *Exchange {
	if !c.beginRequest() {
		return nil
	}
	x.close = true
	close(x.done)
	return x
}

func (c *conn) writeResponses() {
	for x := range c.queue {
		<-x.done
		last := c.write(x)
		x.release()
		c.mu.Lock()
		c.outstanding--
		idle := c.outstanding == 0
		c.mu.Unlock()
		<-c.pipelined
		if last {
			c.closeAfterResponse()
			break
		}
		if idle && c.server.draining.Load() {
			c.interruptRead()
		}
	}
	for x := range c.queue { // requests behind the last response get no response
		<-x.done
		x.release()
	}
}

// write sends a response and reports whether it is the last one on the connection.
func (c *conn) write(x *Exchange) (last bool) {
	c.mu.Lock()
	last = x.close || x.Response.ConnectionClose() || (c.server.draining.Load() && c.outstanding == 1)
	if last {
		c.closing = true
	}
	c.mu.Unlock()
	if last {
		x.Response.SetConnectionClose()
	}
	x.Response.SkipBody = x.Request.Header.IsHead()
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	bw := bufio.NewWriterSize(c.nc, min(responseBufferBytes, len(x.Response.Body())+headerBufferBytes))
	err := x.Response.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err != nil {
		c.cancel()
		return true
	}
	return last
}

const (
	headerBufferBytes   = 2 << 10 // typical size of a response header
	responseBufferBytes = 64 << 10
)

func (c *conn) closeAfterResponse() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.closeWrite()
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func (c *conn) closeWrite() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// awaitClientClose cancels the handlers when the client disconnects while its last requests
// are handled. It discards what the client sends until the client closes the
// connection, or until the linger timeout after the last response has passed.
func (c *conn) awaitClientClose(written <-chan struct{}) {
	var b [512]byte
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
		select { // run sets the linger deadline if the writer ends later
		case <-written:
			_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		default:
		}
		_, err := c.br.Read(b[:])
		switch {
		case err == nil:
		case isTimeout(err):
			select {
			case <-written:
				return
			default:
			}
		default:
			c.cancel()
			return
		}
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
