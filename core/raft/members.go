package raft

import (
	"bytes"
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// memberSet is a member set that is in force from a log index on, even before it is committed.
type memberSet struct {
	index   uint64
	members []*pb.Member
}

func (n *Node) loadMemberSets(s Stored) {
	base := memberSet{members: n.config.Members}
	if s.Snapshot.Index > 0 {
		base = memberSet{index: s.Snapshot.Index, members: s.Snapshot.Members}
	}
	n.memberSets = []memberSet{base}
	for _, e := range n.log.entries {
		n.recordMemberSet(e)
	}
}

// recordMemberSet records the member set of an entry that was added to the log, if it holds one.
func (n *Node) recordMemberSet(e *pb.Entry) {
	if e.GetKind() != pb.EntryKind_ENTRY_KIND_MEMBERS || e.GetIndex() <= n.memberSets[0].index {
		return
	}
	set := &pb.MemberSet{}
	if err := proto.Unmarshal(e.GetPayload(), set); err != nil {
		return // every entry has a checksum, so only a fault in the proposer can cause this
	}
	n.memberSets = append(n.memberSets, memberSet{index: e.GetIndex(), members: set.GetMembers()})
}

// dropMemberSets removes the sets of the entries from an index on.
func (n *Node) dropMemberSets(from uint64) {
	for len(n.memberSets) > 1 && n.memberSets[len(n.memberSets)-1].index >= from {
		n.memberSets = n.memberSets[:len(n.memberSets)-1]
	}
}

// compactMemberSets removes the member sets that a snapshot at an index replaces.
func (n *Node) compactMemberSets(index uint64) {
	for len(n.memberSets) > 1 && n.memberSets[1].index <= index {
		n.memberSets = n.memberSets[1:]
	}
}

// members returns the member set in force, which may not be committed yet.
func (n *Node) members() []*pb.Member { return n.memberSets[len(n.memberSets)-1].members }

// membersAt returns the members in force at an index.
func (n *Node) membersAt(index uint64) []*pb.Member {
	for _, s := range slices.Backward(n.memberSets) {
		if s.index <= index {
			return s.members
		}
	}
	return n.memberSets[0].members
}

// knownMembers returns the members of the sets of which one is the newest committed set of this log: the set in force
// and, unless it is known to be committed, the sets before it. A set with other members or voters than the one before
// it was proposed when that one was committed, so the search ends there.
func (n *Node) knownMembers() []*pb.Member {
	out := slices.Clone(n.members())
	for i := len(n.memberSets) - 1; i > 0 && n.memberSets[i].index > n.log.commit; i-- {
		before := n.memberSets[i-1].members
		for _, m := range before {
			if findMember(out, m.GetId()) == nil {
				out = append(out, m)
			}
		}
		if !sameVoters(before, n.memberSets[i].members) {
			break
		}
	}
	return out
}

// sameVoters reports whether two sets have the same members and the same voters.
func sameVoters(a, b []*pb.Member) bool {
	return len(a) == len(b) && changedVoters(a, b) == 0 &&
		!slices.ContainsFunc(a, func(m *pb.Member) bool { return findMember(b, m.GetId()) == nil })
}

// lacksMemberSet reports whether neither the log nor a snapshot holds a member
// set, so that the one of Config is in force.
func (n *Node) lacksMemberSet() bool { return n.memberSets[len(n.memberSets)-1].index == 0 }

func findMember(members []*pb.Member, id string) *pb.Member {
	for _, m := range members {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// ProposeMembers appends a new member set that differs from the current one in
// at most one voter and makes only members voters, and returns its position. It returns ErrNotLeader,
// ErrTransferring, ErrMemberPending or ErrMemberChange if the set is rejected.
func (n *Node) ProposeMembers(members []*pb.Member) (index, term uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader
	case n.leading.transferring(n.now):
		return 0, 0, ErrTransferring
	case !n.mayChangeMembers():
		return 0, 0, ErrMemberPending
	case changedVoters(n.members(), members) > 1 || voterCount(members) == 0 || addsVoter(n.members(), members):
		return 0, 0, ErrMemberChange
	}
	e := n.appendMembers(members)
	return e.GetIndex(), e.GetTerm(), nil
}

// mayChangeMembers reports whether the last membership change and an entry of
// this term are committed. Without the latter, two leaders could commit
// different changes whose majorities do not overlap.
func (n *Node) mayChangeMembers() bool {
	return n.memberSets[len(n.memberSets)-1].index <= n.log.commit && n.committedInCurrentTerm()
}

// changedVoters returns the number of members that are voters in only one of two sets.
func changedVoters(from, to []*pb.Member) int {
	voting := make(map[string]int)
	for _, m := range from {
		if m.GetVoter() {
			voting[m.GetId()]++
		}
	}
	for _, m := range to {
		if m.GetVoter() {
			voting[m.GetId()]--
		}
	}
	changed := 0
	for _, v := range voting {
		if v != 0 {
			changed++
		}
	}
	return changed
}

// addsVoter reports whether a voter of a new set is no member of the old one.
func addsVoter(from, to []*pb.Member) bool {
	return slices.ContainsFunc(to, func(m *pb.Member) bool { return m.GetVoter() && findMember(from, m.GetId()) == nil })
}

func voterCount(members []*pb.Member) int {
	count := 0
	for _, m := range members {
		if m.GetVoter() {
			count++
		}
	}
	return count
}

func (n *Node) appendMembers(members []*pb.Member) *pb.Entry {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b *pb.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pb.MemberSet{Members: members})
	if err != nil { // only invalid UTF-8 causes an error, and settings and decoding reject that
		panic("raft: member set cannot be encoded: " + err.Error())
	}
	e := n.appendEntry(pb.EntryKind_ENTRY_KIND_MEMBERS, payload)
	n.leading.updateProgress(n.members(), n.log.last(), n.now)
	return e
}

// maintainMembers demotes members whose disk was replaced and promotes members
// that have caught up, one change at a time.
func (n *Node) maintainMembers() {
	if !n.mayChangeMembers() || n.leading.transferring(n.now) {
		return
	}
	for _, m := range n.members() {
		p := n.leading.progress[m.GetId()]
		if m.GetId() == n.config.ID || p == nil || len(p.diskID) == 0 {
			continue
		}
		if c := n.memberUpdate(m, p); c != nil {
			n.appendMembers(replaceMember(n.members(), c))
			return
		}
	}
}

// memberUpdate returns the new record of a member, or nil if nothing changes.
func (n *Node) memberUpdate(m *pb.Member, p *progress) *pb.Member {
	same := bytes.Equal(m.GetIncarnation(), p.diskID)
	if same && (m.GetVoter() || !m.GetCatchingUp() || p.match < n.log.commit) {
		return nil
	}
	c := proto.Clone(m).(*pb.Member)
	c.Incarnation = p.diskID
	if same {
		c.Voter, c.CatchingUp = true, false
		return c
	}
	c.CatchingUp = m.GetCatchingUp() || m.GetVoter()
	c.Voter = false
	return c
}

func replaceMember(members []*pb.Member, m *pb.Member) []*pb.Member {
	members = slices.Clone(members)
	for i := range members {
		if members[i].GetId() == m.GetId() {
			members[i] = m
		}
	}
	return members
}
