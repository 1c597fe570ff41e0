package proxy

import (
	"bufio"
	"bytes"
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

// Guards against a part of a response that reaches the client as all of it, which comes about by an
// upstream that answers an upload at once without a length and then resets the connection.
func TestEarlyResponseWithResetIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	for range 8 {
		l := listen(t)
		var runs atomic.Int32
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					var h fasthttp.RequestHeader
					if h.Read(bufio.NewReader(c)) == nil {
						runs.Add(1)
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nT-Id: id-1\r\n"+isSigned+"\r\n\r\npart of it")
						time.Sleep(20 * time.Millisecond)
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					_ = c.Close()
				}()
			}
		}()
		m := newMesh()
		n := newNode(t, m, "i1", succeed)
		n.upstream.address = l.Addr().String()
		a := n.announcement("i2", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING)
		a.BornUnixMs = 2
		n.gate.Announce(a)
		x := sendBody(newTestEntry(m), "/write/1", make([]byte, 24<<20))
		is.Equal(x.Response.StatusCode(), fasthttp.StatusBadGateway)
		is.Equal(runs.Load(), int32(1))
	}
}
