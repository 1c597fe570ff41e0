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
	// defaultAttemptTimeout bounds one request to one control host. It exceeds the 5 s after
	// which a control host itself gives up a command and reports whether it is certain
	// that the command was not accepted.
	defaultAttemptTimeout = 7 * time.Second
	// defaultSubmitTimeout bounds all attempts of one command together.
	defaultSubmitTimeout = 20 * time.Second
	initialBackoff       = 100 * time.Millisecond
	maxBackoff           = time.Second
)

// Client sends requests to the control hosts and fails over between them. It is
// not safe for concurrent use.
type Client struct {
	transport *rpc.Client
	hosts     []string
	clients   []rattanfieldv1connect.OperatorServiceClient
	current   int // index of the host that is asked first
	submitTimeout,
	attemptTimeout time.Duration
}

// NewClient returns a client for control hosts. Each element of hosts is one
// IP:port or several, separated by commas. Without any it returns ErrNoHosts.
func NewClient(hosts []string, transport *rpc.Client) (*Client, error) {
	c := &Client{transport: transport, submitTimeout: defaultSubmitTimeout, attemptTimeout: defaultAttemptTimeout}
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

// askHosts asks the hosts one after the other until one answers, and remembers that
// host as the first to ask. The error is ErrUnreachable when none answers.
func askHosts[T any](ctx context.Context, c *Client, ask func(context.Context, rattanfieldv1connect.OperatorServiceClient) (T, error)) (T, error) {
	var zero T
	var failures []string
	for i := range c.clients {
		index := (c.current + i) % len(c.clients)
		attemptCtx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
		response, err := ask(attemptCtx, c.clients[index])
		cancel()
		if err == nil {
			c.current = index
			return response, nil
		}
		if ctx.Err() != nil {
			return zero, context.Cause(ctx)
		}
		failures = append(failures, c.hosts[index]+": "+connect.CodeOf(err).String())
	}
	return zero, unreachable(failures...)
}

func unreachable(failures ...string) error {
	return fmt.Errorf("%w (%s)", ErrUnreachable, strings.Join(failures, "; "))
}

// Query returns state from the first control host that answers.
func (c *Client) Query(ctx context.Context, q *pb.QueryRequest) (*pb.QueryResponse, error) {
	return askHosts(ctx, c, func(ctx context.Context, s rattanfieldv1connect.OperatorServiceClient) (*pb.QueryResponse, error) {
		response, err := s.Query(ctx, connect.NewRequest(q))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
}

// QueryLeader is like Query, but prefers the response of the leader if it can be
// reached: only the leader knows the progress of the other control hosts and what
// a move waits for. The subjects must include the members.
func (c *Client) QueryLeader(ctx context.Context, q *pb.QueryRequest) (*pb.QueryResponse, error) {
	response, err := c.Query(ctx, q)
	if err != nil || response.GetFreshness().GetHost() == response.GetFreshness().GetLeader() {
		return response, err
	}
	for _, m := range response.GetMembers() {
		if m.GetMember().GetId() != response.GetFreshness().GetLeader() {
			continue
		}
		attemptCtx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
		defer cancel()
		leader := rattanfieldv1connect.NewOperatorServiceClient(c.transport.HTTP(), rpc.URL(m.GetMember().GetAddress()))
		if fromLeader, err := leader.Query(attemptCtx, connect.NewRequest(q)); err == nil {
			return fromLeader.Msg, nil
		}
	}
	return response, nil
}

// Lookup returns the result of a command. The field found of the response is
// false when the host that answered has no result.
func (c *Client) Lookup(ctx context.Context, id string) (*pb.GetCommandResponse, error) {
	return askHosts(ctx, c, func(ctx context.Context, s rattanfieldv1connect.OperatorServiceClient) (*pb.GetCommandResponse, error) {
		response, err := s.GetCommand(ctx, connect.NewRequest(&pb.GetCommandRequest{CommandId: id}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
}

// Submit sends a command repeatedly until its result is known. All attempts have
// the same command id, so a command whose response was lost is not accepted
// twice. The error is ErrOutcomeUnknown when the command may have been accepted
// but its result was not found in time.
func (c *Client) Submit(ctx context.Context, command *pb.Command) (*pb.CommandResult, error) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = initialBackoff, maxBackoff
	deadline := time.Now().Add(c.submitTimeout)
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
		wait := retryBackoff.NextBackOff()
		if time.Now().Add(wait).After(deadline) || ctx.Err() != nil {
			return giveUp(last, maybeAccepted, err)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// giveUp returns the outcome of a command that has no final result in time.
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

// final reports whether an outcome cannot change when the command is sent again.
func final(o pb.Outcome) bool {
	return o == pb.Outcome_OUTCOME_ACCEPTED || o == pb.Outcome_OUTCOME_CONFLICT || o == pb.Outcome_OUTCOME_INVALID
}

// submitOnce sends a command to one host. With an error, sent reports whether the
// host may have received the command. After an error or an outcome that is not
// final, the next call goes to the next host.
func (c *Client) submitOnce(ctx context.Context, command *pb.Command) (result *pb.CommandResult, sent bool, err error) {
	index := c.current
	attemptCtx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	response, err := c.clients[index].Submit(attemptCtx, connect.NewRequest(&pb.SubmitRequest{Command: command}))
	if err != nil {
		c.current = (index + 1) % len(c.clients)
		return nil, !isRefused(err), unreachable(c.hosts[index] + ": " + connect.CodeOf(err).String())
	}
	if !final(response.Msg.GetResult().GetOutcome()) {
		c.current = (index + 1) % len(c.clients)
	}
	return response.Msg.GetResult(), true, nil
}
