package httpproxy

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// requestCounter counts the requests that reached any upstream, by body.
type requestCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *requestCounter) add(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[body]++
}

// faultyUpstream returns a connection handler that injects seeded faults before, during and after a request.
func (r *requestCounter) faultyUpstream(seed uint64) func(net.Conn) {
	return func(conn net.Conn) {
		random := rand.New(rand.NewPCG(seed, uint64(conn.RemoteAddr().(*net.TCPAddr).Port)))
		br := bufio.NewReader(conn)
		for {
			if random.IntN(20) == 0 {
				return // an idle connection is closed
			}
			var req fasthttp.Request
			if req.Read(br) != nil {
				return
			}
			r.add(string(req.Body()))
			switch random.IntN(12) {
			case 0:
				return
			case 1:
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut")
				return
			case 2:
				_, _ = fmt.Fprint(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			case 3:
				time.Sleep(15 * time.Millisecond)
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			default:
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.Body()), req.Body())
			}
		}
	}
}

// injectFaults stops and replaces upstreams and publishes wrong endpoint records until stop is closed.
func injectFaults(r *rand.Rand, m *mesh, nodes []*node, rec *requestCounter, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(8)) * time.Millisecond):
		}
		n := nodes[r.IntN(len(nodes))]
		n.gate.mu.Lock()
		var u ports.UpstreamAnnouncement
		if n.gate.upstream != nil {
			u = n.gate.upstream.announced
		}
		n.gate.mu.Unlock()
		switch r.IntN(4) {
		case 0:
			n.gate.DrainUpstream(u, 0)
		case 1:
			n.rawUpstream(rec.faultyUpstream(uint64(i)))
		case 2: // published as serving, whatever its real state
			m.set(&pb.EndpointRecord{NodeId: n.id, GateAddress: n.gateAddr, State: pb.EndpointState_ENDPOINT_STATE_SERVING, Service: "bookings", Version: "v1", Slots: 9})
		case 3:
			m.set(&pb.EndpointRecord{NodeId: n.id, GateAddress: n.gateAddr, State: pb.EndpointState_ENDPOINT_STATE_SERVING, Service: "bookings", Version: "v2", Slots: 9})
		}
	}
}

// Guards against a response with not-run for a request that reached an upstream, and against a
// non-idempotent request that reaches two. They come about by a rejection after the first
// byte that is reported as not-run, and by retries of unknown outcomes.
func TestNotRunMeansNotSent(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			m := newMesh(t, func(s *pb.Service) { s.Limits.Slots, s.Limits.MaxQueue = 2, 3 })
			rec := &requestCounter{runs: make(map[string]int)}
			var nodes []*node
			for i := range 3 {
				n := m.node(fmt.Sprint("n", i))
				n.rawUpstream(rec.faultyUpstream(seed + uint64(i)))
				nodes = append(nodes, n)
			}
			stop := make(chan struct{})
			var wg, injector sync.WaitGroup
			injector.Go(func() { injectFaults(rand.New(rand.NewPCG(seed, 3)), m, nodes, rec, stop) })
			var mu sync.Mutex
			outcomes, notRun := map[string]int{}, map[string]Reason{}
			for c := range 12 {
				wg.Go(func() {
					r := rand.New(rand.NewPCG(seed, uint64(c)))
					for i := range 60 {
						path := []string{"/fares", "/climb"}[r.IntN(2)]
						body := fmt.Sprint(path, " ", c, " ", i)
						h := header{}
						if r.IntN(3) == 0 {
							h[HeaderDeadline] = fmt.Sprint(1 + r.IntN(12))
						}
						result := send(nodes[r.IntN(3)].entryAddress, "POST", path, body, h)
						rec.mu.Lock()
						runs := rec.runs[body]
						rec.mu.Unlock()
						mu.Lock()
						outcomes[result.ran+" "+string(result.reason)]++
						if result.ran == RanNotRun {
							notRun[body] = result.reason
						}
						mu.Unlock()
						switch {
						case result.err != nil:
							t.Errorf("%s: %v", body, result.err)
						case result.ran == RanRun && (runs < 1 || (result.status == 200 && result.body != body && result.body != "late")):
							t.Errorf("%s: reported as run, reached %d upstreams, response %q", body, runs, result.body)
						case result.ran != RanRun && result.ran != RanNotRun && result.ran != RanUnknown:
							t.Errorf("%s: status %d without a valid X-Rattanfield-Ran", body, result.status)
						}
					}
				})
			}
			wg.Wait()
			close(stop)
			injector.Wait()
			time.Sleep(20 * time.Millisecond) // lets requests in transit arrive
			rec.mu.Lock()
			defer rec.mu.Unlock()
			for body, runs := range rec.runs {
				if runs > 1 && strings.HasPrefix(body, "/fares") {
					t.Errorf("%s reached %d upstreams", body, runs)
				}
				if reason, rejected := notRun[body]; rejected {
					t.Errorf("%s: reported as not-run (%s), reached %d upstreams", body, reason, runs)
				}
			}
			t.Log(outcomes)
		})
	}
}

// Checks the status, the X-Rattanfield-Ran header and the reason of each kind of rejection.
func TestRejections(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, func(s *pb.Service) {
		s.Limits.Slots, s.Limits.MaxQueue, s.Limits.MaxRequestBytes = 1, 1, 100
	})
	n := m.node("a")
	release := make(chan struct{})
	u := n.upstream(func(ctx *fasthttp.RequestCtx) { <-release })
	many := header{}
	for i := range maxHeaderCount {
		many[fmt.Sprint("X-", i)] = "1"
	}
	check := func(h header, body string, status int, reason Reason) {
		t.Helper()
		r := send(n.entryAddress, "POST", "/fares", body, h)
		is.NoErr(r.err)
		is.Equal([]any{r.status, r.ran, r.reason}, []any{status, RanNotRun, reason})
		is.Equal(r.header(fasthttp.HeaderRetryAfter) != "", status == 429)
	}
	check(nil, string(make([]byte, 101)), 413, ReasonTooLarge)
	check(many, "", 431, ReasonTooManyHeaders)
	check(header{HeaderDepth: "28"}, "", 400, ReasonDepthExceeded)
	check(header{HeaderTenant: strings.Repeat("t", 65)}, "", 400, ReasonInvalidHeader)
	check(header{HeaderDeadline: "soon"}, "", 400, ReasonInvalidHeader)
	check(header{HeaderIdempotencyKey: "k"}, "", 503, ReasonKeyOwnerUnreachable)
	done := make(chan reply, 2)
	for i := range 2 { // one runs, one is queued
		go func() { done <- send(n.entryAddress, "POST", "/fares", fmt.Sprint(i), nil) }()
	}
	for n.gate.loadHeader() != "1,1,1" {
		time.Sleep(time.Millisecond)
	}
	check(nil, "", 429, ReasonQueueFull)
	check(header{HeaderTenant: "b"}, "", 429, ReasonShareExhausted)
	go n.gate.DrainUpstream(u.UpstreamAnnouncement, 0)
	for range 2 {
		release <- struct{}{}
		is.Equal((<-done).status, 200) // accepted before the upstream left
	}
	n.gate.Leave()
	direct := send(n.gateAddr, "POST", "/fares", "", nil)
	is.Equal([]any{direct.status, direct.ran, direct.reason}, []any{503, RanNotRun, ReasonLeaving})
	is.NoErr(n.entry.Shutdown(context.Background()))
	check(nil, "", 503, ReasonLeaving)
}

// Checks that an endpoint counts as unavailable only if it accepts no requests, not after a
// lack of connections in the entry or a short deadline.
func TestUnavailableEndpoints(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		a    attempt
		want bool
	}{
		{attempt{failure: &exchangeError{reason: ReasonNoConnection, refused: true, err: errClosing}}, true},
		{attempt{failure: &exchangeError{reason: ReasonLeaving, err: errClosing}}, true},
		{attempt{failure: &exchangeError{reason: ReasonNoConnection, err: errTooManyConns}}, false},
		{attempt{failure: &exchangeError{reason: ReasonDeadlineBeforeStart, err: errClosing}}, false},
		{attempt{failure: &exchangeError{reason: ReasonUpstreamLost, sent: true, err: errClosing}}, false},
		{attempt{rej: reject(ReasonLeaving), ranState: RanNotRun}, true},
		{attempt{rej: reject(ReasonNoEndpoint), ranState: RanNotRun}, true},
		{attempt{rej: reject(ReasonOtherVersion), ranState: RanNotRun}, false},
		{attempt{rej: reject(ReasonQueueFull), ranState: RanNotRun}, false},
		{attempt{ranState: RanRun, status: 503}, false},
	} {
		is.Equal(c.a.unavailable(), c.want)
	}
}
