package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/response/responsetest"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against a response of an upstream, or of a gate, that reaches the client although it is no
// valid HTTP, and against a promise that its request did not run.
func TestInvalidResponseIsNotPassedOn(t *testing.T) {
	for _, form := range responsetest.Invalid() {
		t.Run(form.Name, func(t *testing.T) {
			is := is.New(t)
			check := func(m *mesh, s *scriptedServer) {
				x := send(newTestEntry(m), "/write/1")
				is.Equal(x.Response.StatusCode(), fasthttp.StatusBadGateway)
				is.Equal(len(x.Response.Header.Peek(testHeaders.Signature)), 0)
				is.Equal(len(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)), 0)
				ids, _ := s.requests()
				is.Equal(len(ids), 1)
			}
			for _, line := range []string{isSigned, notRun} {
				m := newMesh()
				_, s := scriptedNode(t, m, "i1", form.With(withID, line)+hangUp)
				check(m, s)
			}
			for _, ran := range []string{ranYes, ranNo} {
				m := newMesh()
				check(m, scriptedGate(t, m, form.With(withID, isSigned, hopRan+": "+ran, hopReason+": "+reasonBusy)+hangUp))
			}
		})
	}
}

// Guards against the same for a nested call of the upstream, which runs at the gate of its own node.
func TestInvalidResponseIsNotPassedOnToNestedCallers(t *testing.T) {
	for _, form := range responsetest.Invalid() {
		t.Run(form.Name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh()
			n, _ := scriptedNode(t, m, "i1", form.With(withID, isSigned)+hangUp)
			e := newTestEntry(m)
			e.gate, e.options.Node = n.gate, n.address
			x := request("/write/1", "1500")
			x.Received, x.Nested = time.Now(), true
			e.Handle(context.Background(), x)
			is.Equal(x.Response.StatusCode(), fasthttp.StatusBadGateway)
			is.Equal(len(x.Response.Header.Peek(testHeaders.Signature)), 0)
		})
	}
}

// Guards against an invalid response that operators can't explain from the log.
func TestLogNamesWhatIsInvalid(t *testing.T) {
	is := is.New(t)
	raw := "HTTP/1.1 600 Unknown\r\n" + withID + "\r\nContent-Length: 0\r\n\r\n"
	const want = `not valid HTTP: status code \"600\" is not within 100 to 599`
	var out bytes.Buffer
	n, _ := scriptedNode(t, newMesh(), "i1", raw)
	n.gate.logger = log.NewLogfmtLogger(&out)
	handleAtGate(n.gate, "1", "")
	is.True(strings.Contains(out.String(), "request=1 "))
	is.True(strings.Contains(out.String(), want)) // of an upstream, at the gate

	m := newMesh()
	scriptedGate(t, m, raw)
	e := newTestEntry(m)
	out.Reset()
	e.logger = log.NewLogfmtLogger(&out)
	send(e, "/write/1")
	is.True(strings.Contains(out.String(), "request=id-1 "))
	is.True(strings.Contains(out.String(), want)) // of a gate, at the entry
}

// Checks that unusual responses that are valid reach the client.
func TestUnusualResponseIsPassedOn(t *testing.T) {
	for _, form := range append(responsetest.Valid(), responsetest.Unframed()...) {
		t.Run(form.Name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh()
			scriptedNode(t, m, "i1", form.With(withID, isSigned)+hangUp)
			x := send(newTestEntry(m), "/write/1")
			is.Equal(x.Response.StatusCode(), form.Status)
			is.Equal(string(x.Response.Body()), form.Body)
		})
	}
}

// earlyNode is a node whose upstream passes each connection to answer once it has read the header of a request.
func earlyNode(t *testing.T, m *mesh, answer func(c *net.TCPConn, r *bufio.Reader)) {
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				var h fasthttp.RequestHeader
				if h.Read(r) == nil {
					answer(c.(*net.TCPConn), r)
				}
				_ = c.Close()
			}()
		}
	}()
	n := newNode(t, m, "i1", succeed)
	n.upstream.address = l.Addr().String()
	n.gate.Announce(n.announcement("i1", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING))
}

const (
	uploadBytes = 24 << 20 // no socket buffer holds it
	earlyHeader = "HTTP/1.1 200 OK\r\nT-Id: id-1\r\n" + isSigned + "\r\n\r\n"
)

// Guards against a part of a response that reaches the client as all of it, which comes about by an
// upstream that answers an upload at once without a length and then resets the connection.
func TestEarlyResponseWithResetIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	for range 8 {
		m := newMesh()
		var runs atomic.Int32
		earlyNode(t, m, func(c *net.TCPConn, _ *bufio.Reader) {
			runs.Add(1)
			_, _ = io.WriteString(c, earlyHeader+"part of it")
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
		})
		x := sendBody(newTestEntry(m), "/write/1", make([]byte, uploadBytes))
		is.Equal(x.Response.StatusCode(), fasthttp.StatusBadGateway)
		is.Equal(len(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)), 0)
		is.Equal(runs.Load(), int32(1))
	}
}

// Checks that an early response without a length reaches the client if the upstream ends it in order and
// reads the upload to its end, or reads no more of it.
func TestEarlyResponseIsPassedOn(t *testing.T) {
	is := is.New(t)
	for _, rest := range []func(r *bufio.Reader){
		func(r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) },
		func(*bufio.Reader) { <-t.Context().Done() },
	} {
		for range 4 {
			m := newMesh()
			earlyNode(t, m, func(c *net.TCPConn, r *bufio.Reader) {
				_, _ = io.WriteString(c, earlyHeader+"all of it")
				_ = c.CloseWrite()
				rest(r)
			})
			x := sendBody(newTestEntry(m), "/write/1", make([]byte, uploadBytes))
			is.Equal(x.Response.StatusCode(), fasthttp.StatusOK)
			is.Equal(string(x.Response.Body()), "all of it")
		}
	}
}
