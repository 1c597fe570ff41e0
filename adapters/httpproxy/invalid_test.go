package httpproxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/response/responsetest"
)

// Guards against a response that is passed on although it is no valid HTTP, with another status or
// body than the destination sent.
func TestInvalidResponseIsAnError(t *testing.T) {
	for _, form := range responsetest.Invalid() {
		t.Run(form.Name, func(t *testing.T) {
			raw := form.With(HeaderCallID + ": 1")
			for _, split := range []int{0, len(raw) / 2, len(raw) - 1} {
				for _, idOptional := range []bool{true, false} {
					resp, failure := receiveScripted(idOptional, raw[:split], raw[split:])
					if failure == nil || !failure.sent {
						t.Fatalf("%v, status %d, body %q", failure, resp.StatusCode(), resp.Body())
					}
				}
			}
		})
	}
}

// Guards against the rejection of unusual responses that are valid.
func TestUnusualResponseIsPassedOn(t *testing.T) {
	for _, form := range responsetest.Valid() {
		t.Run(form.Name, func(t *testing.T) {
			raw := form.With(HeaderCallID + ": 1")
			for split := range len(raw) {
				resp, failure := receiveScripted(false, raw[:split], raw[split:])
				if failure != nil || resp.StatusCode() != form.Status || string(resp.Body()) != form.Body {
					t.Fatalf("split at %d: %v, status %d, body %q", split, failure, resp.StatusCode(), resp.Body())
				}
			}
		})
	}
}

// Guards against a call that is reported as not run because of a closing response behind which the
// connection was reset: the write takes the error of the socket, and the read then finds an end.
func TestResetBehindClosingResponseIsNoEnd(t *testing.T) {
	is := is.New(t)
	for range 8 {
		l := listen(t)
		go func() {
			defer func() { _ = l.Close() }()
			conn, err := l.Accept()
			if err != nil {
				return
			}
			var header fasthttp.RequestHeader
			_ = header.Read(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, closingResponse)
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}()
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		x := &exchange{request: &fasthttp.Request{}, response: &fasthttp.Response{}, deadline: time.Now().Add(5 * time.Second), id: "1"}
		x.request.Header.SetMethod(fasthttp.MethodPost)
		x.request.SetRequestURI("/")
		x.request.Header.SetHost("h")
		x.request.SetBody(make([]byte, 24<<20))
		_, failure := newClientConn(conn, testMemory()).roundTrip(x)
		_ = conn.Close()
		is.True(failure != nil)
		is.True(failure.sent)
	}
}
