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
	retryPause       = 100 * time.Millisecond
	operatorName     = "demo"
)

// operator submits statements with the operator program, as people do, and asks
// the control hosts directly where times are measured.
type operator struct {
	bin      string
	hosts    []string
	client   *rpc.Client
	services []rattanfieldv1connect.OperatorServiceClient
}

func newOperator(bin string, controls []control) *operator {
	o := &operator{bin: filepath.Join(bin, "rattanfield"), client: rpc.NewClient(rpc.Options{})}
	for _, c := range controls {
		o.hosts = append(o.hosts, c.peer())
		o.services = append(o.services, rattanfieldv1connect.NewOperatorServiceClient(o.client.HTTP(), rpc.URL(c.peer())))
	}
	return o
}

// statement runs the operator program.
func (o *operator) statement(ctx context.Context, p *processes, text string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	args := make([]string, 0, len(o.hosts)+3)
	for _, h := range o.hosts {
		args = append(args, "--control", h)
	}
	args = append(args, "--operator", operatorName, text)
	return p.output(ctx, o.bin, args...)
}

// query asks the control hosts in turn; the first confirmed answer wins, else the last one.
func (o *operator) query(ctx context.Context, subjects ...pb.Subject) (*pb.QueryResponse, error) {
	var last *pb.QueryResponse
	err := errors.New("no control host")
	for _, s := range o.services {
		attempt, cancel := context.WithTimeout(ctx, submitTimeout/4)
		r, failed := s.Query(attempt, connect.NewRequest(&pb.QueryRequest{Subjects: subjects}))
		cancel()
		if failed != nil {
			err = failed
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

// submit a command until its result is known; the command id makes that safe.
func (o *operator) submit(ctx context.Context, c *pb.Command) (*pb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	last := "no answer"
	for i := 0; ; i++ {
		attempt, stop := context.WithTimeout(ctx, submitTimeout)
		r, err := o.services[i%len(o.services)].Submit(attempt, connect.NewRequest(&pb.SubmitRequest{Command: c}))
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
		if !lifecycle.Pause(ctx, retryPause) {
			return nil, fmt.Errorf("command %s: %s", c.GetCommandId(), last)
		}
	}
}

// move returns the state of a service's newest move to a version.
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

// output runs a program to its end and returns what it wrote.
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
