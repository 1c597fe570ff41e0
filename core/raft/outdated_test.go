package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against an outdated member set of two, whose host is elected by the empty disk of the other voter: it
// overwrites what was acknowledged since, or never commits anything, so that the group has no leader again.
func TestOutdatedSetOfTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, 1, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.runGroup(3 * time.Second)
		l, standby := s.leaseHolder(), s.hosts[3]
		s.require(l != nil && findMember(l.node.members(), standby.id) != nil, "no group: %s", s.describe())
		var others []*simHost
		for _, h := range s.hosts[:3] {
			if h != l {
				others = append(others, h)
			}
		}
		lost, behind := others[0], others[1]
		s.crash(lost, 0)
		s.runGroup(2 * simElection)
		standby.paused = true
		for i := 0; voterCount(l.node.members()) == 3; i++ {
			s.require(i < 20, "the lost host votes: %s", s.describe())
			s.runGroup(simMembersInterval)
		}
		s.runGroup(simHeartbeat)
		switch rapid.SampledFrom([]string{"stands still", "votes", "is ahead"}).Draw(t, "standby") {
		case "votes":
			s.crash(behind, 0)
			standby.paused = false
			s.runGroup(3 * simElection)
			s.require(findMember(l.node.members(), standby.id).GetVoter(), "the standby does not vote: %s", s.describe())
		case "is ahead": // of the last voter, by entries that were not acknowledged
			s.runGroup(5 * simElection)
			s.crash(behind, 0)
			standby.paused = false
		}
		for range 3 {
			s.propose(l)
			s.runGroup(simHeartbeat)
		}
		acknowledged := s.maxCommit
		for _, h := range s.hosts {
			s.crash(h, 0)
		}
		l.disk = simDisk{state: HardState{Incarnation: fmt.Appendf(nil, "%s-replaced", l.id)}}
		l.started, l.replaced, s.fixedMembers = false, true, false
		late := rapid.SampledFrom(s.hosts).Draw(t, "last host")
		for _, h := range s.hosts {
			if h != late {
				s.start(h)
			}
		}
		s.runGroup(time.Duration(rapid.IntRange(0, 300).Draw(t, "ticks until the last host")) * simTick)
		s.start(late)
		s.runGroup(simRecovery)
		s.requireGroupWorks()
		s.require(uint64(len(s.committed)) > acknowledged, "acknowledged entries are gone: %s", s.describe())
	})
}

// Guards against a unanimous election without a host that a former, newest committed member set lets become a voter.
func TestKnownMembersIncludeThoseOfTheSetBefore(t *testing.T) {
	is := is.New(t)
	entry := func(index uint64, ids ...string) *pb.Entry {
		set := &pb.MemberSet{}
		for _, id := range ids {
			set.Members = append(set.Members, &pb.Member{Id: id, Voter: id != "f"})
		}
		payload, err := proto.Marshal(set)
		is.NoErr(err)
		return &pb.Entry{Index: index, Term: 1, Kind: pb.EntryKind_ENTRY_KIND_MEMBERS, Payload: payload}
	}
	ids := func(members []*pb.Member) (out string) {
		for _, m := range members {
			out += m.GetId()
		}
		return out
	}
	n := New(Config{ID: "a", ElectionTimeout: simElection, Rand: rand.New(rand.NewPCG(1, 1))}, Stored{Entries: []*pb.Entry{
		entry(1, "a", "b", "g"), entry(2, "a", "b", "f"), entry(3, "a", "b"), entry(4, "a", "b"),
	}}, 0)
	is.Equal(ids(n.knownMembers()), "abf") // the set at 4 has the same voters as the one at 3, which may be uncommitted too
	n.log.commit = 3
	is.Equal(ids(n.knownMembers()), "ab")
}
