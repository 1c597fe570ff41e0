package consensus

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ring"
)

const (
	senderCapacity = 1024 // messages queued per peer
	// No message is added to a request that holds maxSendMessages messages or maxSendBytes of payload.
	maxSendMessages = 64
	maxSendBytes    = 4 << 20
)

// senders sends messages with one goroutine per peer.
type senders struct {
	host   *Host
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	rings  map[string]*ring.Ring[*pb.RaftMessage]
}

func newSenders(h *Host) *senders {
	ctx, cancel := context.WithCancel(context.Background())
	return &senders{host: h, ctx: ctx, cancel: cancel, rings: make(map[string]*ring.Ring[*pb.RaftMessage])}
}

// send queues messages for their receivers. If the ring of a receiver is full, its messages are lost.
func (s *senders) send(messages []*pb.RaftMessage) {
	for _, m := range messages {
		if r := s.ring(m.GetTo()); r != nil {
			r.TryPush(m)
		}
	}
}

func (s *senders) ring(id string) *ring.Ring[*pb.RaftMessage] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil
	}
	r := s.rings[id]
	if r == nil {
		r = ring.New[*pb.RaftMessage](senderCapacity)
		s.rings[id] = r
		s.wg.Go(func() { s.loop(id, r) })
	}
	return r
}

func (s *senders) stop() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *senders) loop(id string, r *ring.Ring[*pb.RaftMessage]) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-r.Items():
			s.transmit(id, s.collect(r, m))
		}
	}
}

// collect returns the first message and those queued after it, up to the bounds of one request.
func (s *senders) collect(r *ring.Ring[*pb.RaftMessage], first *pb.RaftMessage) []*pb.RaftMessage {
	out, size := []*pb.RaftMessage{first}, messageSize(first)
	for len(out) < maxSendMessages && size < maxSendBytes {
		select {
		case m := <-r.Items():
			out = append(out, m)
			size += messageSize(m)
		default:
			return out
		}
	}
	return out
}

func messageSize(m *pb.RaftMessage) int {
	size := len(m.GetSnapshot())
	for _, e := range m.GetEntries() {
		size += len(e.GetPayload())
	}
	return size
}

// transmit sends messages in one request. If the request fails, they are lost.
func (s *senders) transmit(id string, messages []*pb.RaftMessage) {
	address := s.host.addressOf(id)
	if address == "" {
		return
	}
	messages = s.host.replaceWithDigests(id, messages)
	// After an election timeout the response is useless. A snapshot in the first message gets
	// 1 us per byte in addition; snapshots in later messages get none.
	ctx, cancel := context.WithTimeout(s.ctx, s.host.options.ElectionTimeout+time.Duration(len(messages[0].GetSnapshot()))*time.Microsecond)
	defer cancel()
	client := rattanfieldv1connect.NewRaftServiceClient(s.host.client.HTTP(), rpc.URL(address))
	_, err := client.SendRaft(ctx, connect.NewRequest(&pb.SendRaftRequest{Messages: messages}))
	if err != nil {
		lifecycle.Pause(s.ctx, s.host.options.HeartbeatInterval/10)
	}
}

// addressOf returns the peer address of a member, or "" if it is not known.
func (h *Host) addressOf(id string) string {
	for _, m := range h.published.Load().status.Members {
		if m.GetId() == id {
			return m.GetAddress()
		}
	}
	for _, m := range h.options.Members {
		if m.GetId() == id {
			return m.GetAddress()
		}
	}
	if h.options.AddressOf != nil {
		return h.options.AddressOf(id)
	}
	return ""
}
