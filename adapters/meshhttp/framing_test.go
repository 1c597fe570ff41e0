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

	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/request/requesttest"
)

// Guards against a request that has more than one reading, or none, and that runs, or behind which another one runs.
func TestInvalidRequestIsAnsweredOnce(t *testing.T) {
	ran := make(chan string, 1000)
	proxied := NewServer(ServerOptions{
		Limits:      func() Limits { return DefaultLimits },
		Handler:     func(_ context.Context, x *Exchange) { ran <- string(x.Request.RequestURI()) },
		OnReadError: func(x *Exchange, status int, _ error) { x.Response.SetStatusCode(status) },
	})
	calls := NewCallServer(func(c *fasthttp.RequestCtx) { ran <- string(c.RequestURI()) }, ServerOptions{Limits: func() Limits { return DefaultLimits }})
	for server, s := range map[string]*Server{"requests": proxied, "calls": calls} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(l) }()
		defer s.StopListening()
		for name, raw := range requesttest.Invalid() {
			t.Run(server+"/"+name, func(t *testing.T) {
				is := is.New(t)
				c, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				_, err = io.WriteString(c, "GET /before HTTP/1.1\r\nHost: h\r\n\r\n"+raw+"GET /behind HTTP/1.1\r\nHost: h\r\n\r\n")
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
}

// Guards against a server without a bound on its connections: a new one is served, and takes the place of an idle one.
func TestConnectionTakesTheSlotOfAnIdleOne(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerOptions{
		Limits: func() Limits { return DefaultLimits }, Slots: memory.NewSlots(2),
		Handler: func(context.Context, *Exchange) { time.Sleep(400 * time.Millisecond) },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = s.Serve(l) }()
	defer s.StopListening()
	ask := func(c net.Conn) {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
	}
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		conns = append(conns, c)
		switch len(conns) {
		case 1:
			ask(c) // it has an outstanding request while the others come
		case 2:
			time.Sleep(350 * time.Millisecond) // without a byte
		}
	}
	ask(conns[2])
	for _, i := range []int{0, 2} {
		var r fasthttp.Response
		is.NoErr(r.Read(bufio.NewReader(conns[i])))
	}
	_, err = conns[1].Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(s.OpenConnections() <= 2)
	for _, c := range []net.Conn{conns[0], conns[2]} {
		ask(c)
	}
	time.Sleep(100 * time.Millisecond) // both requests run now
	refused, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = refused.Close() }()
	_ = refused.SetDeadline(time.Now().Add(200 * time.Millisecond)) // before the requests end
	_, err = refused.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against a rate of bodies that a client within the limits meets: 10 s for a whole body, whatever its size. A body that is
// slower may not last for the whole timeout.
func TestBodyDeadline(t *testing.T) {
	is := is.New(t)
	begin := time.Now()
	is.True(bodyDeadline(begin, 0).Sub(begin) > 10*time.Second)
	is.True(bodyDeadline(begin, 0).Sub(begin) < bodyTimeout/2)
	is.Equal(bodyDeadline(begin, bodyBytesPerSecond).Sub(begin), bodyGrace+time.Second)
	is.Equal(bodyDeadline(begin, 64<<20).Sub(begin), bodyTimeout)
}

// Guards against answers that a client does not read and that no account counts: a client that pipelines requests holds the
// memory that the requests of others need.
func TestUnreadAnswersGiveWay(t *testing.T) {
	is := is.New(t)
	account := memory.NewAccount(2<<20, 2<<20)
	s := NewServer(ServerOptions{
		Limits: func() Limits { return DefaultLimits }, Account: account,
		OnReadError: func(x *Exchange, status int, _ error) { x.Response.SetStatusCode(status) },
		Handler: func(_ context.Context, x *Exchange) {
			if string(x.Request.RequestURI()) == "/large" {
				x.Response.SetBody(make([]byte, 60<<10))
			}
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = s.Serve(l) }()
	defer s.StopListening()
	var crowd []net.Conn
	for range 4 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		crowd = append(crowd, c)
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		go func() {
			for err == nil {
				_, err = io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
			}
		}()
	}
	held := func() int64 { n, _, _ := account.Counts(); return n }
	await := func(ok func() bool) {
		for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes are held", held())
			}
		}
	}
	// Without their answers, the requests hold less than 600 KB.
	await(func() bool { return held() > 1<<20 })
	await(func() bool {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		var r fasthttp.Response
		_, err = io.WriteString(c, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
		return err == nil && r.Read(bufio.NewReader(c)) == nil && r.StatusCode() == fasthttp.StatusOK
	})
	for _, c := range crowd {
		is.NoErr(c.Close())
	}
	await(func() bool { return held() == 0 })
}
