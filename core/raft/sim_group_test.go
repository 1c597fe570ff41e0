package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rattanfield/rattanfield/core/voters"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Times of the simulated group, in the same proportion to simElection as those of the control hosts.
var simVoterSettings = voters.Settings{
	MaxVoters: 7, ReplaceAfter: 4 * simElection, ForgetAfter: 20 * simElection, GiveUpAfter: 120 * simElection,
}

const (
	simMembersInterval = 50 * time.Millisecond // between two checks of the member set by the leader
	// simRecovery is the time within which a group works again once all hosts are back.
	simRecovery = 8 * time.Second
)

// Guards against the loss of what was acknowledged, and against a group that never has a leader again, after hosts were
// killed, stood still or lost power while the voters changed, and no more disks were lost than the group bears.
func TestOverlappingLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 3, 5}).Draw(t, "voters")
		s := newSim(t, size, rapid.IntRange(1, 2).Draw(t, "standbys"), rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.fixedMembers = rapid.Bool().Draw(t, "member set in the settings")
		s.runGroup(2 * time.Second)
		disks := (size - 1) / 2 // that may be lost
		for range rapid.IntRange(3, 25).Draw(t, "events") {
			s.overlappingLoss(&disks)
		}
		s.bringBack()
		s.runGroup(simRecovery)
		s.requireGroupWorks()
		s.require(uint64(len(s.committed)) > s.maxCommit, "%d was committed, and only %d is applied: %s", s.maxCommit, len(s.committed)-1, s.describe())
	})
}

// requireGroupWorks checks that the group commits, that every host of it has applied everything, and that every
// voter may lead.
func (s *sim) requireGroupWorks() {
	l := s.leaseHolder()
	s.require(l != nil, "no leader after all hosts are back: %s", s.describe())
	before := s.maxCommit
	s.require(s.propose(l), "the leader takes no proposal: %s", s.describe())
	s.runGroup(2 * time.Second)
	s.require(s.maxCommit > before, "nothing is committed after all hosts are back: %s", s.describe())
	for _, h := range s.hosts {
		s.require(h.applied == s.maxCommit, "%s applied %d of %d: %s", h.id, h.applied, s.maxCommit, s.describe())
		m := findMember(l.node.members(), h.id)
		s.require(m != nil && (!m.GetVoter() || h.node.eligible()), "%s is not admitted: %s", h.id, s.describe())
	}
}

// overlappingLoss applies one random event: a loss, the return of a host, or commands while the voters change.
func (s *sim) overlappingLoss(disks *int) {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, "host")]
	switch a := rapid.IntRange(0, 99).Draw(s.t, "event"); {
	case a < 30:
		s.runGroup(time.Duration(rapid.IntRange(1, 150).Draw(s.t, "ticks")) * simTick)
	case a < 45:
		if l := s.leaseHolder(); l != nil {
			s.propose(l)
			s.runGroup(time.Duration(rapid.IntRange(1, 6).Draw(s.t, "ticks")) * simTick)
		}
	case a < 60:
		if h.node != nil {
			s.crash(h, rapid.IntRange(0, 2).Draw(s.t, "reached"))
		}
	case a < 70:
		if h.node == nil {
			s.start(h)
		}
	case a < 78:
		h.paused = !h.paused && h.node != nil
	case a < 82: // one host is cut off
		for _, o := range s.hosts {
			s.cut[[2]string{h.id, o.id}], s.cut[[2]string{o.id, h.id}] = true, true
		}
	case a < 86:
		clear(s.cut)
	case a < 89:
		h.diskFull = !h.diskFull
	case a < 94: // loss of power of all hosts
		for _, o := range s.hosts {
			s.crash(o, 0)
		}
	default:
		if *disks > 0 {
			*disks--
			s.crash(h, 0)
			h.disk = simDisk{state: HardState{Incarnation: fmt.Appendf(nil, "%s-%d", h.id, s.now)}}
			h.started, h.replaced = false, true
		}
	}
}

// bringBack starts or resumes all hosts in any order, some of them later than others.
func (s *sim) bringBack() {
	clear(s.cut)
	late := time.Duration(rapid.IntRange(0, 150).Draw(s.t, "ticks between two hosts")) * simTick
	for _, h := range rapid.Permutation(s.hosts).Draw(s.t, "order") {
		h.paused, h.diskFull = false, false
		if h.node == nil {
			s.start(h)
		}
		s.runGroup(late)
	}
}

// runGroup advances the time without new faults while the leader adapts the member set.
func (s *sim) runGroup(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.runFaultFree(min(simMembersInterval, end-s.now))
		if l := s.leaseHolder(); l != nil {
			s.adaptMembers(l)
		}
	}
}

// adaptMembers lets the leader admit hosts and change the voters as a control host does.
func (s *sim) adaptMembers(l *simHost) {
	st := l.node.Status()
	members := slices.Clone(st.Members)
	for _, h := range s.hosts {
		if findMember(members, h.id) == nil && h.node != nil && !h.paused {
			members = append(members, &pb.Member{Id: h.id})
			_, _, _ = l.node.ProposeMembers(members)
			s.process(l)
			return
		}
	}
	hosts := make([]voters.Host, 0, len(members))
	for _, m := range members {
		p := st.Progress[m.GetId()]
		hosts = append(hosts, voters.Host{
			ID: m.GetId(), Voter: m.GetVoter(), Joining: m.GetCatchingUp(), Silent: s.now - p.LastContact,
			Behind: s.now - p.UpToDateAt, CaughtUp: p.UpToDate,
		})
	}
	c := voters.Next(l.id, hosts, simVoterSettings)
	if c.None() {
		return
	}
	members = slices.DeleteFunc(members, func(m *pb.Member) bool { return m.GetId() == c.Remove })
	for i, m := range members {
		if m.GetId() != c.Demote && !slices.Contains(c.Promote, m.GetId()) {
			continue
		}
		members[i] = proto.CloneOf(m)
		members[i].CatchingUp = m.GetId() != c.Demote
		members[i].Voter = false
	}
	_, _, _ = l.node.ProposeMembers(members)
	s.process(l)
}
