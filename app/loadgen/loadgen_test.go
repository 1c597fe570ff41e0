package loadgen

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/rattanfield/rattanfield/app/simupstream"
)

// The ignored goroutines of fasthttp end by themselves up to 10 s after their client or server.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"))
}

// Guards against a lost or corrupt response that is hidden in the figures, which comes
// about by a wrong outcome for its status, mark or body.
func TestClassify(t *testing.T) {
	wrong := errors.New("wrong body")
	for _, c := range []struct {
		status    int
		ran       string
		verifyErr error
		want      Outcome
	}{
		{200, "run", nil, Answered},
		{200, "run", wrong, Corrupt},
		{200, "", nil, Answered},
		{404, "run", wrong, Answered},
		{404, "not-run", nil, Rejected},
		{429, "not-run", nil, Rejected},
		{500, "run", nil, Failed},
		{502, "unknown", nil, Unknown},
		{409, "unknown", nil, Unknown},
	} {
		is.New(t).Equal(classify(c.status, c.ran, c.verifyErr), c.want)
	}
}

// fakeEntry is an HTTP server in place of an entry; the path of a request selects the response.
type fakeEntry struct {
	address string
	mu      sync.Mutex
	tokens  map[string]int
	keys    map[string]int
}

func startFakeEntry(t *testing.T) *fakeEntry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeEntry{address: l.Addr().String(), tokens: map[string]int{}, keys: map[string]int{}}
	s := &fasthttp.Server{Handler: e.handle, CloseOnShutdown: true}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Shutdown()
		<-served
	})
	return e
}

func (e *fakeEntry) handle(c *fasthttp.RequestCtx) {
	token := string(c.Request.Header.Peek(simupstream.HeaderToken))
	length, _ := strconv.Atoi(string(c.Request.Header.Peek(simupstream.HeaderLength)))
	e.mu.Lock()
	e.tokens[token]++
	first := e.tokens[token] == 1
	if key := string(c.Request.Header.Peek(simupstream.HeaderKey)); key != "" {
		e.keys[key]++
	}
	e.mu.Unlock()
	h := &c.Response.Header
	h.Set(HeaderRan, ranRun)
	h.Set(simupstream.HeaderToken, token)
	h.Set(simupstream.HeaderVersion, "v1")
	body := simupstream.Body(token, length)
	switch string(c.Path()) {
	case "/reject":
		h.Set(HeaderRan, ranNotRun)
		h.Set(HeaderReason, "queue full")
		c.SetStatusCode(429)
	case "/stopping":
		if first {
			h.Set(headerCallID, closingCallID)
			h.Set(HeaderRan, ranNotRun)
			c.SetStatusCode(503)
		}
	case "/fail":
		c.SetStatusCode(500)
	case "/foreign":
		body = simupstream.Body(token+"x", length)
	case "/token":
		h.Set(simupstream.HeaderToken, "other")
	case "/short":
		body = body[1:]
	case "/drop":
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {})
	case "/drop-first":
		if first {
			c.HijackSetNoResponse(true)
			c.Hijack(func(net.Conn) {})
		}
	case "/status-000", "/blank":
		status, field := "000", ""
		if string(c.Path()) == "/blank" {
			status, field = "200", "X Other: 1\r\n"
		}
		c.HijackSetNoResponse(true)
		c.Hijack(func(nc net.Conn) {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 %s OK\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, HeaderRan, ranRun, simupstream.HeaderToken, token, field, len(body), body)
		})
	case "/unknown":
		h.Set(HeaderRan, ranUnknown)
		c.SetStatusCode(502)
	}
	c.SetBody(body)
}

// refusingAddress is an address without a listener. A free port that was closed again would
// not do: another test can get it in the meantime.
const refusingAddress = "127.0.0.1:1"

// Checks the outcome and the repetitions for each kind of response, with one of three
// entries refusing connections.
func TestRunOutcomes(t *testing.T) {
	e, other := startFakeEntry(t), startFakeEntry(t)
	cases := []struct {
		name  string
		route Route
		want  Counts
		check func(*is.I, *Summary)
	}{
		{"answered", Route{Method: "GET", Path: "/"}, Counts{Answered: 20}, func(is *is.I, s *Summary) {
			is.Equal(s.Versions["v1"], uint64(20))
			is.Equal(s.Added.SampledPairs, 7) // of 10 pairs, 3 began at the entry without a listener
			is.True(s.Failovers > 0)          // one of the entries has no listener
		}},
		{"rejected", Route{Method: "GET", Path: "/reject"}, Counts{Rejected: 20}, func(is *is.I, s *Summary) {
			is.Equal(s.Reasons["rejected: queue full"], uint64(20))
			is.Equal(s.Resends, uint64(0))
		}},
		{"stopping entry", Route{Method: "POST", Path: "/stopping"}, Counts{Answered: 20}, func(is *is.I, s *Summary) {
			is.True(s.Failovers >= 20)
		}},
		{"failed", Route{Method: "GET", Path: "/fail"}, Counts{Failed: 20}, nil},
		{"foreign", Route{Method: "GET", Path: "/foreign"}, Counts{Corrupt: 20}, nil},
		{"token", Route{Method: "GET", Path: "/token"}, Counts{Corrupt: 20}, nil},
		{"short", Route{Method: "GET", Path: "/short"}, Counts{Corrupt: 20}, nil},
		{"invalid status", Route{Method: "POST", Path: "/status-000"}, Counts{Lost: 20}, nil},
		{"invalid field name", Route{Method: "POST", Path: "/blank"}, Counts{Lost: 20}, nil},
		{"unknown without key", Route{Method: "POST", Path: "/unknown"}, Counts{Unknown: 20}, func(is *is.I, s *Summary) {
			is.Equal(s.Resends, uint64(0)) // a repetition could run it twice
		}},
		{"lost without key", Route{Method: "POST", Path: "/drop"}, Counts{Lost: 20}, func(is *is.I, s *Summary) {
			is.Equal(s.Resends, uint64(0))
		}},
		{"lost with key", Route{Method: "POST", Path: "/drop-first", Keyed: true, BodyBytes: 10}, Counts{Answered: 20}, func(is *is.I, s *Summary) {
			is.True(s.Resends >= 20)
			is.Equal(s.KeyResends[Answered], uint64(20))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			observed := 0
			s := Run(context.Background(), Options{
				Entries: []string{e.address, refusingAddress, other.address}, Direct: []string{e.address}, DirectEvery: 2,
				Rate: 400, Duration: 50 * time.Millisecond, Routes: []Route{c.route}, ResendShare: 1, Seed: 3,
			}, func(*Result) { observed++ })
			c.want.Sent = 20
			is.Equal(s.All.Counts, c.want)
			is.Equal(observed, 20)
			if c.check != nil {
				c.check(is, s)
			}
			var table, encoded bytes.Buffer
			is.NoErr(s.WriteTable(&table))
			is.NoErr(s.WriteJSON(&encoded))
			is.True(strings.Contains(table.String(), c.route.Path))
			is.True(strings.Contains(encoded.String(), `"sent": 20`))
		})
	}
	is.New(t).True(len(other.keys) > 0) // resends with a key go through another entry
}

// Guards against calls beyond MaxInFlight that are dropped without being counted as skipped.
func TestSkipped(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	s := Run(context.Background(), Options{
		Entries: []string{l.Addr().String()}, Rate: 200, Duration: 50 * time.Millisecond, MaxInFlight: 1,
		Timeout: 300 * time.Millisecond, Routes: []Route{{Method: "POST", Path: "/"}},
	}, nil)
	is.Equal(s.All.Lost, uint64(1))
	is.Equal(s.Skipped, uint64(9))
}

// Checks that every result is counted under exactly one outcome and in the totals of its tenant.
func TestSummaryAddsUp(t *testing.T) {
	outcomes := []Outcome{Answered, Failed, Rejected, Unknown, Lost, Corrupt}
	rapid.Check(t, func(t *rapid.T) {
		s := newSummary(Options{})
		n := rapid.IntRange(0, 100).Draw(t, "n")
		for range n {
			sent := time.Unix(0, 0)
			s.add(&Result{
				Tenant: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), Route: "r", Attempts: 1,
				Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"), Sent: sent, Scheduled: sent,
				Finished: sent.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "latency"))),
				Direct:   time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "direct")),
			})
		}
		s.finish(time.Second)
		sum := func(c Counts) uint64 { return c.Answered + c.Failed + c.Rejected + c.Unknown + c.Lost + c.Corrupt }
		var tenants uint64
		for _, g := range s.Tenants {
			tenants += g.Sent
		}
		if s.All.Sent != uint64(n) || sum(s.All.Counts) != uint64(n) || tenants != uint64(n) {
			t.Fatalf("%d results, counts %+v, tenants %d", n, s.All.Counts, tenants)
		}
		if s.All.Latency.Count != int64(s.All.Answered) || s.Added.P50 > s.Added.P99 {
			t.Fatalf("latencies %+v, added %+v", s.All.Latency, s.Added)
		}
	})
}
