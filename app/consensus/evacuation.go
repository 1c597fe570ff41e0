package consensus

import (
	"context"

	"github.com/rattanfield/rattanfield/core/evacuation"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// submitOrder submits an operator's command. An accepted order of an evacuation is in the state of this host when it returns,
// so that the operator's next order to this host is based on it; the result of the leader comes sooner than its log entry.
func (h *Host) submitOrder(ctx context.Context, c *pb.Command) *pb.CommandResult {
	if r := h.completeEvacuation(ctx, c); r != nil {
		return r
	}
	r := h.Submit(ctx, c)
	if c.GetChangeEvacuation() != nil && r.GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED {
		h.confirmBriefly(ctx)
	}
	return r
}

// confirmBriefly waits until this host has applied what was accepted before the call, for at most confirmTimeout.
func (h *Host) confirmBriefly(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_ = h.ConfirmRead(ctx) // without a majority, the result of the command says so
}

// completeEvacuation adds to an operator's order of an evacuation what this host knows: the failure domains of the site and
// the newest order about the domain. It returns a result if the order must not be proposed, and otherwise nil. Other commands
// stay as they are.
//
// An order whose sender has left is not proposed: the sender may have given newer orders elsewhere since, which this
// one would undo. A host that stood still finds out about its sender and about those orders at the same time, so the order is
// based on the state before the confirmed read, and the connection is checked after it.
func (h *Host) completeEvacuation(ctx context.Context, c *pb.Command) *pb.CommandResult {
	e := c.GetChangeEvacuation()
	if e == nil {
		return nil
	}
	newest := h.State().Evacuations
	if r := h.result(c.GetCommandId()); r != nil {
		return r
	}
	if !h.options.AcceptEvacuations {
		return invalidEvacuation(c, "the control hosts of this deployment do not accept evacuations")
	}
	order, err := evacuation.NewOrder(e.GetFailureDomain(), e.GetActive(), h.options.FailureDomains, newest)
	if err != nil {
		return invalidEvacuation(c, err.Error())
	}
	if e.BaseSerial != nil { // what the sender knew
		order.BaseSerial = e.BaseSerial
	}
	c.Command = &pb.Command_ChangeEvacuation{ChangeEvacuation: order}
	h.confirmBriefly(ctx)
	if ctx.Err() != nil {
		_ = h.logger.Log("event", "order of a sender that left", "evacuation", e.GetFailureDomain(), "active", e.GetActive())
		return unavailable(c, "the sender has left")
	}
	return nil
}

func invalidEvacuation(c *pb.Command, message string) *pb.CommandResult {
	return &pb.CommandResult{
		CommandId: c.GetCommandId(), Outcome: pb.Outcome_OUTCOME_INVALID, Message: "evacuation: " + message,
		Problems: []*pb.Problem{{Subject: "evacuation", Message: message}},
	}
}
