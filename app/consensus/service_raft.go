package consensus

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// Handlers returns the services of a control host's peer listener.
func (h *Host) Handlers() []rpc.Handler {
	limit := connect.WithReadMaxBytes(rpc.MaxMessageBytes)
	return []rpc.Handler{
		rpc.NewHandler(rattanfieldv1connect.NewRaftServiceHandler(raftService{h}, limit)),
		rpc.NewHandler(rattanfieldv1connect.NewOperatorServiceHandler(operatorService{h}, limit)),
	}
}

type raftService struct{ h *Host }

// SendRaft takes messages of a peer. Their payloads are completed before the step loop sees them.
func (s raftService) SendRaft(ctx context.Context, req *connect.Request[pb.SendRaftRequest]) (*connect.Response[pb.SendRaftResponse], error) {
	for _, m := range req.Msg.GetMessages() {
		if s.h.fill(ctx, m) {
			s.h.deliver(m)
		}
	}
	return connect.NewResponse(&pb.SendRaftResponse{}), nil
}

// FetchPayload returns the payload of an entry, also one that is on its way here.
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
	err := s.h.do(ctx, func() {
		if e := s.h.node.Entry(m.GetIndex()); e.GetTerm() == m.GetTerm() {
			payload = e.GetPayload()
		}
	})
	if err != nil || xxhash.Sum64(payload) != m.GetPayloadDigest() {
		return nil
	}
	return payload
}

// Forward submits a command here if this host leads; it does not forward again.
func (s raftService) Forward(ctx context.Context, req *connect.Request[pb.ForwardRequest]) (*connect.Response[pb.ForwardResponse], error) {
	c := req.Msg.GetCommand()
	r := checkSubmit(c)
	if r == nil {
		r = s.h.submitHere(ctx, c)
	}
	return connect.NewResponse(&pb.ForwardResponse{Result: r}), nil
}
