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

// crashMesh returns a mesh of n nodes whose upstreams crash on a request with the body "poison".
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

// Guards against a request that crashes more than 2 upstreams when entries and callers repeat
// it, and against failures of other requests. They come about if suspects are not rejected, not
// sent to the other gates before the response, or not run alone.
func TestPoisonRequestCrashesAtMostTwo(t *testing.T) {
	for _, path := range []string{"/climb", "/fares"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			_, nodes, crashes, mu := crashMesh(t, 5)
			r := rand.New(rand.NewPCG(5, 5))
			for range 12 {
				entry := nodes[r.IntN(len(nodes))].entryAddress
				var wg sync.WaitGroup
				for j := range 4 { // other requests in flight
					wg.Go(func() { send(entry, "POST", path, fmt.Sprint("good", j), nil) })
				}
				result := send(entry, "POST", path, "poison", nil)
				is.True(result.status >= 400)
				wg.Wait()
			}
			mu.Lock()
			defer mu.Unlock()
			is.Equal(*crashes, 2)
			result := send(nodes[0].entryAddress, "POST", path, "poison", nil)
			is.Equal([]any{result.status, result.ran, result.reason}, []any{422, RanNotRun, ReasonCrashSuspect})
			for j := range 4 {
				body := fmt.Sprint("good", j)
				is.Equal(send(nodes[0].entryAddress, "POST", path, body, nil).body, "POST "+path+" "+body)
			}
		})
	}
}

// Checks that a restart between two announcements counts as a crash, although the gate found
// the port open.
func TestFastRestartCountsAsCrash(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil)
	n := m.node("a")
	u := n.upstream(func(ctx *fasthttp.RequestCtx) {
		if string(ctx.PostBody()) == "poison" {
			_ = ctx.Conn().(*serverConn).Conn.Close() // the listener stays open, as after a fast restart
		}
	})
	is.Equal(send(n.entryAddress, "POST", "/fares", "poison", nil).reason, ReasonUpstreamLost)
	is.Equal(len(n.gate.Suspects()), 0) // one lost connection is not a crash
	next := u.UpstreamAnnouncement
	next.Instance = "restarted"
	n.gate.Announce(next)
	is.Equal(len(n.gate.Suspects()), 1)
	is.Equal(n.gate.Suspects()[0].GetState(), pb.SuspectState_SUSPECT_STATE_SUSPECT)
}

// Checks that a suspect runs alone, whichever request arrives first, so that the next crash
// identifies its cause and fails no other request.
func TestSuspectRunsAlone(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil)
	n := m.node("a")
	var u *testUpstream
	var overlaps sync.Map
	u = n.upstream(func(ctx *fasthttp.RequestCtx) {
		time.Sleep(5 * time.Millisecond)
		if string(ctx.PostBody()) == "suspect" && u.active.Load() > 1 {
			overlaps.Store(u.active.Load(), true)
		}
	})
	var req fasthttp.Request
	req.Header.SetMethod("POST")
	req.Header.SetRequestURI("/fares")
	req.SetBodyString("suspect")
	for range 5 {
		// Rounded up, because a record of the millisecond in which the last one was cleared counts as older.
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
	overlaps.Range(func(k, _ any) bool {
		t.Errorf("the suspect ran with %d others", k.(int64)-1)
		return true
	})
	is.Equal(n.gate.Suspects()[0].GetState(), pb.SuspectState_SUSPECT_STATE_CLEARED)
}
