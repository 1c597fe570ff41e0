package raft

import (
	"bytes"
	"encoding/binary"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// confirmation is what a host has learned since its start about whether its
// disk is the newest that it ever acknowledged from.
type confirmation struct {
	done    bool
	checked bool            // a leader's record was compared
	peers   map[string]bool // members whose records were compared
}

// entitled holds when the newest member set names this disk as a voter.
func (n *Node) entitled() bool {
	m := find(n.members(), n.config.ID)
	return m != nil && m.GetVoter() && len(m.GetIncarnation()) > 0 &&
		bytes.Equal(m.GetIncarnation(), n.state.Incarnation)
}

// eligible tells whether this host may lead and whether its own vote counts. A
// member set that names this disk as a voter is appended only by a host that
// holds everything before it.
func (n *Node) eligible() bool { return n.entitled() && n.confirmation.done }

// confirmByLeader compares the disk with what the leader knows to be
// acknowledged. Only the first message since the start is compared: later ones
// may count acknowledgements of this process.
func (n *Node) confirmByLeader(m *pb.RaftMessage) {
	if !n.confirmation.checked {
		n.confirmation.checked = true
		n.checkFloor(m.GetAcknowledged())
	}
}

// confirmCaughtUp ends the confirmation once the synced log holds everything
// that the leader has committed, because it then lacks nothing committed before.
// Only a commit index of the leader's own term covers all earlier ones.
func (n *Node) confirmCaughtUp(leaderCommit uint64) {
	term, ok := n.log.term(n.log.commit)
	if ok && term == n.state.Term && n.log.commit >= leaderCommit && n.log.stable >= leaderCommit {
		n.confirmation.done = true
	}
}

// confirmByPeer counts members that know of no later acknowledgement, while no leader is known.
func (n *Node) confirmByPeer(m *pb.RaftMessage) {
	if n.confirmation.done {
		return
	}
	if n.checkFloor(m.GetAcknowledged()) {
		return
	}
	from := find(n.members(), m.GetFrom())
	if from == nil || !from.GetVoter() || m.GetLogIndex() == 0 {
		return // an empty disk knows of no acknowledgement
	}
	if !n.blank() && !bytes.Equal(from.GetIncarnation(), m.GetIncarnation()) {
		return // neither does one that replaced another
	}
	if n.confirmation.peers == nil {
		n.confirmation.peers = make(map[string]bool)
	}
	n.confirmation.peers[m.GetFrom()] = true
	n.confirmation.done = len(n.confirmation.peers)+1 > voterCount(n.members())/2
}

// checkFloor gives the disk a new incarnation when another host knows of an
// acknowledgement that this disk does not hold. The committed member then names
// another disk, so the host has no vote until the leader admits the new one.
func (n *Node) checkFloor(acknowledged []*pb.Acknowledged) bool {
	for _, f := range acknowledged {
		if f.GetMember() != n.config.ID || !bytes.Equal(f.GetIncarnation(), n.state.Incarnation) ||
			n.log.upToDateOwn(f.GetIndex(), f.GetTerm()) {
			continue
		}
		b := binary.BigEndian.AppendUint64(nil, n.config.Rand.Uint64())
		n.state.Incarnation = binary.BigEndian.AppendUint64(b, n.config.Rand.Uint64())
		n.confirmation = confirmation{done: true, checked: true}
		return true
	}
	return false
}

// upToDateOwn tells whether this log ends at or after (index, term).
func (l *raftLog) upToDateOwn(index, term uint64) bool {
	lt := l.lastTerm()
	return lt > term || (lt == term && l.last() >= index)
}

// noteFloors keeps what a leader says of the positions that others acknowledged.
func (n *Node) noteFloors(m *pb.RaftMessage) {
	for _, f := range m.GetAcknowledged() {
		n.floors[f.GetMember()] = f
	}
}

// raiseFloor records an acknowledgement to this leader. A floor taken over from
// a former leader stays until an entry of the same or a later term replaces it.
func (n *Node) raiseFloor(id string, incarnation []byte, index, term uint64) {
	f := n.floors[id]
	if f != nil && bytes.Equal(f.GetIncarnation(), incarnation) &&
		(term < f.GetTerm() || (term == f.GetTerm() && index <= f.GetIndex())) {
		return
	}
	n.floors[id] = &pb.Acknowledged{Member: id, Index: index, Term: term, Incarnation: incarnation}
}

func (n *Node) floorOf(member string) []*pb.Acknowledged {
	if f := n.floors[member]; f != nil {
		return []*pb.Acknowledged{f}
	}
	return nil
}
