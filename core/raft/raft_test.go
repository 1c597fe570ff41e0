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
// entry and stale reads, under loss, duplication and reordering of messages,
// one-way partitions, crashes between write and sync, pauses longer than the
// lease, snapshots, membership changes, lost and older disks. At the end a
// cluster without faults must work again with every voter entitled to vote.
func TestLogSurvivesFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "voters")
		s := newSim(t, voters, rapid.IntRange(0, 1).Draw(t, "spares"), rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		if rapid.Bool().Draw(t, "started") {
			s.calm(time.Second)
		}
		for range rapid.IntRange(20, 150).Draw(t, "events") {
			s.act()
		}
		s.heal()
		s.calm(8 * time.Second)
		s.requireWorking()
		s.requireWorkingWithout(s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "down")], rapid.Bool().Draw(t, "power loss"))
	})
}

// requireWorkingWithout: a minority that is down must not stop the others, also after a restart of all.
func (s *sim) requireWorkingWithout(down *simHost, restart bool) {
	for _, h := range s.hosts {
		if h == down || restart {
			s.crash(h, 0)
		}
		if h != down && restart {
			s.start(h)
		}
	}
	s.calm(4 * time.Second)
	before := s.maxCommit
	s.require(s.leader() != nil && s.propose(s.leader()), "no leader without %s: %s", down.id, s.describe())
	s.calm(time.Second)
	s.require(s.maxCommit > before, "nothing is committed without %s: %s", down.id, s.describe())
}

// Guards against a standstill when the first leader is lost before some hosts
// received anything: their disks are empty and still the ones that took part in
// the first election.
func TestFirstLeaderIsLostEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 5, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.drop = func(m *pb.RaftMessage) bool {
			return m.GetKind() == pb.RaftKind_RAFT_KIND_APPEND && (m.GetTo() == "h3" || m.GetTo() == "h4")
		}
		for s.leader() == nil {
			s.calm(simTick)
			s.require(s.now < 20*time.Second, "no first leader")
		}
		first := s.leader()
		s.crash(first, 0)
		s.drop = nil
		s.net = nil
		s.requireWorkingWithout(first, false)
	})
}

// Guards against a restarted host that commits nothing until the next proposal.
func TestRestartedFollowerCatchesUpAtRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.calm(2 * time.Second)
		l := s.leader()
		s.propose(l)
		s.calm(time.Second)
		for _, h := range s.hosts {
			if h != l {
				s.crash(h, 0)
				s.start(h)
				s.calm(time.Second)
				s.require(s.leader() == l && h.applied == s.maxCommit && h.node.eligible(), "%s: %s", h.id, s.describe())
			}
		}
	})
}

// Guards against a full vote of a host that has not compared its disk with anybody since its start.
func TestVoteAfterRestartIsProvisional(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.calm(2 * time.Second)
		l, h := s.leader(), s.hosts[0]
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
	l := s.leader()
	s.require(l != nil, "no leader after all faults ended: %s", s.describe())
	before := s.maxCommit
	s.require(s.propose(l), "the leader takes no proposal")
	s.calm(time.Second)
	s.require(s.maxCommit > before, "nothing is committed after all faults ended: %s", s.describe())
	for _, m := range s.leader().node.members() {
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
			out += fmt.Sprintf("\n%s %v term %d last %d commit %d eligible %v confirmed %v members %v", h.id, st.Role, st.Term, st.Last, st.Commit, st.Eligible, h.node.confirmation.done, st.Members)
		}
	}
	if l := s.leader(); l != nil {
		for id, p := range l.node.lead.progress {
			out += fmt.Sprintf("\n%s %+v", id, p)
		}
	}
	return out
}

// repair describes a host whose disk comes back worse than it was.
type repair struct {
	name string
	disk func(h *simHost, backup simDisk) simDisk
}

var repairs = []repair{
	{"lost", func(*simHost, simDisk) simDisk {
		return simDisk{state: HardState{Incarnation: []byte("replacement")}}
	}},
	{"older", func(_ *simHost, backup simDisk) simDisk { return backup }},
}

// Guards against the loss of an accepted entry when the leader is lost right
// after another host came back with a lost or older disk: that host and the one
// that lagged must not elect a leader without the entry.
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	for _, r := range repairs {
		t.Run(r.name, rapid.MakeCheck(func(t *rapid.T) {
			s := newSim(t, 3, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
			s.calm(2 * time.Second)
			l := s.leader()
			var repaired, lagging *simHost
			for _, h := range s.hosts {
				if h != l && repaired == nil {
					repaired = h
				} else if h != l {
					lagging = h
				}
			}
			backup := repaired.disk
			s.propose(l)
			s.calm(time.Second)
			backup = simDisk{state: backup.state, entries: slices.Clone(backup.entries)}
			// The newest entries reach the leader and the host to be repaired only.
			s.dropAppends(lagging, l, 5)
			accepted := s.maxCommit
			s.crash(repaired, 0)
			s.calm(simBeat * 2)
			repaired.disk = r.disk(repaired, backup)
			repaired.started = r.name == "older"
			s.start(repaired)
			s.busy(rapid.IntRange(0, 40).Draw(t, "ticks after the repair"))
			s.crash(l, 0)
			s.calm(5 * time.Second)
			s.require(s.maxCommit >= accepted, "lost")
			s.start(l)
			s.calm(8 * time.Second)
			s.requireWorking()
			s.require(uint64(len(s.committed)) > accepted, "an accepted entry is gone")
		}))
	}
}

// dropAppends commits entries without one host, to which only heartbeats get through.
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

// Guards against a lease that a leader still claims while the host that it
// handed over to has been elected, against the promise of the voters.
func TestTransferEndsTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"), 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.calm(2 * time.Second)
		l := s.leader()
		l.node.TransferLeadership(s.now)
		s.process(l)
		for len(s.net) > 0 {
			s.deliver(0, false)
		}
		for _, h := range s.hosts {
			s.cut[[2]string{h.id, l.id}], s.cut[[2]string{l.id, h.id}] = true, true
		}
		for range 15 { // less than the lease
			s.calm(simTick)
			if next := s.leader(); next != nil && next != l {
				s.propose(next)
			}
			s.check(l)
		}
		s.heal()
		s.calm(4 * time.Second)
		s.requireWorking()
	})
}

// Guards against a membership change that could let two majorities exist.
func TestProposeMembersChangesOneVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, 2, 7)
		s.calm(2 * time.Second)
		l := s.leader()
		two := append(slices.Clone(l.node.members()), &pb.Member{Id: "h3", Voter: true}, &pb.Member{Id: "h4", Voter: true})
		_, _, err := l.node.ProposeMembers(two)
		s.require(err == ErrMemberChange, "two voters at once: %v", err)
		_, _, err = l.node.ProposeMembers(append(slices.Clone(l.node.members()), &pb.Member{Id: "h3", CatchingUp: true}))
		s.require(err == nil, "one member: %v", err)
		_, _, err = l.node.ProposeMembers(l.node.members())
		s.require(err == ErrMemberPending, "a second change before the first is committed: %v", err)
		s.calm(2 * time.Second)
		m := find(l.node.members(), "h3")
		s.require(m.GetVoter() && !m.GetCatchingUp() && s.host("h3").node.eligible(), "the new member is not promoted: %v", m)
		before := proto.CloneOf(m)
		s.require(proto.Equal(before, m), "members are immutable")
	})
}

// Guards against a member across a slow link that applies a change only at the next heartbeat,
// because the change was committed before its acknowledgement arrived.
func TestSlowMemberLearnsCommitAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		// Candidates can split the first votes, so that a leader takes more than 2 s.
		for i := 0; s.leader() == nil; i++ {
			s.require(i < 10, "no leader: %s", s.describe())
			s.calm(2 * time.Second)
		}
		l := s.leader()
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

// settle delivers and syncs all that is under way without time passing, except
// messages to or from one host.
func (s *sim) settle(except string) {
	held := func(m simMessage) bool { return m.m.GetTo() == except || m.m.GetFrom() == except }
	for {
		i := slices.IndexFunc(s.net, func(m simMessage) bool { return !held(m) })
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
