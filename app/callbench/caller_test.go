package callbench

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against figures that count an invalid response as an answer.
func TestInvalidResponseIsAnError(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = c.Write([]byte("HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n"))
		_ = c.Close()
	}()
	is.True(newCaller(l.Addr().String()).call("/", "x", 0).err != nil)
}
