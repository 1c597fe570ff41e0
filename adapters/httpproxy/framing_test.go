package httpproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/request/requesttest"
)

// startServer serves a handler that reports the targets of the requests that run.
func startServer(t *testing.T, limit func(s *Server)) (address string, ran chan string) {
	ran = make(chan string, 1000)
	s := NewServer(func(ctx *fasthttp.RequestCtx) {
		ran <- string(ctx.RequestURI())
		if string(ctx.RequestURI()) == "/held" {
			time.Sleep(400 * time.Millisecond)
		}
	})
	limit(s)
	l := listen(t)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		<-done
	})
	return l.Addr().String(), ran
}

func dialServer(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// Guards against a call that has more than one reading, or none, and that runs, or behind which another one runs.
func TestInvalidRequestIsAnsweredOnce(t *testing.T) {
	address, ran := startServer(t, func(*Server) {})
	for name, raw := range requesttest.Invalid() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := dialServer(t, address)
			_, err := io.WriteString(c, "GET /before HTTP/1.1\r\nHost: h\r\n\r\n"+raw+"GET /behind HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			br := bufio.NewReader(c)
			for _, want := range []int{fasthttp.StatusOK, fasthttp.StatusBadRequest} {
				var r fasthttp.Response
				is.NoErr(r.Read(br))
				is.Equal(r.StatusCode(), want)
			}
			_, err = br.ReadByte()
			is.Equal(err, io.EOF)
			is.Equal(<-ran, "/before")
			is.Equal(len(ran), 0)
		})
	}
}

// Guards against calls whose bodies together exceed the memory for them, and against connections without a bound.
func TestServerBoundsMemoryAndConnections(t *testing.T) {
	is := is.New(t)
	const connections = 6
	address, ran := startServer(t, func(s *Server) {
		s.bodies, s.slots = body.NewMemory(1_000_000), memory.NewSlots(connections)
	})
	send := func(path string, c net.Conn, body int) {
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, body, make([]byte, body))
		is.NoErr(err)
	}
	status := func(c net.Conn, body int) int {
		send("/", c, body)
		var r fasthttp.Response
		is.NoErr(r.Read(bufio.NewReader(c)))
		return r.StatusCode()
	}
	const largest = 250_000 // a quarter of the memory
	is.Equal(status(dialServer(t, address), largest+1), fasthttp.StatusRequestEntityTooLarge)
	for range 3 {
		send("/held", dialServer(t, address), largest)
		is.Equal(<-ran, "/held")
	}
	var chunked strings.Builder // takes up to three times its size while it is read
	fmt.Fprintf(&chunked, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", largest, make([]byte, largest))
	c := dialServer(t, address)
	_, err := io.WriteString(c, chunked.String())
	is.NoErr(err)
	var r fasthttp.Response
	is.NoErr(r.Read(bufio.NewReader(c)))
	is.Equal(r.StatusCode(), fasthttp.StatusServiceUnavailable)
	time.Sleep(500 * time.Millisecond) // the bodies are released
	is.Equal(status(dialServer(t, address), largest), fasthttp.StatusOK)
	idle := make([]net.Conn, connections+1)
	for i := range idle {
		idle[i] = dialServer(t, address)
		time.Sleep(350 * time.Millisecond) // without a byte, so that it gives way
	}
	is.Equal(status(dialServer(t, address), 10_000), fasthttp.StatusOK)
	_, err = idle[0].Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	for range connections {
		_, err := io.WriteString(dialServer(t, address), "GET / HTTP/1.1\r\n") // sending, so it does not give way
		is.NoErr(err)
	}
	time.Sleep(50 * time.Millisecond)
	refused := dialServer(t, address)
	_ = refused.SetDeadline(time.Now().Add(200 * time.Millisecond))
	_, err = io.Copy(io.Discard, refused)
	is.NoErr(err)
}
