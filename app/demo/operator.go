package demo

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

const (
	statementTimeout = 10 * time.Second
	submitTimeout    = 5 * time.Second
	retryInterval    = 100 * time.Millisecond
	operatorName     = "demo"
)

// operator submits statements with the operator program, as people do, and calls
// the control hosts directly where the start of a program would distort a time.
type operator struct {
	bin         string
	hosts       []string
	client      *rpc.Client
	hostClients []rattanfieldv1connect.OperatorServiceClient
}

func newOperator(bin string, controls []control) *operator {
	o := &operator{bin: filepath.Join(bin, "rattanfield"), client: rpc.NewClient(rpc.Options{})}
	for _, c := range controls {
		o.hosts = append(o.hosts, c.peer())
		o.hostClients = append(o.hostClients, rattanfieldv1connect.NewOperatorServiceClient(o.client.HTTP(), rpc.URL(c.peer())))
	}
	return o
}

// runStatement runs the operator program with one statement and returns its output.
func (o *operator) runStatement(ctx context.Context, p *processes, text string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	args := make([]string, 0, len(o.hosts)+3)
	for _, h := range o.hosts {
		args = append(args, "--control", h)
	}
	args = append(args, "--operator", operatorName, text)
	return p.output(ctx, o.bin, args...)
}

// query asks the control hosts in turn and returns the first confirmed answer, or
// the last unconfirmed one when there is none.
func (o *operator) query(ctx context.Context, subjects ...pb.Subject) (*pb.QueryResponse, error) {
	var last *pb.QueryResponse
	err := errors.New("no control host")
	for _, s := range o.hostClients {
		attempt, cancel := context.WithTimeout(ctx, submitTimeout/4)
		r, queryErr := s.Query(attempt, connect.NewRequest(&pb.QueryRequest{Subjects: subjects}))
		cancel()
		if queryErr != nil {
			err = queryErr
			continue
		}
		last = r.Msg
		if last.GetFreshness().GetConfirmed() {
			return last, nil
		}
	}
	if last == nil {
		return nil, err
	}
	return last, nil
}

// submit sends a command to the control hosts in turn until its result is known. The
// command id makes the repetition safe.
func (o *operator) submit(ctx context.Context, c *pb.Command) (*pb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	last := "no answer"
	for i := 0; ; i++ {
		attempt, stop := context.WithTimeout(ctx, submitTimeout)
		r, err := o.hostClients[i%len(o.hostClients)].Submit(attempt, connect.NewRequest(&pb.SubmitRequest{Command: c}))
		stop()
		if err == nil {
			switch result := r.Msg.GetResult(); result.GetOutcome() {
			case pb.Outcome_OUTCOME_UNKNOWN, pb.Outcome_OUTCOME_UNAVAILABLE, pb.Outcome_OUTCOME_UNSPECIFIED:
				last = result.GetOutcome().String() + " " + result.GetMessage()
			default:
				return result, nil
			}
		} else {
			last = err.Error()
		}
		if !lifecycle.Pause(ctx, retryInterval) {
			return nil, fmt.Errorf("command %s: %s", c.GetCommandId(), last)
		}
	}
}

// move returns the newest move of a service to a version.
func (o *operator) move(ctx context.Context, service, version string) (*pb.Move, error) {
	r, err := o.query(ctx, pb.Subject_SUBJECT_MOVES)
	if err != nil {
		return nil, err
	}
	var found *pb.Move
	for _, m := range r.GetMoves() {
		if m.GetService() == service && m.GetNewVersion() == version && m.GetStartedUnixMs() >= found.GetStartedUnixMs() {
			found = m
		}
	}
	if found == nil {
		return nil, fmt.Errorf("no move of %s to %s", service, version)
	}
	return found, nil
}

// output runs a program to its end and returns its standard output and error output.
func (p *processes) output(ctx context.Context, path string, args ...string) (string, error) {
	var out strings.Builder
	cmd := exec.CommandContext(ctx, path, args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	result := make(chan error, 1)
	p.start <- func() { result <- cmd.Start() }
	if err := <-result; err != nil {
		return "", err
	}
	if err := cmd.Wait(); err != nil {
		return out.String(), fmt.Errorf("%s %s: %w: %s", filepath.Base(path), strings.Join(args, " "), err, strings.TrimSpace(out.String()))
	}
	return out.String(), nil
}
