package meshnode

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const (
	// crashesUntilKnown is the number of upstreams that a request may end before it must be known, and contactTime the time
	// from the last of them until all nodes must know it.
	crashesUntilKnown = 3
	contactTime       = 3 * time.Second
	// maxLateRuns is the number of times that such a request may reach an upstream later.
	maxLateRuns = 3
)

// crashes records when a crashing request reached upstreams.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) arrived(path, _ string) {
	if !isCrashing(path) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

// late returns the number of arrivals, and of those later than contactTime after the last one that is allowed.
func (c *crashes) late() (all, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.at {
		if len(c.at) >= crashesUntilKnown && at.After(c.at[crashesUntilKnown-1].Add(runTime+contactTime)) {
			late++
		}
	}
	return len(c.at), late
}

// Guards against a request that crashes upstreams and is sent on to one upstream after the other, until the service is down.
func TestCrashingRequestIsNotSentOn(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			var seen crashes
			c := newCluster(t, 6, seen.arrived)
			path := map[string]string{http.MethodGet: "/r/crash", http.MethodPost: "/w/crash"}[method]
			begin := time.Now()
			end := begin.Add(crashesUntilKnown*100*time.Millisecond + contactTime + 2*time.Second)
			others := c.sendOrdinary(end, 2*time.Second)
			for i := 0; time.Now().Before(end); i++ { // it comes again at any node, with a new id
				go c.nodes[i%len(c.nodes)].request(method, path, fmt.Sprint("crash-", i))
				time.Sleep(100 * time.Millisecond)
			}
			all, late := seen.late()
			n, ok := others.wait()
			t.Logf("%d arrivals of the crashing request, %d of them late; %d of %d ordinary requests of the last 2 s served", all, late, ok, n)
			if late > maxLateRuns {
				t.Errorf("the request reached upstreams %d times later than %v after it had ended %d, at most %d are allowed", late, contactTime, crashesUntilKnown, maxLateRuns)
			}
			if ok*100 < n*99 {
				t.Errorf("%d of %d ordinary requests served in the last 2 s", ok, n)
			}
		})
	}
}

// ordinary counts requests that crash nothing.
type ordinary struct {
	clients                sync.WaitGroup
	sent, served, rejected atomic.Int64 // rejected counts those rejected as suspects, at any time
}

// sendOrdinary lets clients ask for five pages at random nodes until the end. It counts the requests that are sent in the
// time before the end, and those of them that are served.
func (c *cluster) sendOrdinary(end time.Time, counted time.Duration) *ordinary {
	const clients, pages = 12, 5
	o := &ordinary{}
	for i := range clients {
		o.clients.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for j := 0; time.Now().Before(end); j++ {
				counts := time.Until(end) < counted
				id := fmt.Sprint("page-", i, "-", j)
				status, reason, _ := c.nodes[random.IntN(len(c.nodes))].request(http.MethodGet, fmt.Sprint("/r/page-", random.IntN(pages)), id)
				if counts {
					o.sent.Add(1)
				}
				switch {
				case status == http.StatusOK && counts:
					o.served.Add(1)
				case status != http.StatusOK:
					c.t.Logf("%s: status %d %s%s%s", id, status, reason, c.history.describe(id), c.log.of(id))
				}
				if reason == "crash-suspect" {
					o.rejected.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return o
}

// wait waits for the clients and returns the counts of the requests sent and served.
func (o *ordinary) wait() (sent, served int64) {
	o.clients.Wait()
	return o.sent.Load(), o.served.Load()
}

// endInTurn ends one upstream after the other, with a pause between them, until a time.
func (c *cluster) endInTurn(pause time.Duration, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(pause)
		n := c.nodes[i%len(c.nodes)]
		n.mu.Lock()
		instance := n.instance
		n.mu.Unlock()
		n.endUpstream(instance)
	}
}

// request sends a request and returns the status of the response, its body, which is the reason of a rejection, and how
// long the client is asked to wait.
func (n *clusterNode) request(method, path, id string) (status int, reason string, wait time.Duration) {
	resp := n.send(method, path, id, 1400*time.Millisecond)
	defer fasthttp.ReleaseResponse(resp)
	if s := resp.Header.Peek(fasthttp.HeaderRetryAfter); len(s) > 0 {
		seconds, err := strconv.ParseFloat(string(s), 64)
		if err != nil {
			n.cluster.t.Error(err)
		}
		wait = time.Duration(seconds * float64(time.Second))
	}
	return resp.StatusCode(), strings.TrimSpace(string(resp.Body())), wait
}

// Guards against a node that has just started and does not know the requests that crash upstreams, against an entry that
// sends such a request on after the second upstream has ended, and against callers that are not told when to come back.
func TestStartedNodeKnowsCrashingRequests(t *testing.T) {
	is := is.New(t)
	var seen crashes
	c := newCluster(t, 4, seen.arrived)
	status, reason, _ := c.nodes[0].request(http.MethodGet, "/r/crash", "crash-1")
	is.Equal(status, http.StatusBadGateway) // it has run
	is.Equal(reason, "upstream-ended")
	all, _ := seen.late()
	is.Equal(all, 2) // its own retry included
	c.awaitRejected()
	eventually(t, "a trial ends a third upstream", func() bool { // from then on no other trial follows for minutes
		c.nodes[2].request(http.MethodGet, "/r/crash", "crash-trial")
		all, _ := seen.late()
		return all == 3
	})
	c.awaitRejected()
	n := c.addNode()
	eventually(t, "the node is ready", func() bool { p := n.process.Load(); return p != nil && p.Ready() })
	for _, at := range c.nodes {
		status, reason, wait := at.request(http.MethodGet, "/r/crash", "crash-2")
		is.Equal(status, http.StatusServiceUnavailable) // it has not run
		is.Equal(reason, "crash-suspect")
		is.True(wait > time.Minute)
	}
	all, _ = seen.late()
	is.Equal(all, 3)
}

// Guards against requests that are not served because others, or their own, were in progress when upstreams ended.
func TestPopularRequestsAreServedBesideCrashes(t *testing.T) {
	c := newCluster(t, 6, nil)
	const runs = 5 * time.Second
	end := time.Now().Add(runs)
	others := c.sendOrdinary(end, runs)
	c.endInTurn(500*time.Millisecond, end.Add(-restartTime))
	n, ok := others.wait()
	t.Logf("%d of %d requests served", ok, n)
	if ok*1000 < n*999 {
		t.Errorf("%d of %d requests served beside upstreams that end on their own", ok, n)
	}
}

// Guards against popular requests that are rejected as suspects because they are in progress whenever an upstream ends. Several
// upstreams are away at any time, so that some requests find none.
func TestPopularRequestsAreNoSuspects(t *testing.T) {
	c := newCluster(t, 6, nil)
	const runs = 3 * time.Second
	end := time.Now().Add(runs)
	others := c.sendOrdinary(end, runs)
	c.endInTurn(150*time.Millisecond, end)
	n, ok := others.wait()
	t.Logf("%d of %d requests served", ok, n)
	if rejected := others.rejected.Load(); rejected > 0 || ok == 0 {
		t.Errorf("%d of %d requests were rejected as suspects, %d served", rejected, n, ok)
	}
}

// Guards against a rare request that is rejected for long because it was in progress at two crashes that it did not cause.
func TestBystanderOfTwoCrashesIsServed(t *testing.T) {
	is := is.New(t)
	var ends atomic.Int32
	c := newCluster(t, 4, nil)
	c.ends = func(path string) bool { return path == "/r/rare" && ends.Add(1) <= 2 }
	status, _, _ := c.nodes[0].request(http.MethodGet, "/r/rare", "rare-1")
	is.Equal(status, http.StatusBadGateway)
	c.awaitRejected()
	eventually(t, "a client that waits as told is served", func() bool {
		status, _, wait := c.nodes[1].request(http.MethodGet, "/r/rare", "rare-2")
		is.True(wait < 10*time.Second)
		time.Sleep(wait)
		return status == http.StatusOK
	})
	eventually(t, "all nodes know that it is cleared", func() bool {
		for _, n := range c.nodes {
			if status, _, _ := n.request(http.MethodGet, "/r/rare", "rare-4"); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
