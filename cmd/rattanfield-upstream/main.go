// Command rattanfield-upstream is a simulated upstream for demos and tests.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/simupstream"
)

const (
	statusFailed = 1
	statusCrash  = 3 // a request crashed the process
)

type arguments struct {
	Listen          string        `arg:"required" help:"IP:port to serve at"`
	Node            string        `help:"admin address of the node on this host; empty: not announced"`
	Service         string        `arg:"required" help:"name of the service"`
	Label           string        `default:"v1" help:"version of the service"`
	Slots           int           `default:"9" help:"requests that run concurrently"`
	Queue           int           `default:"64" help:"requests that wait for a slot; more are shed"`
	MaxConnections  int           `arg:"--max-connections" default:"120"`
	Latency         time.Duration `default:"3ms" help:"fixed run time of a request"`
	ExpLatency      time.Duration `arg:"--exp-latency" help:"mean of an exponential addition to the run time"`
	ConnectionCost  time.Duration `arg:"--connection-cost" default:"1ms" help:"added to the first request of a connection"`
	ColdStart       time.Duration `arg:"--cold-start" help:"time until full speed"`
	ColdFactor      float64       `arg:"--cold-factor" default:"5" help:"run time factor at the start"`
	ErrorRate       []string      `arg:"--error-rate,separate" help:"PATH_PREFIX=SHARE of requests answered 500, e.g. /fares=0.5"`
	Slow            []string      `arg:"--slow,separate" help:"PATH_PREFIX=FACTOR on the run time, e.g. /=3"`
	FaultAfter      time.Duration `arg:"--fault-after" help:"faults begin after this time"`
	FaultAfterCalls uint64        `arg:"--fault-after-calls" help:"faults begin after this number of requests"`
	CrashPath       string        `arg:"--crash-path" help:"path prefix whose requests end the process; so does the header X-Sim-Crash"`
	FalseHealth     bool          `arg:"--false-health" help:"/healthz answers ok while draining"`
	FalseLoad       bool          `arg:"--false-load" help:"/v1/load reports an idle upstream"`
	Drain           time.Duration `default:"20s" help:"longest wait for requests after SIGTERM"`
	Seed            uint64        `default:"1"`
	Check           bool          `help:"check the arguments and exit"`
}

// Description returns the first line of the help.
func (arguments) Description() string {
	return "rattanfield-upstream is a simulated upstream with settable latency and faults."
}

// Version returns the text that --version prints.
func (arguments) Version() string { return "rattanfield-upstream " + telemetry.Version() }

func main() {
	var a arguments
	p := arg.MustParse(&a)
	faults, err := parseFaults(a.ErrorRate, a.Slow)
	if err != nil {
		p.Fail(err.Error())
	}
	if a.Slots < 1 || a.MaxConnections < 1 || a.Queue < 0 {
		p.Fail("--slots and --max-connections must be at least 1, --queue at least 0")
	}
	if a.Check {
		fmt.Println("arguments are valid")
		return
	}
	l, err := net.Listen("tcp", a.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rattanfield-upstream:", err)
		os.Exit(statusFailed)
	}
	o := options(a, faults, l.Addr().String())
	logger := telemetry.NewLogger(os.Stderr, "rattanfield-upstream", o.Address, "info")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := simupstream.Run(ctx, o, l, logger, func() { os.Exit(statusCrash) }); err != nil {
		fmt.Fprintln(os.Stderr, "rattanfield-upstream:", err)
		os.Exit(statusFailed)
	}
}

// options converts the arguments to options of the simulated upstream. The instance id is
// unique for each start.
func options(a arguments, faults []simupstream.Fault, address string) simupstream.Options {
	return simupstream.Options{
		Service: a.Service, Version: a.Label, Address: address,
		Instance: address + "-" + strconv.FormatInt(time.Now().UnixNano(), 36), NodeAdmin: a.Node,
		Slots: a.Slots, Queue: a.Queue, MaxConnections: a.MaxConnections,
		Latency: a.Latency, ExpLatency: a.ExpLatency, ConnectionCost: a.ConnectionCost,
		ColdStart: a.ColdStart, ColdFactor: a.ColdFactor,
		Faults: faults, FaultAfter: a.FaultAfter, FaultAfterCalls: a.FaultAfterCalls,
		CrashPath: a.CrashPath, FalseHealth: a.FalseHealth, FalseLoad: a.FalseLoad, Drain: a.Drain, Seed: a.Seed,
	}
}

// parseFaults parses the values of --error-rate and --slow.
func parseFaults(rates, factors []string) ([]simupstream.Fault, error) {
	var faults []simupstream.Fault
	for _, text := range rates {
		path, value, err := parsePair(text)
		if err != nil || value > 1 {
			return nil, fmt.Errorf("--error-rate %q: expected PATH_PREFIX=SHARE with a share from 0 to 1", text)
		}
		faults = append(faults, simupstream.Fault{PathPrefix: path, ErrorRate: value})
	}
	for _, text := range factors {
		path, value, err := parsePair(text)
		if err != nil || value == 0 {
			return nil, fmt.Errorf("--slow %q: expected PATH_PREFIX=FACTOR with a factor above 0", text)
		}
		faults = append(faults, simupstream.Fault{PathPrefix: path, SlowFactor: value})
	}
	return faults, nil
}

// parsePair parses PATH_PREFIX=NUMBER with a number of at least 0.
func parsePair(text string) (path string, value float64, err error) {
	path, number, found := strings.Cut(text, "=")
	if !found || !strings.HasPrefix(path, "/") {
		return "", 0, strconv.ErrSyntax
	}
	value, err = strconv.ParseFloat(number, 64)
	if err == nil && value < 0 {
		err = strconv.ErrRange
	}
	return path, value, err
}
