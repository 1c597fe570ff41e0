package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a connection that is answered or passed on with a part of its request missing, and against an end of the peer that is
// not seen behind unread data.
func TestRaw(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	is.True(!Pending(l))
	_, ok := AcceptRaw(l)
	is.True(!ok) // does not block
	var buf [16]byte
	accept := func(text string) (net.Conn, Raw) {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = io.WriteString(c, text)
		is.NoErr(err)
		for !Pending(l) {
			time.Sleep(time.Millisecond)
		}
		r, ok := AcceptRaw(l)
		is.True(ok)
		is.Equal(r.Remote.String(), c.LocalAddr().String())
		for n, closed := 0, false; n < len(text); time.Sleep(time.Millisecond) {
			n, closed = r.Peek(buf[:])
			is.True(!closed)
		}
		return c, r
	}
	c, r := accept("request")
	is.True(r.Answer(len("request"), buf[:], []byte("answer")))
	r.Close()
	got, err := io.ReadAll(c)
	is.NoErr(err) // no reset
	is.Equal(string(got), "answer")

	c, r = accept("request")
	nc, err := r.Conn()
	is.NoErr(err)
	defer func() { _ = nc.Close() }()
	is.True(!PeerClosed(nc))
	_, err = io.ReadFull(nc, buf[:len("request")])
	is.NoErr(err)
	is.Equal(string(buf[:len("request")]), "request")
	_ = c.Close()
	for !PeerClosed(nc) {
		time.Sleep(time.Millisecond)
	}

	c, r = accept("request")
	_ = c.Close()
	for closed := false; !closed; time.Sleep(time.Millisecond) {
		_, closed = r.Peek(buf[:])
	}
	r.Close()
	pipe, _ := net.Pipe()
	is.True(!PeerClosed(pipe))
}
