package calls

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// payments runs an upstream on each node that counts executions by body.
func payments(c *cluster, ids ...string) *executions {
	e := &executions{}
	for _, id := range ids {
		c.nodes[id].announce(func(ctx *fasthttp.RequestCtx) {
			body := string(ctx.PostBody())
			n := e.add(body)
			if body == "slow" {
				time.Sleep(100 * time.Millisecond)
			}
			if body == "slower" {
				time.Sleep(700 * time.Millisecond)
			}
			if body == "lost" {
				_ = ctx.Conn().Close() // the response is lost, the upstream lives on
				return
			}
			_, _ = fmt.Fprintf(ctx, "%s paid %d", body, n)
		})
	}
	return e
}

// only lets calls reach just the gate of one node.
func (c *cluster) only(id string) {
	for other, n := range c.nodes {
		if n.upstream == nil {
			continue
		}
		state := pb.EndpointState_ENDPOINT_STATE_SERVING
		if other != id {
			state = pb.EndpointState_ENDPOINT_STATE_STARTING
		}
		n.Publish(state, n.upstream.Upstream)
	}
}

// A request that is sent again through other nodes and gates must run once and
// get the first response. Fails without the claim.
func TestResendThroughOtherNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 4)
	e := payments(c, "n1", "n2", "n3", "n4")
	for i, gate := range []string{"n4", "n1", "n2", "n3"} {
		c.only(gate)
		r := resend(c.nodes[fmt.Sprint("n", i+1)].entryAddr, "/fares", "k1", "a")
		is.NoErr(r.err)
		is.Equal([]any{r.status, r.ran, r.body, r.replayed}, []any{200, "run", "a paid 1", i > 0})
	}
	is.Equal(e.of("a"), 1)
	// The same key with another request is refused, and that request does not run.
	r := send(c.nodes["n1"].entryAddr, "/fares", "k1", "b")
	is.Equal([]any{r.status, r.ran, r.reason, e.of("b")}, []any{422, "not-run", "key-reused", 0})
	// Another tenant or key is another request; without a key nothing is claimed.
	is.Equal(send(c.nodes["n1"].entryAddr, "/fares", "k2", "a").body, "a paid 2")
	is.Equal(send(c.nodes["n1"].entryAddr, "/fares", "", "a").body, "a paid 3")
}

// Copies of a request that are sent at the same time must run once; the others
// get the response or are told that the outcome is unknown.
func TestCopiesAtTheSameTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 4)
	e := payments(c, "n1", "n2", "n3", "n4")
	for round := range 10 {
		key, body := fmt.Sprint("k", round), fmt.Sprint("body", round)
		replies := make([]reply, 8)
		var wg sync.WaitGroup
		for i := range replies {
			wg.Go(func() { replies[i] = send(c.nodes[fmt.Sprint("n", i%4+1)].entryAddr, "/fares", key, body) })
		}
		wg.Wait()
		answered := 0
		for _, r := range replies {
			is.NoErr(r.err)
			switch {
			case r.status == 200:
				is.Equal(r.body, body+" paid 1")
				answered++
			case r.ran == "not-run": // divided votes
			default:
				is.Equal([]any{r.status, r.ran, r.reason}, []any{409, "unknown", "key-claimed"})
			}
		}
		is.Equal(e.of(body), min(answered, 1))
		if answered == 0 {
			is.Equal(send(c.nodes["n1"].entryAddr, "/fares", key, body).status, 200)
		}
	}
}

// After a lost response nobody knows the outcome: the request must not run
// again, and callers must be told so.
func TestLostFirstResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3)
	e := payments(c, "n1", "n2", "n3")
	r := send(c.nodes["n1"].entryAddr, "/fares", "k", "lost")
	is.Equal([]any{r.status, r.ran}, []any{502, "unknown"})
	for _, id := range []string{"n1", "n2", "n3"} {
		c.only(id)
		r = send(c.nodes[id].entryAddr, "/fares", "k", "lost")
		is.Equal([]any{r.status, r.ran, r.reason}, []any{409, "unknown", "key-claimed"})
	}
	is.Equal(e.of("lost"), 1)
}

// A caller that gives up and sends again must get the response of the first run.
func TestCallerGivesUpAndSendsAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 4)
	e := payments(c, "n1", "n2")
	c.only("n1")
	r := sendWithin(c.nodes["n3"].entryAddr, "/fares", "k", "slower", "400") // the run takes 700 ms
	is.Equal([]any{r.status, r.ran, r.reason, e.of("slower")}, []any{504, "unknown", "deadline-after-start", 1})
	c.only("n2")
	r = resend(c.nodes["n4"].entryAddr, "/fares", "k", "slower")
	is.Equal([]any{r.status, r.body, r.replayed, e.of("slower")}, []any{200, "slower paid 1", true, 1})
}

// A gate that crashes while its upstream runs the request leaves the claim; the
// upstream set changes as well, since the node is gone.
func TestGateCrashDuringRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 4)
	e := payments(c, "n1", "n4")
	c.only("n4")
	done := make(chan reply, 1)
	go func() { done <- send(c.nodes["n1"].entryAddr, "/fares", "k", "slow") }()
	for e.of("slow") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.crash("n4")
	c.only("n1")
	r := send(c.nodes["n2"].entryAddr, "/fares", "k", "slow")
	is.Equal([]any{r.status, r.ran, r.reason}, []any{409, "unknown", "key-claimed"})
	<-done
	// The restarted gate starts with an empty memory and a new incarnation.
	c.start("n4", time.Now())
	r = send(c.nodes["n4"].entryAddr, "/fares", "k", "slow")
	is.Equal(r.status, 409)
	is.Equal(e.of("slow"), 1)
}

// A gate that reaches only one member must reject as not run; the members'
// majority elsewhere must go on. Afterwards the same request may run.
func TestPartitionedGate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 4)
	e := payments(c, "n1", "n4")
	c.cut("n4", "n1", "n2")
	c.only("n4")
	r := send(c.nodes["n1"].entryAddr, "/fares", "k", "a")
	is.Equal([]any{r.status, r.ran, r.reason, e.of("a")}, []any{503, "not-run", "key-owner-unreachable", 0})
	c.only("n1")
	r = send(c.nodes["n2"].entryAddr, "/fares", "k", "a")
	is.Equal([]any{r.status, r.body}, []any{200, "a paid 1"})
}

// Members that restart one after the other must not forget a claim: the second
// may be lost as soon as the first has recovered.
func TestLedgerMembersRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 5)
	e := payments(c, "n4", "n5")
	c.only("n4")
	is.Equal(send(c.nodes["n5"].entryAddr, "/fares", "k", "a").status, 200)
	is.Equal(send(c.nodes["n5"].entryAddr, "/fares", "open", "lost").status, 502)
	c.only("n5")
	for _, id := range []string{"n1", "n2", "n3"} {
		c.crash(id)
		n := c.start(id, time.Now())
		is.True(!n.Ledger().Ready("tills"))
		// While it recovers, the two others decide.
		is.Equal(resend(c.nodes["n4"].entryAddr, "/fares", "k", "a").body, "a paid 1")
		is.Equal(send(c.nodes["n4"].entryAddr, "/fares", "during "+id, "new "+id).status, 200)
		for !n.Ledger().Ready("tills") {
			time.Sleep(10 * time.Millisecond)
		}
	}
	is.Equal(resend(c.nodes["n4"].entryAddr, "/fares", "k", "a").body, "a paid 1")
	is.Equal(send(c.nodes["n4"].entryAddr, "/fares", "open", "lost").status, 409)
	is.Equal([]int{e.of("a"), e.of("lost")}, []int{1, 1})
}

// Two members that lost their memory must not grant, because either may have
// forgotten a majority.
func TestTwoMembersLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 4)
	e := payments(c, "n4")
	for _, id := range []string{"n1", "n2"} {
		c.crash(id)
		c.start(id, time.Now().Add(-5*time.Second)) // past the recovery delay
	}
	time.Sleep(2 * 200 * time.Millisecond)
	r := send(c.nodes["n4"].entryAddr, "/fares", "k", "a")
	is.Equal([]any{r.status, r.ran, r.reason, e.of("a")}, []any{503, "not-run", "key-owner-unreachable", 0})
}

// A changed group must respect claims of the old one, whose members it does not contain.
func TestGroupChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 6)
	e := payments(c, "n1", "n5")
	c.only("n1")
	is.Equal(send(c.nodes["n1"].entryAddr, "/fares", "k", "a").status, 200)
	s := tills()
	s.PreviousLedgerMembers, s.LedgerMembers = s.GetLedgerMembers(), []string{"n4", "n5", "n6"}
	c.service(s)
	c.only("n5")
	is.Equal(resend(c.nodes["n6"].entryAddr, "/fares", "k", "a").body, "a paid 1")
	is.Equal(send(c.nodes["n6"].entryAddr, "/fares", "k2", "b").body, "b paid 1")
	is.Equal([]int{e.of("a"), e.of("b")}, []int{1, 1})
}

// A claim whose request surely did not run must be given up, so that the
// request can run elsewhere.
func TestRefusedUpstreamReleasesClaim(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3)
	e := payments(c, "n1", "n2")
	c.nodes["n1"].upstream.stop() // the gate has not noticed yet
	c.only("n1")
	r := send(c.nodes["n3"].entryAddr, "/fares", "k", "a")
	is.Equal([]any{r.status, r.ran}, []any{503, "not-run"})
	c.only("n2")
	is.Equal(resend(c.nodes["n3"].entryAddr, "/fares", "k", "a").body, "a paid 1")
	is.Equal(e.of("a"), 1)
}

// A planned stop must not lose the stored response (guard: Flush).
func TestShutdownKeepsStoredResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 5)
	e := payments(c, "n4", "n5")
	c.only("n4")
	c.nodes["n4"].delay.Store(int64(600 * time.Millisecond)) // longer than the servers take to close
	done := make(chan reply, 1)
	go func() { done <- send(c.nodes["n1"].entryAddr, "/fares", "k", "slow") }()
	for e.of("slow") == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(c.nodes["n4"].Shutdown(ctx))
	is.Equal((<-done).body, "slow paid 1")
	c.only("n5")
	r := send(c.nodes["n1"].entryAddr, "/fares", "k", "slow")
	is.Equal([]any{r.body, r.replayed}, []any{"slow paid 1", true})
}

// When an upstream crashes, the gates of the other nodes must know its requests
// before the caller gets its failure, since it may repeat the call at once.
func TestSuspectsReachOtherGates(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3)
	var u *ledgerUpstream
	u = c.nodes["n1"].announce(func(ctx *fasthttp.RequestCtx) {
		_ = u.listener.Close()
		_ = ctx.Conn().Close()
	})
	payments(c, "n2", "n3")
	for id, n := range c.nodes {
		if id != "n1" {
			n.Publish(pb.EndpointState_ENDPOINT_STATE_SERVING, n.upstream.Upstream)
			c.records[id].Version = "v2" // reached by pushes, not by calls of v1
		}
	}
	r := send(c.nodes["n1"].entryAddr, "/fares", "", "poison")
	is.Equal([]any{r.status, r.reason}, []any{502, "upstream-crashed"})
	for _, n := range c.nodes {
		is.Equal(len(n.Gate().Suspects()), 1)
		is.Equal(n.Gate().Suspects()[0].GetState(), pb.SuspectState_SUSPECT_STATE_SUSPECT)
	}
}
