package callbench

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/httpproxy"
	"github.com/rattanfield/rattanfield/adapters/response"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	serviceName = "tower"
	versionName = "v1"
	slots       = 9
	stopTimeout = 5 * time.Second
)

// mesh is a set of nodes that share one configuration and one endpoint table.
type mesh struct {
	baseline   bool
	projection *config.Projection

	mu      sync.Mutex
	version uint64
	records map[string]*pb.EndpointRecord
	lists   map[string][]*pb.EndpointRecord // by service

	nodes     []*node
	upstreams []*upstream
}

// node is an entry and a gate with their servers.
type node struct {
	mesh                    *mesh
	id, entryAddr, gateAddr string
	entry                   *httpproxy.Entry
	gate                    *httpproxy.Gate
	entryServer, gateServer *httpproxy.Server
	stopOnce                sync.Once
}

// newMesh returns a mesh without nodes. Its configuration has the service serviceName and
// one service for each layer of nested calls.
func newMesh(baseline bool, limits *pb.Limits, layers int) (*mesh, error) {
	c := &pb.Configuration{
		Revision: 1,
		Services: []*pb.Service{{Name: serviceName, ActiveVersion: versionName, Limits: limits}},
		Routes: []*pb.Route{
			{Name: "climb", PathPrefix: "/climb", Service: serviceName, Idempotent: true},
			{Name: "fares", PathPrefix: "/fares", Service: serviceName},
		},
	}
	for i := range layers {
		c.Services = append(c.Services, &pb.Service{Name: layerService(i), ActiveVersion: versionName, Limits: limits})
		c.Routes = append(c.Routes, &pb.Route{
			Name: layerService(i), PathPrefix: fmt.Sprintf("/climb/%d/", i), Service: layerService(i), Idempotent: true,
		})
	}
	p, problems := config.NewProjection(c)
	if len(problems) > 0 {
		return nil, eris.Errorf("callbench: configuration: %v", problems)
	}
	return &mesh{baseline: baseline, projection: p, records: make(map[string]*pb.EndpointRecord)}, nil
}

func layerService(i int) string { return fmt.Sprint("layer-", i) }

// Projection returns the configuration of all nodes.
func (m *mesh) Projection() *config.Projection { return m.projection }

// FloorKnown returns true, because the configuration never changes.
func (m *mesh) FloorKnown() bool { return true }

// Endpoints returns the serving endpoints of a service and the version of the table.
func (m *mesh) Endpoints(service string) ([]*pb.EndpointRecord, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lists[service], m.version
}

// Publish updates the endpoint table, which all entries read.
func (n *node) Publish(state pb.EndpointState, u ports.UpstreamAnnouncement) {
	m := n.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records[n.id] = &pb.EndpointRecord{
		NodeId: n.id, GateAddress: n.gateAddr, State: state, Service: u.Service, Version: u.Version, Slots: uint32(u.Slots),
	}
	m.version++
	m.lists = make(map[string][]*pb.EndpointRecord)
	for _, other := range m.nodes {
		if r := m.records[other.id]; r.GetState() == pb.EndpointState_ENDPOINT_STATE_SERVING {
			m.lists[r.GetService()] = append(m.lists[r.GetService()], r)
		}
	}
}

// Spread merges the suspects of this gate into all other gates.
func (n *node) Spread(records []*pb.SuspectRecord) {
	for _, other := range n.mesh.nodes {
		if other != n {
			other.gate.Merge(records)
		}
	}
}

// addNode starts a node without an upstream.
func (m *mesh) addNode(seed uint64) (*node, error) {
	el, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	gl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{mesh: m, id: fmt.Sprint("node-", len(m.nodes)), entryAddr: el.Addr().String(), gateAddr: gl.Addr().String()}
	nestedFailures := httpproxy.NewFailedNestedCalls()
	if m.baseline {
		nestedFailures = nil
	}
	n.entry = httpproxy.NewEntry(httpproxy.EntryOptions{Seed: seed, Baseline: m.baseline},
		httpproxy.EntryDependencies{Configuration: m, Endpoints: m, NestedFailures: nestedFailures})
	n.gate = httpproxy.NewGate(httpproxy.GateOptions{Baseline: m.baseline},
		httpproxy.GateDependencies{Configuration: m, Local: n, Suspects: n, NestedFailures: nestedFailures})
	n.entryServer, n.gateServer = httpproxy.NewServer(n.entry.Handler()), httpproxy.NewServer(n.gate.Handler())
	go func() { _ = n.entryServer.Serve(el) }()
	go func() { _ = n.gateServer.Serve(gl) }()
	m.nodes = append(m.nodes, n)
	return n, nil
}

// stop performs a planned stop of the node: the gate first, then the entry.
func (n *node) stop() {
	n.stopOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = n.gate.Shutdown(ctx)
		_ = n.gateServer.Shutdown(ctx)
		_ = n.entryServer.Shutdown(ctx)
		_ = n.entry.Shutdown(ctx)
	})
}

// close stops all nodes and upstreams. Entries close their connections first, so that gates
// need not wait for idle ones.
func (m *mesh) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, n := range m.nodes {
		wg.Go(func() { _ = n.entry.Shutdown(ctx) })
	}
	wg.Wait()
	for _, n := range m.nodes {
		wg.Go(n.stop)
	}
	wg.Wait()
	for _, u := range m.upstreams {
		wg.Go(u.stop)
	}
	wg.Wait()
}

// caller sends calls over persistent connections and never retries them.
type caller struct{ client *fasthttp.HostClient }

func newCaller(address string) *caller {
	return &caller{client: &fasthttp.HostClient{
		Addr: address, MaxConns: 8192, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Minute,
		NoDefaultUserAgentHeader: true, Dial: response.Dial(fasthttp.Dial),
	}}
}

type result struct {
	status  int
	ran     string // value of httpproxy.HeaderRan
	reason  string
	latency time.Duration
	err     error
}

// call sends a POST request. deadline 0 sends no deadline header; headers alternate between
// name and value.
func (c *caller) call(path, body string, deadline time.Duration, headers ...string) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.client.Addr + path)
	if deadline > 0 {
		req.Header.Set(httpproxy.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBodyString(body)
	start := time.Now()
	err := c.client.Do(req, resp)
	return result{
		status: resp.StatusCode(), ran: string(resp.Header.Peek(httpproxy.HeaderRan)),
		reason: string(resp.Header.Peek(httpproxy.HeaderReason)), latency: time.Since(start), err: err,
	}
}
