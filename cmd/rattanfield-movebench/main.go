// Command rattanfield-movebench simulates moves in seeded trials. It compares the Judge
// of core/move with a baseline that uses fixed steps and fixed thresholds.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/rattanfield/rattanfield/core/move"
	"github.com/rattanfield/rattanfield/core/move/simulate"
)

type arguments struct {
	Trials   int           `arg:"--trials" default:"500" help:"seeded trials per case"`
	Workers  int           `arg:"--workers" default:"4" help:"trials at the same time"`
	Deadline time.Duration `arg:"--deadline" default:"10m" help:"deadline of each move"`
	Service  string        `arg:"--service" help:"only this service"`
	Case     string        `arg:"--case" help:"only cases that contain this text"`
	Seed     uint64        `arg:"--seed" help:"print the steps of this trial of every selected case instead of measuring all trials"`
	Curve    bool          `arg:"--curve" help:"measure risk against time for several deadlines instead of all cases with one deadline"`
	Out      string        `arg:"--out" help:"directory for the raw results as JSON"`
}

// report is the content of the results file.
type report struct {
	Trials           int                `json:"trials_per_case"`
	DeadlineSeconds  float64            `json:"deadline_s"`
	CallsPerUpstream float64            `json:"calls_per_upstream_and_second"`
	FailingRate      float64            `json:"error_rate_of_failing"`
	Results          []simulate.Summary `json:"results"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	r := report{Trials: args.Trials, CallsPerUpstream: simulate.CallsPerUpstream, FailingRate: simulate.FailingRate}
	name := "movebench.json"
	switch {
	case args.Seed != 0:
		printTrials(args)
		return
	case args.Curve:
		name = "movebench-curve.json"
		measureCurve(args, &r)
	default:
		r.DeadlineSeconds = args.Deadline.Seconds()
		measureCases(args, &r)
	}
	if args.Out == "" {
		return
	}
	if err := write(filepath.Join(args.Out, name), r); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func write(path string, r report) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// selects reports whether the arguments select a service and a case.
func (a arguments) selects(s simulate.Service, c simulate.Case) bool {
	return (a.Service == "" || a.Service == s.Name) && strings.Contains(c.Name, a.Case)
}

// controller is a named constructor of a controller of moves.
type controller struct {
	name string
	make func() simulate.Controller
}

// controllers returns the Judge first, then the baseline.
func controllers(s simulate.Service) []controller {
	return []controller{
		{"judge", func() simulate.Controller { return move.NewJudge(s.Preference) }},
		{"baseline", func() simulate.Controller { return simulate.NewFixedSteps() }},
	}
}

// measureCases measures both controllers in all selected cases and prints one line per case.
func measureCases(args arguments, r *report) {
	for _, s := range simulate.Services() {
		for _, c := range simulate.Cases() {
			if !args.selects(s, c) {
				continue
			}
			var pair [2]simulate.Summary
			for i, k := range controllers(s) {
				pair[i] = simulate.Summarize(s, c, k.name, args.Deadline, args.Trials, k.make, parallel(args.Workers))
			}
			r.Results = append(r.Results, pair[:]...)
			fmt.Println(formatLine(&pair[0], &pair[1]))
		}
	}
}

// percent returns n as a percentage of total; a total below 1 counts as 1.
func percent(n, total int) float64 { return 100 * float64(n) / float64(max(1, total)) }

// formatLine formats the results of the Judge, with those of the baseline in parentheses.
func formatLine(j, b *simulate.Summary) string {
	prefix := fmt.Sprintf("%-13s %-44s", j.Service, j.Case)
	if j.Good {
		return prefix + fmt.Sprintf(" completed %5.1f%% (baseline %5.1f%%)  rolled back %5.1f%% (%5.1f%%)  late %d  mean %3.0f s",
			percent(j.Completed, j.Trials), percent(b.Completed, b.Trials),
			percent(j.RolledBack, j.Trials), percent(b.RolledBack, b.Trials), j.Late, j.MeanSeconds)
	}
	return prefix + fmt.Sprintf(" rolled back %5.1f%% (%5.1f%%) of %d  fault to last call p50 %3d s p99 %3d s (%3d, %3d)  bad calls %6.3f%% (%6.3f%%)",
		percent(j.RolledBack, j.Faulty), percent(b.RolledBack, b.Faulty), j.Faulty, j.P50Seconds, j.P99Seconds, b.P50Seconds, b.P99Seconds,
		100*j.BadShare, 100*b.BadShare)
}

// printTrials prints the steps of one trial of each selected case.
func printTrials(args arguments) {
	for _, s := range simulate.Services() {
		for _, c := range simulate.Cases() {
			if !args.selects(s, c) {
				continue
			}
			t := c.Trial(s, args.Seed)
			t.Deadline = args.Deadline
			r := simulate.Run(&t, controllers(s)[0].make)
			fmt.Println(s.Name, c.Name, t.ProcessFault, r.Phase, "at", r.EndedAt, "fault at", r.FaultAt, "bad calls", r.BadCalls)
			for _, step := range r.Steps {
				fmt.Printf("  %4d s  %5.1f%%  %s\n", step.At, float64(step.Permille)/10, step.Reason)
			}
		}
	}
}

// parallel returns a function that calls one for each i below n on the given number of
// goroutines and returns when all calls have ended.
func parallel(workers int) func(n int, one func(i int)) {
	return func(n int, one func(i int)) {
		var next atomic.Int64
		var wg sync.WaitGroup
		for range workers {
			wg.Go(func() {
				for i := next.Add(1) - 1; i < int64(n); i = next.Add(1) - 1 {
					one(int(i))
				}
			})
		}
		wg.Wait()
	}
}
