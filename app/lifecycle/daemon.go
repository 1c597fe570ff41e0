package lifecycle

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/rattanfield/rattanfield/adapters/settings"
)

// Arguments are the command-line arguments of a daemon.
type Arguments struct {
	Settings string `arg:"--settings,required" help:"settings file (JSON with comments)"`
	Check    bool   `arg:"--check" help:"check the settings, then exit"`
	program  string
	version  string
}

// Version returns the text that --version prints.
func (a Arguments) Version() string { return a.program + " " + a.version }

// Daemon is a program that runs from a settings file of type S.
type Daemon[S any] struct {
	Program     string
	Version     string
	Load        func(path string) (S, error)
	Run         func(ctx context.Context, s S) error
	Out, Errors io.Writer
}

// Main parses the arguments, loads the settings and runs the daemon until it returns;
// SIGTERM or SIGINT ends its context. It returns the exit status: 0 for success, 1 if
// the daemon failed, 2 for invalid arguments or settings. Settings are checked before
// any port is opened.
func (d Daemon[S]) Main(args []string) int {
	a := Arguments{program: d.Program, version: d.Version}
	parser, err := arg.NewParser(arg.Config{Program: d.Program, Out: d.Out}, &a)
	if err != nil {
		fmt.Fprintln(d.Errors, err)
		return 1
	}
	switch err := parser.Parse(args); {
	case err == arg.ErrHelp:
		parser.WriteHelp(d.Out)
		return 0
	case err == arg.ErrVersion:
		fmt.Fprintln(d.Out, a.Version())
		return 0
	case err != nil:
		parser.WriteUsage(d.Errors)
		fmt.Fprintln(d.Errors, "error:", err)
		return settings.ExitStatus
	}
	s, err := d.Load(a.Settings)
	if err != nil {
		fmt.Fprintln(d.Errors, err)
		return settings.ExitStatus
	}
	if a.Check {
		fmt.Fprintln(d.Out, "settings are valid:", a.Settings)
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := d.Run(ctx, s); err != nil {
		fmt.Fprintln(d.Errors, d.Program+":", err)
		return 1
	}
	return 0
}
