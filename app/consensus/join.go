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
	// maxVoters is the largest number of voters: one for each of the 7 failure domains that the
	// system is designed for, and as many as the settings may list. Further control hosts join
	// without a vote.
	maxVoters = 7
	// replaceAfter is how long a voter must be silent before another voter of its failure
	// domain replaces it. It is several election timeouts, so that a restart is no reason.
	replaceAfter  = 6 * time.Second
	pruneInterval = time.Second
)

// Admit adds a control host to the member set, or updates its address, failure
// domain and region. It returns raft.ErrNotLeader on a host that does not lead,
// raft.ErrTransferring during a transfer of leadership, raft.ErrMemberPending
// while an earlier membership change is not committed, and another error if ctx
// or the host ends first. A nil error means that the change was proposed, or that
// there is nothing to change.
func (h *Host) Admit(ctx context.Context, m *pb.Member) error {
	var err error
	if doErr := h.doInStepLoop(ctx, func() { err = h.admit(m) }); doErr != nil {
		return doErr
	}
	return err
}

// admit is Admit in the step loop.
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
			CatchingUp: votersAndCatchingUp(members) < maxVoters,
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

// votersAndCatchingUp returns the number of members that are voters or become
// voters as soon as they have caught up.
func votersAndCatchingUp(members []*pb.Member) int {
	count := 0
	for _, m := range members {
		if m.GetVoter() || m.GetCatchingUp() {
			count++
		}
	}
	return count
}

// pruneLoop removes voters that another voter has replaced.
func (h *Host) pruneLoop(ctx context.Context) error {
	for {
		lifecycle.Pause(ctx, pruneInterval)
		if ctx.Err() != nil {
			return nil
		}
		if h.IsLeader() {
			_ = h.doInStepLoop(ctx, h.prune) // fails only if ctx or the host has ended
		}
	}
}

// prune removes one replaced voter, if there is one, because a membership change
// may remove only one. A change that cannot be proposed now is left to the next call.
func (h *Host) prune() {
	s := h.node.Status()
	if s.Role != raft.Leader {
		return
	}
	removed := replacedVoter(s, h.clock.now())
	if removed == nil {
		return
	}
	members := slices.DeleteFunc(slices.Clone(s.Members), func(m *pb.Member) bool { return m.GetId() == removed.GetId() })
	if _, _, err := h.node.ProposeMembers(members); err == nil {
		_ = h.logger.Log("event", "control host replaced", "member", removed.GetId(), "domain", removed.GetFailureDomain())
	}
}

// replacedVoter returns a voter that has been silent for replaceAfter while
// another voter of its failure domain is not, or nil.
func replacedVoter(s raft.Status, now time.Duration) *pb.Member {
	alive := make(map[string]bool)
	silent := func(m *pb.Member) bool {
		p, ok := s.Progress[m.GetId()]
		return m.GetId() != s.ID && ok && now-p.LastContact > replaceAfter
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
