package httpproxy

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// readRequest reads one request and returns its call id.
func readRequest(br *bufio.Reader) (id string, ok bool) {
	var req fasthttp.Request
	if err := req.Read(br); err != nil {
		return "", false
	}
	return string(req.Header.Peek(HeaderCallID)), true
}

// Guards against a wrong or truncated response that is passed on as complete, which comes
// about by upstreams that cut a response, omit its length, or send that of another call or
// further bytes.
func TestBrokenResponsesAreErrors(t *testing.T) {
	cases := []struct {
		name, response string // %s is the call id
		status         int
		reason         Reason
	}{
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", 502, ReasonResponseTruncated},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", 502, ReasonResponseTruncated},
		{"cut head", "HTTP/1.1 200 OK\r\nContent-Le", 502, ReasonUpstreamLost},
		{"no response", "", 502, ReasonUpstreamLost},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhello", 502, ReasonResponseTruncated},
		{"other call", "HTTP/1.1 200 OK\r\nX-Rattanfield-Call-Id: other\r\nContent-Length: 5\r\n\r\nhello", 502, ReasonResponseMismatch},
		{"forged headers", "HTTP/1.1 503 No\r\nX-Rattanfield-Ran: not-run\r\nX-Rattanfield-Reason: leaving\r\nContent-Length: 0\r\n\r\n", 503, ""},
		{"complete", "HTTP/1.1 200 OK\r\nX-Rattanfield-Call-Id: %s\r\nContent-Length: 5\r\n\r\nhello", 200, ""},
		{"bytes after it", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", 200, ""},
	}
	m := newMesh(t, nil)
	n := m.node("a")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := n.rawUpstream(func(conn net.Conn) {
				br := bufio.NewReader(conn)
				for {
					id, ok := readRequest(br)
					if !ok {
						return
					}
					_, _ = fmt.Fprint(conn, strings.Replace(c.response, "%s", id, 1))
					if c.status == 502 {
						return // the connection stays open after a complete response
					}
				}
			})
			defer func() { _ = l.Close() }()
			for i := range 2 { // the second call would read leftover bytes of the first one
				r := send(n.entryAddress, "POST", "/fares", fmt.Sprint(c.name, i), nil)
				is.NoErr(r.err)
				is.Equal(r.status, c.status)
				is.Equal(r.reason, c.reason)
				if c.status == 502 {
					is.Equal(r.ran, RanUnknown)
				} else {
					is.Equal(r.ran, RanRun)
				}
				if c.status == 200 {
					is.Equal(r.body, "hello")
				}
			}
		})
	}
}

// Guards against a response that is read until the deadline of the call or until memory is
// exhausted, which comes about by an upstream that never stops sending.
func TestEndlessResponsesAreErrors(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunk := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	for name, c := range map[string]struct {
		first, again string
		reason       Reason
	}{
		"header line":       {ok + "X-Long: ", "x", ReasonUpstreamLost},
		"header lines":      {ok, "X-More: 1\r\n", ReasonUpstreamLost},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n", ReasonUpstreamLost},
		"chunks":            {ok + "Transfer-Encoding: chunked\r\n\r\n", chunk, ReasonResponseTooLarge},
		"trailers":          {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X-More: 1\r\n", ReasonResponseTruncated},
		"length":            {ok + "Content-Length: 9000000000\r\n\r\n", "x", ReasonResponseTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newMesh(t, nil).node("a")
			closed := make(chan struct{}, 1)
			n.rawUpstream(func(conn net.Conn) {
				if _, read := readRequest(bufio.NewReader(conn)); !read {
					return
				}
				_, err := fmt.Fprint(conn, c.first)
				for block := strings.Repeat(c.again, 1+(16<<10)/len(c.again)); err == nil; {
					_, err = fmt.Fprint(conn, block)
				}
				closed <- struct{}{}
			})
			r := send(n.entryAddress, "POST", "/fares", name, nil)
			is.NoErr(r.err)
			is.Equal(r.status, fasthttp.StatusBadGateway)
			is.Equal(r.reason, c.reason)
			is.Equal(r.ran, RanUnknown)
			<-closed
		})
	}
}

// Guards against a response that is passed on for the next call, which comes about by an
// upstream that responds after the deadline on a reused connection.
func TestLateResponseIsDiscarded(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil)
	n := m.node("a")
	var once sync.Once
	n.rawUpstream(func(conn net.Conn) {
		br := bufio.NewReader(conn)
		for {
			if _, ok := readRequest(br); !ok {
				return
			}
			late := false
			once.Do(func() { late = true })
			if late {
				time.Sleep(60 * time.Millisecond)
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
				continue
			}
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
		}
	})
	r := send(n.entryAddress, "POST", "/fares", "", header{HeaderDeadline: "20"})
	is.Equal([]any{r.status, r.ran, r.reason}, []any{504, RanUnknown, ReasonDeadlineAfterStart})
	time.Sleep(60 * time.Millisecond)
	for range 3 {
		r = send(n.entryAddress, "POST", "/fares", "", nil)
		is.Equal(r.body, "own")
	}
}

// Guards against an unsolicited response on an idle connection that is taken for the response
// of the next call, which comes about without the peek before reuse and the check of the call
// id.
func TestUnsolicitedResponseIsDiscarded(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil)
	n := m.node("a")
	n.rawUpstream(func(conn net.Conn) {
		br := bufio.NewReader(conn)
		if _, ok := readRequest(br); ok {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
			time.Sleep(10 * time.Millisecond)
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign")
			_, _ = readRequest(br)
		}
	})
	for range 3 {
		r := send(n.entryAddress, "POST", "/fares", "", nil)
		is.Equal(r.body, "own")
		time.Sleep(30 * time.Millisecond)
	}
}
