// Command rattanfield-platform runs a node or a control host of the mesh on the users'
// platform, with the settings that this platform provides.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/app/meshcontrol"
	"github.com/rattanfield/rattanfield/app/meshnode"
	"github.com/rattanfield/rattanfield/core/quota"
	"github.com/rattanfield/rattanfield/platform"
)

const program = "rattanfield-platform"

type arguments struct {
	Node    *struct{} `arg:"subcommand:node" help:"run the node of an upstream"`
	Control *struct{} `arg:"subcommand:control" help:"run a control host"`
	Check   bool      `arg:"--check" help:"check the settings and exit"`
}

// Version returns the text that --version prints.
func (arguments) Version() string { return program + " " + telemetry.Version() }

func main() { os.Exit(run()) }

// run returns the exit status: 0 after a regular end, 1 after a failure, and 2 for
// invalid settings, which it detects before it opens a port.
func run() int {
	// First, because a signal that comes before it ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := reloads(ctx)
	var a arguments
	p := arg.MustParse(&a)
	role := platform.RoleNode
	switch {
	case a.Control != nil:
		role = platform.RoleControl
	case a.Node == nil:
		p.Fail("a command is required: node or control")
	}
	s, err := platform.ReadSettings(role)
	if err != nil {
		fmt.Fprintln(os.Stderr, program+": "+err.Error())
		return 2
	}
	if a.Check {
		fmt.Println("settings are valid")
		return 0
	}
	logger := telemetry.NewBoundedLogger(os.Stdout, program, s.Name)
	logDone := make(chan struct{})
	logCtx, stopLog := context.WithCancel(context.Background())
	go func() {
		defer close(logDone)
		logger.Run(logCtx)
	}()
	w := platform.NewWatcher(s, role)
	go w.Run(ctx, reload, logger)
	if s.MemoryMB > 0 {
		lifecycle.LimitHeap(memoryBytes(s))
	}
	if role == platform.RoleNode {
		err = meshnode.Run(ctx, nodeOptions(s, w), logger)
	} else {
		err = meshcontrol.Run(ctx, controlOptions(s, w, logger), logger)
	}
	stopLog()
	<-logDone
	if err != nil {
		fmt.Fprintln(os.Stderr, program+": "+err.Error())
		return 1
	}
	return 0
}

// reloads returns a channel that receives a value after SIGHUP. Signals that arrive
// before the value is read are merged.
func reloads(ctx context.Context) <-chan struct{} {
	signals, out := make(chan os.Signal, 1), make(chan struct{}, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-signals:
				select {
				case out <- struct{}{}:
				default:
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// maxMissedAnnouncements is the number of announcement intervals (setting heartbeat) without an
// announcement after which a node considers its upstream lost.
const maxMissedAnnouncements = 3

// memoryBytes returns the memory limit of the process in bytes. The platform ends a process that exceeds it.
func memoryBytes(s *platform.Settings) int64 { return int64(s.MemoryMB) * 1_000_000 }

// nodeOptions converts the settings to the options of a node.
func nodeOptions(s *platform.Settings, w *platform.Watcher) meshnode.Options {
	return meshnode.Options{
		EntryAddress: s.EntryAddress, GateAddress: s.GateAddress, PeerAddress: s.PeerAddress(), MetricsAddress: s.MetricsAddress(),
		FailureDomain: s.FailureDomain, Region: s.Region, Service: s.Service, Seeds: w.Seeds, Headers: platform.Headers,
		DrainBound: s.DrainBound, LostAfter: maxMissedAnnouncements * s.Heartbeat, StopBound: s.StopBound, StopNotice: platform.StopNotice,
		RetryBudgetPercent: 100 * s.RetryBudgetRatio, RetryBudgetExtra: s.RetryBudgetExtra, RetryBudgetWindow: s.RetryBudgetWindow,
		Memory: int(memoryBytes(s)), MaxFiles: s.MaxFiles, LinkMbps: s.LinkMbps,
		ColdExcess: s.ColdExcess, ColdSlack: s.ColdSlack, AwaitPlan: s.EvacuationBound > 0 || s.ColdExcess > 0 || s.ColdSlack > 0,
		Quotas: quota.Settings{Window: s.QuotaWindow, Excess: s.QuotaExcess, Slack: s.QuotaSlack},
		ExtraHandlers: func(p *meshnode.Process) map[string]fasthttp.RequestHandler {
			return map[string]fasthttp.RequestHandler{
				s.ReadyAddress: platform.ReadyHandler(p), s.ControlAddress: platform.AnnouncementHandler(p),
			}
		},
	}
}

// controlOptions converts the settings to the options of a control host.
func controlOptions(s *platform.Settings, w *platform.Watcher, logger log.Logger) meshcontrol.Options {
	return meshcontrol.Options{
		PeerAddress: s.PeerAddress(), MetricsAddress: s.MetricsAddress(), FailureDomain: s.FailureDomain, Region: s.Region,
		FailureDomains: s.FailureDomains, DataDir: s.DataDir, Founders: s.Founders(), Seeds: w.Seeds, ExposureBound: s.ExposureBound,
		Memory: int(memoryBytes(s)), MaxFiles: s.MaxFiles,
		ExtraHandlers: func(p *meshcontrol.Process) map[string]fasthttp.RequestHandler {
			return map[string]fasthttp.RequestHandler{s.ControlAddress: platform.NewControlAPI(s, p.Host, p.Server, logger).Handle}
		},
	}
}
