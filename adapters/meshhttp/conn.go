package meshhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/request"
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
	queued   time.Duration // how long it waited to be accepted
	// draining is set if the connection was open when Server.Drain was called; guarded by the mutex of the server.
	draining bool

	holder *memory.Holder  // memory of the connection and of its exchanges
	slot   *memory.Holder  // its place among the open connections
	usual  *bufio.Reader   // the read buffer of the usual size
	input  *request.Reader // what br reads

	mu          sync.Mutex
	requests    int  // requests read so far
	outstanding int  // requests read but not yet answered
	closing     bool // no further requests are read
	reading     bool // a request is being read
	writing     bool // a response is being written
	interrupted bool // the wait for the next request was interrupted
	gaveWay     bool // what is being read or written is given up, so that others get the memory

	bodyBegin time.Time // when the body that is being read began; zero: none. Only the reader uses it.
	bodyRead  int64     // bytes read since bodyBegin
	grown     int64     // memory of a read buffer that has grown; only the reader uses it
}

func newConn(s *Server, nc net.Conn, ctx context.Context, cancel context.CancelFunc) *conn {
	now := time.Now()
	c := &conn{
		server: s, nc: nc, ctx: ctx, cancel: cancel,
		pipelined: make(chan struct{}, s.options.Pipelined), queue: make(chan *Exchange, s.options.Pipelined), accepted: now,
	}
	source, domain := nc.RemoteAddr().String(), s.options.FailureDomain(nc.RemoteAddr())
	if host, _, err := net.SplitHostPort(source); err == nil {
		source = host
	}
	c.holder = s.options.Account.NewHolder(source, domain, now, c.giveWay)
	c.slot = s.options.Slots.NewHolder(source, domain, now, c.giveUpSlot)
	c.setStateLocked()
	c.input = &request.Reader{Source: connReader{c}}
	c.usual = bufio.NewReaderSize(c.input, min(readBufferBytes, c.maxHeader()))
	c.br = c.usual
	return c
}

// maxHeader returns the size of the largest header, with its request line.
func (c *conn) maxHeader() int { return c.server.options.Limits().HeaderBytes + requestLineAllowance }

// requestLineAllowance is added to the read buffer, so that it holds the request line and a header of the maximum size.
const requestLineAllowance = 1 << 10

// setStateLocked tells the accounts how far the connection may give way.
func (c *conn) setStateLocked() {
	s := memory.Idle
	switch {
	case c.writing, c.reading && c.outstanding == 0:
		s = memory.Waiting
	case c.outstanding > 0:
		s = memory.Busy
	}
	now := time.Now()
	c.holder.SetState(s, now)
	c.slot.SetState(s, now)
}

func (c *conn) touch() {
	now := time.Now()
	c.holder.Touch(now)
	c.slot.Touch(now)
}

// giveUpSlot closes the connection at once for a new one.
func (c *conn) giveUpSlot() {
	c.server.count(gaveSlot)
	c.cancel()
	_ = c.nc.Close()
	c.slot.Release()
}

// giveWay ends what the connection reads or writes, so that its memory is released. A request that is being read is answered.
func (c *conn) giveWay() {
	c.server.count(gaveMemory)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaveWay = true
	if c.reading && !c.writing {
		_ = c.nc.SetReadDeadline(passed)
		return
	}
	c.cancel()
	_ = c.nc.Close()
}

// passed is a deadline that has passed.
var passed = time.Unix(1, 0)

// take takes memory for the connection, and waits for others that give way.
func (c *conn) take(n int64) bool {
	if body.Take(c.server.options.Account, c.holder, n, false) {
		return true
	}
	c.server.count(noMemory)
	return false
}

// connReader reads from the connection, and enforces the rate of a body.
type connReader struct{ c *conn }

func (r connReader) Read(b []byte) (int, error) {
	c := r.c
	if !c.bodyBegin.IsZero() {
		c.extendBodyDeadline()
	}
	n, err := c.nc.Read(b)
	if n > 0 {
		c.bodyRead += int64(n)
		c.touch()
	}
	return n, err
}

// bodyDeadline returns the time by which the next bytes of a body must arrive.
func bodyDeadline(begin time.Time, read int64) time.Time {
	allowed := bodyGrace + time.Duration(read)*time.Second/bodyBytesPerSecond
	return begin.Add(min(allowed, bodyTimeout))
}

// extendBodyDeadline sets the deadline of a body by the bytes that were read, unless the server or the connection ends it sooner.
func (c *conn) extendBodyDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gaveWay && !c.server.draining.Load() {
		_ = c.nc.SetReadDeadline(bodyDeadline(c.bodyBegin, c.bodyRead))
	}
}

// connWriter writes to the connection in parts, so that a client that reads slowly differs from one that does not read.
type connWriter struct{ c *conn }

func (w connWriter) Write(b []byte) (written int, err error) {
	for err == nil && written < len(b) {
		var n int
		n, err = w.c.nc.Write(b[written:min(len(b), written+responseBufferBytes)])
		written += n
		w.c.touch()
	}
	return written, err
}

func (c *conn) run() {
	defer func() {
		c.cancel()
		_ = c.nc.Close()
		c.holder.Release()
		c.slot.Release()
		c.server.remove(c)
	}()
	if !c.take(connectionBytes) {
		return
	}
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
}

// readRequests queues requests until no further one will be read.
func (c *conn) readRequests() {
	for {
		if !c.awaitPlace() {
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

// endCheckInterval is the time between two looks at a connection from which nothing is read.
const endCheckInterval = 100 * time.Millisecond

// awaitPlace waits until another request may be in progress on the connection. It returns false if the client leaves meanwhile.
func (c *conn) awaitPlace() bool {
	select {
	case c.pipelined <- struct{}{}:
		return true
	default:
	}
	ticker := time.NewTicker(endCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case c.pipelined <- struct{}{}:
			return true
		case <-c.ctx.Done():
			return false
		case <-ticker.C:
			if socket.PeerClosed(c.nc) {
				c.cancel()
				return false
			}
		}
	}
}

// readRequest reads one request and starts its handler. It returns nil when the connection ends.
func (c *conn) readRequest() *Exchange {
	limits := c.server.options.Limits()
	if !c.awaitFirstByte(limits.IdleTimeout) {
		return nil
	}
	x := &Exchange{Received: time.Now(), Remote: c.nc.RemoteAddr(), conn: c, done: make(chan struct{})}
	if c.requests == 0 { // only this goroutine changes it
		x.Queued = c.queued
	}
	c.setReading(true)
	defer c.setReading(false)
	c.setRequestDeadline(x.Received.Add(limits.HeaderTimeout))
	if !c.take(exchangeBytes) {
		return c.respondReadError(x, body.ErrTooLarge)
	}
	x.held = exchangeBytes
	if err := c.readHeader(x); err != nil {
		return c.respondReadError(x, err)
	}
	if c.rejectsEarly(x) {
		return c.respondEarly(x)
	}
	if f := c.server.options.Organisation; f != nil {
		c.holder.SetOrganisation(f(&x.Request.Header))
	}
	release, ok := c.admitBody(x)
	if !ok {
		return c.respondUnread(x)
	}
	defer release()
	if err := c.readBody(x, limits); err != nil {
		return c.respondReadError(x, err)
	}
	c.shrinkBuffer()
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
	read := time.Now()
	go func() {
		defer close(x.done)
		c.server.observe(StageStart, time.Since(read))
		c.server.options.Handler(c.ctx, x)
		if !c.server.options.keepsRequest {
			x.releaseRequest() // before the client gets the response and sends its next body
		}
		c.holdAnswer(x)
		x.completed = time.Now()
	}()
	return x
}

// admitBody asks ServerOptions.AdmitBody whether a body that the client offers is read.
func (c *conn) admitBody(x *Exchange) (release func(), ok bool) {
	admit := c.server.options.AdmitBody
	if admit == nil || !x.Request.MayContinue() {
		return func() {}, true
	}
	return admit(c.ctx, x)
}

// readBody reads the body of a request.
func (c *conn) readBody(x *Exchange, limits Limits) error {
	x.requestLease = c.server.options.Memory.LeaseFor(c.holder)
	if err := body.CheckRequest(&x.Request, limits.BodyBytes, x.requestLease); err != nil {
		return err
	}
	c.bodyBegin, c.bodyRead = time.Now(), 0
	defer func() { c.bodyBegin = time.Time{} }()
	c.setRequestDeadline(bodyDeadline(c.bodyBegin, 0))
	if x.Request.MayContinue() {
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	return body.ReadRequest(c.br, &x.Request, limits.BodyBytes, x.requestLease)
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.setStateLocked()
}

func (c *conn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
	c.setStateLocked()
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
	c.setStateLocked()
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
		if c.input.Err() != nil {
			return true // the read of the request finds the error again
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
	if c.gaveWay {
		t = passed
	}
	_ = c.nc.SetReadDeadline(t)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
