package socket

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the reuse of an idle connection that its peer has closed or sent data on.
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
	is.Equal(Peek(a), Idle)
	waitFor := func(want State) {
		for deadline := time.Now().Add(10 * time.Second); Peek(a) != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("state %d, want %d", Peek(a), want)
			}
		}
	}
	_, err = b.Write([]byte("x"))
	is.NoErr(err)
	waitFor(Readable)
	var buf [1]byte
	_, err = a.Read(buf[:])
	is.NoErr(err)
	is.Equal(Peek(a), Idle)
	_ = b.Close()
	waitFor(Closed)
	p, _ := net.Pipe()
	is.Equal(Peek(p), Unknown)
}
