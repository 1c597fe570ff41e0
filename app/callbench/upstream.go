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

// upstream is a simulated upstream with a capacity of realSlots. When more requests run, they
// share the capacity and take longer.
type upstream struct {
	ports.UpstreamAnnouncement
	node      *node
	listener  *trackingListener
	server    *fasthttp.Server
	realSlots int
	workTime  time.Duration

	running       atomic.Int64
	calls         atomic.Int64
	busyTime      atomic.Int64 // sum of run times, ns
	killed        atomic.Bool
	announceTimer *time.Timer
}

// trackingListener records its connections, so that kill can close them as the exit of a
// process does.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept records the connection that it returns.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

// addUpstream starts an upstream of serviceName at the node. Each request takes the work
// time and is then passed to the handler, which may be nil.
func (n *node) addUpstream(realSlots, announcedSlots int, work time.Duration, handler fasthttp.RequestHandler) (*upstream, error) {
	return n.addUpstreamOf(serviceName, realSlots, announcedSlots, work, handler)
}

func (n *node) addUpstreamOf(service string, realSlots, announcedSlots int, work time.Duration, handler fasthttp.RequestHandler) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		node: n, listener: &trackingListener{Listener: l}, realSlots: realSlots, workTime: work,
		UpstreamAnnouncement: ports.UpstreamAnnouncement{
			Service: service, Version: versionName, Address: l.Addr().String(),
			Slots: announcedSlots, MaxConnections: 4096, Instance: l.Addr().String(),
		},
	}
	u.server = &fasthttp.Server{NoDefaultServerHeader: true, Logger: discardLogger{}, Handler: func(ctx *fasthttp.RequestCtx) {
		u.run()
		if handler != nil {
			handler(ctx)
		}
	}}
	go func() { _ = u.server.Serve(u.listener) }()
	n.mesh.upstreams = append(n.mesh.upstreams, u)
	n.gate.Announce(u.UpstreamAnnouncement)
	u.announceTimer = time.AfterFunc(time.Hour, func() {
		if !u.killed.Load() {
			n.gate.Announce(u.UpstreamAnnouncement)
			u.announceTimer.Reset(time.Second)
		}
	})
	u.announceTimer.Reset(time.Second)
	return u, nil
}

func (u *upstream) run() {
	running := u.running.Add(1)
	defer u.running.Add(-1)
	u.calls.Add(1)
	if u.workTime == 0 {
		return
	}
	start := time.Now()
	time.Sleep(time.Duration(float64(u.workTime) * max(1, float64(running)/float64(u.realSlots))))
	u.busyTime.Add(int64(time.Since(start)))
}

// kill closes the listener and all connections at once, as a crash does.
func (u *upstream) kill() {
	u.killed.Store(true)
	u.announceTimer.Stop()
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

// discardLogger discards the lines that a killed upstream would log for each connection.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}
