package proxy

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
)

// Guards against a request that finds no memory for its connection and that is taken for one that may have run, or that makes its
// gate or its upstream count as lost.
func TestNoMemoryForAConnectionIsRejectedAsNotRun(t *testing.T) {
	for name, of := range map[string]func(e *Entry, n *node) *meshhttp.Pool{
		"entry": func(e *Entry, _ *node) *meshhttp.Pool { return e.pool },
		"gate":  func(_ *Entry, n *node) *meshhttp.Pool { return n.gate.pool },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh()
			n := newNode(t, m, "i", succeed)
			e := newTestEntry(m)
			pool := of(e, n)
			account := memory.NewAccount(100<<10, 100<<10)
			pool.CountIn(account)
			other := account.NewHolder("", "", n.gate.activeUpstream.lastAnnounced, nil)
			is.True(other.Add(100<<10, false, n.gate.activeUpstream.lastAnnounced))
			x := send(e, "/write/x")
			is.Equal(x.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
			is.Equal(string(x.Response.Body()), reasonMemory+"\n")
			is.Equal(n.upstream.count(), 0)
			other.Release()
			is.Equal(send(e, "/write/x").Response.StatusCode(), fasthttp.StatusOK)
			is.Equal(n.upstream.count(), 1)
		})
	}
}

// serveCounted serves a handler with an account and returns the address.
func serveCounted(t *testing.T, account *memory.Account, h meshhttp.Handler) string {
	l := listen(t)
	s := meshhttp.NewServer(meshhttp.ServerOptions{Handler: h, Limits: testLimits, Account: account, OnReadError: func(*meshhttp.Exchange, int, error) {}})
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// Guards against a response that is read without memory for it, and whose connection then closes without an answer, and against
// lack of memory that counts as a failure of the upstream.
func TestNoMemoryForAResponseIsAnswered(t *testing.T) {
	const size, room = 40 << 10, 60 << 10
	for name, entryCounts := range map[string]bool{"entry": true, "gate": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			account, unbounded := memory.NewAccount(room, room), memory.NewAccount(1<<30, 1<<30)
			m := newMesh()
			large := true
			n := newNode(t, m, "i", func(x *meshhttp.Exchange) {
				succeed(x)
				if large {
					x.Response.SetBody(make([]byte, size))
				}
			})
			e := newTestEntry(m)
			ofEntry, ofGate := unbounded, account
			if entryCounts {
				ofEntry, ofGate = account, unbounded
			}
			m.change(func(v *controlclient.View) { v.Endpoints["a"][0].Gate = serveCounted(t, ofGate, n.gate.Handle) })
			client := &fasthttp.HostClient{Addr: serveCounted(t, ofEntry, e.Handle)}
			send := func() (int, string) {
				var r fasthttp.Request
				var resp fasthttp.Response
				r.Header.SetMethod(fasthttp.MethodPost)
				r.SetRequestURI("http://h/write/x")
				r.Header.Set(testHeaders.ID, "id-1")
				r.Header.Set(testHeaders.RemainingMs, "1500")
				is.NoErr(client.Do(&r, &resp))
				return resp.StatusCode(), string(resp.Body())
			}
			for range 20 {
				status, content := send()
				is.Equal(status, fasthttp.StatusBadGateway)
				is.Equal(content, reasonMemory+"\n")
			}
			large = false
			status, _ := send()
			is.Equal(status, fasthttp.StatusOK)
			is.Equal(n.upstream.count(), 21)
		})
	}
}
