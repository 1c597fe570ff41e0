package httpproxy

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// crashMesh has upstreams of which each crashes when it runs the body "poison".
func crashMesh(t *testing.T, n int) (m *mesh, nodes []*node, crashes *int, mu *sync.Mutex) {
	m = newMesh(t, nil)
	crashes, mu = new(int), &sync.Mutex{}
	m.spread = func(records []*pb.SuspectRecord) {
		for _, n := range nodes {
			n.gate.Merge(records)
		}
	}
	for i := range n {
		node := m.node(fmt.Sprint("n", i))
		nodes = append(nodes, node)
		var u *testUpstream
		u = node.upstream(func(ctx *fasthttp.RequestCtx) {
			if string(ctx.PostBody()) == "poison" {
				mu.Lock()
				*crashes++
				mu.Unlock()
				u.kill()
				return
			}
			time.Sleep(2 * time.Millisecond)
			echo(ctx)
		})
	}
	return m, nodes, crashes, mu
}

// A request that crashes its upstream and is repeated by entry and callers must
// crash at most 2 upstreams; its neighbours must go on. Fails without the
// refusal, without the push before the response, or without running suspects alone.
func TestPoisonRequestCrashesAtMostTwo(t *testing.T) {
	for _, path := range []string{"/climb", "/fares"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			_, nodes, crashes, mu := crashMesh(t, 5)
			r := rand.New(rand.NewPCG(5, 5))
			for range 12 {
				entry := nodes[r.IntN(len(nodes))].entryAddress
				var wg sync.WaitGroup
				for j := range 4 { // neighbours in flight
					wg.Go(func() { send(entry, "POST", path, fmt.Sprint("good", j), nil) })
				}
				rep := send(entry, "POST", path, "poison", nil)
				is.True(rep.status >= 400)
				wg.Wait()
			}
			mu.Lock()
			defer mu.Unlock()
			is.Equal(*crashes, 2)
			rep := send(nodes[0].entryAddress, "POST", path, "poison", nil)
			is.Equal([]any{rep.status, rep.ran, rep.reason}, []any{422, RanNotRun, ReasonSuspect})
			for j := range 4 {
				body := fmt.Sprint("good", j)
				is.Equal(send(nodes[0].entryAddress, "POST", path, body, nil).body, "POST "+path+" "+body)
			}
		})
	}
}

// A restart between two announcements is a crash as well, although the gate
// found the port open again.
func TestFastRestartIsACrash(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil)
	n := m.node("a")
	u := n.upstream(func(ctx *fasthttp.RequestCtx) {
		if string(ctx.PostBody()) == "poison" {
			_ = ctx.Conn().(*serverConn).Conn.Close() // the listener stays, as after a fast restart
		}
	})
	is.Equal(send(n.entryAddress, "POST", "/fares", "poison", nil).reason, ReasonUpstreamLost)
	is.Equal(len(n.gate.Suspects()), 0) // one lost connection is not a crash
	next := u.Upstream
	next.Instance = "restarted"
	n.gate.Announce(next)
	is.Equal(len(n.gate.Suspects()), 1)
	is.Equal(n.gate.Suspects()[0].GetState(), pb.SuspectState_SUSPECT_STATE_SUSPECT)
}

// A suspect must run alone, in both orders of arrival, so that the next crash
// tells who caused it and takes no neighbour with it.
func TestSuspectRunsAlone(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil)
	n := m.node("a")
	var u *testUpstream
	var together sync.Map
	u = n.upstream(func(ctx *fasthttp.RequestCtx) {
		time.Sleep(5 * time.Millisecond)
		if string(ctx.PostBody()) == "suspect" && u.active.Load() > 1 {
			together.Store(u.active.Load(), true)
		}
	})
	var req fasthttp.Request
	req.Header.SetMethod("POST")
	req.Header.SetRequestURI("/fares")
	req.SetBodyString("suspect")
	for range 5 {
		// Rounded up: a record of the millisecond in which the last one was cleared is an older one.
		n.gate.Merge([]*pb.SuspectRecord{{
			Fingerprint: fingerprint("fares", &req), Service: "bookings", Crashes: 1,
			State: pb.SuspectState_SUSPECT_STATE_SUSPECT, ChangedUnixMs: time.Now().UnixMilli() + 1,
		}})
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				body := fmt.Sprint("good", i)
				if i == 6 {
					body = "suspect"
				}
				is.Equal(send(n.entryAddress, "POST", "/fares", body, nil).status, 200)
			})
		}
		wg.Wait()
	}
	together.Range(func(k, _ any) bool {
		t.Errorf("the suspect ran with %d others", k.(int64)-1)
		return true
	})
	is.Equal(n.gate.Suspects()[0].GetState(), pb.SuspectState_SUSPECT_STATE_CLEARED)
}
