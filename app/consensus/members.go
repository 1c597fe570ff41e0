package consensus

import (
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/raft"
	"github.com/rattanfield/rattanfield/core/voters"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

const (
	// membersInterval is the time between two checks of the member set by the leader.
	membersInterval = 250 * time.Millisecond
	// leaveTimeout bounds the wait of a host that stops for a successor as a voter.
	leaveTimeout = time.Second
	// leavingFor is how long a host that has announced its stop gets no vote. The host ends within that time; from then
	// on it is silent, or it has been started again.
	leavingFor = 3 * time.Second
)

// voterSettings are the limits of the member set. MaxVoters is one for each of the 7 failure domains that the
// system is designed for. A host that is silent for ReplaceAfter, several election timeouts, is more than
// restarting; a successor of a lost host must vote within the 4 s in which it is expected to catch up.
var voterSettings = voters.Settings{
	MaxVoters: 7, ReplaceAfter: 2 * time.Second, ForgetAfter: 10 * time.Second, GiveUpAfter: time.Minute,
}

// Admit adds a control host to the member set as a standby, or updates its address, failure
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
		})
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
	if err == nil && i < 0 {
		_ = h.logger.Log("event", "control host joins", "member", m.GetId(), "domain", m.GetFailureDomain())
	}
	return err
}

// membersLoop adapts the voters to the hosts that are there while this host leads.
func (h *Host) membersLoop(ctx context.Context) error {
	for {
		lifecycle.Pause(ctx, membersInterval)
		if ctx.Err() != nil {
			return nil
		}
		if h.IsLeader() {
			_ = h.doInStepLoop(ctx, func() { h.changeMembers() }) // fails only if ctx or the host has ended
		}
	}
}

// changeMembers proposes the next change of the member set, if there is one, and reports whether there is. A
// change that cannot be proposed now is left to the next call.
func (h *Host) changeMembers() bool {
	now := h.clock.now()
	if !h.node.HoldsLease(now) {
		return false // what this host knows of the others may be outdated
	}
	s := h.node.Status()
	c := voters.Next(s.ID, h.voterHosts(s, now), voterSettings)
	if h.options.KeepMembers {
		c.Remove = ""
	}
	if c.None() {
		return slices.ContainsFunc(s.Members, (*pb.Member).GetCatchingUp)
	}
	if _, _, err := h.node.ProposeMembers(changedMembers(s.Members, c)); err == nil {
		_ = h.logger.Log("event", "control group changes", "demoted", c.Demote, "promoted", strings.Join(c.Promote, ","), "removed", c.Remove)
	}
	return true
}

// voterHosts describes the members as the leader knows them.
func (h *Host) voterHosts(s raft.Status, now time.Duration) []voters.Host {
	out := make([]voters.Host, 0, len(s.Members))
	for _, m := range s.Members {
		p := s.Progress[m.GetId()]
		silent := now - p.LastContact
		if !p.Contacted {
			silent += h.options.ElectionTimeout // the election of this leader took at least that long
		}
		leaving, ok := h.leaving[m.GetId()]
		out = append(out, voters.Host{
			ID: m.GetId(), FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(), Voter: m.GetVoter(), Joining: m.GetCatchingUp(),
			Silent: silent, Behind: now - p.UpToDateAt, CaughtUp: p.UpToDate, Leaving: ok && now < leaving,
		})
	}
	return out
}

// changedMembers returns the member set after a change.
func changedMembers(members []*pb.Member, c voters.Change) []*pb.Member {
	out := make([]*pb.Member, 0, len(members))
	for _, m := range members {
		switch {
		case m.GetId() == c.Remove:
			continue
		case m.GetId() == c.Demote:
			m = proto.CloneOf(m)
			m.Voter, m.CatchingUp = false, false
		case slices.Contains(c.Promote, m.GetId()):
			m = proto.CloneOf(m)
			m.CatchingUp = true
		}
		out = append(out, m)
	}
	return out
}

// replaceLeaving notes that a host stops and waits until its vote has passed to a standby, for as long as there is
// one, this host leads and ctx allows.
func (h *Host) replaceLeaving(ctx context.Context, id string) {
	if h.doInStepLoop(ctx, func() { h.leaving[id] = h.clock.now() + leavingFor }) != nil {
		return
	}
	for ctx.Err() == nil {
		changing := false
		if h.doInStepLoop(ctx, func() { changing = h.changeMembers() }) != nil || !changing {
			return
		}
		lifecycle.Pause(ctx, h.options.HeartbeatInterval/10)
	}
}

// leave tells the leader that this host stops, so that a standby votes in its place before it is gone.
func (h *Host) leave(run context.Context) {
	ctx, cancel := context.WithTimeout(run, leaveTimeout)
	defer cancel()
	id, address := h.Leader()
	if id == "" || id == h.options.ID || memberOf(h.State().Members, h.options.ID) == nil {
		return
	}
	client := rattanfieldv1connect.NewRaftServiceClient(h.client.HTTP(), rpc.URL(address))
	if _, err := client.Leave(ctx, connect.NewRequest(&pb.LeaveRequest{Member: h.options.ID})); err != nil {
		_ = h.logger.Log("event", "leader not told of the stop", "leader", id, "err", err)
	}
}
