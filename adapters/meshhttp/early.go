package meshhttp

import (
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// maxDiscarded is the size of a body up to which it is read and discarded behind an early response. A client that sends a larger
// one may see a reset of the connection instead of the response, as with a body over the limit.
const maxDiscarded = 1 << 20

// rejectsEarly reports whether ServerOptions.AdmitHeader rejects a request by its header.
func (c *conn) rejectsEarly(x *Exchange) bool {
	admit := c.server.options.AdmitHeader
	length := x.Request.Header.ContentLength()
	return admit != nil && (length > 0 || length == chunkedLength) && !admit(x)
}

// chunkedLength is the length that fasthttp states for a body in chunks.
const chunkedLength = -1

// respondEarly returns the answered exchange of a request whose body is still to be discarded. It returns nil when the connection
// is closing.
func (c *conn) respondEarly(x *Exchange) *Exchange {
	if !c.beginRequest() {
		x.release()
		return nil
	}
	h := &x.Request.Header
	x.unread = h.ContentLength()
	// A client that waits for the interim response sends no body after the final one.
	x.close = h.ConnectionClose() || x.unread > maxDiscarded || x.Request.MayContinue()
	close(x.done)
	return x
}

// discardUnread reads the body behind an early response, and reports whether another request may follow it.
func (c *conn) discardUnread(x *Exchange) bool {
	switch {
	case x.unread == 0:
		return true
	case x.unread > 0:
		c.setRequestDeadline(x.Received.Add(bodyTimeout))
		_, err := io.CopyN(io.Discard, c.br, int64(x.unread))
		return err == nil
	}
	c.setRequestDeadline(x.Received.Add(bodyTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(httputil.NewChunkedReader(c.br), maxDiscarded))
	if err != nil || n == maxDiscarded {
		return false
	}
	var trailers fasthttp.RequestHeader
	return trailers.ReadTrailer(c.br) == nil
}
