// Command rattanfield-callbench measures calls through entry and gate and calls of a
// baseline in the same run, and writes the results as JSON.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/rattanfield/rattanfield/app/callbench"
)

type arguments struct {
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of all random choices"`
	Duration time.Duration `arg:"--duration" default:"1s" help:"duration of each measured phase"`
	Rate     int           `arg:"--rate" default:"500" help:"paired calls per second of the latency measurement"`
	Stops    int           `arg:"--stops" default:"50" help:"number of seeded planned stops"`
	Out      string        `arg:"--out" default:"docs/results" help:"directory of the results"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	command := strings.Join(append([]string{"rattanfield-callbench"}, os.Args[1:]...), " ")
	r, err := callbench.Run(callbench.Options{Seed: a.Seed, Duration: a.Duration, LatencyRate: a.Rate, Stops: a.Stops}, command)
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(a.Out, fmt.Sprintf("calls-%d.json", a.Seed)), append(data, '\n'), 0o644); err != nil {
		return err
	}
	fmt.Println(string(data))
	return nil
}
