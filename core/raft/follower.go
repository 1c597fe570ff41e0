package raft

import (
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// acceptLeader accepts the sender as the leader of the current term.
func (n *Node) acceptLeader(m *pb.RaftMessage) {
	if n.role != Follower || n.leaderID != m.GetFrom() {
		n.becomeFollower(n.state.Term, m.GetFrom())
	}
	n.lastContact, n.leaderSeen = n.now, true
	n.resetElectionDeadline()
	n.checkDiskAgainstLeader(m)
	n.storeAcknowledgedPositions(m)
}

// onAppend handles entries of the leader. The reply repeats the heartbeat round in
// Context. In a rejection, LogIndex is the rejected position, Hint the highest
// index of this log that may match the leader's, and LogTerm that entry's term.
func (n *Node) onAppend(m *pb.RaftMessage) {
	reply := &pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.GetFrom(), Context: m.GetContext()}
	switch {
	case m.GetLogIndex() < n.log.commit:
		reply.LogIndex = n.log.commit // a committed prefix always matches
		n.matched = max(n.matched, n.log.commit)
	case !n.log.matches(m.GetLogIndex(), m.GetLogTerm()):
		reply.Reject, reply.LogIndex = true, m.GetLogIndex()
		reply.Hint, reply.LogTerm = n.log.findConflictByTerm(m.GetLogIndex(), m.GetLogTerm())
	default:
		if from := n.log.merge(m.GetEntries()); from > 0 {
			n.dropMemberSets(from)
			for _, e := range n.log.entries[from-n.log.offset-1:] {
				n.recordMemberSet(e)
			}
		}
		reply.LogIndex = m.GetLogIndex() + uint64(len(m.GetEntries()))
		n.matched = max(n.matched, reply.LogIndex)
		n.log.commit = max(n.log.commit, min(m.GetCommit(), reply.LogIndex))
		n.finishDiskCheck(m.GetCommit())
	}
	n.sendAfterSync(reply)
}

// onSnapshot installs a snapshot of the leader, unless the log already holds what
// it covers. The reply repeats the heartbeat round in Context.
func (n *Node) onSnapshot(m *pb.RaftMessage) {
	switch {
	case n.log.matches(m.GetSnapshotIndex(), m.GetSnapshotTerm()):
		// The log already holds the last entry of the snapshot. Entries after it may have been acknowledged, so they stay.
		n.log.commit = max(n.log.commit, m.GetSnapshotIndex())
	case m.GetSnapshotIndex() > n.log.commit:
		s := Snapshot{
			Index: m.GetSnapshotIndex(), Term: m.GetSnapshotTerm(), Members: m.GetSnapshotMembers(), Data: m.GetSnapshot(),
		}
		n.log.restore(s)
		n.memberSets = []memberSet{{index: s.Index, members: s.Members}}
		n.installed = &s
	}
	n.matched = max(n.matched, n.log.commit)
	n.sendAfterSync(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_SNAPSHOT_REPLY, To: m.GetFrom(), Context: m.GetContext(), LogIndex: n.log.commit,
	})
}
