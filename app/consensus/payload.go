package consensus

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

const (
	// A payload smaller than this costs about as much as its digest and a fetch.
	minThinBytes = 192
	// siblingTimeout is how long a host waits for its sibling before it asks the leader.
	siblingTimeout = 100 * time.Millisecond
	payloadSlots   = 4096
)

// payloadCache holds the payloads of recent entries, also those not synced yet.
type payloadCache struct {
	mu      sync.Mutex
	entries map[string][]byte
	order   []string
	arrived signal
}

func newPayloadCache() *payloadCache { return &payloadCache{entries: make(map[string][]byte)} }

func (c *payloadCache) put(index, term uint64, payload []byte) {
	k := digestKey(index, term)
	c.mu.Lock()
	if _, ok := c.entries[k]; !ok {
		c.entries[k] = payload
		c.order = append(c.order, k)
		if len(c.order) > payloadSlots {
			delete(c.entries, c.order[0])
			c.order = c.order[1:]
		}
	}
	c.mu.Unlock()
	c.arrived.fire()
}

func (c *payloadCache) get(index, term, digest uint64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.entries[digestKey(index, term)]; xxhash.Sum64(b) == digest {
		return b
	}
	return nil
}

// wait returns a payload that may still be on its way to this host.
func (c *payloadCache) wait(ctx context.Context, index, term, digest uint64) []byte {
	for {
		next := c.arrived.next()
		if b := c.get(index, term, digest); b != nil {
			return b
		}
		select {
		case <-next:
		case <-ctx.Done():
			return nil
		}
	}
}

// thin replaces payloads by digests for a member of a remote region whose
// sibling there gets them from this host.
func (h *Host) thin(to string, messages []*pb.RaftMessage) []*pb.RaftMessage {
	if h.options.WholePayloads || !h.siblingHolds(to) {
		return messages
	}
	out := make([]*pb.RaftMessage, 0, len(messages))
	for _, m := range messages {
		out = append(out, thinMessage(m))
	}
	return out
}

func thinMessage(m *pb.RaftMessage) *pb.RaftMessage {
	if m.GetKind() != pb.RaftKind_RAFT_KIND_APPEND || len(m.GetEntries()) == 0 {
		return m
	}
	c := proto.CloneOf(&pb.RaftMessage{
		Kind: m.Kind, From: m.From, To: m.To, Term: m.Term, LogTerm: m.LogTerm, LogIndex: m.LogIndex, Commit: m.Commit,
		Context: m.Context, Incarnation: m.Incarnation, Acknowledged: m.Acknowledged,
	})
	for _, e := range m.GetEntries() {
		if len(e.GetPayload()) >= minThinBytes {
			e = &pb.Entry{
				Index: e.Index, Term: e.Term, Kind: e.Kind,
				PayloadDigest: xxhash.Sum64(e.Payload), PayloadSize: uint32(len(e.Payload)),
			}
		}
		c.Entries = append(c.Entries, e)
	}
	return c
}

// siblingHolds tells whether another member of a remote region is the one that
// this leader sends payloads to: the member with the lowest id that answers.
func (h *Host) siblingHolds(to string) bool {
	s := h.published.Load().status
	own, target := memberOf(s.Members, h.options.ID), memberOf(s.Members, to)
	if s.Progress == nil || own == nil || target == nil || own.GetRegion() == target.GetRegion() {
		return false
	}
	now := h.clock.now()
	for _, m := range s.Members { // sorted by id
		if m.GetRegion() != target.GetRegion() || m.GetId() == to {
			continue
		}
		p, t := s.Progress[m.GetId()], s.Progress[to]
		// A sibling that lags behind would have to be waited for.
		if m.GetId() < to && p.Contacted && now-p.LastContact < h.options.ElectionTimeout && p.Match >= t.Match {
			return true
		}
	}
	return false
}

func memberOf(members []*pb.Member, id string) *pb.Member {
	for _, m := range members {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// fill fetches the payloads that a message only names. It reports false when
// one cannot be had; the message is then dropped and sent again.
func (h *Host) fill(ctx context.Context, m *pb.RaftMessage) bool {
	for _, e := range m.GetEntries() {
		if e.GetPayloadDigest() != 0 && len(e.GetPayload()) == 0 {
			if e.Payload = h.fetch(ctx, m.GetFrom(), e); e.Payload == nil {
				return false
			}
			e.PayloadDigest, e.PayloadSize = 0, 0
		}
		if len(e.GetPayload()) >= minThinBytes {
			h.payloads.put(e.GetIndex(), e.GetTerm(), e.GetPayload())
		}
	}
	return true
}

func (h *Host) fetch(ctx context.Context, leader string, e *pb.Entry) []byte {
	if b := h.payloads.get(e.GetIndex(), e.GetTerm(), e.GetPayloadDigest()); b != nil {
		return b
	}
	members := h.published.Load().status.Members
	own := memberOf(members, h.options.ID)
	for _, m := range members {
		if own == nil || m.GetId() == h.options.ID || m.GetId() == leader || m.GetRegion() != own.GetRegion() {
			continue
		}
		sibling, cancel := context.WithTimeout(ctx, siblingTimeout)
		b := h.fetchFrom(sibling, m.GetAddress(), e)
		cancel()
		if b != nil {
			return b
		}
	}
	return h.fetchFrom(ctx, h.addressOf(leader), e)
}

func (h *Host) fetchFrom(ctx context.Context, address string, e *pb.Entry) []byte {
	client := rattanfieldv1connect.NewRaftServiceClient(h.client.HTTP(), rpc.URL(address))
	resp, err := client.FetchPayload(ctx, connect.NewRequest(&pb.FetchPayloadRequest{
		Index: e.GetIndex(), Term: e.GetTerm(), PayloadDigest: e.GetPayloadDigest(),
	}))
	if err != nil || xxhash.Sum64(resp.Msg.GetPayload()) != e.GetPayloadDigest() {
		return nil
	}
	return resp.Msg.GetPayload()
}
