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
)

// conn is one connection of a client. One goroutine reads requests, one writes
// responses in their order; each request is carried by its own.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
	queue  chan *Exchange

	mu          sync.Mutex
	outstanding int  // requests that were read and not answered
	closing     bool // no further request is read
}

func newConn(s *Server, nc net.Conn, ctx context.Context, cancel context.CancelFunc) *conn {
	return &conn{
		server: s, nc: nc, ctx: ctx, cancel: cancel,
		br:    bufio.NewReaderSize(nc, s.options.Limits().HeaderBytes+readSlack),
		slots: make(chan struct{}, maxPipelined), queue: make(chan *Exchange, maxPipelined),
	}
}

// readSlack lets the buffer hold a header of the largest size with its request line.
const readSlack = 1 << 10

func (c *conn) run() {
	written := make(chan struct{})
	go func() {
		c.writeResponses()
		close(written)
		_ = c.nc.SetReadDeadline(time.Now().Add(linger)) // see awaitPeer
	}()
	c.readRequests()
	close(c.queue)
	c.awaitPeer(written)
	<-written
	c.cancel()
	_ = c.nc.Close()
	c.server.remove(c)
}

// readRequests returns when no further request will be read.
func (c *conn) readRequests() {
	for {
		select {
		case c.slots <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		x := c.readRequest()
		if x == nil {
			return
		}
		c.queue <- x // has room for every slot
		if x.close {
			return
		}
	}
}

// readRequest returns nil at the end of the connection.
func (c *conn) readRequest() *Exchange {
	limits := c.server.options.Limits()
	if !c.awaitFirstByte(limits.IdleTimeout) {
		return nil
	}
	x := &Exchange{Received: time.Now(), Remote: c.nc.RemoteAddr(), done: make(chan struct{})}
	_ = c.nc.SetReadDeadline(x.Received.Add(limits.HeaderTimeout))
	if err := x.Request.Header.Read(c.br); err != nil {
		return c.unreadable(x, err)
	}
	_ = c.nc.SetReadDeadline(x.Received.Add(bodyTimeout))
	if x.Request.MayContinue() {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return c.unreadable(x, err)
		}
	}
	if err := x.Request.ContinueReadBody(c.br, limits.BodyBytes, false); err != nil {
		return c.unreadable(x, err)
	}
	x.close = x.Request.Header.ConnectionClose()
	if !c.accept() {
		return nil
	}
	go func() {
		defer close(x.done)
		c.server.options.Handler(c.ctx, x)
	}()
	return x
}

// accept counts a request that was read; it is false once the connection closes,
// which tells the client that the request was not read.
func (c *conn) accept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.outstanding++
	return true
}

// awaitFirstByte waits for a request, as long as the connection may be idle.
func (c *conn) awaitFirstByte(idle time.Duration) bool {
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(idle))
		c.mu.Lock()
		if c.closing || (c.server.draining.Load() && c.outstanding == 0 && c.br.Buffered() == 0) {
			c.mu.Unlock()
			return c.endIdle()
		}
		c.mu.Unlock()
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if !isTimeout(err) {
			c.cancel() // the client has left
			return false
		}
		c.mu.Lock()
		busy := c.outstanding > 0 && !c.closing
		c.mu.Unlock()
		if !busy {
			return c.endIdle()
		}
	}
}

// endIdle closes an idle connection towards the client; it returns false.
func (c *conn) endIdle() bool {
	c.mu.Lock()
	first := !c.closing
	c.closing = true
	c.mu.Unlock()
	if first {
		_ = c.nc.SetWriteDeadline(time.Now().Add(linger))
		if f := c.server.options.Farewell; f != "" {
			_, _ = io.WriteString(c.nc, f) // the close says the same
		}
		c.closeWrite()
	}
	return false
}

// endWhenIdle wakes a reader that waits for a request.
func (c *conn) endWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding == 0 {
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

// unreadable answers a request that could not be read, where the client still listens.
func (c *conn) unreadable(x *Exchange, err error) *Exchange {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.cancel()
		return nil
	case isTimeout(err):
		status = fasthttp.StatusRequestTimeout
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	default:
		var op *net.OpError
		if errors.As(err, &op) {
			c.cancel()
			return nil
		}
	}
	if !c.accept() {
		return nil
	}
	c.server.options.Refuse(x, status, err)
	x.close = true
	close(x.done)
	return x
}

func (c *conn) writeResponses() {
	for x := range c.queue {
		<-x.done
		last := c.write(x)
		c.mu.Lock()
		c.outstanding--
		idle := c.outstanding == 0
		c.mu.Unlock()
		<-c.slots
		if last {
			c.endAfterResponse()
			break
		}
		if idle && c.server.draining.Load() {
			c.endWhenIdle()
		}
	}
	for x := range c.queue { // behind a response that closed the connection
		<-x.done
	}
}

// write sends a response and reports whether it is the last of the connection.
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
	bw := bufio.NewWriterSize(c.nc, min(responseBuffer, len(x.Response.Body())+headerBuffer))
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
	headerBuffer   = 2 << 10 // what a response header takes
	responseBuffer = 64 << 10
)

func (c *conn) endAfterResponse() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.closeWrite()
	_ = c.nc.SetReadDeadline(time.Now().Add(linger))
}

func (c *conn) closeWrite() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// awaitPeer notices a client that leaves while its last requests are carried,
// and reads on until it has seen the last response.
func (c *conn) awaitPeer(written <-chan struct{}) {
	var b [512]byte
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
		select { // otherwise the end of the writer sets the deadline
		case <-written:
			_ = c.nc.SetReadDeadline(time.Now().Add(linger))
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
