// Command rattanfield-soak injects seeded faults into real processes and checks the
// guarantees of the system from the outside.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/soak"
)

type arguments struct {
	Binary   string        `arg:"--bin" default:"bin/rattanfield-platform" help:"path of the rattanfield-platform program"`
	Seed     uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds    int           `arg:"--seeds" default:"1" help:"number of seeds"`
	Length   time.Duration `arg:"--length" default:"20s" help:"time in which faults begin"`
	Nodes    int           `arg:"--nodes" default:"6" help:"nodes, each with an upstream"`
	Controls int           `arg:"--controls" default:"4" help:"control hosts"`
	Stops    bool          `arg:"--stops" help:"only planned work: stops of one or more nodes, reloads and leaving upstreams"`
	Dir      string        `arg:"--dir" help:"directory for logs of failed seeds [default: a temporary one]"`
}

// Version returns the text that --version prints.
func (arguments) Version() string { return "rattanfield-soak " + telemetry.Version() }

func main() { os.Exit(run()) }

// run returns 1 when a seed failed.
func run() int {
	var a arguments
	arg.MustParse(&a)
	dir := a.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	failed := 0
	for seed := a.Seed; seed < a.Seed+uint64(a.Seeds); seed++ {
		fmt.Println("seed", seed)
		r, err := soak.Run(context.Background(), soak.Options{
			Binary: a.Binary, Dir: filepath.Join(dir, fmt.Sprint("seed-", seed)), Seed: seed, Length: a.Length,
			Nodes: a.Nodes, Controls: a.Controls, Subnet: 60 + int(seed%60), StopsOnly: a.Stops, Out: os.Stdout,
		})
		fmt.Printf("seed %d: %d of %d requests answered, newest plan %d, settled after %v, %d guarantees violated, error: %v\n",
			seed, r.Answered, r.Requests, r.NewestPlan, r.Settled.Round(time.Millisecond), len(r.Violations), err)
		n := r.Stops
		fmt.Printf("  %d stops, the longest %v (longest delay of a timer %v); after SIGTERM: %d requests sent, %d of them executed, %d refused, %d cut; %d requests lost\n",
			n.Stops, n.Longest.Round(time.Millisecond), n.Delay.Round(time.Millisecond), n.Sent, n.Executed, n.Refused, n.Cut, n.Lost)
		c := r.Coverage
		fmt.Printf("  %d requests without a key of a plan, %d with a withdrawn key at nodes in touch; at most %d requests of a quota in its window; "+
			"%d evacuations, judged for %v; %d cold upstreams, at most %d requests in a second\n",
			c.Denied, c.Withdrawn, c.MostOfQuota, c.Evacuations, c.Evacuated.Round(time.Millisecond), c.ColdPhases, c.MostCold)
		for _, violation := range r.Violations {
			fmt.Println("  BROKEN:", violation)
		}
		if err != nil || len(r.Violations) > 0 {
			failed++
			fmt.Println("  logs in", dir)
		}
	}
	fmt.Printf("%d of %d seeds failed\n", failed, a.Seeds)
	if failed > 0 {
		return 1
	}
	return 0
}
