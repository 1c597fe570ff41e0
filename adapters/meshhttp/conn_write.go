package meshhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/request"
)

// holdAnswer takes the memory of a response body that no lease holds. Without it, the connection closes: the request has run, so
// it cannot be refused.
func (c *conn) holdAnswer(x *Exchange) {
	n := len(x.Response.Body())
	if n <= body.CoveredBytes || n > body.UncountedBytes || x.Lease != nil && x.Lease.Covers(int64(n)) {
		return
	}
	if !c.take(int64(n)) {
		c.holder.MarkClosing()
		c.cancel()
		_ = c.nc.Close()
		return
	}
	x.held += int64(n)
}

// respondReadError returns an answered exchange for a request that could not be read. It
// returns nil when the connection has failed, so that nobody would read a response.
func (c *conn) respondReadError(x *Exchange, err error) *Exchange {
	status := fasthttp.StatusBadRequest
	var smallBuffer *fasthttp.ErrSmallBuffer
	c.mu.Lock()
	gaveWay := c.gaveWay
	c.mu.Unlock()
	if invalid := c.input.Err(); invalid != nil {
		err = invalid // the HTTP library hides some errors of a reader
	}
	switch {
	case errors.Is(err, request.ErrInvalid):
		c.server.count(invalid)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.cancel()
		x.release()
		return nil
	case isTimeout(err) && gaveWay:
		status, err = fasthttp.StatusServiceUnavailable, body.ErrTooLarge
	case isTimeout(err):
		status = fasthttp.StatusRequestTimeout
		if x.requestLease == nil {
			c.server.count(slowHeader)
		} else {
			c.server.count(slowBody)
		}
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
			x.release()
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
		x.release()
		return nil
	}
	x.close = true
	close(x.done)
	return x
}

func (c *conn) writeResponses() {
	written := c.accepted
	for x := range c.queue {
		<-x.done
		if !x.completed.IsZero() {
			c.server.observeWrite(x.completed, written)
		}
		c.setWriting(true)
		last := c.write(x)
		written = time.Now()
		x.release()
		c.mu.Lock()
		c.outstanding--
		c.writing = false
		c.setStateLocked()
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
	bw := bufio.NewWriterSize(connWriter{c}, min(responseBufferBytes, len(x.Response.Body())+headerBufferBytes))
	err := x.Response.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err != nil {
		if isTimeout(err) {
			c.server.count(slowReader)
		}
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
		_, err := c.nc.Read(b[:])
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
