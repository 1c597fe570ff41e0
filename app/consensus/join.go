package consensus

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// maxVoters is the largest number of control hosts that the design provides for.
	maxVoters = 7
	// replacedAfter is how long a voter must be silent before one that joined in its failure
	// domain takes its place: several elections, so that a restart does not count.
	replacedAfter = 6 * time.Second
	pruneInterval = time.Second
)

// Admit adds a control host to the member set, or corrects its record. It works on the leader only.
func (h *Host) Admit(ctx context.Context, m *pb.Member) error {
	var err error
	if doErr := h.do(ctx, func() { err = h.admit(m) }); doErr != nil {
		return doErr
	}
	return err
}

func (h *Host) admit(m *pb.Member) error {
	s := h.node.Status()
	if s.Role != raft.Leader {
		return raft.ErrNotLeader
	}
	members := slices.Clone(s.Members)
	i := slices.IndexFunc(members, func(o *pb.Member) bool { return o.GetId() == m.GetId() })
	if i < 0 {
		members = append(members, &pb.Member{
			Id: m.GetId(), Address: m.GetAddress(), FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(),
			CatchingUp: voters(members) < maxVoters,
		})
		_ = h.logger.Log("event", "control host joins", "member", m.GetId(), "domain", m.GetFailureDomain())
	} else {
		old := members[i]
		if old.GetAddress() == m.GetAddress() && old.GetFailureDomain() == m.GetFailureDomain() && old.GetRegion() == m.GetRegion() {
			return nil
		}
		c := proto.CloneOf(old)
		c.Address, c.FailureDomain, c.Region = m.GetAddress(), m.GetFailureDomain(), m.GetRegion()
		members[i] = c
	}
	_, _, err := h.node.ProposeMembers(members)
	return err
}

func voters(members []*pb.Member) int {
	count := 0
	for _, m := range members {
		if m.GetVoter() || m.GetCatchingUp() {
			count++
		}
	}
	return count
}

// pruneLoop removes voters that have been replaced.
func (h *Host) pruneLoop(ctx context.Context) error {
	for {
		lifecycle.Pause(ctx, pruneInterval)
		if ctx.Err() != nil {
			return nil
		}
		if h.IsLeader() {
			_ = h.do(ctx, h.prune) // ends with the context
		}
	}
}

func (h *Host) prune() {
	s := h.node.Status()
	if s.Role != raft.Leader {
		return
	}
	gone := replaced(s, h.clock.now())
	if gone == nil {
		return
	}
	members := slices.DeleteFunc(slices.Clone(s.Members), func(m *pb.Member) bool { return m.GetId() == gone.GetId() })
	if _, _, err := h.node.ProposeMembers(members); err == nil {
		_ = h.logger.Log("event", "control host replaced", "member", gone.GetId(), "domain", gone.GetFailureDomain())
	}
}

// replaced returns a voter that has been silent while another voter of its
// failure domain, which joined later, is there.
func replaced(s raft.Status, now time.Duration) *pb.Member {
	alive := make(map[string]bool)
	silent := func(m *pb.Member) bool {
		p, ok := s.Progress[m.GetId()]
		return m.GetId() != s.ID && ok && now-p.LastContact > replacedAfter
	}
	for _, m := range s.Members {
		if m.GetVoter() && m.GetFailureDomain() != "" && !silent(m) {
			alive[m.GetFailureDomain()] = true
		}
	}
	for _, m := range s.Members {
		if m.GetVoter() && silent(m) && alive[m.GetFailureDomain()] {
			return m
		}
	}
	return nil
}
