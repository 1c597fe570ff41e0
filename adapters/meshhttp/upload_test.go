package meshhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// uploadBytes is a body that no socket buffer holds.
const uploadBytes = 24 << 20

// earlyBackend starts a destination that passes each connection to answer once it has read the header of a request.
func earlyBackend(t *testing.T, answer func(c *net.TCPConn, r *bufio.Reader)) (address string) {
	return listenAndServe(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		var header fasthttp.RequestHeader
		if header.Read(r) == nil {
			answer(c, r)
		}
	})
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func reset(c *net.TCPConn) { _ = c.SetLinger(0) } // the close that follows sends a reset

func upload(p *Pool, address string, size int) (Outcome, *fasthttp.Response) {
	c := newCall("1", true)
	c.Request.Header.SetMethod(fasthttp.MethodPost)
	c.Request.SetBody(make([]byte, size))
	return p.Do(context.Background(), address, c), c.Response
}

// Guards against a part of a response that is taken for all of it because the connection was reset
// while the request was being written: the write takes the error of the socket, and the read then
// finds what looks like the end of the body.
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	const little, half = 64 << 10, uploadBytes / 2
	for name, answer := range map[string]struct {
		response string
		reads    int64 // bytes of the request body before the connection ends; 0: the end follows 20 ms later
		end      func(c *net.TCPConn)
	}{
		"reset":                    {head + "part of it", 0, reset},
		"no byte of the body":      {head, 0, reset},
		"failure":                  {"HTTP/1.1 500 Internal Server Error\r\nX-Id: 1\r\n\r\npart of it", 0, reset},
		"HTTP/1.0":                 {"HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\npart of it", 0, reset},
		"close with unread bytes":  {head + "part of it", 0, func(*net.TCPConn) {}},
		"reset at once":            {head + "part of it", 1, reset},
		"half of the upload read":  {head + "part of it", half, reset},
		"close while bytes arrive": {head + "part of it", half, func(*net.TCPConn) {}},
		"end, then reset": {head + "part of it", little, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, c, little)
			reset(c)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			sizes := []int{uploadBytes}
			if answer.reads <= 1 {
				sizes = append(sizes, asyncBodyBytes-1) // written before the response is read
			}
			for _, size := range sizes {
				for range 8 {
					address := earlyBackend(t, func(c *net.TCPConn, r *bufio.Reader) {
						write(c, answer.response)
						if answer.reads == 0 {
							time.Sleep(20 * time.Millisecond)
						}
						_, _ = io.CopyN(io.Discard, r, answer.reads)
						answer.end(c)
					})
					o, resp := upload(newTestPool(), address, size)
					if o.Failure != ConnectionLost {
						t.Fatalf("upload of %d bytes: %v (%v), status %d, body %q", size, o.Failure, o.Err, resp.StatusCode(), resp.Body())
					}
				}
			}
		})
	}
}

// Guards against the loss of a complete response that came before the request was written: one that
// has a length, and one without a length whose end the destination sends in order.
func TestResponseBeforeEndOfUpload(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	framed := rawResponse("1", "all of it")
	for name, answer := range map[string]func(c *net.TCPConn, r *bufio.Reader){
		"end, then the upload is read": func(c *net.TCPConn, r *bufio.Reader) {
			write(c, unframed+"all of it")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r)
		},
		"end, then the upload is read slowly": func(c *net.TCPConn, r *bufio.Reader) {
			write(c, unframed+"all of it")
			_ = c.CloseWrite()
			for {
				if _, err := io.CopyN(io.Discard, r, uploadBytes/8); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
		"end, then nothing is read": func(c *net.TCPConn, _ *bufio.Reader) {
			write(c, unframed+"all of it")
			_ = c.CloseWrite()
			<-t.Context().Done()
		},
		"end in the middle of the upload": func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, uploadBytes/2)
			write(c, unframed+"all of it")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r)
		},
		"length, then the upload is read": func(c *net.TCPConn, r *bufio.Reader) {
			write(c, framed)
			_, _ = io.Copy(io.Discard, r)
		},
		"length, then reset": func(c *net.TCPConn, _ *bufio.Reader) {
			write(c, framed)
			time.Sleep(20 * time.Millisecond)
			reset(c)
		},
		"chunks, then reset": func(c *net.TCPConn, _ *bufio.Reader) {
			write(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n")
			time.Sleep(20 * time.Millisecond)
			reset(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range 4 {
				o, resp := upload(newTestPool(), earlyBackend(t, answer), uploadBytes)
				if o.Failure != Answered || string(resp.Body()) != "all of it" {
					t.Fatalf("try %d: %v (%v), body %q", i, o.Failure, o.Err, resp.Body())
				}
			}
		})
	}
}

// Guards against a response that closes the connection and is taken as proof about a request because
// a reset looks like the end of the connection.
func TestResetDuringUploadConfirmsNothing(t *testing.T) {
	is := is.New(t)
	for range 8 {
		address := earlyBackend(t, func(c *net.TCPConn, _ *bufio.Reader) {
			write(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(20 * time.Millisecond)
			reset(c)
		})
		c := newCall("1", false)
		c.Request.SetBody(make([]byte, uploadBytes))
		o := newTestPool().Do(context.Background(), address, c)
		is.Equal(o.Failure, Answered)
		is.True(o.Unconfirmed)
	}
}
