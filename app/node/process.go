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
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	// drainTimeout bounds the end of accepted calls; it is longer than the largest default timeout of a call.
	drainTimeout = 30 * time.Second
	// goneSpread is the time in which the last record of this node reaches its relay.
	goneSpread = 300 * time.Millisecond
	// closeTimeout bounds the end of peer requests; long polls may last longer and are cut.
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

	p.members.Publish(pb.EndpointState_ENDPOINT_STATE_STARTING, ports.Upstream{})
	duties := lifecycle.NewGroup(context.WithoutCancel(ctx))
	duties.Go("endpoint table", p.members.Run)
	duties.Go("configuration", p.follower.Run)
	duties.Go("outcome reports", p.recorder.Run)
	_ = p.logger.Log("event", "started", "entry", a.Entry, "gate", a.Gate, "peer", a.Peer, "admin", a.Admin)

	select {
	case <-ctx.Done():
	case <-servers.Done():
	case <-duties.Done():
	}
	err = p.drain(context.WithoutCancel(ctx))
	return p.stop(servers, duties, err)
}

// drain ends the node's work without interrupting a request: no new work is
// announced first, then calls from callers end, then those at the gate.
func (p *process) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	p.admin.AddReadiness("stopping", func() error { return eris.New("the node stops") })
	_ = p.logger.Log("event", "draining")
	if err := p.calls.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "drain the calls")
	}
	time.Sleep(goneSpread)
	return nil
}

func (p *process) stop(servers, duties *lifecycle.Group, err error) error {
	if dutyErr := duties.Stop(); err == nil {
		err = dutyErr
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

func listenAll(addresses ...string) ([]net.Listener, error) {
	out := make([]net.Listener, 0, len(addresses))
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
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
