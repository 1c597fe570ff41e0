package consensus

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// Handlers returns the handlers of the services on a control host's peer address.
func (h *Host) Handlers() []rpc.Handler {
	limit := connect.WithReadMaxBytes(rpc.MaxMessageBytes)
	return []rpc.Handler{
		rpc.NewHandler(rattanfieldv1connect.NewRaftServiceHandler(raftService{h}, limit)),
		rpc.NewHandler(rattanfieldv1connect.NewOperatorServiceHandler(operatorService{h}, limit)),
	}
}

type raftService struct{ h *Host }

// SendRaft receives messages from a peer. Missing payloads are fetched before the
// messages reach the step loop.
func (s raftService) SendRaft(ctx context.Context, req *connect.Request[pb.SendRaftRequest]) (*connect.Response[pb.SendRaftResponse], error) {
	for _, m := range req.Msg.GetMessages() {
		if s.h.fetchPayloads(ctx, m) {
			s.h.deliver(m)
		}
	}
	return connect.NewResponse(&pb.SendRaftResponse{}), nil
}

// FetchPayload returns the payload of an entry. If this host does not have it
// yet, it waits up to siblingTimeout for it; the payload is empty if none arrives.
func (s raftService) FetchPayload(ctx context.Context, req *connect.Request[pb.FetchPayloadRequest]) (*connect.Response[pb.FetchPayloadResponse], error) {
	m := req.Msg
	out := &pb.FetchPayloadResponse{Payload: s.h.payloads.get(m.GetIndex(), m.GetTerm(), m.GetPayloadDigest())}
	if out.Payload == nil {
		out.Payload = s.fromLog(ctx, m)
	}
	if out.Payload == nil {
		wait, cancel := context.WithTimeout(ctx, siblingTimeout)
		defer cancel()
		out.Payload = s.h.payloads.wait(wait, m.GetIndex(), m.GetTerm(), m.GetPayloadDigest())
	}
	return connect.NewResponse(out), nil
}

func (s raftService) fromLog(ctx context.Context, m *pb.FetchPayloadRequest) []byte {
	var payload []byte
	err := s.h.doInStepLoop(ctx, func() {
		if e := s.h.node.Entry(m.GetIndex()); e.GetTerm() == m.GetTerm() {
			payload = e.GetPayload()
		}
	})
	if err != nil || xxhash.Sum64(payload) != m.GetPayloadDigest() {
		return nil
	}
	return payload
}

// Leave passes the vote of a control host that stops to a standby, if this host leads and there is one.
func (s raftService) Leave(ctx context.Context, req *connect.Request[pb.LeaveRequest]) (*connect.Response[pb.LeaveResponse], error) {
	s.h.replaceLeaving(ctx, req.Msg.GetMember())
	return connect.NewResponse(&pb.LeaveResponse{}), nil
}

// Forward submits a command on this host. It does not forward the command again
// if this host does not lead.
func (s raftService) Forward(ctx context.Context, req *connect.Request[pb.ForwardRequest]) (*connect.Response[pb.ForwardResponse], error) {
	c := req.Msg.GetCommand()
	r := checkSubmit(c)
	if r == nil {
		r = s.h.submitLocally(ctx, c)
	}
	return connect.NewResponse(&pb.ForwardResponse{Result: r}), nil
}
