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
	// minReplacedBytes is the size from which a payload is replaced by its digest. Sending a smaller
	// one costs about as much as its digest and the request for it.
	minReplacedBytes = 192
	// siblingTimeout is how long a host waits for a payload from another host of its region before it asks the leader.
	siblingTimeout    = 100 * time.Millisecond
	maxCachedPayloads = 4096
)

// payloadCache holds the payloads of recent entries, including those not synced yet.
type payloadCache struct {
	mu      sync.Mutex
	entries map[string][]byte
	order   []string
	arrived signal
}

func newPayloadCache() *payloadCache { return &payloadCache{entries: make(map[string][]byte)} }

func (c *payloadCache) put(index, term uint64, payload []byte) {
	k := entryKey(index, term)
	c.mu.Lock()
	if _, ok := c.entries[k]; !ok {
		c.entries[k] = payload
		c.order = append(c.order, k)
		if len(c.order) > maxCachedPayloads {
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
	if b := c.entries[entryKey(index, term)]; xxhash.Sum64(b) == digest {
		return b
	}
	return nil
}

// wait returns a payload, waiting until it arrives if necessary. It returns nil when ctx ends.
func (c *payloadCache) wait(ctx context.Context, index, term, digest uint64) []byte {
	for {
		channel := c.arrived.channel()
		if b := c.get(index, term, digest); b != nil {
			return b
		}
		select {
		case <-channel:
		case <-ctx.Done():
			return nil
		}
	}
}

// replaceWithDigests returns the messages with payloads replaced by their digests for a member
// of a remote region, if a sibling there, another member of that region, receives the payloads
// from this host. Otherwise it returns the messages as they are.
func (h *Host) replaceWithDigests(to string, messages []*pb.RaftMessage) []*pb.RaftMessage {
	if h.options.WholePayloads || !h.siblingHasPayloads(to) {
		return messages
	}
	out := make([]*pb.RaftMessage, 0, len(messages))
	for _, m := range messages {
		out = append(out, messageWithDigests(m))
	}
	return out
}

// messageWithDigests returns a copy of an append message in which digests replace the payloads
// of at least minReplacedBytes. It returns other messages as they are.
func messageWithDigests(m *pb.RaftMessage) *pb.RaftMessage {
	if m.GetKind() != pb.RaftKind_RAFT_KIND_APPEND || len(m.GetEntries()) == 0 {
		return m
	}
	c := proto.CloneOf(&pb.RaftMessage{
		Kind: m.Kind, From: m.From, To: m.To, Term: m.Term, LogTerm: m.LogTerm, LogIndex: m.LogIndex, Commit: m.Commit,
		Context: m.Context, Incarnation: m.Incarnation, Acknowledged: m.Acknowledged,
	})
	for _, e := range m.GetEntries() {
		if len(e.GetPayload()) >= minReplacedBytes {
			e = &pb.Entry{
				Index: e.Index, Term: e.Term, Kind: e.Kind,
				PayloadDigest: xxhash.Sum64(e.Payload), PayloadSize: uint32(len(e.Payload)),
			}
		}
		c.Entries = append(c.Entries, e)
	}
	return c
}

// siblingHasPayloads reports whether this leader sends payloads to a sibling of
// the member, because the member is in a remote region and a sibling with a lower
// id answers.
func (h *Host) siblingHasPayloads(to string) bool {
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
		// The member would have to wait for a sibling that lags behind it.
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

// fetchPayloads fetches the payloads that a message has only digests of. It
// returns false if one cannot be fetched; the message is then dropped, and the
// leader sends it again.
func (h *Host) fetchPayloads(ctx context.Context, m *pb.RaftMessage) bool {
	for _, e := range m.GetEntries() {
		if e.GetPayloadDigest() != 0 && len(e.GetPayload()) == 0 {
			if e.Payload = h.fetchPayload(ctx, m.GetFrom(), e); e.Payload == nil {
				return false
			}
			e.PayloadDigest, e.PayloadSize = 0, 0
		}
		if len(e.GetPayload()) >= minReplacedBytes {
			h.payloads.put(e.GetIndex(), e.GetTerm(), e.GetPayload())
		}
	}
	return true
}

func (h *Host) fetchPayload(ctx context.Context, leader string, e *pb.Entry) []byte {
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
		b := h.fetchPayloadFrom(sibling, m.GetAddress(), e)
		cancel()
		if b != nil {
			return b
		}
	}
	return h.fetchPayloadFrom(ctx, h.addressOf(leader), e)
}

func (h *Host) fetchPayloadFrom(ctx context.Context, address string, e *pb.Entry) []byte {
	client := rattanfieldv1connect.NewRaftServiceClient(h.client.HTTP(), rpc.URL(address))
	resp, err := client.FetchPayload(ctx, connect.NewRequest(&pb.FetchPayloadRequest{
		Index: e.GetIndex(), Term: e.GetTerm(), PayloadDigest: e.GetPayloadDigest(),
	}))
	if err != nil || xxhash.Sum64(resp.Msg.GetPayload()) != e.GetPayloadDigest() {
		return nil
	}
	return resp.Msg.GetPayload()
}
