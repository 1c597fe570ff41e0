package simupstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/rattanfield/rattanfield/ports"
)

// The ignored goroutines of fasthttp end by themselves up to 10 s after their client or server.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"))
}

// Checks that VerifyBody accepts the body of its token and rejects one that is truncated,
// mixed from two bodies or meant for another token.
func TestVerifyBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token := rapid.StringN(1, 20, 40).Draw(t, "token")
		length := rapid.IntRange(8, 3000).Draw(t, "length")
		body := Body(token, length)
		if err := VerifyBody(token, length, body); err != nil {
			t.Fatal(err)
		}
		cut := rapid.IntRange(0, length-1).Draw(t, "cut")
		foreign := Body(token+"x", length)
		mixed := append(append([]byte{}, body[:cut]...), foreign[cut:]...)
		if VerifyBody(token, length, body[:cut]) == nil || VerifyBody(token, length, foreign) == nil {
			t.Fatal("a cut or foreign body verified")
		}
		if cut <= length-8 && VerifyBody(token, length, mixed) == nil {
			t.Fatal("a mixed body verified")
		}
	})
}

// Checks the run time, the failure and the crash that the options give the next request.
func TestNextExecution(t *testing.T) {
	start := time.Unix(1000, 0)
	base := Options{Latency: 4 * time.Millisecond, ConnectionCost: time.Millisecond}
	cases := []struct {
		name   string
		change func(*Options)
		at     time.Duration
		path   string
		first  bool
		calls  int // made before the one that is checked
		want   Execution
	}{
		{"plain", func(*Options) {}, 0, "/a", false, 0, Execution{RunTime: 4 * time.Millisecond}},
		{"new connection", func(*Options) {}, 0, "/a", true, 0, Execution{RunTime: 5 * time.Millisecond}},
		{"slow route", func(o *Options) { o.Faults = []Fault{{PathPrefix: "/a", SlowFactor: 3}} }, 0, "/a/b", false, 0, Execution{RunTime: 12 * time.Millisecond}},
		{"other route", func(o *Options) { o.Faults = []Fault{{PathPrefix: "/a", SlowFactor: 3}} }, 0, "/b", false, 0, Execution{RunTime: 4 * time.Millisecond}},
		{"error", func(o *Options) { o.Faults = []Fault{{PathPrefix: "/", ErrorRate: 1}} }, 0, "/b", false, 0, Execution{RunTime: 4 * time.Millisecond, Fail: true}},
		{"error later", func(o *Options) { o.Faults, o.FaultAfter = []Fault{{PathPrefix: "/", ErrorRate: 1}}, time.Second }, time.Millisecond, "/b", false, 0, Execution{RunTime: 4 * time.Millisecond}},
		{"error later, begun", func(o *Options) { o.Faults, o.FaultAfter = []Fault{{PathPrefix: "/", ErrorRate: 1}}, time.Second }, time.Second, "/b", false, 0, Execution{RunTime: 4 * time.Millisecond, Fail: true}},
		{"error after calls", func(o *Options) { o.Faults, o.FaultAfterCalls = []Fault{{PathPrefix: "/", ErrorRate: 1}}, 3 }, 0, "/b", false, 2, Execution{RunTime: 4 * time.Millisecond}},
		{"error after calls, begun", func(o *Options) { o.Faults, o.FaultAfterCalls = []Fault{{PathPrefix: "/", ErrorRate: 1}}, 3 }, 0, "/b", false, 3, Execution{RunTime: 4 * time.Millisecond, Fail: true}},
		{"crash path", func(o *Options) { o.CrashPath = "/x" }, 0, "/x1", false, 0, Execution{RunTime: 4 * time.Millisecond, Crash: true}},
		{"cold", func(o *Options) { o.ColdStart, o.ColdFactor = 2*time.Second, 5 }, time.Second, "/a", false, 0, Execution{RunTime: 12 * time.Millisecond}},
		{"warm", func(o *Options) { o.ColdStart, o.ColdFactor = 2*time.Second, 5 }, 2 * time.Second, "/a", false, 0, Execution{RunTime: 4 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := base
			c.change(&o)
			b := NewBehaviour(o, start)
			for range c.calls {
				b.NextExecution(start, c.path, false, false)
			}
			is.New(t).Equal(b.NextExecution(start.Add(c.at), c.path, false, c.first), c.want)
		})
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func call(t *testing.T, url string, headers map[string]string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// Checks that Run announces the upstream, rejects calls beyond slots and queue, counts
// executions per key, crashes on the header, and after the stop leaves the node and
// finishes accepted calls.
func TestRun(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var requests []string
	var announced ports.UpstreamAnnouncement
	node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path == "/v1/leave" && requests[len(requests)-1] != r.URL.Path {
			w.WriteHeader(http.StatusAccepted) // still draining: the upstream must repeat the leave message
		}
		requests = append(requests, r.URL.Path)
		_ = json.NewDecoder(r.Body).Decode(&announced)
	})}
	nodeListener, l := listen(t), listen(t)
	go func() { _ = node.Serve(nodeListener) }()
	defer node.Close()
	o := Options{
		Service: "bookings", Version: "v2", Instance: "i1", Address: l.Addr().String(), NodeAdmin: nodeListener.Addr().String(),
		Slots: 1, Queue: 0, MaxConnections: 16, Latency: 300 * time.Millisecond, Drain: 5 * time.Second,
	}
	var crashes atomic.Int32
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, o, l, log.NewNopLogger(), func() { crashes.Add(1) }) }()
	base := "http://" + o.Address

	bodies := make(chan string, 1)
	go func() {
		_, body := call(t, base+"/fares", map[string]string{HeaderToken: "t1", HeaderLength: "99", HeaderKey: "k", HeaderCrash: "1"})
		bodies <- body
	}()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, body := call(t, base+"/v1/load", nil); body == `{"in_flight":1,"queued":0,"slots":1}`+"\n" {
			break
		}
		is.True(time.Now().Before(deadline))
	}
	resp, _ := call(t, base+"/fares", nil)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(HeaderShed), "1")
	is.NoErr(VerifyBody("t1", 99, []byte(<-bodies)))
	_, _ = call(t, base+"/fares", map[string]string{HeaderKey: "k"})
	resp, _ = call(t, base+"/fares", map[string]string{"X-Rattanfield-Deadline-Ms": "5"})
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	_, body := call(t, base+"/v1/executions", nil)
	var report ExecutionReport
	is.NoErr(json.Unmarshal([]byte(body), &report))
	is.Equal(report.Keys["k"], 2)
	is.Equal(report.Total, uint64(3))
	is.Equal(crashes.Load(), int32(1))

	go func() {
		_, body := call(t, base+"/fares", map[string]string{HeaderToken: "t2", HeaderLength: "50"})
		bodies <- body
	}()
	for body != `{"in_flight":1,"queued":0,"slots":1}`+"\n" {
		_, body = call(t, base+"/v1/load", nil)
	}
	stop()
	is.NoErr(VerifyBody("t2", 50, []byte(<-bodies)))
	// Requests that the node's gate accepted before the upstream left may still arrive.
	_, body = call(t, base+"/fares", map[string]string{HeaderToken: "t3", HeaderLength: "40"})
	is.NoErr(VerifyBody("t3", 40, []byte(body)))
	is.NoErr(<-ended)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(requests[0], "/v1/announce")
	is.Equal(requests[len(requests)-2:], []string{"/v1/leave", "/v1/leave"})
	is.Equal(announced, ports.UpstreamAnnouncement{Service: "bookings", Version: "v2", Address: o.Address, Slots: 1, MaxConnections: 16, Instance: "i1"})
}
