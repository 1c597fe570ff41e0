package consensus

import (
	"context"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

const (
	submitRetryPause = 50 * time.Millisecond
	// responseMargin is the time left before the caller's deadline when Submit returns. The caller
	// receives the outcome instead of a timeout, after which it would not know whether the command
	// was accepted.
	responseMargin = 300 * time.Millisecond
	// maxCommandBytes keeps a SendRaft request below rpc.MaxMessageBytes: the request holds
	// messages of less than maxSendBytes and one more, whose entries may be as large as a command.
	maxCommandBytes = 4 << 20
)

// Submit proposes a command on this host, or sends it to the leader. It retries
// with the same command id until the outcome is known or the time is over; the
// id prevents a command from being applied twice. Once an attempt may have
// reached the log, the outcome is no longer UNAVAILABLE but UNKNOWN.
func (h *Host) Submit(ctx context.Context, c *pb.Command) *pb.CommandResult {
	if r := checkSubmit(c); r != nil {
		return r
	}
	timeout := h.options.SubmitTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)-responseMargin)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	mayBeInLog := false
	for {
		r := h.attempt(ctx, c)
		switch r.GetOutcome() {
		case pb.Outcome_OUTCOME_UNKNOWN:
			mayBeInLog = true
		case pb.Outcome_OUTCOME_UNAVAILABLE:
		default:
			return r
		}
		lifecycle.Pause(ctx, submitRetryPause)
		if ctx.Err() != nil || h.stopped() {
			if mayBeInLog {
				return h.resultOrUnknown(c)
			}
			return unavailable(c, "no leader with a quorum could be reached")
		}
	}
}

func (h *Host) stopped() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// checkSubmit returns the result INVALID for a command that must not be proposed, and otherwise nil.
func checkSubmit(c *pb.Command) *pb.CommandResult {
	message := ""
	switch {
	case c.GetCommandId() == "":
		message = "command_id is missing"
	case c.GetCommand() == nil:
		message = "the command has no content"
	case proto.Size(c) > maxCommandBytes:
		message = "the command is too large"
	default:
		return nil
	}
	return &pb.CommandResult{
		CommandId: c.GetCommandId(), Outcome: pb.Outcome_OUTCOME_INVALID, Message: message,
		Problems: []*pb.Problem{{Subject: "command", Message: message}},
	}
}

// unavailable returns the result of a command that was certainly not accepted, with the reason.
func unavailable(c *pb.Command, reason string) *pb.CommandResult {
	return &pb.CommandResult{
		CommandId: c.GetCommandId(), Outcome: pb.Outcome_OUTCOME_UNAVAILABLE, Message: "not accepted: " + reason,
	}
}

// resultOrUnknown returns the result of a command if this host has it by now, and
// otherwise the outcome UNKNOWN.
func (h *Host) resultOrUnknown(c *pb.Command) *pb.CommandResult {
	if r := h.result(c.GetCommandId()); r != nil {
		return r
	}
	return &pb.CommandResult{
		CommandId: c.GetCommandId(), Outcome: pb.Outcome_OUTCOME_UNKNOWN,
		Message: "it is not known whether the command was accepted; ask by command id",
	}
}

func (h *Host) result(commandID string) *pb.CommandResult {
	h.machineMu.RLock()
	defer h.machineMu.RUnlock()
	return h.machine.Result(commandID)
}

// attempt submits a command once: on this host if it leads, otherwise to the known leader.
func (h *Host) attempt(ctx context.Context, c *pb.Command) *pb.CommandResult {
	if r := h.result(c.GetCommandId()); r != nil {
		return r
	}
	id, address := h.Leader()
	switch id {
	case "":
		return unavailable(c, "no leader is known")
	case h.options.ID:
		return h.submitLocally(ctx, c)
	}
	return h.forward(ctx, address, c)
}

// submitLocally proposes a command on this host and waits for its result. The
// outcome is UNAVAILABLE if this host does not lead.
func (h *Host) submitLocally(ctx context.Context, c *pb.Command) *pb.CommandResult {
	if r := h.precheck(c); r != nil {
		return r
	}
	c = proto.Clone(c).(*pb.Command)
	c.SubmittedUnixMs = time.Now().UnixMilli()
	payload, err := proto.Marshal(c)
	if err != nil {
		return unavailable(c, "the command cannot be encoded")
	}
	type proposalReply struct {
		index, term uint64
		finished    chan entryResult
		err         error
	}
	replies := make(chan proposalReply, 1)
	err = h.proposed.Push(ctx, proposal{payload: payload, reply: func(index, term uint64, err error) {
		reply := proposalReply{index: index, term: term, err: err}
		if err == nil {
			reply.finished = h.waiters.add(index, term)
		}
		replies <- reply
	}})
	if err != nil {
		return unavailable(c, "the host is overloaded")
	}
	var reply proposalReply
	select {
	case reply = <-replies:
	case <-ctx.Done():
		return h.resultOrUnknown(c) // the step loop may still propose it
	case <-h.done:
		return h.resultOrUnknown(c)
	}
	if reply.err != nil {
		return unavailable(c, reply.err.Error())
	}
	defer h.waiters.remove(reply.index, reply.term)
	select {
	case entry := <-reply.finished:
		return h.resultOf(c, entry)
	case <-ctx.Done():
	case <-h.done:
	}
	return h.resultOrUnknown(c)
}

// resultOf returns the result of a command whose entry was applied, replaced or is unknown.
func (h *Host) resultOf(c *pb.Command, entry entryResult) *pb.CommandResult {
	switch {
	case entry.result != nil:
		return entry.result
	case entry.replaced:
		return unavailable(c, "another leader replaced the log entry")
	}
	return h.resultOrUnknown(c)
}

// precheck validates a configuration change against the applied state before it
// is proposed, and returns nil if it may be proposed. A change that is based on
// an older revision is proposed too, so that its conflict is recorded under its
// command id.
func (h *Host) precheck(c *pb.Command) *pb.CommandResult {
	h.machineMu.RLock()
	defer h.machineMu.RUnlock()
	if r := h.machine.Result(c.GetCommandId()); r != nil {
		return r
	}
	s := c.GetSubmitConfiguration()
	if s == nil || c.GetExpectedRevision() != h.machine.Revision() {
		return nil
	}
	problems := h.machine.ValidateChanges(s, time.Now().UnixMilli())
	if len(problems) == 0 {
		return nil
	}
	return &pb.CommandResult{
		CommandId: c.GetCommandId(), Outcome: pb.Outcome_OUTCOME_INVALID, Problems: problems,
		Message: problems[0].GetSubject() + ": " + problems[0].GetMessage(),
	}
}

// forward sends a command to the leader. Only a failure to connect proves that
// the command did not arrive.
func (h *Host) forward(ctx context.Context, address string, c *pb.Command) *pb.CommandResult {
	ctx, cancel := h.untilLeaderChanges(ctx, address)
	defer cancel()
	client := rattanfieldv1connect.NewRaftServiceClient(h.client.HTTP(), rpc.URL(address))
	resp, err := client.Forward(ctx, connect.NewRequest(&pb.ForwardRequest{Command: c}))
	if err == nil && resp.Msg.GetResult() != nil {
		return resp.Msg.GetResult()
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return unavailable(c, "the leader cannot be reached")
	}
	return h.resultOrUnknown(c)
}

// untilLeaderChanges returns a context that ends when the leader at address is no
// longer the known one, or after an election timeout. A leader that hangs accepts
// a request and never answers; the next attempt sends the same command id to the
// leader that was elected in the meantime.
func (h *Host) untilLeaderChanges(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, h.options.ElectionTimeout)
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			if _, current := h.Leader(); current != address {
				return
			}
			lifecycle.Pause(ctx, submitRetryPause)
		}
	}()
	return ctx, cancel
}
