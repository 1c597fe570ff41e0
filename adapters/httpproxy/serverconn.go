package httpproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/request"
)

// serverConn is a connection of a Server. It tracks whether a request is being read or answered.
type serverConn struct {
	net.Conn
	server *Server
	input  request.Reader // checks the framing of the requests
	slot   *memory.Holder // its place among the open connections
	holder *memory.Holder // its memory

	counted    bool         // the memory of the connection itself is held; only the reader uses it, like the next two
	fields     fieldCounter // of the headers that arrive
	fieldsHeld int64        // memory of decoded fields

	mu sync.Mutex
	// answered is true between a response and the first byte of the next request, as seen by
	// the HTTP server. With pipelining, that byte may already be in the server's buffer.
	answered bool
	busy     bool // a byte was read since the last response
	handled  bool // a request was read completely and its response is not yet written
	closing  bool // the closing response or the last response was sent; no further request is read
	closed   bool
	gaveWay  bool // others get its memory
	// responseLease holds the memory of the response that is being written; nil: none is held.
	responseLease *body.Lease
	idleSince     time.Time
	busySince     time.Time
	// lingerUntil is the deadline for reading and discarding bytes after the closing response.
	lingerUntil time.Time
}

// Read reads request bytes until the closing response was sent. Bytes that arrive later are
// discarded, because the closing response states that nothing more was read.
func (c *serverConn) Read(b []byte) (int, error) {
	if !c.counted {
		if !body.Take(c.server.account, c.holder, connBytes, false) {
			return 0, io.EOF
		}
		c.counted = true
	}
	c.markIdle()
	inHeader := c.input.InHeader()
	n, err := c.input.Read(b)
	if !c.takeFields(c.fields.count(b[:n], inHeader, c.input.InHeader())) {
		n, err = 0, body.ErrTooLarge
	}
	if errors.Is(err, request.ErrInvalid) && !c.input.Begun() {
		n, err = copy(b, invalidLine), nil
	}
	if n > 0 {
		c.setState(memory.Waiting)
	}
	c.mu.Lock()
	if !c.closing {
		if n > 0 && !c.busy {
			c.busy, c.busySince = true, time.Now()
		}
		c.mu.Unlock()
		return n, err
	}
	c.mu.Unlock()
	c.linger(b)
	return 0, io.EOF
}

// markIdle marks the connection idle after a response. The server reads again only once
// the response was written and its buffer holds no further request.
func (c *serverConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered && c.busy {
		c.busy = false
		c.idleSince = time.Now()
		c.setState(memory.Idle)
	}
}

// invalidLine stands for a request that is invalid from its first byte on. The HTTP library would not answer an error before
// that byte, and answers this line in the order of the requests.
const invalidLine = "invalid\r\n\r\n"

func (c *serverConn) linger(b []byte) {
	c.mu.Lock()
	until := c.lingerUntil
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(until)
	for {
		if _, err := c.Conn.Read(b); err != nil {
			return
		}
	}
}

func (c *serverConn) setAnswered(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = answered
	if answered {
		c.handled = false
		c.releaseLeaseLocked()
	}
}

// beginRequest marks a request as completely read. It returns the reason if the request does not run: the closing response was
// sent meanwhile, which states that, or the connection gave way.
func (c *serverConn) beginRequest() Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		return ReasonLeaving
	case c.gaveWay:
		return ReasonNoMemory
	}
	c.handled = true
	c.setState(memory.Busy)
	return ""
}

// closeStalled sends the closing response in place of a response to a request of which only a part has arrived, if
// the rest has been missing for stalledRequestTimeout since both the request and the drain began.
func (c *serverConn) closeStalled(drainBegin time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if drainBegin.IsZero() || !c.busy || c.answered || c.handled || c.closing || c.closed ||
		now.Sub(c.busySince) < stalledRequestTimeout || now.Sub(drainBegin) < stalledRequestTimeout {
		return
	}
	c.writeClosingResponseLocked()
}

// closeWrite sends the end of the stream behind the last response, and bounds how long the peer is still read.
// Without the reads, a request that is pipelined behind that response makes the kernel send a reset, which discards
// what the peer has not received.
func (c *serverConn) closeWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	c.closing = true
	c.lingerUntil = time.Now().Add(lingerTimeout)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

const lingerBufferBytes = 4 << 10

// sendClosingResponse sends the closing response once, on a connection that was idle for at least
// minIdleBeforeClose. While another response is written, the bytes of the closing response would
// become part of it. Right after a response, both would arrive together, and clients that
// discard bytes after a response would miss the closing response.
func (c *serverConn) sendClosingResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closing || c.closed || time.Since(c.idleSince) < minIdleBeforeClose {
		return
	}
	c.writeClosingResponseLocked()
}

// writeClosingResponseLocked writes the closing response and the end of the stream. The lock must be held.
func (c *serverConn) writeClosingResponseLocked() {
	c.closing = true
	c.lingerUntil = time.Now().Add(lingerTimeout)
	_ = c.Conn.SetWriteDeadline(c.lingerUntil)
	_, _ = io.WriteString(c.Conn, c.server.closingResponseNow())
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	// Bounds a blocked Read, which otherwise waits until the peer closes.
	_ = c.Conn.SetReadDeadline(c.lingerUntil)
}

// Close closes the connection. An idle connection gets the closing response first, for example after its idle timeout.
func (c *serverConn) Close() error {
	c.mu.Lock()
	alreadyClosed := c.closed
	announced := c.closing
	c.mu.Unlock()
	if alreadyClosed {
		return nil
	}
	if !announced {
		c.sendClosingResponse()
		c.closeWrite()
		var b [lingerBufferBytes]byte
		c.linger(b[:])
	}
	c.mu.Lock()
	c.closed = true
	c.releaseLeaseLocked()
	c.mu.Unlock()
	c.slot.Release()
	c.holder.Release()
	c.server.remove(c)
	return c.Conn.Close()
}

// SyscallConn returns the raw connection, with which socket.Peek checks whether the peer has closed it.
func (c *serverConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}
