package proxy

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

var testHeaders = Headers{
	ID: "T-Id", RemainingMs: "T-Remaining", ExpectInstance: "T-Expect", NotRun: "T-Not-Run", Signature: "T-Signature", Caller: "T-Caller",
	Key: "T-Key", Organisation: "T-Tenant", ColdMs: "T-Cold",
}

// mesh is a Mesh whose view tests can change.
type mesh struct {
	mu   sync.Mutex
	view controlclient.View
}

func (m *mesh) View() *controlclient.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view
	return &v
}

func (m *mesh) change(f func(v *controlclient.View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(&m.view)
}

// upstreamServer is an upstream with scripted behaviour that records the requests it receives.
type upstreamServer struct {
	address string
	mu      sync.Mutex
	got     []*fasthttp.Request
	behave  func(x *meshhttp.Exchange)
}

func (u *upstreamServer) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.got)
}

func (u *upstreamServer) last() *fasthttp.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.got[len(u.got)-1]
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func serveOn(l net.Listener, h meshhttp.Handler) {
	s := meshhttp.NewServer(meshhttp.ServerOptions{
		Handler: h, Limits: testLimits, OnReadError: func(x *meshhttp.Exchange, status int, _ error) { x.Response.SetStatusCode(status) },
	})
	go func() { _ = s.Serve(l) }()
}

func testLimits() meshhttp.Limits { return meshhttp.DefaultLimits }

func newUpstreamServer(t *testing.T, behave func(x *meshhttp.Exchange)) *upstreamServer {
	l := listen(t)
	u := &upstreamServer{address: l.Addr().String(), behave: behave}
	serveOn(l, func(_ context.Context, x *meshhttp.Exchange) {
		u.mu.Lock()
		r := &fasthttp.Request{}
		x.Request.CopyTo(r)
		u.got = append(u.got, r)
		u.mu.Unlock()
		u.behave(x)
	})
	return u
}

func succeed(x *meshhttp.Exchange) {
	x.Response.Header.Set(testHeaders.Signature, "s")
	x.Response.SetBodyString("ok")
}

func respond(status int) func(*meshhttp.Exchange) {
	return func(x *meshhttp.Exchange) {
		x.Response.Header.Set(testHeaders.Signature, "s")
		x.Response.SetStatusCode(status)
	}
}

// shed responds that the request did not run.
func shed(x *meshhttp.Exchange) {
	x.Response.Header.Set(testHeaders.NotRun, "1")
	x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// garble responds with the id of another request; the gate must treat that response as lost.
func garble(x *meshhttp.Exchange) {
	succeed(x)
	x.Response.Header.Set(testHeaders.ID, "another")
	x.Response.SetConnectionClose()
}

// node is a gate with an upstream and a listener.
type node struct {
	gate      *Gate
	address   string
	upstream  *upstreamServer
	published []*pb.Announcement
}

const (
	testDrain = 400 * time.Millisecond
	testLost  = 10 * time.Second
)

func newNode(t *testing.T, m *mesh, name string, behave func(*meshhttp.Exchange)) *node {
	n := &node{upstream: newUpstreamServer(t, behave)}
	n.gate = NewGate(GateOptions{
		Headers: testHeaders, DrainBound: testDrain, LostAfter: testLost,
		Publish: func(a *pb.Announcement) { n.published = append(n.published, a) },
	}, m, newTestPool(), NewMetrics(metrics.NewSet()), log.NewNopLogger())
	l := listen(t)
	n.address = l.Addr().String()
	serveOn(l, n.gate.Handle)
	n.gate.Announce(n.announcement(name, 1, pb.UpstreamState_UPSTREAM_STATE_SERVING))
	m.change(func(v *controlclient.View) {
		v.Endpoints["a"] = append(v.Endpoints["a"], &controlclient.Endpoint{Gate: n.address, Instance: name, Version: "v1", Slots: 2, Link: ports.LinkDomain})
	})
	return n
}

func (n *node) announcement(name string, seq uint64, state pb.UpstreamState) *pb.Announcement {
	return &pb.Announcement{
		Instance: name, Service: "a", Address: n.upstream.address, Version: "v1", Slots: 2, State: state, Seq: seq, BornUnixMs: 1,
	}
}

func newMesh() *mesh {
	p := &pb.Plan{
		Number: 7, Services: []*pb.PlanService{{Name: "a"}},
		Routes: []*pb.PlanRoute{
			{Name: "read", Host: "h", PathPrefix: "/read/", Idempotent: true, TimeoutMs: 2000, GoalMs: 500, MaxAttempts: 2, Targets: []*pb.PlanTarget{{Service: "a", Weight: 1}}},
			{Name: "write", Host: "h", PathPrefix: "/write/", TimeoutMs: 2000, GoalMs: 500, MaxAttempts: 2, Targets: []*pb.PlanTarget{{Service: "a", Weight: 1}}},
			{Name: "short", Host: "h", PathPrefix: "/short/", TimeoutMs: 100, GoalMs: 50, MaxAttempts: 2, Targets: []*pb.PlanTarget{{Service: "a", Weight: 1}}},
		},
	}
	return &mesh{view: controlclient.View{Plan: plan.NewTable(p, 1), Endpoints: make(map[string][]*controlclient.Endpoint), Nodes: 1, ConfirmedAt: time.Now()}}
}

func newTestPool() *meshhttp.Pool { return meshhttp.NewPool(nil, body.NewMemory(testMemory)) }

const testMemory = 16 << 20

func newTestEntry(m *mesh) *Entry {
	gate := NewGate(GateOptions{Headers: testHeaders, Publish: func(*pb.Announcement) {}}, m, newTestPool(), NewMetrics(metrics.NewSet()), log.NewNopLogger())
	return NewEntry(EntryOptions{
		Headers: testHeaders, Service: "caller", Node: "127.0.0.1:1", RetryBudgetPercent: 20, RetryBudgetExtra: 10, RetryBudgetWindow: 10 * time.Second,
	}, m, gate, newTestPool(), NewMetrics(metrics.NewSet()), log.NewNopLogger())
}

func send(e *Entry, path string) *meshhttp.Exchange { return sendBody(e, path, nil) }

func sendBody(e *Entry, path string, body []byte) *meshhttp.Exchange {
	return sendRequest(e, path, body, "", "")
}

// sendWith sends a request with one more header.
func sendWith(e *Entry, path, header, value string) *meshhttp.Exchange {
	return sendRequest(e, path, nil, header, value)
}

func sendRequest(e *Entry, path string, body []byte, header, value string) *meshhttp.Exchange {
	x := &meshhttp.Exchange{Received: time.Now()}
	if header != "" {
		x.Request.Header.Set(header, value)
	}
	x.Request.SetBody(body)
	x.Request.Header.SetHost("h")
	x.Request.Header.SetRequestURI(path)
	x.Request.Header.Set(testHeaders.ID, "id-1")
	x.Request.Header.Set(testHeaders.RemainingMs, "1500")
	e.Handle(context.Background(), x)
	return x
}
