package calls

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/rattanfield/rattanfield/adapters/httpproxy"
	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

func TestMain(m *testing.M) {
	// fasthttp keeps these goroutines until the process ends.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// cluster is a group of nodes with real listeners and a shared endpoint table.
type cluster struct {
	t          testing.TB
	projection atomic.Pointer[config.Projection]
	mu         sync.Mutex
	version    uint64
	records    map[string]*pb.EndpointRecord
	nodes      map[string]*testNode
	blocked    sync.Map // messages that are dropped, as "node id>peer address"
}

type testNode struct {
	account *memory.Account // of its connections
	*Calls
	cluster   *cluster
	id        string
	entryAddr string
	gateAddr  string
	peerAddr  string
	peer      *rpc.Server
	client    *rpc.Client
	delay     atomic.Int64 // delay of each message to other nodes in nanoseconds
	upstream  *announcingUpstream
}

// setService stores a configuration with this service. Its ledger group changed long
// after the nodes started, so that members are ready at once.
func (c *cluster) setService(s *pb.Service) {
	p, problems := config.NewProjection(&pb.Configuration{Revision: 1, Services: []*pb.Service{s}, Routes: []*pb.Route{
		{Name: "fares", PathPrefix: "/fares", Service: "tills"},
		{Name: "climb", PathPrefix: "/climb", Service: "tills", Idempotent: true},
	}})
	if len(problems) > 0 {
		c.t.Fatal(problems)
	}
	c.projection.Store(p)
}

// sameDomain makes gates ask the smallest majority first, so that as few members as possible hold a claim.
func sameDomain(string) ports.Link { return ports.LinkDomain }

func tillsService() *pb.Service {
	return &pb.Service{
		Name: "tills", ActiveVersion: "v1", Limits: &pb.Limits{Slots: 9, MaxQueue: 64, TimeoutMs: 1500},
		LedgerMembers: []string{"n1", "n2", "n3"}, LedgerChangedUnixMs: time.Now().UnixMilli(),
	}
}

func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{t: t, records: make(map[string]*pb.EndpointRecord), nodes: make(map[string]*testNode)}
	c.setService(tillsService())
	for i := range n {
		c.start(fmt.Sprint("n", i+1), time.Now().Add(-time.Hour))
	}
	t.Cleanup(func() {
		for id := range c.nodes {
			c.stop(id)
		}
	})
	return c
}

func (c *cluster) Projection() *config.Projection { return c.projection.Load() }
func (c *cluster) FloorKnown() bool               { return true }

func (c *cluster) Endpoints(string) (list []*pb.EndpointRecord, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records {
		if r.GetState() == pb.EndpointState_ENDPOINT_STATE_SERVING {
			list = append(list, r)
		}
	}
	return list, c.version
}

func (c *cluster) PeerAddress(id string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[id]
	if n == nil {
		return "", false
	}
	return n.peerAddr, true
}

func (n *testNode) Publish(state pb.EndpointState, u ports.UpstreamAnnouncement) {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.records[n.id] = &pb.EndpointRecord{
		NodeId: n.id, GateAddress: n.gateAddr, PeerAddress: n.peerAddr, State: state,
		Service: u.Service, Version: u.Version, Slots: uint32(u.Slots),
	}
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// start starts a node; started is the start time that its ledger member assumes for the process.
func (c *cluster) start(id string, started time.Time) *testNode {
	entryListener, gateListener, peerListener := listen(c.t), listen(c.t), listen(c.t)
	n := &testNode{cluster: c, id: id, entryAddr: entryListener.Addr().String(), gateAddr: gateListener.Addr().String(), peerAddr: peerListener.Addr().String()}
	n.client = rpc.NewClient(rpc.Options{Blocked: func(a string) bool {
		_, cut := c.blocked.Load(id + ">" + a)
		return cut
	}, Delay: func(string) time.Duration { return time.Duration(n.delay.Load()) }})
	n.account = memory.NewAccount(256<<20, 128<<20)
	n.Calls = New(
		Options{NodeID: id, Incarnation: started.UnixNano(), Started: started, Seed: 7, LinkTo: sameDomain},
		Dependencies{Configuration: c, Endpoints: c, Local: n, Peers: c, HTTP: n.client.HTTP(), Resources: httpproxy.NewResources(n.account, 128<<20)},
	)
	n.Start(entryListener, gateListener)
	n.peer = rpc.NewServer(n.Handler())
	go func() { _ = n.peer.Serve(peerListener) }()
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	return n
}

func (c *cluster) stop(id string) {
	n := c.nodes[id]
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = n.Shutdown(ctx)
	_ = n.peer.Close()
	n.client.Close()
}

// crash stops a node without a graceful shutdown.
func (c *cluster) crash(id string) {
	n := c.nodes[id]
	_ = n.peer.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.Shutdown(ctx)
	n.client.Close()
}

// blockMessages drops all messages from one node to the others.
func (c *cluster) blockMessages(from string, to ...string) {
	for _, id := range to {
		c.blocked.Store(from+">"+c.nodes[id].peerAddr, true)
	}
}

// announcingUpstream is an upstream that the test announces to its node every second.
type announcingUpstream struct {
	server *httpproxy.Server
	ports.UpstreamAnnouncement
	listener      net.Listener
	announceTimer *time.Timer
}

// executions counts how often each request body was run, over all upstreams.
type executions struct {
	mu   sync.Mutex
	runs map[string]int
}

func (e *executions) add(body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs == nil {
		e.runs = make(map[string]int)
	}
	e.runs[body]++
	return e.runs[body]
}

func (e *executions) count(body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[body]
}

// announce starts an upstream on the node and announces it every second.
func (n *testNode) announce(handler fasthttp.RequestHandler) *announcingUpstream {
	l := listen(n.cluster.t)
	u := &announcingUpstream{listener: l, server: httpproxy.NewServer(handler), UpstreamAnnouncement: ports.UpstreamAnnouncement{
		Service: "tills", Version: "v1", Address: l.Addr().String(), Slots: 9, Instance: l.Addr().String(),
	}}
	go func() { _ = u.server.Serve(l) }()
	n.upstream = u
	n.cluster.t.Cleanup(u.stop)
	n.Gate().Announce(u.UpstreamAnnouncement)
	u.announceTimer = time.AfterFunc(time.Hour, func() {
		n.Gate().Announce(u.UpstreamAnnouncement)
		u.announceTimer.Reset(time.Second)
	})
	u.announceTimer.Reset(time.Second)
	return u
}

func (u *announcingUpstream) stop() {
	u.announceTimer.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = u.server.Shutdown(ctx)
}

type reply struct {
	status      int
	ran, reason string
	body        string
	replayed    bool
	err         error
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}

// send makes one call. It uses a new connection, on which the HTTP client never resends by itself.
func send(address, path, key, body string) reply {
	return sendWithDeadline(address, path, key, body, "")
}

func sendWithDeadline(address, path, key, body, deadlineMs string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if key != "" {
		req.Header.Set(httpproxy.HeaderIdempotencyKey, key)
	}
	if deadlineMs != "" {
		req.Header.Set(httpproxy.HeaderDeadline, deadlineMs)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	h := resp.Header
	return reply{
		status: resp.StatusCode, ran: h.Get(httpproxy.HeaderRan), reason: h.Get(httpproxy.HeaderReason),
		body: string(b), replayed: h.Get(httpproxy.HeaderReplayed) != "", err: err,
	}
}

// resend repeats a call until its outcome has reached the ledger: while the status
// is 409, at most 100 times.
func resend(address, path, key, body string) reply {
	for range 100 {
		if r := send(address, path, key, body); r.status != 409 {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
	return send(address, path, key, body)
}
