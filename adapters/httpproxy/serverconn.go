package httpproxy

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// serverConn tracks whether a request is being read or answered on a connection.
type serverConn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// answered is true between a response and the first byte of the next request
	// as the HTTP server sees it; with pipelining that byte may be in its buffer.
	answered  bool
	busy      bool // a byte was read since the last complete response
	closing   bool // the closing response was sent; no further request is read
	closed    bool
	idleSince time.Time
	// lingerUntil bounds how long discarded bytes are read.
	lingerUntil time.Time
}

// Read passes on bytes of requests until the closing response was sent; what
// arrives later is discarded, which is what that response states.
func (c *serverConn) Read(b []byte) (int, error) {
	c.beforeRead()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	if !c.closing {
		if n > 0 {
			c.busy = true
		}
		c.mu.Unlock()
		return n, err
	}
	c.mu.Unlock()
	c.linger(b)
	return 0, io.EOF
}

// beforeRead marks the connection idle: the server reads again after a response
// only when its buffer holds no further request and the response was written.
func (c *serverConn) beforeRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered && c.busy {
		c.busy = false
		c.idleSince = time.Now()
	}
}

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
}

// announceClose sends the closing response on an idle connection, once. It
// must not be sent while a response is written: its bytes would become part of it.
// Right after a response it would arrive with it, and clients that discard bytes
// after a response would not see it.
func (c *serverConn) announceClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closing || c.closed || time.Since(c.idleSince) < quietTime {
		return
	}
	c.closing = true
	c.lingerUntil = time.Now().Add(lingerTime)
	_ = c.Conn.SetWriteDeadline(c.lingerUntil)
	_, _ = io.WriteString(c.Conn, closingResponse)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	// Read is blocked in the kernel until the peer closes; the deadline bounds that.
	_ = c.Conn.SetReadDeadline(c.lingerUntil)
}

// Close announces the close of an idle connection first, for example when its idle time has passed.
func (c *serverConn) Close() error {
	c.mu.Lock()
	again := c.closed
	announced := c.closing
	c.mu.Unlock()
	if again {
		return nil
	}
	if !announced {
		c.announceClose()
		c.mu.Lock()
		announced = c.closing
		c.mu.Unlock()
		if announced {
			var b [256]byte
			c.linger(b[:])
		}
	}
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.server.remove(c)
	return c.Conn.Close()
}

// SyscallConn gives access to the socket, to see whether the peer has closed it.
func (c *serverConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}
