package meshnode

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/app/proxy"
	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	hopPrefix      = "X-Rattanfield-"
	hopService     = hopPrefix + "Service"
	hopRoute       = hopPrefix + "Route"
	hopPriority    = hopPrefix + "Priority"
	hopRemainingMs = hopPrefix + "Remaining-Ms"
)

var testHeaders = proxy.Headers{
	ID: "T-Id", RemainingMs: "T-Remaining", ExpectInstance: "T-Expect", NotRun: "T-Not-Run", Signature: "T-Signature", Caller: "T-Caller",
	Key: "T-Key", Organisation: "T-Organisation",
}

type fixedMesh struct{ view *controlclient.View }

func (m fixedMesh) View() *controlclient.View { return m.view }

// testNode is a node with an upstream; it is stopped without a signal.
type testNode struct {
	*Process
	entryAddress, gateAddress string
}

func newTestNode(t *testing.T, bound, notice time.Duration, upstream meshhttp.Handler) *testNode {
	return startTestNode(t, Options{StopBound: bound, StopNotice: notice}, upstream)
}

func startTestNode(t *testing.T, o Options, upstream meshhttp.Handler) *testNode {
	is := is.New(t)
	listen := func(s *meshhttp.Server) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		go func() { _ = s.Serve(l) }()
		return l.Addr().String()
	}
	limits := func() meshhttp.Limits { return meshhttp.DefaultLimits }
	unreadable := func(x *meshhttp.Exchange, status int, _ error) { x.Response.SetStatusCode(status) }
	upstreamAddress := listen(meshhttp.NewServer(meshhttp.ServerOptions{Handler: signed(upstream), Limits: limits, OnReadError: unreadable}))
	view := &controlclient.View{Endpoints: make(map[string][]*controlclient.Endpoint), Nodes: 1, ConfirmedAt: time.Now(), Plan: plan.NewTable(&pb.Plan{
		Number: 1, Services: []*pb.PlanService{{Name: "a"}},
		Routes: []*pb.PlanRoute{{Name: "r", Host: "h", PathPrefix: "/", TimeoutMs: 1500, GoalMs: 500, MaxAttempts: 1, Targets: []*pb.PlanTarget{{Service: "a", Weight: 1}}}},
	}, 1)}
	mesh, pool, m := fixedMesh{view}, meshhttp.NewPool(nil, body.NewMemory(1<<20)), proxy.NewMetrics(metrics.NewSet())
	control := controlclient.New(controlclient.Options{}, &rpc.Client{}, log.NewNopLogger())
	gate := proxy.NewGate(proxy.GateOptions{Headers: testHeaders, LostAfter: time.Minute, Publish: func(*pb.Announcement) {}}, mesh, pool, m, log.NewNopLogger())
	// The entry sends to the gate over a connection, as that of another node does.
	entry := proxy.NewEntry(proxy.EntryOptions{Headers: testHeaders, Service: "a", Node: "127.0.0.1:1"}, mesh, gate, pool, m, log.NewNopLogger())
	n := &testNode{Process: newProcess(o, nil, control, gate, entry, metrics.NewSet(), log.NewNopLogger())}
	n.entryAddress, n.gateAddress = listen(n.entryServer), listen(n.gateServer)
	view.Endpoints["a"] = []*controlclient.Endpoint{{Gate: n.gateAddress, Instance: "i", Version: "v1", Slots: 64, Link: ports.LinkDomain}}
	gate.Announce(&pb.Announcement{Instance: "i", Service: "a", Address: upstreamAddress, Version: "v1", Slots: 64, State: pb.UpstreamState_UPSTREAM_STATE_SERVING, Seq: 1, BornUnixMs: 1})
	return n
}

// signed returns a handler whose responses have the id of the request and a signature, as those of upstreams have.
func signed(h meshhttp.Handler) meshhttp.Handler {
	return func(ctx context.Context, x *meshhttp.Exchange) {
		h(ctx, x)
		x.Response.Header.SetBytesV(testHeaders.ID, x.Request.Header.Peek(testHeaders.ID))
		x.Response.Header.Set(testHeaders.Signature, "s")
	}
}

// request sends a request on a new connection and returns the status; 0 if the connection was closed without an answer.
func (n *testNode) request(path string, limit time.Duration) int {
	c, err := net.DialTimeout("tcp", n.entryAddress, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nT-Id: %s\r\nT-Remaining: %d\r\n\r\n", path, path, limit.Milliseconds())
	var r fasthttp.Response
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if r.Read(bufio.NewReader(c)) != nil {
		return 0
	}
	return r.StatusCode()
}

// Guards against a stop that lasts until it is killed because clients connect anew, and that runs requests near its end.
func TestStopEndsWhileClientsReconnect(t *testing.T) {
	is := is.New(t)
	const bound, notice = 4 * time.Second, 500 * time.Millisecond
	var lastStart, before atomic.Int64
	n := newTestNode(t, bound, notice, func(_ context.Context, x *meshhttp.Exchange) {
		lastStart.Store(time.Now().UnixNano())
		time.Sleep(50 * time.Millisecond)
		x.Response.SetBodyString("ok")
	})
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				n.request(fmt.Sprintf("/%d-%d", i, j), time.Duration(1000+100*(i%5))*time.Millisecond)
				time.Sleep(time.Duration(5+i) * time.Millisecond)
			}
		})
	}
	clients.Go(func() { // a client that closes its connections late
		for ctx.Err() == nil {
			if c, err := net.Dial("tcp", n.entryAddress); err == nil {
				time.AfterFunc(time.Second, func() { _ = c.Close() })
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	time.Sleep(200 * time.Millisecond)
	begin := time.Now()
	time.AfterFunc(notice/2, func() { before.Store(int64(n.request("/before", time.Second))) })
	n.stop()
	took := time.Since(begin)
	cancel()
	clients.Wait()
	t.Logf("stop took %v, last start on the upstream %v after its begin", took, time.Unix(0, lastStart.Load()).Sub(begin))
	is.True(took < 3400*time.Millisecond)                                   // not at EndAt, 3.68 s
	is.True(time.Unix(0, lastStart.Load()).Sub(begin) < notice+time.Second) // later requests are rejected, except for those that pass for nested calls
	is.Equal(before.Load(), int64(fasthttp.StatusOK))                       // until CloseAt requests are served
}

// Guards against a stop that does not end at EndAt because a client leaves its request unfinished.
func TestStopEndsBesideAnUnfinishedRequest(t *testing.T) {
	is := is.New(t)
	const bound = 2 * time.Second
	n := newTestNode(t, bound, 200*time.Millisecond, func(context.Context, *meshhttp.Exchange) {})
	c, err := net.Dial("tcp", n.entryAddress)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345")
	time.Sleep(50 * time.Millisecond)
	begin := time.Now()
	n.stop()
	is.True(time.Since(begin) < bound)
}

// Guards against nested calls that find the entry closed while the gate has a request in progress, and against a gate
// that starts requests which its process cannot answer.
func TestStoppingGateFinishesItsRequests(t *testing.T) {
	is := is.New(t)
	const notice = 200 * time.Millisecond
	var n *testNode
	var nested, tooLong atomic.Int64
	held, hold := make(chan struct{}), make(chan struct{})
	n = newTestNode(t, 4*time.Second, notice, func(_ context.Context, x *meshhttp.Exchange) {
		switch path := string(x.Request.Header.RequestURI()); path {
		case "/hold":
			close(held)
			<-hold
		case "/too-long":
			tooLong.Add(1)
		case "/parent":
			time.Sleep(400 * time.Millisecond)
			for range 50 { // a call whose connection was closed unread is repeated
				if nested.Store(int64(n.request("/nested", 300*time.Millisecond))); nested.Load() != 0 {
					break
				}
			}
		}
		x.Response.SetBodyString("ok")
	})
	toGate := func(path string, limit time.Duration) {
		for range 20 { // likewise
			c, err := net.Dial("tcp", n.gateAddress)
			is.NoErr(err)
			_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nT-Id: %s\r\n%s: a\r\n%s: r\r\n%s: 0\r\n%s: %d\r\n\r\n",
				path, path, hopService, hopRoute, hopPriority, hopRemainingMs, limit.Milliseconds())
			var r fasthttp.Response
			err = r.Read(bufio.NewReader(c))
			_ = c.Close()
			if err == nil && r.StatusCode() == fasthttp.StatusOK {
				return
			}
		}
	}
	go n.request("/hold", 1500*time.Millisecond) // the server drains until it is answered
	<-held
	stopped := make(chan struct{})
	go func() { defer close(stopped); n.stop() }()
	time.Sleep(notice + 50*time.Millisecond)
	toGate("/too-long", 9*time.Second)
	go toGate("/parent", 1500*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	close(hold)
	<-stopped
	is.Equal(tooLong.Load(), int64(0))
	is.Equal(nested.Load(), int64(fasthttp.StatusOK))
}

func get(address, path string) (*fasthttp.Response, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if err := resp.Read(bufio.NewReader(c)); err != nil {
		return nil, errNotRead
	}
	return resp, nil
}

// errNotRead says that a connection was closed without an answer; callers repeat such a request on a new connection.
var errNotRead = errors.New("closed without an answer")

func getRepeated(address, path string) error {
	var err error
	for range 20 {
		if _, err = get(address, path); !errors.Is(err, errNotRead) {
			return err
		}
	}
	return err
}

// Guards against a nested call of a request at the gate that finds the listener of the entry closed, because the entry
// itself has no request any more.
func TestEntryListensWhileTheGateHasRequests(t *testing.T) {
	is := is.New(t)
	limits := func() meshhttp.Limits { return meshhttp.DefaultLimits }
	unreadable := func(x *meshhttp.Exchange, status int, _ error) { x.Response.SetStatusCode(status) }
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		return l
	}
	entryListener, gateListener := listen(), listen()
	entryAddress, gateAddress := entryListener.Addr().String(), gateListener.Addr().String()
	started := make(chan struct{}, 16)
	var failed atomic.Value
	var answered atomic.Int32
	p := &Process{options: Options{StopBound: 4 * time.Second, StopNotice: 100 * time.Millisecond}, logger: log.NewNopLogger()}
	p.gate = proxy.NewGate(proxy.GateOptions{Publish: func(*pb.Announcement) {}}, nil, meshhttp.NewPool(nil, body.NewMemory(1<<20)), proxy.NewMetrics(metrics.NewSet()), log.NewNopLogger())
	p.entryServer = meshhttp.NewServer(meshhttp.ServerOptions{Limits: limits, OnReadError: unreadable, Handler: func(_ context.Context, x *meshhttp.Exchange) {
		switch string(x.Request.Header.RequestURI()) {
		case "/before": // in progress at the signal
			started <- struct{}{}
			time.Sleep(400 * time.Millisecond)
		case "/nested":
			answered.Add(1)
		}
	}})
	// Each request to the gate makes a nested call after 500 ms, as an upstream on this host does.
	p.gateServer = meshhttp.NewServer(meshhttp.ServerOptions{Limits: limits, OnReadError: unreadable, Handler: func(_ context.Context, _ *meshhttp.Exchange) {
		time.Sleep(500 * time.Millisecond)
		if err := getRepeated(entryAddress, "/nested"); err != nil {
			failed.CompareAndSwap(nil, err.Error())
		}
	}})
	go func() { _ = p.entryServer.Serve(entryListener) }()
	go func() { _ = p.gateServer.Serve(gateListener) }()
	go func() { _ = getRepeated(entryAddress, "/before") }()
	<-started
	begin := time.Now()
	at := func(d time.Duration, address, path string) {
		go func() {
			time.Sleep(time.Until(begin.Add(d)))
			_ = getRepeated(address, path)
		}()
	}
	at(350*time.Millisecond, gateAddress, "/") // its nested call follows at 850 ms
	p.stop()
	time.Sleep(time.Second)
	is.Equal(failed.Load(), nil)
	is.Equal(answered.Load(), int32(1))
}

// Guards against a single client that sends half a request and holds the stop until EndAt.
func TestUnfinishedRequestDoesNotHoldTheStop(t *testing.T) {
	is := is.New(t)
	const bound, notice = 4 * time.Second, 200 * time.Millisecond
	n := newTestNode(t, bound, notice, func(_ context.Context, x *meshhttp.Exchange) {})
	c, err := net.Dial("tcp", n.entryAddress)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nT-Remaining: 300\r\nContent-Length: 10\r\n\r\n12345")
	time.Sleep(50 * time.Millisecond)
	begin := time.Now()
	n.stop()
	is.True(time.Since(begin) < 3400*time.Millisecond) // EndAt is at 3.68 s
}
