package raft

import (
	"bytes"
	"encoding/binary"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// diskCheck is the state of the check that a host makes after its start: does
// its disk still hold everything that the host acknowledged? A disk that was
// restored from an older copy does not.
type diskCheck struct {
	done          bool
	leaderChecked bool            // the disk was compared with a leader's record
	peersChecked  map[string]bool // the members with whose records the disk was compared
}

// admittedAsVoter reports whether the newest member set names this disk, by its
// incarnation, as the disk of a voter.
func (n *Node) admittedAsVoter() bool {
	m := findMember(n.members(), n.config.ID)
	return m != nil && m.GetVoter() && len(m.GetIncarnation()) > 0 &&
		bytes.Equal(m.GetIncarnation(), n.state.Incarnation)
}

// eligible reports whether this host may lead and whether its own vote counts.
// Only a host whose log holds everything before it appends a member set that
// names this disk as a voter.
func (n *Node) eligible() bool { return n.admittedAsVoter() && n.diskCheck.done }

// checkDiskAgainstLeader compares the disk with the position that this host
// acknowledged according to the leader. Only the first message since the start
// is compared: later ones may include acknowledgements of this process.
func (n *Node) checkDiskAgainstLeader(m *pb.RaftMessage) {
	if !n.diskCheck.leaderChecked {
		n.diskCheck.leaderChecked = true
		n.checkAcknowledged(m.GetAcknowledged())
	}
}

// finishDiskCheck completes the disk check once the synced log holds everything
// that the leader has committed. The commit index must be in the leader's term,
// because only then does it cover everything committed in earlier terms.
func (n *Node) finishDiskCheck(leaderCommit uint64) {
	term, ok := n.log.term(n.log.commit)
	if ok && term == n.state.Term && n.log.commit >= leaderCommit && n.log.stable >= leaderCommit {
		n.diskCheck.done = true
	}
}

// checkDiskAgainstPeer compares the disk, while no leader is known, with the
// record of a voter that sent a pre-vote message. The disk check is complete once
// a majority, including this host, knows of no acknowledgement that the disk lacks.
func (n *Node) checkDiskAgainstPeer(m *pb.RaftMessage) {
	if n.diskCheck.done {
		return
	}
	if n.checkAcknowledged(m.GetAcknowledged()) {
		return
	}
	from := findMember(n.members(), m.GetFrom())
	if from == nil || !from.GetVoter() || m.GetLogIndex() == 0 {
		return // a member with an empty log has no record of acknowledgements
	}
	if !n.lacksMemberSet() && !bytes.Equal(from.GetIncarnation(), m.GetIncarnation()) {
		return // neither has a member whose disk was replaced
	}
	if n.diskCheck.peersChecked == nil {
		n.diskCheck.peersChecked = make(map[string]bool)
	}
	n.diskCheck.peersChecked[m.GetFrom()] = true
	n.diskCheck.done = len(n.diskCheck.peersChecked)+1 > voterCount(n.members())/2
}

// checkAcknowledged gives the disk a new incarnation and returns true if another
// host knows of an acknowledgement that this disk does not hold. The member set
// then names another disk, so this host has no vote until the leader admits the
// new incarnation.
func (n *Node) checkAcknowledged(acknowledged []*pb.Acknowledged) bool {
	for _, a := range acknowledged {
		if a.GetMember() != n.config.ID || !bytes.Equal(a.GetIncarnation(), n.state.Incarnation) ||
			n.log.endsAtOrAfter(a.GetIndex(), a.GetTerm()) {
			continue
		}
		b := binary.BigEndian.AppendUint64(nil, n.config.Rand.Uint64())
		n.state.Incarnation = binary.BigEndian.AppendUint64(b, n.config.Rand.Uint64())
		n.diskCheck = diskCheck{done: true, leaderChecked: true}
		return true
	}
	return false
}

// endsAtOrAfter reports whether the last entry of this log is at or after (index, term).
func (l *raftLog) endsAtOrAfter(index, term uint64) bool {
	lt := l.lastTerm()
	return lt > term || (lt == term && l.last() >= index)
}

// storeAcknowledgedPositions stores the acknowledged positions of members that a leader sent.
func (n *Node) storeAcknowledgedPositions(m *pb.RaftMessage) {
	for _, a := range m.GetAcknowledged() {
		n.acknowledged[a.GetMember()] = a
	}
}

// recordAcknowledged records a position that a member acknowledged to this
// leader. A position from a former leader is replaced only by an entry of a later
// term, or by a later entry of the same term.
func (n *Node) recordAcknowledged(id string, diskID []byte, index, term uint64) {
	a := n.acknowledged[id]
	if a != nil && bytes.Equal(a.GetIncarnation(), diskID) &&
		(term < a.GetTerm() || (term == a.GetTerm() && index <= a.GetIndex())) {
		return
	}
	n.acknowledged[id] = &pb.Acknowledged{Member: id, Index: index, Term: term, Incarnation: diskID}
}

// acknowledgedBy returns the recorded position that a member acknowledged, as a
// list of at most one.
func (n *Node) acknowledgedBy(member string) []*pb.Acknowledged {
	if a := n.acknowledged[member]; a != nil {
		return []*pb.Acknowledged{a}
	}
	return nil
}
