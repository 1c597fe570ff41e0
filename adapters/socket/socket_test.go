package socket

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a connection that is used again although its peer closed it or sent data.
func TestPeek(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	a, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = a.Close() }()
	b, err := l.Accept()
	is.NoErr(err)
	is.NoErr(SetUserTimeout(a, time.Second))
	is.Equal(Peek(a), Quiet)
	reach := func(want State) {
		for end := time.Now().Add(10 * time.Second); Peek(a) != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state %d, want %d", Peek(a), want)
			}
		}
	}
	_, err = b.Write([]byte("x"))
	is.NoErr(err)
	reach(Data)
	var buf [1]byte
	_, err = a.Read(buf[:])
	is.NoErr(err)
	is.Equal(Peek(a), Quiet)
	_ = b.Close()
	reach(Closed)
	p, _ := net.Pipe()
	is.Equal(Peek(p), Unknown)
}
