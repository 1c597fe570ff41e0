package meshhttp

import "github.com/valyala/fasthttp"

// rejectsEarly reports whether ServerOptions.AdmitHeader rejects a request by its header, so that its body is not read.
func (c *conn) rejectsEarly(x *Exchange) bool {
	admit := c.server.options.AdmitHeader
	return admit != nil && hasBody(&x.Request) && !admit(x)
}

// hasBody reports whether a body follows the header that was read.
func hasBody(r *fasthttp.Request) bool {
	length := r.Header.ContentLength()
	return length > 0 || length == -1 // -1: in chunks
}

// respondEarly returns the answered exchange of a request whose body is not read. The connection closes behind it. It returns
// nil when the connection is closing.
func (c *conn) respondEarly(x *Exchange) *Exchange {
	if !c.beginRequest() {
		return nil
	}
	x.close = true
	close(x.done)
	return x
}
