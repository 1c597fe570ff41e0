// Command rattanfield-capacity measures how the cost of configuration distribution and
// membership grows with the number of nodes. Each subcommand writes its raw results as
// JSON; without a subcommand all of them run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"
)

type arguments struct {
	Convergence *struct{}       `arg:"subcommand:convergence" help:"time from accepted to applied, over loopback connections"`
	Scale       *scaleArguments `arg:"subcommand:scale" help:"bytes, CPU time and memory per node, in one process without connections"`
	Storm       *struct{}       `arg:"subcommand:storm" help:"bytes of a reconnect storm, over loopback connections"`
	Out         string          `arg:"-o,--out" default:"docs/results" help:"directory of the results"`
}

type scaleArguments struct {
	Nodes []int `arg:"--nodes" help:"sizes; default 140 280 560 980"`
}

// result is the content of the file that a measurement writes.
type result struct {
	Name    string    `json:"name"`
	Command string    `json:"command"`
	At      time.Time `json:"at"`
	Go      string    `json:"go"`
	CPUs    int       `json:"cpus"`
	Rows    any       `json:"rows"`
}

func main() {
	// go-arg accepts a single dash only before a single letter; -out is accepted as well.
	for i, a := range os.Args {
		if a == "-out" || strings.HasPrefix(a, "-out=") {
			os.Args[i] = "-" + a
		}
	}
	var args arguments
	arg.MustParse(&args)
	all := args.Convergence == nil && args.Scale == nil && args.Storm == nil
	for _, m := range []struct {
		name     string
		selected bool
		run      func() (any, error)
	}{
		{"convergence", all || args.Convergence != nil, convergence},
		{args.Scale.name(), all || args.Scale != nil, args.Scale.run},
		{"storm", all || args.Storm != nil, storm},
	} {
		if !m.selected {
			continue
		}
		if err := measure(args.Out, m.name, m.run); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// command returns the command line without the option for the directory of the results,
// so that a result does not depend on where it is written.
func command(args []string) string {
	var out []string
	for i := 0; i < len(args); i++ {
		switch name, _, given := strings.Cut(args[i], "="); {
		case name != "-o" && name != "--out":
			out = append(out, args[i])
		case !given:
			i++
		}
	}
	return strings.Join(out, " ")
}

// measure runs one measurement, prints its result and writes it to NAME.json in dir.
func measure(dir, name string, run func() (any, error)) error {
	r := result{
		Name: name, Command: "rattanfield-capacity " + command(os.Args[1:]), At: time.Now().UTC(),
		Go: runtime.Version(), CPUs: runtime.NumCPU(),
	}
	var err error
	if r.Rows, err = run(); err != nil {
		return eris.Wrapf(err, "measure %s", name)
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	fmt.Println(string(data))
	return os.WriteFile(filepath.Join(dir, name+".json"), append(data, '\n'), 0o644)
}
