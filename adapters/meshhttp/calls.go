package meshhttp

import (
	"context"

	"github.com/valyala/fasthttp"
)

// NewCallServer returns a server for a handler of the HTTP library, for calls that are not proxied. It runs the calls of one
// connection one behind the other. Handler, OnReadError and Pipelined of the options are not used.
func NewCallServer(h fasthttp.RequestHandler, o ServerOptions) *Server {
	o.Pipelined, o.keepsRequest, o.servesQueued = 1, true, true
	o.OnReadError = func(x *Exchange, status int, err error) {
		x.Response.SetStatusCode(status)
		x.Response.SetBodyString(err.Error() + "\n")
	}
	o.Handler = func(_ context.Context, x *Exchange) {
		var c fasthttp.RequestCtx // not from a pool, so its buffers live as long as the response
		c.Init2(x.conn.nc, silent{}, true)
		x.Request.Header.CopyTo(&c.Request.Header)
		c.Request.SetBodyRaw(x.Request.Body())
		h(&c)
		content := c.Response.Body()
		c.Response.Header.CopyTo(&x.Response.Header)
		x.Response.SetBodyRaw(content)
	}
	return NewServer(o)
}

type silent struct{}

func (silent) Printf(string, ...any) {}
