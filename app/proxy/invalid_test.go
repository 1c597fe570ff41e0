package proxy

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/response/responsetest"
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
