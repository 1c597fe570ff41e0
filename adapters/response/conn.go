package response

import (
	"context"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// conn checks the headers of the responses that a client reads, for HTTP clients that read them on
// their own. The client sends no request before it has read the response to the one before.
type conn struct {
	net.Conn

	mu     sync.Mutex
	lines  lines
	header []byte // received since the start of the header that is checked
	final  bool   // the header of the final response was checked
	err    error
}

// Check returns a connection whose Read fails once it has received a header that ReadHeader rejects.
// Trailers are not checked.
func Check(nc net.Conn) net.Conn { return &conn{Conn: nc} }

// Dial returns a dial function of an HTTP client whose connections check responses, see Check.
func Dial(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		nc, err := dial(address)
		if err != nil {
			return nil, err
		}
		return Check(nc), nil
	}
}

// DialContext opens a connection that checks responses, see Check, for http.Transport.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Check(nc), nil
}

// Write begins the next exchange if the header of the last response was read.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.final {
		c.final, c.lines, c.header = false, lines{}, c.header[:0]
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read reads from the connection and checks what belongs to a header.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.final && c.err == nil {
		c.header = append(c.header, b[:n]...)
		c.err = c.checkHeaders()
	}
	if c.err != nil {
		return 0, c.err
	}
	return n, err
}

// checkHeaders checks the headers of interim responses and of the final one.
func (c *conn) checkHeaders() error {
	for {
		if err := c.lines.check(c.header); err != nil || !c.lines.complete {
			return err
		}
		if !c.lines.interim {
			c.final = true
			return nil
		}
		c.header = c.header[c.lines.checked:]
		c.lines = lines{}
	}
}
