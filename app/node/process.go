package node

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/calls"
	"github.com/rattanfield/rattanfield/app/follower"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/app/members"
	"github.com/rattanfield/rattanfield/app/moves"
	"github.com/rattanfield/rattanfield/core/drain"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	// stopNotice is the time from SIGTERM until callers have learned of the stop: the bound of 2 s in which other nodes
	// learn that an upstream leaves, or two readiness checks, a second apart, and a margin.
	stopNotice = 2400 * time.Millisecond
	// goneRecordDelay is the time allowed for the last record of this node to reach its relay.
	goneRecordDelay = 300 * time.Millisecond
	// closeTimeout bounds the wait for peer and admin requests; long polls may last longer and are aborted.
	closeTimeout = time.Second
)

type process struct {
	settings *settings.Node
	client   *rpc.Client
	members  *members.Members
	follower *follower.Follower
	recorder *moves.Recorder
	calls    *calls.Calls
	admin    *telemetry.Admin
	logger   log.Logger

	peerServer *rpc.Server
}

func newProcess(
	s *settings.Node, client *rpc.Client, m *members.Members, f *follower.Follower, r *moves.Recorder,
	c *calls.Calls, admin *telemetry.Admin, logger log.Logger,
) *process {
	return &process{
		settings: s, client: client, members: m, follower: f, recorder: r, calls: c, admin: admin, logger: logger,
		peerServer: rpc.NewServer(append(append(m.Handlers(), f.Handlers()...), c.Handler())...),
	}
}

// run serves until the context ends or a server or task fails, then drains and stops.
func (p *process) run(ctx context.Context) error {
	a := p.settings.Addresses
	listeners, err := listenAll(a.Entry, a.Gate, a.Peer, a.Admin)
	if err != nil {
		return err
	}
	servers := lifecycle.NewGroup(context.WithoutCancel(ctx))
	p.calls.Start(listeners[0], listeners[1])
	servers.Go("peer server", func(context.Context) error { return p.peerServer.Serve(listeners[2]) })
	servers.Go("admin server", func(context.Context) error { return p.admin.Serve(listeners[3]) })

	p.members.Publish(pb.EndpointState_ENDPOINT_STATE_STARTING, ports.UpstreamAnnouncement{})
	tasks := lifecycle.NewGroup(context.WithoutCancel(ctx))
	tasks.Go("endpoint table", p.members.Run)
	tasks.Go("configuration", p.follower.Run)
	tasks.Go("outcome reports", p.recorder.Run)
	_ = p.logger.Log("event", "started", "entry", a.Entry, "gate", a.Gate, "peer", a.Peer, "admin", a.Admin)

	select {
	case <-ctx.Done():
	case <-servers.Done():
	case <-tasks.Done():
	}
	err = p.drain()
	return p.stop(servers, tasks, err)
}

// drain stops the node without interrupting a request. The node first reports that it is
// not ready and announces that its upstream leaves, and serves as usual until callers can have
// noticed. Then it rejects new calls and finishes those in progress, with the nested calls of
// its upstream.
func (p *process) drain() error {
	s := drain.NewStop(time.Now(), p.settings.GraceTime.Std()-goneRecordDelay-closeTimeout, stopNotice)
	p.admin.AddReadiness("stopping", func() error { return eris.New("the node stops") })
	entry, gate := p.calls.OpenConnections()
	_ = p.logger.Log("event", "draining", "entry_connections", entry, "gate_connections", gate, "until", s.EndAt.Sub(s.Begin))
	err := p.calls.Stop(s)
	entry, gate = p.calls.OpenConnections()
	_ = p.logger.Log("event", "drained", "entry_connections", entry, "gate_connections", gate, "after", time.Since(s.Begin))
	if err != nil {
		return eris.Wrap(err, "drain the calls")
	}
	time.Sleep(goneRecordDelay)
	return nil
}

// stop ends the tasks and servers. It returns err, or else the first error of them.
func (p *process) stop(servers, tasks *lifecycle.Group, err error) error {
	if taskErr := tasks.Stop(); err == nil {
		err = taskErr
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = p.peerServer.Shutdown(ctx)
	_ = p.admin.Shutdown(ctx)
	if serveErr := servers.Stop(); err == nil {
		err = serveErr
	}
	p.client.Close()
	_ = p.logger.Log("event", "stopped", "err", err)
	return err
}

// listenAll listens on all addresses, or on none if one of them fails.
func listenAll(addresses ...string) ([]net.Listener, error) {
	out := make([]net.Listener, 0, len(addresses))
	for _, a := range addresses {
		l, err := lifecycle.Listen(a)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, eris.Wrapf(err, "listen on %s", a)
		}
		out = append(out, l)
	}
	return out, nil
}
