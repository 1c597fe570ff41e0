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

// Guards against the same with an HTTP client that reads responses on its own, also for responses behind
// the first one of a connection and in parts. What such a client reads must be what the server sent.
func TestCheck(t *testing.T) {
	for _, form := range responsetest.Invalid() {
		if _, err := readChecked(t, form.With("X-Id: 1")); (err == nil) != form.InTrailers {
			t.Errorf("%s: %v", form.Name, err)
		}
	}
	for _, form := range append(responsetest.Valid(), responsetest.Unframed()...) {
		raw := form.With("X-Id: 1")
		if got, err := readChecked(t, raw); err != nil || got != raw {
			t.Errorf("%s: %v, %q", form.Name, err, got)
		}
	}
}

// readChecked sends two requests over a checked connection, whose server answers the first with an ordinary
// response and the second with the given bytes, and returns what it reads of the second response.
func readChecked(t *testing.T, raw string) (string, error) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nHTTP/1.1 "
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		for _, text := range []string{first, raw} {
			_, _ = server.Read(make([]byte, 1))
			_, _ = io.WriteString(server, text[:len(text)/2])
			_, _ = io.WriteString(server, text[len(text)/2:])
		}
	}()
	c := Check(client)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Write([]byte("1")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, len(first))); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("2")); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	return string(b), err
}
