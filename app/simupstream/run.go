package simupstream

import (
	"context"
	"net"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Run serves and announces the upstream until the context ends, then leaves the node and
// drains. crash is called for requests that crash the process.
func Run(ctx context.Context, o Options, l net.Listener, logger log.Logger, crash func()) error {
	server := NewServer(o, crash)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	announced := make(chan struct{})
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	go func() {
		defer close(announced)
		if o.NodeAdmin != "" {
			a := NewAnnouncer(o)
			a.StatusChanged = func(err error) { logAnnounceStatus(logger, err) }
			a.Run(announceCtx)
		}
	}()
	level.Info(logger).Log("msg", "serving", "address", l.Addr(), "service", o.Service, "version", o.Version)
	select {
	case err := <-served:
		stopAnnouncing()
		<-announced
		return err
	case <-ctx.Done():
	}
	<-announced
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.Drain)
	defer cancel()
	err := server.Drain(drainCtx)
	level.Info(logger).Log("msg", "stopped", "executions", server.executions.report().Total)
	if err != nil {
		return err
	}
	return <-served
}

func logAnnounceStatus(logger log.Logger, err error) {
	if err != nil {
		level.Warn(logger).Log("msg", "announcement failed", "err", err)
		return
	}
	level.Info(logger).Log("msg", "announcement accepted again")
}
