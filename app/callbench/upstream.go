package callbench

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/ports"
)

// upstream is a simulated upstream. Requests beyond its real slots share its
// capacity, so that all of them take longer.
type upstream struct {
	ports.Upstream
	node      *node
	listener  *trackingListener
	server    *fasthttp.Server
	realSlots int
	work      time.Duration

	running atomic.Int64
	calls   atomic.Int64
	busy    atomic.Int64 // sum of run times, ns
	dead    atomic.Bool
	renew   *time.Timer
}

// trackingListener keeps the connections, to end them as the exit of a process does.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept remembers the connection.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

// addUpstream starts an upstream at a node; handler nil only works.
func (n *node) addUpstream(realSlots, announcedSlots int, work time.Duration, handler fasthttp.RequestHandler) (*upstream, error) {
	return n.addUpstreamOf(serviceName, realSlots, announcedSlots, work, handler)
}

func (n *node) addUpstreamOf(service string, realSlots, announcedSlots int, work time.Duration, handler fasthttp.RequestHandler) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		node: n, listener: &trackingListener{Listener: l}, realSlots: realSlots, work: work,
		Upstream: ports.Upstream{
			Service: service, Version: versionName, Address: l.Addr().String(),
			Slots: announcedSlots, MaxConnections: 4096, Instance: l.Addr().String(),
		},
	}
	u.server = &fasthttp.Server{NoDefaultServerHeader: true, Logger: silent{}, Handler: func(ctx *fasthttp.RequestCtx) {
		u.run()
		if handler != nil {
			handler(ctx)
		}
	}}
	go func() { _ = u.server.Serve(u.listener) }()
	n.mesh.upstreams = append(n.mesh.upstreams, u)
	n.gate.Announce(u.Upstream)
	u.renew = time.AfterFunc(time.Hour, func() {
		if !u.dead.Load() {
			n.gate.Announce(u.Upstream)
			u.renew.Reset(time.Second)
		}
	})
	u.renew.Reset(time.Second)
	return u, nil
}

func (u *upstream) run() {
	running := u.running.Add(1)
	defer u.running.Add(-1)
	u.calls.Add(1)
	if u.work == 0 {
		return
	}
	start := time.Now()
	time.Sleep(time.Duration(float64(u.work) * max(1, float64(running)/float64(u.realSlots))))
	u.busy.Add(int64(time.Since(start)))
}

// kill ends the upstream at once, as a crash does.
func (u *upstream) kill() {
	u.dead.Store(true)
	u.renew.Stop()
	_ = u.listener.Close()
	u.listener.mu.Lock()
	defer u.listener.mu.Unlock()
	for _, c := range u.listener.conns {
		_ = c.Close()
	}
}

func (u *upstream) stop() {
	u.kill()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = u.server.ShutdownWithContext(ctx)
}

// silent drops the lines that a killed upstream would log for each connection.
type silent struct{}

// Printf drops the line.
func (silent) Printf(string, ...any) {}
