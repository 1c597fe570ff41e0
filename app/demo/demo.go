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

// Options of a run.
type Options struct {
	Bin  string  // folder of the programs
	Keep bool    // keep settings, data and logs
	Rate float64 // calls per second
	Seed uint64
	Out  io.Writer // progress and tables
}

// demo is one run.
type demo struct {
	options   Options
	layout    *layout
	processes *processes
	admin     *admin
	operator  *operator
	began     time.Time
	running   map[string]*process
	saying    sync.Mutex

	convergence convergence
	versions    versionLog
	steadyLoad  *loadgen.Summary
	load        *loadgen.Summary
	idle, busy  traffic // without calls, and with calls but without changes
	good, bad   *pb.Move
	badCalls    uint64 // requests that the bad version ran until 1 s after the decision
	badLate     uint64 // and later
	badLoad     int    // calls of its service that were sent while its move ran
	stopped     error  // of the node that is stopped under load
	double      int    // keys that ran more than once
	keys        int
	executions  map[string]int // by key, over all upstreams
	service     *pb.Service    // that changes of the scenario put
	rejoined    time.Duration
}

// Run the demo and end every process that it started.
func Run(ctx context.Context, o Options) (*Report, error) {
	var d *demo
	return runSite(ctx, o, func(site *demo) error {
		d = site
		return d.scenario(ctx)
	}, func(stopErrs []error) *Report { return d.report(stopErrs) })
}

// runSite prepares a site, runs a scenario on it, stops it and reports.
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
		d.explain()
	}
	if o.Keep || err != nil || !report.Passed() {
		d.say("settings, data and logs are kept in %s", dir)
	} else if removed := os.RemoveAll(dir); removed != nil {
		return report, removed
	}
	return report, err
}

func (d *demo) say(format string, args ...any) {
	d.saying.Lock()
	defer d.saying.Unlock()
	fmt.Fprintf(d.options.Out, "%5.1f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// explain prints the logs of processes that ended on their own.
func (d *demo) explain() {
	for _, c := range d.processes.unexpected() {
		d.say("%s ended on its own (%v); its log ends with:\n%s", c.name, c.err, c.tail())
	}
}

// shutdown stops upstreams, nodes and control hosts in this order.
func (d *demo) shutdown() []error {
	var errs []error
	for _, prefix := range []string{"upstream-", "node-", "control-"} {
		errs = append(errs, d.processes.stopAll(prefix)...)
		d.say("every %s has stopped", strings.TrimSuffix(prefix, "-"))
	}
	return errs
}
