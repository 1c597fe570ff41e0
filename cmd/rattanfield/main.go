// Command rattanfield is the command-line client for operators.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/dig"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/operator"
	"github.com/rattanfield/rattanfield/core/query"
)

// controlVariable is the environment variable that lists control hosts, separated by
// commas.
const controlVariable = "RATTANFIELD_CONTROL"

type arguments struct {
	Control   []string `arg:"--control,separate" placeholder:"IP:PORT" help:"control host; repeat it for failover [env: RATTANFIELD_CONTROL, separated by commas]"`
	Settings  string   `arg:"--settings,env:RATTANFIELD_SETTINGS" placeholder:"FILE" help:"JSON with comments: control, operator"`
	Operator  string   `arg:"--operator,env:RATTANFIELD_OPERATOR" placeholder:"NAME" help:"name in the history; default: the user's name"`
	JSON      bool     `arg:"--json" help:"print JSON"`
	Check     bool     `arg:"--check" help:"check the settings, then exit"`
	MemoryMB  int      `arg:"--memory-mb" placeholder:"MB" help:"memory of a host, for check FILE: limits.memory_mb of its settings"`
	CommandID string   `arg:"--command-id" placeholder:"ID" help:"id of the command, to send a command again"`
	Statement []string `arg:"positional" placeholder:"WORD" help:"the statement; default: read from standard input"`
}

// Version returns the text that --version prints.
func (arguments) Version() string {
	return "rattanfield " + telemetry.Version()
}

// Description returns the first line of the help.
func (arguments) Description() string {
	return "Shows and changes the configuration, the moves and the evacuations of a rattanfield deployment."
}

// Epilogue returns the end of the help: the statements and the exit status.
func (arguments) Epilogue() string {
	return "Statements:\n  " + strings.Join(query.Forms(), "\n  ") +
		"\n\nExit status: 0 done, 1 failed, 2 invalid statement or file, 3 rejected, 4 not known whether accepted, 5 warnings."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if args.Check {
		os.Exit(check(args))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, args)
	stop()
	os.Exit(code)
}

// check validates the settings without connecting to a host.
func check(args arguments) int {
	s, err := readSettings(args)
	if err != nil {
		return fail(err, operator.ExitInvalid)
	}
	for _, h := range s.Control {
		if _, err := netip.ParseAddrPort(h); err != nil {
			return fail(fmt.Errorf("control host %q: expected IP:port", h), operator.ExitInvalid)
		}
	}
	if len(s.Control) == 0 {
		return fail(operator.ErrNoHosts, operator.ExitInvalid)
	}
	fmt.Println("settings are valid")
	return operator.ExitOK
}

// run runs the statement and returns the exit status.
func run(ctx context.Context, args arguments) int {
	code := operator.ExitOK
	container := dig.New()
	for _, constructor := range []any{
		func() arguments { return args },
		readSettings,
		func() *rpc.Client { return rpc.NewClient(rpc.Options{}) },
		func(s *settings.Operator, transport *rpc.Client) (*operator.Client, error) {
			client, err := operator.NewClient(s.Control, transport)
			if errors.Is(err, operator.ErrNoHosts) {
				return nil, nil // check needs none; the session rejects other statements
			}
			return client, err
		},
		newSession,
	} {
		if err := container.Provide(constructor); err != nil {
			return fail(err, operator.ExitFailed)
		}
	}
	err := container.Invoke(func(s *operator.Session, transport *rpc.Client) error {
		defer transport.Close()
		text, err := statement(args)
		if err != nil {
			return err
		}
		var failure error
		if code, failure = s.Run(ctx, text); failure != nil {
			fail(failure, code)
		}
		return nil
	})
	if err != nil {
		return fail(dig.RootCause(err), operator.ExitInvalid)
	}
	return code
}

// fail prints an error and returns the exit status code.
func fail(err error, code int) int {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// readSettings reads the settings file and replaces its values by those of the environment
// and the arguments. An argument takes precedence over the environment.
func readSettings(args arguments) (*settings.Operator, error) {
	s := &settings.Operator{}
	if args.Settings != "" {
		var err error
		if s, err = settings.LoadOperator(args.Settings); err != nil {
			return nil, err
		}
	}
	// The argument parser would append the hosts of the command line to those of the
	// environment, so the variable is read here.
	if hosts := os.Getenv(controlVariable); hosts != "" {
		s.Control = strings.Split(hosts, ",")
	}
	if len(args.Control) > 0 {
		s.Control = args.Control
	}
	if args.Operator != "" {
		s.Operator = args.Operator
	}
	if s.Operator == "" {
		s.Operator = "unknown"
		if u, err := user.Current(); err == nil {
			s.Operator = u.Username
		}
	}
	return s, nil
}

func newSession(args arguments, s *settings.Operator, client *operator.Client) *operator.Session {
	return &operator.Session{
		Client: client, Out: os.Stdout, JSON: args.JSON, Operator: s.Operator, MemoryMB: args.MemoryMB, Now: time.Now,
		NextID: func() string {
			if args.CommandID != "" {
				return args.CommandID
			}
			return newID()
		},
	}
}

const idBytes = 8

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never returns an error: crypto/rand ends the process instead
	return hex.EncodeToString(b[:])
}

// statement returns the statement from the arguments, or from standard input when there
// are none. It quotes words with spaces again, as the shell has removed their quotes.
func statement(args arguments) (string, error) {
	if len(args.Statement) == 0 {
		text, err := io.ReadAll(io.LimitReader(os.Stdin, query.MaxStatementBytes+1))
		return strings.TrimSpace(string(text)), err
	}
	words := make([]string, len(args.Statement))
	for i, w := range args.Statement {
		if strings.ContainsAny(w, " \t") {
			w = `"` + w + `"`
		}
		words[i] = w
	}
	// A statement in a single argument is used unchanged.
	if len(args.Statement) == 1 {
		return args.Statement[0], nil
	}
	return strings.Join(words, " "), nil
}
