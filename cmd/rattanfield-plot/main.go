// Command rattanfield-plot draws the results in docs/results as plots in docs/plots and
// writes linear fits of them to docs/results/fits.md.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/rattanfield/rattanfield/adapters/telemetry"
)

type arguments struct {
	Results string `arg:"--results" default:"docs/results" help:"directory of the raw results"`
	Out     string `arg:"--out" default:"docs/plots" help:"directory of the plots"`
}

// Version returns the text that --version prints.
func (arguments) Version() string { return "rattanfield-plot " + telemetry.Version() }

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "rattanfield-plot:", err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return err
	}
	for _, draw := range []func(arguments) error{drawConvergence, drawBytes, drawGoodput, drawMoves, writeFits} {
		if err := draw(a); err != nil {
			return err
		}
	}
	return nil
}
