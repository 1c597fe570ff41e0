package raft

import (
	"bytes"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// vote is the reply of a voter to a request for its vote, or the candidate's vote for itself.
type vote struct {
	granted     bool
	provisional bool
	starting    bool
	diskID      []byte
}

func (n *Node) resetElectionDeadline() {
	t := n.config.ElectionTimeout
	n.electionDeadline = n.now + t + time.Duration(n.config.Rand.Int64N(int64(t)))
}

// hasRecentLeader reports whether this host must not vote for others yet: it
// leads, or its last contact with a leader is less than an election timeout ago.
func (n *Node) hasRecentLeader() bool {
	return n.role == Leader || n.now-n.lastContact < n.config.ElectionTimeout
}

// starting reports whether the only lease that a vote of this host could break
// is one that it confirmed before it was started.
func (n *Node) starting() bool {
	return n.role != Leader && !n.leaderSeen && n.now-n.startedAt < n.config.ElectionTimeout
}

// preVoteDelay returns a random delay before the first pre-vote and before a
// pre-vote after a failed one. It is shorter than an election timeout, because a
// failed pre-vote does no harm. It is shorter still during startup, because the
// pre-votes of the other hosts complete the check of each host's disk.
func (n *Node) preVoteDelay() time.Duration {
	shortest := n.config.ElectionTimeout / 4
	if n.starting() {
		shortest /= 2
	}
	return shortest + time.Duration(n.config.Rand.Int64N(int64(shortest)))
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if n.role == Leader {
		n.stopLeading()
	}
	if term > n.state.Term {
		n.state.Term, n.state.Vote, n.matched = term, "", 0
	}
	if leader != n.leaderID {
		n.failForwardedReads()
	}
	n.role, n.leaderID, n.votes = Follower, leader, nil
	n.resetElectionDeadline()
}

// canCampaign reports whether this host is a voter that may become leader. A
// host with a replaced disk must be admitted first: as a leader its own
// acknowledgements would not count.
func (n *Node) canCampaign() bool {
	m := findMember(n.members(), n.config.ID)
	return m != nil && m.GetVoter() && (n.lacksMemberSet() || n.admittedAsVoter())
}

// campaign starts a pre-vote (PreCandidate) or an election (Candidate).
func (n *Node) campaign(role Role, force bool) {
	leaderless := n.role == PreCandidate && role == Candidate && n.allAnswered()
	n.role, n.leaderID = role, ""
	n.failForwardedReads()
	kind, term := pb.RaftKind_RAFT_KIND_PRE_VOTE, n.state.Term+1
	if role == Candidate {
		kind = pb.RaftKind_RAFT_KIND_VOTE
		n.state.Term, n.state.Vote, n.matched = term, n.config.ID, 0
	}
	n.resetElectionDeadline()
	if role == PreCandidate {
		// The first pre-vote often comes before the other hosts notice that the leader is gone.
		n.electionDeadline = n.now + n.preVoteDelay()
	}
	n.votes = map[string]vote{n.config.ID: {
		granted: true, provisional: !n.eligible(), starting: role == PreCandidate && n.starting(), diskID: n.state.Incarnation,
	}}
	if n.won() {
		n.winElection(role)
		return
	}
	for _, m := range n.members() {
		if m.GetVoter() && m.GetId() != n.config.ID {
			n.sendVote(role, &pb.RaftMessage{
				Kind: kind, To: m.GetId(), Term: term, Force: force, Leaderless: leaderless,
				LogIndex: n.log.last(), LogTerm: n.log.lastTerm(), Acknowledged: n.acknowledgedBy(m.GetId()),
			})
		}
	}
}

func (n *Node) sendVote(role Role, m *pb.RaftMessage) {
	if role == Candidate {
		n.sendAfterSync(m) // this host's vote for itself must be synced before the request for other votes
		return
	}
	n.send(m)
}

func (n *Node) onPreVote(m *pb.RaftMessage) {
	if n.hasRecentLeader() && !n.starting() {
		return // the leader will check the sender's disk or bring its log up to date
	}
	n.checkDiskAgainstPeer(m)
	votedForOther := m.GetTerm() == n.state.Term && n.state.Vote != "" && n.state.Vote != m.GetFrom()
	grant := !votedForOther && n.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	n.replyPreVote(m, grant)
	if grant && n.role == PreCandidate && (m.GetFrom() < n.config.ID || m.GetLogIndex() > n.log.last()) {
		// Two hosts that campaign at once would split the votes.
		n.role, n.votes = Follower, nil
		n.electionDeadline = n.now + n.preVoteDelay()
	}
}

func (n *Node) replyPreVote(m *pb.RaftMessage, grant bool) {
	reply := &pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant, LogIndex: n.log.last(),
		Provisional: !n.diskCheck.done, Starting: n.starting(), Acknowledged: n.acknowledgedBy(m.GetFrom()),
	}
	if grant {
		reply.Term = m.GetTerm()
	}
	n.send(reply)
}

func (n *Node) onPreVoteReply(m *pb.RaftMessage) {
	n.checkDiskAgainstPeer(m)
	if n.role == PreCandidate && (m.GetReject() || m.GetTerm() == n.state.Term+1) {
		n.countVote(m)
	}
}

func (n *Node) onVote(m *pb.RaftMessage) {
	free := n.state.Vote == "" && n.leaderID == ""
	grant := (free || n.state.Vote == m.GetFrom()) && n.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	if grant {
		n.state.Vote = m.GetFrom()
		n.resetElectionDeadline()
	}
	n.sendAfterSync(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_VOTE_REPLY, To: m.GetFrom(), Reject: !grant, Provisional: !n.diskCheck.done,
	})
}

func (n *Node) onVoteReply(m *pb.RaftMessage) {
	if n.role == Candidate {
		n.countVote(m)
	}
}

func (n *Node) countVote(m *pb.RaftMessage) {
	n.votes[m.GetFrom()] = vote{
		granted: !m.GetReject(), provisional: m.GetProvisional(), starting: m.GetStarting(), diskID: m.GetIncarnation(),
	}
	switch {
	case n.won():
		n.winElection(n.role)
	case n.role == Candidate && m.GetReject():
		// The votes may be split. The pre-vote after the delay shows whether another host leads by then.
		n.electionDeadline = min(n.electionDeadline, n.now+n.preVoteDelay())
	}
}

// allAnswered reports whether every voter has replied to the vote request.
// Only hosts that do not lead reply to pre-votes.
func (n *Node) allAnswered() bool {
	for _, m := range n.members() {
		if _, ok := n.votes[m.GetId()]; !ok && m.GetVoter() {
			return false
		}
	}
	return true
}

func (n *Node) winElection(role Role) {
	if role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.becomeLeader()
}

// won reports whether the candidate has a majority of full votes, or the votes
// of all voters.
//
// A vote is full if the voter has completed its disk check and the candidate's
// member set names that disk: the disk was then admitted when it held everything
// that had been committed. A unanimous election also counts provisional votes:
// if no voter's log is ahead of the candidate's, no remaining disk holds
// anything that the candidate lacks. This covers the first election, in which
// all disks are new.
//
// The vote of a host that is still starting counts as a full vote only once all
// voters have answered: then none of them leads, so no lease that the host
// confirmed before its start is still valid.
func (n *Node) won() bool {
	voters, full, all := 0, 0, 0
	answered := n.allAnswered()
	for _, m := range n.members() {
		if !m.GetVoter() {
			continue
		}
		voters++
		v := n.votes[m.GetId()]
		if !v.granted {
			continue
		}
		all++
		if (!v.starting || answered) && !v.provisional && len(v.diskID) > 0 && bytes.Equal(v.diskID, m.GetIncarnation()) {
			full++
		}
	}
	return voters > 0 && (full > voters/2 || all == voters)
}

// onTransferLeader starts an election at the request of the leader.
func (n *Node) onTransferLeader(m *pb.RaftMessage) {
	if n.role != Leader && m.GetFrom() == n.leaderID && n.canCampaign() && n.eligible() {
		n.campaign(Candidate, true)
	}
}
