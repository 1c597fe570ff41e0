package control

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/consensus"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/app/moves"
	"github.com/rattanfield/rattanfield/app/relay"
)

// closeTimeout bounds the wait for requests in progress; long polls may last longer and are aborted.
const closeTimeout = time.Second

type process struct {
	settings  *settings.Control
	client    *rpc.Client
	host      *consensus.Host
	collector *moves.Collector
	decider   *moves.Decider
	relay     *relay.Relay
	admin     *telemetry.Admin
	logger    log.Logger
}

func newProcess(
	s *settings.Control, client *rpc.Client, host *consensus.Host, c *moves.Collector, d *moves.Decider,
	r *relay.Relay, admin *telemetry.Admin, logger log.Logger,
) *process {
	return &process{settings: s, client: client, host: host, collector: c, decider: d, relay: r, admin: admin, logger: logger}
}

// run serves until the context ends or a server or task fails, then stops.
func (p *process) run(ctx context.Context) error {
	peer, err := lifecycle.Listen(p.settings.Addresses.Peer)
	if err != nil {
		return eris.Wrap(err, "peer listener")
	}
	admin, err := lifecycle.Listen(p.settings.Addresses.Admin)
	if err != nil {
		_ = peer.Close()
		return eris.Wrap(err, "admin listener")
	}
	server := rpc.NewServer(append(p.host.Handlers(), p.relay.Handlers()...)...)

	servers := lifecycle.NewGroup(context.WithoutCancel(ctx))
	servers.Go("peer server", func(context.Context) error { return server.Serve(peer) })
	servers.Go("admin server", func(context.Context) error { return p.admin.Serve(admin) })
	tasks := lifecycle.NewGroup(context.WithoutCancel(ctx))
	tasks.Go("replicated log", p.host.Run)
	tasks.Go("relay", p.relay.Run)
	tasks.Go("collector", p.collector.Run)
	tasks.Go("decider", p.decider.Run)
	_ = p.logger.Log("event", "started", "peer", p.settings.Addresses.Peer, "admin", p.settings.Addresses.Admin)

	select {
	case <-ctx.Done():
	case <-servers.Done():
	case <-tasks.Done():
	}
	// The servers keep running while the log transfers its leadership.
	err = tasks.Stop()
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	_ = server.Shutdown(closing)
	_ = p.admin.Shutdown(closing)
	if serveErr := servers.Stop(); err == nil {
		err = serveErr
	}
	p.client.Close()
	_ = p.logger.Log("event", "stopped", "err", err)
	return err
}
