package httpproxy

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

func TestMain(m *testing.M) {
	// fasthttp keeps these goroutines running until the process exits.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// mesh is the configuration and the endpoint table that all nodes of a test share.
type mesh struct {
	t          testing.TB
	projection atomic.Pointer[config.Projection]
	mu         sync.Mutex
	version    uint64
	records    map[string]*pb.EndpointRecord
	list       []*pb.EndpointRecord
	claims     ports.ClaimKeeper
	spread     func([]*pb.SuspectRecord)
	baseline   bool
	nodes      []*node
	upstreams  []*testUpstream
}

func newMesh(t testing.TB, edit func(s *pb.Service)) *mesh {
	m := &mesh{t: t, records: make(map[string]*pb.EndpointRecord)}
	s := &pb.Service{
		Name: "bookings", ActiveVersion: "v1",
		Limits: &pb.Limits{Slots: 9, MaxConnections: 120, MaxQueue: 64, TimeoutMs: 2000, MaxRequestBytes: 1 << 20},
	}
	if edit != nil {
		edit(s)
	}
	p, problems := config.NewProjection(&pb.Configuration{Revision: 1, Services: []*pb.Service{s}, Routes: []*pb.Route{
		{Name: "climb", PathPrefix: "/climb", Service: "bookings", Idempotent: true},
		{Name: "fares", PathPrefix: "/fares", Service: "bookings"},
	}})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	m.projection.Store(p)
	t.Cleanup(m.close)
	return m
}

// close stops all nodes, then all upstreams. It closes the client connections first, so that
// the servers do not wait for them.
func (m *mesh) close() {
	for _, n := range m.nodes {
		n.entry.pool.close()
	}
	var wg sync.WaitGroup
	for _, n := range m.nodes {
		wg.Go(n.stop)
	}
	wg.Wait()
	for _, u := range m.upstreams {
		wg.Go(u.stop)
	}
	wg.Wait()
}

func (m *mesh) Projection() *config.Projection { return m.projection.Load() }
func (m *mesh) FloorKnown() bool               { return true }

func (m *mesh) Endpoints(string) ([]*pb.EndpointRecord, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list, m.version
}

func (m *mesh) set(r *pb.EndpointRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records[r.GetNodeId()] = r
	m.version++
	m.list = nil
	for _, r := range m.records {
		if r.GetState() == pb.EndpointState_ENDPOINT_STATE_SERVING {
			m.list = append(m.list, r)
		}
	}
}

// node is an entry and a gate with real listeners.
type node struct {
	mesh                   *mesh
	id                     string
	entry                  *Entry
	gate                   *Gate
	entryServer            *Server
	gateServer             *Server
	entryAddress, gateAddr string
	stopOnce               sync.Once
	silent                 atomic.Bool // its state is not published to the entries
}

func (n *node) Publish(state pb.EndpointState, u ports.UpstreamAnnouncement) {
	if n.silent.Load() {
		return
	}
	n.mesh.set(&pb.EndpointRecord{
		NodeId: n.id, GateAddress: n.gateAddr, State: state, Service: u.Service, Version: u.Version, Slots: uint32(u.Slots),
	})
}

func (n *node) Spread(records []*pb.SuspectRecord) {
	if n.mesh.spread != nil {
		n.mesh.spread(records)
	}
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (m *mesh) node(id string) *node {
	n := &node{mesh: m, id: id}
	nested := NewFailedNestedCalls()
	el, gl := listen(m.t), listen(m.t)
	n.entryAddress, n.gateAddr = el.Addr().String(), gl.Addr().String()
	n.entry = NewEntry(EntryOptions{Seed: 1}, EntryDependencies{Configuration: m, Endpoints: m, NestedFailures: nested})
	n.gate = NewGate(GateOptions{Baseline: m.baseline}, GateDependencies{Configuration: m, Local: n, Claims: m.claims, Suspects: n, NestedFailures: nested})
	n.entryServer, n.gateServer = NewServer(n.entry.Handler()), NewServer(n.gate.Handler())
	go func() { _ = n.entryServer.Serve(el) }()
	go func() { _ = n.gateServer.Serve(gl) }()
	m.nodes = append(m.nodes, n)
	return n
}

// stop shuts the node down in the same order as app/calls.
func (n *node) stop() {
	n.stopOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = n.gate.Shutdown(ctx)
		_ = n.gateServer.Shutdown(ctx)
		_ = n.entryServer.Shutdown(ctx)
		_ = n.entry.Shutdown(ctx)
	})
}

// testUpstream is an upstream whose handler the test supplies.
type testUpstream struct {
	ports.UpstreamAnnouncement
	server   *Server
	listener net.Listener
	runs     atomic.Int64
	active   atomic.Int64
}

func (n *node) upstream(handler fasthttp.RequestHandler) *testUpstream {
	l := listen(n.mesh.t)
	u := &testUpstream{listener: l, UpstreamAnnouncement: ports.UpstreamAnnouncement{
		Service: "bookings", Version: "v1", Address: l.Addr().String(), Slots: 9, MaxConnections: 120, Instance: l.Addr().String(),
	}}
	u.server = NewServer(func(ctx *fasthttp.RequestCtx) {
		u.runs.Add(1)
		u.active.Add(1)
		defer u.active.Add(-1)
		handler(ctx)
	})
	go func() { _ = u.server.Serve(l) }()
	n.mesh.upstreams = append(n.mesh.upstreams, u)
	n.gate.Announce(u.UpstreamAnnouncement)
	return u
}

func (u *testUpstream) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = u.server.Shutdown(ctx)
}

// kill closes all sockets of the upstream, as the exit of its process would.
func (u *testUpstream) kill() {
	_ = u.listener.Close()
	u.server.mu.Lock()
	defer u.server.mu.Unlock()
	for c := range u.server.conns {
		_ = c.Conn.Close()
	}
}

func testMemory() *body.Memory { return body.NewMemory(responseMemory) }

// rawUpstream announces an upstream that passes each accepted connection to serve.
func (n *node) rawUpstream(serve func(c net.Conn)) net.Listener {
	l := listen(n.mesh.t)
	n.mesh.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	n.gate.Announce(ports.UpstreamAnnouncement{Service: "bookings", Version: "v1", Address: l.Addr().String(), Slots: 9, Instance: "raw" + l.Addr().String()})
	return l
}

type reply struct {
	status int
	ran    string
	reason Reason
	body   string
	header func(string) string
	err    error
}

type header map[string]string

// send makes one call without retries.
func send(address, method, path, body string, h header) reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(address)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	req.Header.Set(HeaderCallID, "any")
	for k, v := range h {
		req.Header.Set(k, v)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	_, failure := newClientConn(c, testMemory()).roundTrip(&exchange{request: req, response: resp, deadline: time.Now().Add(5 * time.Second), id: "any"})
	if failure != nil {
		return reply{err: failure}
	}
	return reply{
		status: resp.StatusCode(), ran: string(resp.Header.Peek(HeaderRan)), reason: Reason(resp.Header.Peek(HeaderReason)),
		body: string(resp.Body()), header: func(k string) string { return string(resp.Header.Peek(k)) },
	}
}

func echo(ctx *fasthttp.RequestCtx) {
	_, _ = fmt.Fprintf(ctx, "%s %s %s", ctx.Method(), ctx.RequestURI(), bytes.Clone(ctx.PostBody()))
}

// Checks that a call reaches the upstream through entry and gate, that the response comes back
// unchanged, and that calls without route or endpoint are rejected.
func TestCallThroughEntryAndGate(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil)
	a, b := m.node("a"), m.node("b")
	b.upstream(echo)
	r := send(a.entryAddress, "POST", "/fares/7%2F8?x=1", "fare", nil)
	is.NoErr(r.err)
	is.Equal(r.body, "POST /fares/7%2F8?x=1 fare")
	is.Equal(r.status, 200)
	is.Equal(r.ran, RanRun)
	is.Equal(r.header(HeaderLoad), "")
	r = send(a.entryAddress, "GET", "/elsewhere", "", nil)
	is.Equal([]any{r.status, r.ran, r.reason}, []any{404, RanNotRun, ReasonNoRoute})
	is.True(b.gate.DrainUpstream(b.gate.upstream.announced, time.Second))
	r = send(a.entryAddress, "GET", "/climb", "", nil)
	is.Equal([]any{r.status, r.ran, r.reason}, []any{503, RanNotRun, ReasonNoEndpoint})
}
