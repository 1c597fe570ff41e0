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
	// answerReserve is kept of the caller's deadline, so that it gets the outcome instead of
	// a timeout, after which it could not know whether the command was accepted.
	answerReserve = 300 * time.Millisecond
	// maxCommandBytes keeps a command within one message with room for others.
	maxCommandBytes = 4 << 20
)

// Submit proposes a command here or at the leader. An attempt that may have
// reached the log is repeated with the same command id, which makes it
// harmless; once one has, the outcome can no longer be UNAVAILABLE.
func (h *Host) Submit(ctx context.Context, c *pb.Command) *pb.CommandResult {
	if r := checkSubmit(c); r != nil {
		return r
	}
	timeout := h.options.SubmitTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)-answerReserve)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reached := false
	for {
		r := h.attempt(ctx, c)
		switch r.GetOutcome() {
		case pb.Outcome_OUTCOME_UNKNOWN:
			reached = true
		case pb.Outcome_OUTCOME_UNAVAILABLE:
		default:
			return r
		}
		lifecycle.Pause(ctx, submitRetryPause)
		if ctx.Err() != nil || h.stopped() {
			if reached {
				return h.unknown(c)
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

func unavailable(c *pb.Command, why string) *pb.CommandResult {
	return &pb.CommandResult{
		CommandId: c.GetCommandId(), Outcome: pb.Outcome_OUTCOME_UNAVAILABLE, Message: "not accepted: " + why,
	}
}

// unknown looks once more whether the result has become known here.
func (h *Host) unknown(c *pb.Command) *pb.CommandResult {
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

func (h *Host) attempt(ctx context.Context, c *pb.Command) *pb.CommandResult {
	if r := h.result(c.GetCommandId()); r != nil {
		return r
	}
	id, address := h.Leader()
	switch id {
	case "":
		return unavailable(c, "no leader is known")
	case h.options.ID:
		return h.submitHere(ctx, c)
	}
	return h.forward(ctx, address, c)
}

// submitHere proposes on this host; it is UNAVAILABLE when this host does not lead.
func (h *Host) submitHere(ctx context.Context, c *pb.Command) *pb.CommandResult {
	if r := h.precheck(c); r != nil {
		return r
	}
	c = proto.Clone(c).(*pb.Command)
	c.SubmittedUnixMs = time.Now().UnixMilli()
	payload, err := proto.Marshal(c)
	if err != nil {
		return unavailable(c, "the command cannot be encoded")
	}
	type accepted struct {
		index, term uint64
		fate        chan fate
		err         error
	}
	reply := make(chan accepted, 1)
	err = h.proposed.Push(ctx, proposal{payload: payload, reply: func(index, term uint64, err error) {
		a := accepted{index: index, term: term, err: err}
		if err == nil {
			a.fate = h.waiters.add(index, term)
		}
		reply <- a
	}})
	if err != nil {
		return unavailable(c, "the host is overloaded")
	}
	var a accepted
	select {
	case a = <-reply:
	case <-ctx.Done():
		return h.unknown(c) // the step loop may still propose it
	case <-h.done:
		return h.unknown(c)
	}
	if a.err != nil {
		return unavailable(c, a.err.Error())
	}
	defer h.waiters.remove(a.index, a.term)
	select {
	case f := <-a.fate:
		return h.resultOf(c, f)
	case <-ctx.Done():
	case <-h.done:
	}
	return h.unknown(c)
}

func (h *Host) resultOf(c *pb.Command, f fate) *pb.CommandResult {
	switch {
	case f.result != nil:
		return f.result
	case f.replaced:
		return unavailable(c, "another leader replaced the log entry")
	}
	return h.unknown(c)
}

// precheck validates a configuration change against the applied state before
// it is proposed. One that is based on an older revision is proposed all the
// same, so that its conflict is recorded under its command id.
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

// forward sends a command to the leader. Only a connection that was never made
// proves that the command did not arrive.
func (h *Host) forward(ctx context.Context, address string, c *pb.Command) *pb.CommandResult {
	ctx, cancel := h.whileLeads(ctx, address)
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
	return h.unknown(c)
}

// whileLeads ends its context when another leader, or none, is known. A frozen
// leader takes a request and never answers; the one that is elected in the
// meantime gets the same command id.
func (h *Host) whileLeads(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, h.options.ElectionTimeout)
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			if _, now := h.Leader(); now != address {
				return
			}
			lifecycle.Pause(ctx, submitRetryPause)
		}
	}()
	return ctx, cancel
}
