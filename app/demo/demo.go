package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/app/loadgen"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Options configure a run.
type Options struct {
	Bin  string  // directory of the program binaries
	Keep bool    // keep settings, data and logs after a run that passed
	Rate float64 // calls per second
	Seed uint64
	Out  io.Writer // progress and tables
}

// demo is the state of one run.
type demo struct {
	options   Options
	layout    *layout
	processes *processes
	admin     *admin
	operator  *operator
	began     time.Time
	running   map[string]*process // newest process of each name
	outMu     sync.Mutex

	convergence     convergence
	versions        versionLog
	steadyLoad      *loadgen.Summary // without changes
	load            *loadgen.Summary // during the moves or the faults
	idle, busy      traffic          // control traffic without calls, and with calls but without changes
	good, bad       *pb.Move         // newest state of the moves to the good and to the bad version
	badCalls        uint64           // requests that the bad version ran until 1 s after the rollback decision
	badCallsLate    uint64           // requests that it ran later than that
	badServiceCalls int              // calls of its service that were sent during its move
	nodeStopErr     error            // result of the node that is stopped under load
	duplicateKeys   int              // idempotency keys that ran more than once
	keys            int              // distinct idempotency keys that ran
	executions      map[string]int   // by idempotency key, over all upstreams
	service         *pb.Service      // base of the configuration changes that RunFaults submits
	rejoinTime      time.Duration    // until the restarted control host was ready
}

// Run runs the moves under load and ends every process that it started. The
// report is nil only when the site could not be prepared.
func Run(ctx context.Context, o Options) (*Report, error) {
	var d *demo
	return runSite(ctx, o, func(site *demo) error {
		d = site
		return d.scenario(ctx)
	}, func(stopErrs []error) *Report { return d.report(stopErrs) })
}

// runSite writes the settings of a site, runs a scenario on it, stops its
// processes and returns the report. It keeps the files of a run that failed.
func runSite(ctx context.Context, o Options, scenario func(*demo) error, makeReport func(stopErrs []error) *Report) (*Report, error) {
	dir, err := os.MkdirTemp("", "rattanfield-demo-")
	if err != nil {
		return nil, err
	}
	l, err := newLayout(dir)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	d := &demo{
		options: o, layout: l, processes: newProcesses(o.Bin, dir), admin: newAdmin(),
		operator: newOperator(o.Bin, l.controls), began: time.Now(), running: map[string]*process{},
		versions: versionLog{calls: map[string]int{}},
	}
	defer close(d.processes.start)
	defer d.processes.killAll()
	err = scenario(d)
	stopErrs := d.shutdown()
	report := makeReport(stopErrs)
	if err != nil {
		d.printUnexpectedExits()
	}
	if o.Keep || err != nil || !report.Passed() {
		d.logf("settings, data and logs are kept in %s", dir)
	} else if removed := os.RemoveAll(dir); removed != nil {
		return report, removed
	}
	return report, err
}

func (d *demo) logf(format string, args ...any) {
	d.outMu.Lock()
	defer d.outMu.Unlock()
	fmt.Fprintf(d.options.Out, "%5.1f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// printUnexpectedExits prints the ends of the logs of processes that the demo
// did not stop.
func (d *demo) printUnexpectedExits() {
	for _, c := range d.processes.unexpected() {
		d.logf("%s ended on its own (%v); its log ends with:\n%s", c.name, c.err, c.tail())
	}
}

// shutdown stops upstreams, nodes and control hosts in this order and returns
// the errors of the processes that did not end cleanly.
func (d *demo) shutdown() []error {
	var errs []error
	for _, prefix := range []string{"upstream-", "node-", "control-"} {
		errs = append(errs, d.processes.stopAll(prefix)...)
		d.logf("every %s has stopped", strings.TrimSuffix(prefix, "-"))
	}
	return errs
}
