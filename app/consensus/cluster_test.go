package consensus

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const testWait = 20 * time.Second

var clusters atomic.Int32

// cluster runs hosts on loopback addresses and can isolate each of them.
type cluster struct {
	t       testing.TB
	dir     string
	members []*pb.Member
	tune    func(*Options)
	delay   func(from, to string) time.Duration

	mu    sync.Mutex
	cut   map[string]bool // ids of isolated hosts
	hosts map[string]*testHost
}

type testHost struct {
	*Host
	client   *rpc.Client
	server   *rpc.Server
	listener net.Listener
	cancel   context.CancelFunc
	ended    chan error
}

const hostPort = 17001

func newCluster(t testing.TB, regions ...string) *cluster {
	number := clusters.Add(1)
	c := &cluster{t: t, dir: t.TempDir(), cut: make(map[string]bool), hosts: make(map[string]*testHost)}
	for i, region := range regions {
		id := fmt.Sprintf("c%d", i+1)
		// Each host has its own address, and the port is outside the range of outgoing
		// connections, so that it is still free when a host that was down starts again.
		address := fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()%128, number%250+1, i+1, hostPort)
		c.members = append(c.members, &pb.Member{Id: id, Address: address, FailureDomain: id, Region: region, Voter: true})
		c.hosts[id] = nil
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			c.kill(m.GetId())
		}
	})
	return c
}

func (c *cluster) startAll() *cluster {
	for _, m := range c.members {
		c.start(m.GetId())
	}
	return c
}

func (c *cluster) blocked(from, toAddress string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[from] || slices.ContainsFunc(c.members, func(m *pb.Member) bool {
		return m.GetAddress() == toAddress && c.cut[m.GetId()]
	})
}

func (c *cluster) setCut(id string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[id] = cut
}

// topology classifies the links of one host by region.
type topology struct {
	c  *cluster
	id string
}

func (t topology) LinkTo(address string) ports.Link {
	for _, m := range t.c.members {
		if m.GetAddress() == address && m.GetRegion() != memberOf(t.c.members, t.id).GetRegion() {
			return ports.LinkRemote
		}
	}
	return ports.LinkRegion
}

// regionBytes returns the number of bytes sent between regions. Each connection is
// counted once, by the host that opened it.
func (c *cluster) regionBytes() uint64 {
	var sum uint64
	for _, h := range c.running() {
		b := h.client.Bytes(ports.LinkRemote)
		sum += b.Sent.Load() + b.Received.Load()
	}
	return sum
}

func (c *cluster) address(id string) string { return memberOf(c.members, id).GetAddress() }

func (c *cluster) start(id string) *testHost {
	c.t.Helper()
	l, err := lifecycle.Listen(c.address(id))
	if err != nil {
		c.t.Fatal(err)
	}
	options := rpc.Options{Blocked: func(to string) bool { return c.blocked(id, to) }, Topology: topology{c, id}}
	if c.delay != nil {
		options.Delay = func(to string) time.Duration { return c.delay(id, to) }
	}
	h := &testHost{client: rpc.NewClient(options), listener: l, ended: make(chan error, 1)}
	o := Options{
		ID: id, Members: c.members, DataDir: filepath.Join(c.dir, id), ElectionTimeout: 300 * time.Millisecond,
		HeartbeatInterval: 50 * time.Millisecond,
	}
	if c.tune != nil {
		c.tune(&o)
	}
	h.Host, err = New(o, h.client, log.NewNopLogger())
	if err != nil {
		c.t.Fatal(err)
	}
	h.server = rpc.NewServer(h.Handlers()...)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { _ = h.server.Serve(l) }()
	go func() { h.ended <- h.Run(ctx) }()
	c.mu.Lock()
	c.hosts[id] = h
	c.mu.Unlock()
	return h
}

// closeServer closes the server, and the listener in case the server does not use it yet.
func (h *testHost) closeServer() {
	_ = h.server.Close()
	_ = h.listener.Close()
}

// kill stops a host without a transfer of leadership.
func (c *cluster) kill(id string) {
	h := c.remove(id)
	if h == nil {
		return
	}
	h.closeServer()
	h.abort()
	<-h.ended
	h.client.Close()
}

// stop stops a host in an orderly way, with a transfer of leadership.
func (c *cluster) stop(id string) error {
	h := c.remove(id)
	h.cancel()
	err := <-h.ended
	h.closeServer()
	h.client.Close()
	return err
}

func (c *cluster) remove(id string) *testHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[id]
	c.hosts[id] = nil
	return h
}

func (c *cluster) running() []*testHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*testHost
	for _, m := range c.members {
		if h := c.hosts[m.GetId()]; h != nil {
			out = append(out, h)
		}
	}
	return out
}

func (c *cluster) waitFor(condition string, met func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testWait); !met(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			for _, h := range c.running() {
				c.t.Logf("%+v", h.Status())
			}
			c.t.Fatalf("timed out waiting for %s", condition)
		}
	}
}

func (c *cluster) leader() *testHost {
	c.t.Helper()
	var leader *testHost
	c.waitFor("a leader with a lease", func() bool {
		for _, h := range c.running() {
			if h.IsLeader() {
				leader = h
				return true
			}
		}
		return false
	})
	return leader
}

func (c *cluster) follower() *testHost {
	leader := c.leader()
	for _, h := range c.running() {
		if h != leader {
			return h
		}
	}
	c.t.Fatal("there is no follower")
	return nil
}

func putService(id string, expected uint64, name, version string) *pb.Command {
	s := &pb.Service{Name: name, ActiveVersion: version, Limits: &pb.Limits{Slots: 9}}
	change := &pb.Change{Change: &pb.Change_PutService{PutService: s}}
	return &pb.Command{
		CommandId: id, Operator: "op-" + id, ExpectedRevision: expected,
		Command: &pb.Command_SubmitConfiguration{SubmitConfiguration: &pb.SubmitConfiguration{Changes: []*pb.Change{change}}},
	}
}
