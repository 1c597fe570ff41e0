package meshnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/app/consensus"
	"github.com/rattanfield/rattanfield/app/meshcontrol"
	"github.com/rattanfield/rattanfield/core/plan"
	"github.com/rattanfield/rattanfield/core/suspects"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	clusterDomains = 3
	// restartTime is how long an upstream of the cluster is away after it has ended.
	restartTime      = 300 * time.Millisecond
	announceInterval = 200 * time.Millisecond
	runTime          = 20 * time.Millisecond // of an ordinary request
	noResponse       = -1                    // status if no response came
)

// cluster is a mesh in this process: control hosts, and nodes with one upstream each.
type cluster struct {
	t       *testing.T
	seeds   []string
	submit  func(*pb.Command) *pb.CommandResult // to one of the control hosts
	mu      sync.Mutex                          // guards changes of nodes, which announceAll reads
	nodes   []*clusterNode
	arrived func(path, id string)  // called with each request that an upstream begins to run; it may be nil
	ends    func(path string) bool // whether a request ends its upstream
	history history
	log     lines // of the nodes
	control atomic.Pointer[consensus.Host]

	controlHosts [clusterDomains]atomic.Pointer[consensus.Host]
	startControl []func() (stop func())
	stopControl  []func()
}

// lines keeps the log lines of the nodes, to explain requests that were not served.
type lines struct {
	mu   sync.Mutex
	text []string
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, string(b))
	return len(b), nil
}

// of returns the lines that name a request.
func (l *lines) of(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	for _, line := range l.text {
		if strings.Contains(line, "request="+id+" ") || strings.Contains(line, id+"/") {
			b.WriteString("\n" + line)
		}
	}
	return b.String()
}

// history records which upstreams ran the requests and when upstreams ended, to explain requests that were not served.
type history struct {
	mu   sync.Mutex
	runs map[string][]upstreamRun // by request id
	ends map[string]time.Time     // by instance
}

type upstreamRun struct {
	instance string
	begin    time.Time
}

func (h *history) ran(id, instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id] = append(h.runs[id], upstreamRun{instance, time.Now()})
}

func (h *history) ended(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends[instance] = time.Now()
}

// describe returns the upstreams that ran a request: for how long until now, and how long after the begin they ended.
func (h *history) describe(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var b strings.Builder
	for _, r := range h.runs[id] {
		fmt.Fprintf(&b, " ran on %s %v ago", r.instance, time.Since(r.begin).Round(time.Millisecond))
		if end, ok := h.ends[r.instance]; ok {
			fmt.Fprintf(&b, ", which ended %v later", end.Sub(r.begin).Round(time.Millisecond))
		}
	}
	return b.String()
}

// clusterNode is a node with its upstream.
type clusterNode struct {
	cluster *cluster
	host    string // IP
	domain  string
	entry   string
	address string // of the upstream
	process atomic.Pointer[Process]

	stopNode func()

	mu       sync.Mutex
	server   *http.Server
	instance string
	born     int64
	starts   int
}

// Ports of the processes of a cluster. Each process has a loopback address of its own.
const (
	portEntry = 17101 + iota
	portGate
	portPeer
	portMetrics
	portUpstream
)

var loopbackHosts atomic.Int32 // used by the tests of this process

// newHost returns a loopback address that no other process of a cluster has.
func newHost() string {
	n := loopbackHosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 200+n/200, 1+n%200)
}

func at(host string, port int) string { return fmt.Sprint(host, ":", port) }

// newCluster starts a control host in each failure domain, the nodes and their upstreams, and waits until all nodes serve.
func newCluster(t *testing.T, nodes int, arrived func(path, id string)) *cluster {
	c := &cluster{t: t, arrived: arrived, ends: isCrashing, history: history{runs: make(map[string][]upstreamRun), ends: make(map[string]time.Time)}}
	var ips []string
	for range clusterDomains {
		ips = append(ips, newHost())
		c.seeds = append(c.seeds, at(ips[len(ips)-1], portPeer))
	}
	for i, address := range c.seeds {
		dir := t.TempDir()
		c.startControl = append(c.startControl, func() (stop func()) {
			return c.run(func(ctx context.Context) error {
				return meshcontrol.Run(ctx, meshcontrol.Options{
					PeerAddress: address, MetricsAddress: at(ips[i], portMetrics), FailureDomain: fmt.Sprint("d", i), Region: "r", DataDir: dir,
					Founders: c.seeds, Seeds: func() []string { return c.seeds },
					ExtraHandlers: func(p *meshcontrol.Process) map[string]fasthttp.RequestHandler {
						c.controlHosts[i].Store(p.Host)
						c.control.Store(p.Host)
						return map[string]fasthttp.RequestHandler{}
					},
				}, log.NewNopLogger())
			})
		})
		c.stopControl = append(c.stopControl, c.startControl[i]())
	}
	hosts := &c.controlHosts
	eventually(t, "the plan is accepted", func() bool {
		h := hosts[0].Load()
		return h != nil && h.Submit(t.Context(), clusterPlan(t)).GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED
	})
	c.submit = func(command *pb.Command) *pb.CommandResult { return hosts[0].Load().Submit(t.Context(), command) }
	for range nodes {
		c.addNode()
	}
	c.run(func(ctx context.Context) error { c.announceAll(ctx); return nil })
	for _, n := range c.nodes {
		eventually(t, "the node serves and knows all upstreams", func() bool {
			p := n.process.Load()
			return p != nil && len(p.control.View().Endpoints["a"]) == nodes && n.get("/r/first", "first", time.Second) == http.StatusOK
		})
	}
	return c
}

// addNode starts a node with its upstream.
func (c *cluster) addNode() *clusterNode {
	n := &clusterNode{cluster: c, host: newHost(), domain: fmt.Sprint("d", len(c.nodes)%clusterDomains)}
	n.entry, n.address = at(n.host, portEntry), at(n.host, portUpstream)
	n.startNode()
	n.startUpstream()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, n)
	return n
}

// awaitRejected waits until all nodes reject one request as a suspect.
func (c *cluster) awaitRejected() {
	for _, n := range c.nodes {
		eventually(c.t, "the node rejects the suspect", func() bool { return n.process.Load().gate.Suspects().Count(suspects.Reject) == 1 })
	}
}

// run runs f until the test ends or stop is called.
func (c *cluster) run(f func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f(ctx); err != nil && ctx.Err() == nil {
			c.t.Error(err)
		}
	}()
	stop = func() { cancel(); <-done }
	c.t.Cleanup(stop)
	return stop
}

func clusterPlan(t *testing.T) *pb.Command {
	p := &pb.Plan{
		Number: 1, Services: []*pb.PlanService{{Name: "a"}},
		Routes: []*pb.PlanRoute{
			{Name: "read", Host: "h", PathPrefix: "/r/", Idempotent: true, TimeoutMs: 1500, GoalMs: 500, MaxAttempts: 2, Targets: []*pb.PlanTarget{{Service: "a", Weight: 1}}},
			{Name: "write", Host: "h", PathPrefix: "/w/", TimeoutMs: 1500, GoalMs: 500, MaxAttempts: 2, Targets: []*pb.PlanTarget{{Service: "a", Weight: 1}}},
		},
	}
	payload, digest, err := plan.Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	return &pb.Command{CommandId: "plan", Operator: "test", Command: &pb.Command_ReplacePlan{ReplacePlan: &pb.ReplacePlan{Number: 1, Payload: payload, Digest: digest}}}
}

// startNode starts the process of a node.
func (n *clusterNode) startNode() {
	n.stopNode = n.cluster.run(func(ctx context.Context) error {
		return Run(ctx, Options{
			EntryAddress: n.entry, GateAddress: at(n.host, portGate), PeerAddress: at(n.host, portPeer), MetricsAddress: at(n.host, portMetrics),
			FailureDomain: n.domain, Region: "r", Service: "a",
			Seeds: func() []string { return n.cluster.seeds }, Headers: testHeaders, DrainBound: 2 * time.Second, LostAfter: 5 * announceInterval,
			RetryBudgetPercent: 100, RetryBudgetExtra: 600, RetryBudgetWindow: 10 * time.Second, StopBound: 700 * time.Millisecond, StopNotice: 10 * time.Millisecond,
			ExtraHandlers: func(p *Process) map[string]fasthttp.RequestHandler { n.process.Store(p); return nil },
		}, log.With(log.NewLogfmtLogger(&n.cluster.log), "node", n.host))
	})
}

// startUpstream starts the process of an upstream, with a new id.
func (n *clusterNode) startUpstream() {
	var l net.Listener
	eventually(n.cluster.t, "the upstream listens", func() bool {
		var err error
		l, err = net.Listen("tcp", n.address)
		return err == nil
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	n.instance, n.born = fmt.Sprint(n.address, "-", n.starts), time.Now().UnixMilli()
	n.server = &http.Server{Handler: n.handler(n.instance), ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.cluster.t.Error(err)
		}
	}(n.server)
	n.cluster.t.Cleanup(func() { _ = n.server.Close() })
}

// handler serves requests. Those for crashing paths end the process of the upstream.
func (n *clusterNode) handler(instance string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(testHeaders.ID)
		w.Header().Set(testHeaders.ID, id)
		w.Header().Set(testHeaders.Signature, "s")
		if r.Header.Get(testHeaders.ExpectInstance) != instance {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		n.cluster.history.ran(id, instance)
		if n.cluster.arrived != nil {
			n.cluster.arrived(r.URL.RequestURI(), id)
		}
		time.Sleep(runTime)
		if n.cluster.ends(r.URL.Path) {
			n.endUpstream(instance)
			return
		}
		_, _ = w.Write([]byte("ok"))
	}
}

// isCrashing reports whether requests for a path end the upstreams that run them.
func isCrashing(path string) bool { return path == "/r/crash" || path == "/w/crash" }

// endUpstream ends the process of the upstream if it is still this one. Another one starts after restartTime.
func (n *clusterNode) endUpstream(instance string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.instance != instance {
		return
	}
	n.instance = ""
	n.cluster.history.ended(instance)
	_ = n.server.Close()
	time.AfterFunc(restartTime, func() {
		if n.cluster.t.Context().Err() == nil {
			n.startUpstream()
		}
	})
}

// announceAll sends the announcements of all upstreams until the context ends.
func (c *cluster) announceAll(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for seq := uint64(1); ; seq++ {
		c.mu.Lock()
		nodes := slices.Clone(c.nodes)
		c.mu.Unlock()
		for _, n := range nodes {
			n.mu.Lock()
			a := &pb.Announcement{
				Instance: n.instance, Service: "a", Address: n.address, FailureDomain: "d", Version: "v1", Slots: 8, State: pb.UpstreamState_UPSTREAM_STATE_SERVING,
				Seq: seq, BornUnixMs: n.born,
			}
			n.mu.Unlock()
			if p := n.process.Load(); p != nil && a.GetInstance() != "" {
				_ = p.Announce(ctx, a)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// get sends a request to the entry of a node on a new connection and returns the status.
func (n *clusterNode) get(path, id string, limit time.Duration) int {
	resp := n.send(http.MethodGet, path, id, limit)
	defer fasthttp.ReleaseResponse(resp)
	return resp.StatusCode()
}

// send is get with a method, and returns the whole response, with the status noResponse if none came.
func (n *clusterNode) send(method, path, id string, limit time.Duration) *fasthttp.Response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + n.entry + path)
	req.Header.SetHost("h")
	req.UseHostHeader = true
	req.SetConnectionClose()
	req.Header.Set(testHeaders.ID, id)
	req.Header.Set(testHeaders.RemainingMs, fmt.Sprint(limit.Milliseconds()))
	client := fasthttp.Client{NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(req, resp, limit+500*time.Millisecond); err != nil {
		resp.SetStatusCode(noResponse)
	}
	return resp
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}
