package httpproxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// callers sends calls over kept connections until stopped and counts what became of them.
type callers struct {
	interrupted, rejected, answered atomic.Int64
	example                         atomic.Value
	stop                            atomic.Bool
	wg                              sync.WaitGroup
	pool                            *pool
}

// loop sends non-idempotent calls to the entries in turn; a call that an entry
// did not take moves on to the next one, as a caller may do.
func (c *callers) loop(seed uint64, entries []*node) {
	r := rand.New(rand.NewPCG(seed, 1))
	for i := 0; !c.stop.Load(); i++ {
		body := fmt.Sprint(seed, " ", i)
		for try := range 2 * len(entries) {
			n := entries[(r.IntN(len(entries))+try)%len(entries)]
			if c.once(n, body) {
				break
			}
		}
	}
}

// awaitAnswers waits for a number of further responses.
func (c *callers) awaitAnswers(n int64) {
	for n += c.answered.Load(); c.answered.Load() < n && c.interrupted.Load() == 0; {
		time.Sleep(time.Millisecond)
	}
}

// once reports that the call needs no other entry.
func (c *callers) once(n *node, body string) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.Header.SetRequestURI("/fares")
	req.Header.SetHost("tower")
	req.Header.Set(HeaderCallID, "any")
	req.SetBodyString(body)
	failure := c.pool.do(n.entryAddress, &exchange{request: req, response: resp, deadline: time.Now().Add(3 * time.Second), id: "any"})
	ran := string(resp.Header.Peek(HeaderRan))
	switch {
	case failure != nil && !failure.sent:
		return false
	case failure != nil:
		c.interrupted.Add(1)
		c.example.Store(failure.Error())
	case resp.StatusCode() == 200 && string(resp.Body()) == "POST /fares "+body:
		c.answered.Add(1)
	case ran == RanNotRun:
		c.rejected.Add(1)
		c.example.Store(resp.String())
	default:
		c.interrupted.Add(1)
		c.example.Store(resp.String())
	}
	return true
}

// Planned stops of nodes and upstreams under load must interrupt no request and
// cause no rejection while other upstreams have room, even if the entries never
// hear of them. Fails without the closing response, without the drain of the
// gate, or when the upstream leaves before its requests are finished.
func TestPlannedStopsInterruptNothing(t *testing.T) {
	for seed := range uint64(16) { // rattanfield-callbench runs 50
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 99))
			m := newMesh(t, nil)
			var nodes []*node
			var upstreams []*testUpstream
			for i := range 3 {
				n := m.node(fmt.Sprint("n", i))
				nodes = append(nodes, n)
				upstreams = append(upstreams, n.upstream(func(ctx *fasthttp.RequestCtx) {
					time.Sleep(time.Duration(fnv(ctx.PostBody())%4) * time.Millisecond)
					echo(ctx)
				}))
			}
			c := &callers{pool: newPool(nil, 64)}
			defer c.pool.close()
			for i := range uint64(6) {
				c.wg.Go(func() { c.loop(seed*100+i, nodes) })
			}
			c.awaitAnswers(int64(50 + r.IntN(50)))
			victim := r.IntN(3)
			nodes[victim].silent.Store(r.IntN(2) == 0)
			if r.IntN(3) == 0 {
				is.True(nodes[victim].gate.UpstreamLeaves(upstreams[victim].Upstream, 3*time.Second))
				is.Equal(upstreams[victim].active.Load(), int64(0))
				upstreams[victim].kill()
			} else {
				is.NoErr(nodes[victim].gate.Shutdown(context.Background()))
				is.Equal(upstreams[victim].active.Load(), int64(0))
				upstreams[victim].kill()
				nodes[victim].stop()
			}
			c.awaitAnswers(30)
			c.stop.Store(true)
			c.wg.Wait()
			is.Equal([]any{c.interrupted.Load(), c.rejected.Load(), c.example.Load()}, []any{int64(0), int64(0), nil})
		})
	}
}

func fnv(b []byte) uint32 {
	h := uint32(2166136261)
	for _, c := range b {
		h = (h ^ uint32(c)) * 16777619
	}
	return h >> 8
}

// The closing response must not be sent while a request is read or answered
// (its bytes would end up in the response), nor when a pipelined request waits.
func TestShutdownFinishesWhatWasRead(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	release := make(chan struct{})
	s := NewServer(func(ctx *fasthttp.RequestCtx) {
		<-release
		echo(ctx)
	})
	go func() { _ = s.Serve(l) }()
	c, err := (&pool{hosts: map[string]*hostConns{}, max: 1}).dial(l.Addr().String(), time.Now().Add(time.Second))
	is.True(err == nil)
	defer func() { _ = c.conn.Close() }()
	request := "POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
	_, _ = fmt.Fprintf(c.conn, request+"ab"+request+"cd"+request+"e", 1, 2, 3)
	time.Sleep(20 * time.Millisecond)
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		done <- s.Shutdown(ctx)
	}()
	time.Sleep(20 * time.Millisecond)
	close(release)
	time.Sleep(20 * time.Millisecond)
	_, _ = fmt.Fprint(c.conn, "f") // the rest of a request whose first byte was read
	for _, want := range []string{"POST /1 ab", "POST /2 cd", "POST /3 ef"} {
		var resp fasthttp.Response
		is.NoErr(resp.Read(c.br))
		is.Equal(string(resp.Body()), want)
	}
	is.NoErr(<-done)
}

// An upstream that stops renewing, or whose instance leaves, gets no new work;
// a renewal that was under way when it left must not bring it back.
func TestRenewalsAndLeaving(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil)
	n := m.node("a")
	u := n.upstream(echo)
	state := func() pb.EndpointState {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.records["a"].GetState()
	}
	is.Equal(state(), pb.EndpointState_ENDPOINT_STATE_SERVING)
	is.True(n.gate.UpstreamLeaves(u.Upstream, time.Second))
	n.gate.Announce(u.Upstream)
	is.Equal(state(), pb.EndpointState_ENDPOINT_STATE_GONE)
	next := u.Upstream
	next.Instance = "restarted"
	n.gate.Announce(next)
	is.Equal(state(), pb.EndpointState_ENDPOINT_STATE_SERVING)
	n.gate.mu.Lock()
	n.gate.upstream.renewed = time.Now().Add(-missedRenewals*renewalInterval + watchInterval)
	n.gate.mu.Unlock()
	for range 300 {
		if state() == pb.EndpointState_ENDPOINT_STATE_GONE {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(state(), pb.EndpointState_ENDPOINT_STATE_GONE)
	n.gate.Announce(next)
	is.Equal(state(), pb.EndpointState_ENDPOINT_STATE_SERVING)
}
