package simupstream

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/response/responsetest"
)

// Guards against an upstream that takes an invalid response of the node for an acknowledgement.
func TestInvalidResponseAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	forms := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = c.Write([]byte(<-forms))
			_ = c.Close()
		}
	}()
	a := NewAnnouncer(Options{NodeAdmin: l.Addr().String()})
	for _, raw := range []string{
		"HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "HTTP/1.1 000\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\nConnection: close\r\n\r\n",
	} {
		forms <- raw
		status, err := a.post("/v1/announce", announceTimeout)
		is.True(err != nil)
		is.Equal(status, 0)
	}
	forms <- responsetest.Valid()[0].With("Connection: close")
	status, err := a.post("/v1/announce", announceTimeout)
	is.NoErr(err)
	is.Equal(status, fasthttp.StatusOK)
}
