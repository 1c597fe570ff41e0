// Command rattanfield-demo runs end-to-end scenarios with real processes on loopback:
// moves under load, or faults under load. Its exit status is 0 when all checks
// pass, 1 when a check or the run fails, and 2 when a program is missing.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/demo"
)

const (
	statusFailed = 1
	statusUsage  = 2 // a program is missing
)

type arguments struct {
	Bin     string        `default:"bin" help:"directory of the programs"`
	Keep    bool          `help:"keep settings, data and logs"`
	Rate    float64       `default:"600" help:"calls per second"`
	Timeout time.Duration `default:"2m" help:"longest duration of the run"`
	Seed    uint64        `default:"1"`
	Faults  bool          `help:"run the fault scenarios instead of the moves under load"`
}

// Description returns the first line of the help.
func (arguments) Description() string {
	return "rattanfield-demo starts a small site on loopback, runs moves or faults under load and checks the result."
}

// Version returns the text that --version prints.
func (arguments) Version() string { return "rattanfield-demo " + telemetry.Version() }

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := demo.CheckPrograms(a.Bin); err != nil {
		fmt.Fprintln(os.Stderr, "rattanfield-demo:", err)
		os.Exit(statusUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	run := demo.Run
	if a.Faults {
		run = demo.RunFaults
	}
	report, err := run(ctx, demo.Options{Bin: a.Bin, Keep: a.Keep, Rate: a.Rate, Seed: a.Seed, Out: os.Stdout})
	if report != nil {
		if writeErr := report.Write(os.Stdout); writeErr != nil {
			fmt.Fprintln(os.Stderr, "rattanfield-demo:", writeErr)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rattanfield-demo:", err)
	}
	if err != nil || !report.Passed() {
		os.Exit(statusFailed)
	}
}
