package raft

import (
	"bytes"
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// memberSet is the set that holds from a log index on, also before it is committed.
type memberSet struct {
	index   uint64
	members []*pb.Member
}

func (n *Node) loadSets(s Stored) {
	base := memberSet{members: n.config.Members}
	if s.Snapshot.Index > 0 {
		base = memberSet{index: s.Snapshot.Index, members: s.Snapshot.Members}
	}
	n.sets = []memberSet{base}
	for _, e := range n.log.entries {
		n.noteEntry(e)
	}
}

// noteEntry records the member set of an entry that was added to the log.
func (n *Node) noteEntry(e *pb.Entry) {
	if e.GetKind() != pb.EntryKind_ENTRY_KIND_MEMBERS || e.GetIndex() <= n.sets[0].index {
		return
	}
	set := &pb.MemberSet{}
	if err := proto.Unmarshal(e.GetPayload(), set); err != nil {
		return // a checksum covers every entry, so only a fault in the proposer gives this
	}
	n.sets = append(n.sets, memberSet{index: e.GetIndex(), members: set.GetMembers()})
}

// dropSets forgets the sets of entries from an index on.
func (n *Node) dropSets(from uint64) {
	for len(n.sets) > 1 && n.sets[len(n.sets)-1].index >= from {
		n.sets = n.sets[:len(n.sets)-1]
	}
}

func (n *Node) compactSets(index uint64) {
	for len(n.sets) > 1 && n.sets[1].index <= index {
		n.sets = n.sets[1:]
	}
}

func (n *Node) members() []*pb.Member { return n.sets[len(n.sets)-1].members }

// setAt returns the set in force at an index.
func (n *Node) setAt(index uint64) []*pb.Member {
	for _, s := range slices.Backward(n.sets) {
		if s.index <= index {
			return s.members
		}
	}
	return n.sets[0].members
}

// blank is true until a member set is in the log or a snapshot.
func (n *Node) blank() bool { return n.sets[len(n.sets)-1].index == 0 }

func find(members []*pb.Member, id string) *pb.Member {
	for _, m := range members {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// ProposeMembers proposes a new member set that differs in one voter.
func (n *Node) ProposeMembers(members []*pb.Member) (index, term uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader
	case n.lead.transferring(n.now):
		return 0, 0, ErrTransferring
	case !n.mayChangeMembers():
		return 0, 0, ErrMemberPending
	case changedVoters(n.members(), members) > 1 || voterCount(members) == 0:
		return 0, 0, ErrMemberChange
	}
	e := n.appendMembers(members)
	return e.GetIndex(), e.GetTerm(), nil
}

// mayChangeMembers holds when the last change is committed and an entry of this
// term is: without the latter, two leaders could commit disjoint changes.
func (n *Node) mayChangeMembers() bool {
	return n.sets[len(n.sets)-1].index <= n.log.commit && n.committedOwnTerm()
}

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
	if err != nil { // only invalid UTF-8 fails, which settings and decoding exclude
		panic("raft: member set cannot be encoded: " + err.Error())
	}
	e := n.appendOwn(pb.EntryKind_ENTRY_KIND_MEMBERS, payload)
	n.lead.sync(n.members(), n.log.last(), n.now)
	return e
}

// maintainMembers demotes members whose disk changed and promotes those that caught up, one at a time.
func (n *Node) maintainMembers() {
	if !n.mayChangeMembers() || n.lead.transferring(n.now) {
		return
	}
	for _, m := range n.members() {
		p := n.lead.progress[m.GetId()]
		if m.GetId() == n.config.ID || p == nil || len(p.incarnation) == 0 {
			continue
		}
		if c := n.memberUpdate(m, p); c != nil {
			n.appendMembers(replace(n.members(), c))
			return
		}
	}
}

// memberUpdate returns the changed record of a member, or nil.
func (n *Node) memberUpdate(m *pb.Member, p *progress) *pb.Member {
	same := bytes.Equal(m.GetIncarnation(), p.incarnation)
	if same && (m.GetVoter() || !m.GetCatchingUp() || p.match < n.log.commit) {
		return nil
	}
	c := proto.Clone(m).(*pb.Member)
	c.Incarnation = p.incarnation
	if same {
		c.Voter, c.CatchingUp = true, false
		return c
	}
	c.CatchingUp = m.GetCatchingUp() || m.GetVoter()
	c.Voter = false
	return c
}

func replace(members []*pb.Member, m *pb.Member) []*pb.Member {
	members = slices.Clone(members)
	for i := range members {
		if members[i].GetId() == m.GetId() {
			members[i] = m
		}
	}
	return members
}
