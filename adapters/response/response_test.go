package response

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/response/responsetest"
)

// Guards against a client outside the mesh, for example a load generator, that takes an invalid
// response for an answer, or loses a valid one.
func TestRead(t *testing.T) {
	for _, form := range responsetest.Invalid() {
		var r fasthttp.Response
		if err := Read(bufio.NewReader(strings.NewReader(form.With("X-Id: 1"))), &r, "GET"); err == nil {
			t.Errorf("%s: status %d, body %q", form.Name, r.StatusCode(), r.Body())
		}
	}
	for _, form := range append(responsetest.Valid(), responsetest.Unframed()...) {
		var r fasthttp.Response
		raw := form.With("X-Id: 1")
		for split := range len(raw) {
			in := io.MultiReader(strings.NewReader(raw[:split]), strings.NewReader(raw[split:]))
			if err := Read(bufio.NewReader(in), &r, "GET"); err != nil || r.StatusCode() != form.Status || string(r.Body()) != form.Body {
				t.Fatalf("%s: %v, status %d, body %q", form.Name, err, r.StatusCode(), r.Body())
			}
		}
	}
}

// trailers reports whether what is wrong with a form is in its trailers, which Check leaves out.
func trailers(f responsetest.Form) bool { return strings.Contains(f.Name, "trailer") }

// Guards against the same with an HTTP client that reads responses on its own.
func TestCheck(t *testing.T) {
	for _, form := range responsetest.Invalid() {
		if trailers(form) {
			continue
		}
		if r, err := request(t, form.With("X-Id: 1")); err == nil {
			t.Errorf("%s: status %d, body %q", form.Name, r.StatusCode(), r.Body())
		}
	}
	for _, form := range append(responsetest.Valid(), responsetest.Unframed()...) {
		if strings.Contains(form.Name, "minor version") || strings.Contains(form.Name, "interim") {
			continue // the HTTP client itself reads only HTTP/1.0 and 1.1, and one interim response
		}
		r, err := request(t, form.With("X-Id: 1"))
		if err != nil || r.StatusCode() != form.Status || string(r.Body()) != form.Body {
			t.Errorf("%s: %v, status %d, body %q", form.Name, err, r.StatusCode(), r.Body())
		}
	}
}

// request sends two requests over one connection, to a server that answers the first with an ordinary
// response and the second with the given bytes.
func request(t *testing.T, raw string) (*fasthttp.Response, error) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	go func() {
		defer func() { _ = server.Close() }()
		br := bufio.NewReader(server)
		for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nHTTP/1.1 ", raw} {
			var h fasthttp.RequestHeader
			if h.Read(br) != nil {
				return
			}
			_, _ = io.WriteString(server, text)
		}
	}()
	c := &fasthttp.HostClient{
		Addr: "h:1", MaxIdemponentCallAttempts: 1, Dial: Dial(func(string) (net.Conn, error) { return client, nil }),
	}
	var r *fasthttp.Response
	for i := range 2 {
		req := &fasthttp.Request{}
		req.SetRequestURI("http://h/")
		r = &fasthttp.Response{}
		if err := c.DoTimeout(req, r, 10*time.Second); err != nil {
			if i == 0 {
				t.Fatal(err)
			}
			return r, err
		}
	}
	return r, nil
}
