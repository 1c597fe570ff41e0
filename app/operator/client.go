package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// Errors of the client.
var (
	ErrUnreachable = eris.New("no control host answers")
	// ErrOutcomeUnknown means that a command may have been accepted.
	ErrOutcomeUnknown = eris.New("whether the command was accepted is not known")
	ErrNoHosts        = eris.New("no control host is given")
)

const (
	// attemptTimeout bounds one request to one control host, which itself gives up a
	// command after 5 s and then can say whether it was surely not accepted.
	attemptTimeout = 7 * time.Second
	// submitPatience bounds all attempts of one command.
	submitPatience = 20 * time.Second
	firstPause     = 100 * time.Millisecond
	longestPause   = time.Second
)

// Client asks the control hosts with failover.
type Client struct {
	transport *rpc.Client
	hosts     []string
	clients   []rattanfieldv1connect.OperatorServiceClient
	current   int // host that answered last
	patience,
	attempt time.Duration
}

// NewClient returns a client for control hosts (IP:port).
func NewClient(hosts []string, transport *rpc.Client) (*Client, error) {
	c := &Client{transport: transport, patience: submitPatience, attempt: attemptTimeout}
	for _, h := range hosts {
		for _, one := range strings.Split(h, ",") {
			if one = strings.TrimSpace(one); one != "" {
				c.hosts = append(c.hosts, one)
				c.clients = append(c.clients, rattanfieldv1connect.NewOperatorServiceClient(transport.HTTP(), rpc.URL(one)))
			}
		}
	}
	if len(c.hosts) == 0 {
		return nil, ErrNoHosts
	}
	return c, nil
}

// each asks the hosts in turn, the last good one first, until one answers.
func each[T any](ctx context.Context, c *Client, ask func(context.Context, rattanfieldv1connect.OperatorServiceClient) (T, error)) (T, error) {
	var zero T
	var failures []string
	for i := range c.clients {
		at := (c.current + i) % len(c.clients)
		attempt, cancel := context.WithTimeout(ctx, c.attempt)
		answer, err := ask(attempt, c.clients[at])
		cancel()
		if err == nil {
			c.current = at
			return answer, nil
		}
		if ctx.Err() != nil {
			return zero, context.Cause(ctx)
		}
		failures = append(failures, c.hosts[at]+": "+connect.CodeOf(err).String())
	}
	return zero, unreachable(failures...)
}

func unreachable(failures ...string) error {
	return fmt.Errorf("%w (%s)", ErrUnreachable, strings.Join(failures, "; "))
}

// Query asks for state.
func (c *Client) Query(ctx context.Context, q *pb.QueryRequest) (*pb.QueryResponse, error) {
	return each(ctx, c, func(ctx context.Context, s rattanfieldv1connect.OperatorServiceClient) (*pb.QueryResponse, error) {
		answer, err := s.Query(ctx, connect.NewRequest(q))
		if err != nil {
			return nil, err
		}
		return answer.Msg, nil
	})
}

// QueryLeader is Query, answered by the leader if it can be reached: only the
// leader knows how far the other control hosts are and what a move waits for.
// The subjects must include the members.
func (c *Client) QueryLeader(ctx context.Context, q *pb.QueryRequest) (*pb.QueryResponse, error) {
	answer, err := c.Query(ctx, q)
	if err != nil || answer.GetFreshness().GetHost() == answer.GetFreshness().GetLeader() {
		return answer, err
	}
	for _, m := range answer.GetMembers() {
		if m.GetMember().GetId() != answer.GetFreshness().GetLeader() {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, c.attempt)
		defer cancel()
		leader := rattanfieldv1connect.NewOperatorServiceClient(c.transport.HTTP(), rpc.URL(m.GetMember().GetAddress()))
		if better, err := leader.Query(attempt, connect.NewRequest(q)); err == nil {
			return better.Msg, nil
		}
	}
	return answer, nil
}

// Lookup asks for the result of a command; found is false when the hosts know none.
func (c *Client) Lookup(ctx context.Context, id string) (*pb.GetCommandResponse, error) {
	return each(ctx, c, func(ctx context.Context, s rattanfieldv1connect.OperatorServiceClient) (*pb.GetCommandResponse, error) {
		answer, err := s.GetCommand(ctx, connect.NewRequest(&pb.GetCommandRequest{CommandId: id}))
		if err != nil {
			return nil, err
		}
		return answer.Msg, nil
	})
}

// Submit sends a command until its result is known. Every attempt carries the
// same command id, so a command that was accepted while its answer was lost is
// not accepted twice. ErrUnknown is returned when an attempt may have been
// accepted and no result was found in time.
func (c *Client) Submit(ctx context.Context, command *pb.Command) (*pb.CommandResult, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longestPause
	deadline := time.Now().Add(c.patience)
	maybeAccepted := false
	var last *pb.CommandResult
	for {
		result, sent, err := c.submitOnce(ctx, command)
		switch {
		case err == nil && final(result.GetOutcome()):
			return result, nil
		case err == nil:
			last = result
			maybeAccepted = maybeAccepted || result.GetOutcome() == pb.Outcome_OUTCOME_UNKNOWN
		default:
			maybeAccepted = maybeAccepted || sent
		}
		if found, err := c.Lookup(ctx, command.GetCommandId()); err == nil && found.GetFound() && final(found.GetResult().GetOutcome()) {
			return found.GetResult(), nil
		}
		wait := pause.NextBackOff()
		if time.Now().Add(wait).After(deadline) || ctx.Err() != nil {
			return giveUp(last, maybeAccepted, err)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func giveUp(last *pb.CommandResult, maybeAccepted bool, err error) (*pb.CommandResult, error) {
	switch {
	case maybeAccepted:
		return nil, ErrOutcomeUnknown
	case last != nil:
		return last, nil
	default:
		return nil, err
	}
}

func final(o pb.Outcome) bool {
	return o == pb.Outcome_OUTCOME_ACCEPTED || o == pb.Outcome_OUTCOME_CONFLICT || o == pb.Outcome_OUTCOME_INVALID
}

// submitOnce sends to one host; sent reports an error after which the host may
// have received the command. The next call goes to the next host.
func (c *Client) submitOnce(ctx context.Context, command *pb.Command) (result *pb.CommandResult, sent bool, err error) {
	at := c.current
	attempt, cancel := context.WithTimeout(ctx, c.attempt)
	defer cancel()
	answer, err := c.clients[at].Submit(attempt, connect.NewRequest(&pb.SubmitRequest{Command: command}))
	if err != nil {
		c.current = (at + 1) % len(c.clients)
		return nil, !isRefused(err), unreachable(c.hosts[at] + ": " + connect.CodeOf(err).String())
	}
	if !final(answer.Msg.GetResult().GetOutcome()) {
		c.current = (at + 1) % len(c.clients)
	}
	return answer.Msg.GetResult(), true, nil
}
