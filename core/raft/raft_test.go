package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against two leaders in a term, diverging logs, the loss of a committed
// entry, and stale reads. The simulation loses, duplicates and reorders messages,
// cuts links in one or both directions, crashes hosts between write and sync,
// pauses them for longer than the lease, compacts logs, changes the members, and
// loses disks or replaces them with older copies. Once the faults have ended, the
// cluster must work again and every voter must be eligible.
func TestLogSurvivesFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "voters")
		s := newSim(t, voters, rapid.IntRange(0, 1).Draw(t, "spares"), rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		if rapid.Bool().Draw(t, "started") {
			s.runFaultFree(time.Second)
		}
		for range rapid.IntRange(20, 150).Draw(t, "events") {
			s.randomEvent()
		}
		s.heal()
		s.runFaultFree(8 * time.Second)
		s.requireWorking()
		s.requireWorkingWithout(s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "down")], rapid.Bool().Draw(t, "power loss"))
	})
}

// requireWorkingWithout checks that the other hosts still commit entries while
// one host is down, and, if restart is true, that they do so after a restart.
func (s *sim) requireWorkingWithout(down *simHost, restart bool) {
	for _, h := range s.hosts {
		if h == down || restart {
			s.crash(h, 0)
		}
		if h != down && restart {
			s.start(h)
		}
	}
	s.runFaultFree(4 * time.Second)
	before := s.maxCommit
	s.require(s.leaseHolder() != nil && s.propose(s.leaseHolder()), "no leader without %s: %s", down.id, s.describe())
	s.runFaultFree(time.Second)
	s.require(s.maxCommit > before, "nothing is committed without %s: %s", down.id, s.describe())
}

// Guards against a cluster that stays without a leader when the first leader is
// lost before some hosts have received any entry. Their disks are empty, but they
// are the disks that took part in the first election, so their votes must count.
func TestFirstLeaderIsLostEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 5, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.drop = func(m *pb.RaftMessage) bool {
			return m.GetKind() == pb.RaftKind_RAFT_KIND_APPEND && (m.GetTo() == "h3" || m.GetTo() == "h4")
		}
		for s.leaseHolder() == nil {
			s.runFaultFree(simTick)
			s.require(s.now < 20*time.Second, "no first leader")
		}
		first := s.leaseHolder()
		s.crash(first, 0)
		s.drop = nil
		s.net = nil
		s.requireWorkingWithout(first, false)
	})
}

// Guards against a restarted host that applies nothing until the next proposal.
func TestRestartedFollowerCatchesUpWithoutProposals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.runFaultFree(2 * time.Second)
		l := s.leaseHolder()
		s.propose(l)
		s.runFaultFree(time.Second)
		for _, h := range s.hosts {
			if h != l {
				s.crash(h, 0)
				s.start(h)
				s.runFaultFree(time.Second)
				s.require(s.leaseHolder() == l && h.applied == s.maxCommit && h.node.eligible(), "%s: %s", h.id, s.describe())
			}
		}
	})
}

// Guards against a full vote of a host that has not completed its disk check since its start.
func TestVoteAfterRestartIsProvisional(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.runFaultFree(2 * time.Second)
		l, h := s.leaseHolder(), s.hosts[0]
		if l == h {
			h = s.hosts[1]
		}
		for _, confirmed := range []bool{true, false} {
			if !confirmed {
				s.crash(h, 0)
				s.start(h)
			}
			h.node.Step(s.now, &pb.RaftMessage{
				Kind: pb.RaftKind_RAFT_KIND_VOTE, From: l.id, To: h.id, Term: h.node.state.Term + 1, Force: true,
				LogIndex: l.node.log.last(), LogTerm: l.node.log.lastTerm(),
			})
			r, _ := h.node.Ready()
			reply := r.AfterSync[len(r.AfterSync)-1]
			s.require(!reply.GetReject() && reply.GetProvisional() != confirmed, "confirmed %v: %v", confirmed, reply)
		}
	})
}

func (s *sim) requireWorking() {
	l := s.leaseHolder()
	s.require(l != nil, "no leader after all faults ended: %s", s.describe())
	before := s.maxCommit
	s.require(s.propose(l), "the leader takes no proposal")
	s.runFaultFree(time.Second)
	s.require(s.maxCommit > before, "nothing is committed after all faults ended: %s", s.describe())
	for _, m := range s.leaseHolder().node.members() {
		h := s.host(m.GetId())
		s.require(h.applied == s.maxCommit, "%s applied %d of %d: %s", h.id, h.applied, s.maxCommit, s.describe())
		s.require(h.node.eligible(), "%s is not admitted: %s", h.id, s.describe())
	}
}

func (s *sim) describe() string {
	out := ""
	for _, h := range s.hosts {
		if h.node != nil {
			st := h.node.Status()
			out += fmt.Sprintf("\n%s %v term %d last %d commit %d eligible %v confirmed %v members %v", h.id, st.Role, st.Term, st.Last, st.Commit, st.Eligible, h.node.diskCheck.done, st.Members)
		}
	}
	if l := s.leaseHolder(); l != nil {
		for id, p := range l.node.leading.progress {
			out += fmt.Sprintf("\n%s %+v", id, p)
		}
	}
	return out
}

// diskFault is a fault after which a host restarts with a disk that lacks entries.
type diskFault struct {
	name string
	disk func(h *simHost, backup simDisk) simDisk
}

var diskFaults = []diskFault{
	{"lost", func(*simHost, simDisk) simDisk {
		return simDisk{state: HardState{Incarnation: []byte("replacement")}}
	}},
	{"older", func(_ *simHost, backup simDisk) simDisk { return backup }},
}

// Guards against the loss of a committed entry when the leader is lost right
// after another host has restarted with a lost or older disk. That host and the
// third one, which lags behind, must not elect a leader without the entry.
func TestLeaderLostAfterDiskReplacement(t *testing.T) {
	for _, r := range diskFaults {
		t.Run(r.name, rapid.MakeCheck(func(t *rapid.T) {
			s := newSim(t, 3, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
			s.runFaultFree(2 * time.Second)
			l := s.leaseHolder()
			var damaged, lagging *simHost
			for _, h := range s.hosts {
				if h != l && damaged == nil {
					damaged = h
				} else if h != l {
					lagging = h
				}
			}
			backup := damaged.disk
			s.propose(l)
			s.runFaultFree(time.Second)
			backup = simDisk{state: backup.state, entries: slices.Clone(backup.entries)}
			// Only the leader and the host whose disk will fail receive the newest entries.
			s.dropAppends(lagging, l, 5)
			accepted := s.maxCommit
			s.crash(damaged, 0)
			s.runFaultFree(simHeartbeat * 2)
			damaged.disk = r.disk(damaged, backup)
			damaged.started = r.name == "older"
			s.start(damaged)
			s.runWithFaults(rapid.IntRange(0, 40).Draw(t, "ticks after the restart"))
			s.crash(l, 0)
			s.runFaultFree(5 * time.Second)
			s.require(s.maxCommit >= accepted, "lost")
			s.start(l)
			s.runFaultFree(8 * time.Second)
			s.requireWorking()
			s.require(uint64(len(s.committed)) > accepted, "an accepted entry is gone")
		}))
	}
}

// dropAppends commits entries while one host receives heartbeats but no appends.
func (s *sim) dropAppends(lagging, l *simHost, count int) {
	for range count {
		s.propose(l)
		for range 12 {
			s.net = slices.DeleteFunc(s.net, func(m simMessage) bool {
				return m.m.GetTo() == lagging.id && m.m.GetKind() == pb.RaftKind_RAFT_KIND_APPEND
			})
			for n := len(s.net); n > 0 && len(s.net) > 0; n-- {
				s.deliver(0, false)
			}
			for _, h := range s.hosts {
				s.sync(h, len(h.pending))
			}
			s.now += simTick / 2
			for _, h := range s.hosts {
				s.tick(h)
			}
		}
	}
	s.require(lagging.node.log.last() < s.maxCommit, "the host does not lag")
}

// Guards against a leader that still claims its lease after it has transferred
// leadership: the voters elect the new leader before the lease would end.
func TestTransferEndsTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"), 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.runFaultFree(2 * time.Second)
		l := s.leaseHolder()
		l.node.TransferLeadership(s.now)
		s.process(l)
		for len(s.net) > 0 {
			s.deliver(0, false)
		}
		for _, h := range s.hosts {
			s.cut[[2]string{h.id, l.id}], s.cut[[2]string{l.id, h.id}] = true, true
		}
		for range 15 { // shorter than the lease
			s.runFaultFree(simTick)
			if next := s.leaseHolder(); next != nil && next != l {
				s.propose(next)
			}
			s.check(l)
		}
		s.heal()
		s.runFaultFree(4 * time.Second)
		s.requireWorking()
	})
}

// Guards against a membership change after which two majorities that do not overlap could exist.
func TestProposeMembersChangesOneVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, 2, 7)
		s.runFaultFree(2 * time.Second)
		l := s.leaseHolder()
		two := append(slices.Clone(l.node.members()), &pb.Member{Id: "h3", Voter: true}, &pb.Member{Id: "h4", Voter: true})
		_, _, err := l.node.ProposeMembers(two)
		s.require(err == ErrMemberChange, "two voters at once: %v", err)
		_, _, err = l.node.ProposeMembers(append(slices.Clone(l.node.members()), &pb.Member{Id: "h3", CatchingUp: true}))
		s.require(err == nil, "one member: %v", err)
		_, _, err = l.node.ProposeMembers(l.node.members())
		s.require(err == ErrMemberPending, "a second change before the first is committed: %v", err)
		s.runFaultFree(2 * time.Second)
		m := findMember(l.node.members(), "h3")
		s.require(m.GetVoter() && !m.GetCatchingUp() && s.host("h3").node.eligible(), "the new member is not promoted: %v", m)
		before := proto.CloneOf(m)
		s.require(proto.Equal(before, m), "members are immutable")
	})
}

// Guards against a member behind a slow link that learns a commit index only with the next
// heartbeat, because the entry was committed before the member's acknowledgement arrived.
func TestSlowMemberLearnsCommitAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		// Candidates can split the first votes, so that it takes more than 2 s to elect a leader.
		for i := 0; s.leaseHolder() == nil; i++ {
			s.require(i < 10, "no leader: %s", s.describe())
			s.runFaultFree(2 * time.Second)
		}
		l := s.leaseHolder()
		slow := s.hosts[(slices.Index(s.hosts, l)+rapid.IntRange(1, 2).Draw(t, "slow"))%3]
		s.settle("")
		s.propose(l)
		s.settle(slow.id)
		committed := l.node.log.commit
		s.require(committed == l.node.log.last() && slow.node.log.last() < committed, "the others do not commit first: %s", s.describe())
		s.settle("")
		s.require(slow.node.log.commit == committed, "no time passed, but the slow member lacks the commit index: %s", s.describe())
	})
}

// Guards against a leader whose disk is full and which goes on leading: it applies nothing, so that no outcome is
// reported although the others commit.
func TestLeaderWithFullDiskPassesLeadershipOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"), 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.runFaultFree(4 * time.Second)
		for range 3 {
			l := s.leaseHolder()
			s.require(l != nil, "no leader: %s", s.describe())
			l.diskFull = true
			s.propose(l)
			s.runFaultFree(2 * time.Second)
			next := s.leaseHolder()
			s.require(next != nil && next != l, "the leader with a full disk still leads: %s", s.describe())
			s.propose(next)
			s.runFaultFree(time.Second)
			s.require(next.applied == next.node.log.last(), "the next leader does not apply: %s", s.describe())
			l.diskFull = false
			s.runFaultFree(2 * time.Second)
		}
		s.requireWorking()
	})
}

// settle delivers all messages and syncs all writes without advancing the time,
// except for the messages to or from one host.
func (s *sim) settle(except string) {
	excluded := func(m simMessage) bool { return m.m.GetTo() == except || m.m.GetFrom() == except }
	for {
		i := slices.IndexFunc(s.net, func(m simMessage) bool { return !excluded(m) })
		if i >= 0 {
			s.deliver(i, false)
		}
		pending := false
		for _, h := range s.hosts {
			pending = pending || len(h.pending) > 0
			s.sync(h, len(h.pending))
		}
		if i < 0 && !pending {
			return
		}
	}
}
