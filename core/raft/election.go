package raft

import (
	"bytes"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

type vote struct {
	granted     bool
	provisional bool
	starting    bool
	incarnation []byte
}

func (n *Node) resetElectionDeadline() {
	t := n.config.ElectionTimeout
	n.electionDeadline = n.now + t + time.Duration(n.config.Rand.Int64N(int64(t)))
}

// hearsLeader tells whether this host promised a leader not to vote yet.
func (n *Node) hearsLeader() bool {
	return n.role == Leader || n.now-n.lastContact < n.config.ElectionTimeout
}

// starting tells that the only leader to which this host may owe the promise
// not to vote is one of before its start.
func (n *Node) starting() bool {
	return n.role != Leader && !n.heardLeader && n.now-n.startedAt < n.config.ElectionTimeout
}

// campaignPause is the time before a pre-vote that costs nothing when it fails:
// the first one, and those after a lost one. It is shorter while the group
// starts, because each host's disk is confirmed by the pre-votes of the others.
func (n *Node) campaignPause() time.Duration {
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
	if leader != n.leader {
		n.failRemoteReads()
	}
	n.role, n.leader, n.votes = Follower, leader, nil
	n.resetElectionDeadline()
}

// canCampaign is true for voters; a replaced disk must be admitted first, or
// the leader's own acknowledgements would not count.
func (n *Node) canCampaign() bool {
	m := find(n.members(), n.config.ID)
	return m != nil && m.GetVoter() && (n.blank() || n.entitled())
}

// campaign starts a pre-vote or an election.
func (n *Node) campaign(role Role, force bool) {
	leaderless := n.role == PreCandidate && role == Candidate && n.allAnswered()
	n.role, n.leader = role, ""
	n.failRemoteReads()
	kind, term := pb.RaftKind_RAFT_KIND_PRE_VOTE, n.state.Term+1
	if role == Candidate {
		kind = pb.RaftKind_RAFT_KIND_VOTE
		n.state.Term, n.state.Vote, n.matched = term, n.config.ID, 0
	}
	n.resetElectionDeadline()
	if role == PreCandidate {
		// The first pre-vote often comes before the others miss the leader.
		n.electionDeadline = n.now + n.campaignPause()
	}
	n.votes = map[string]vote{n.config.ID: {
		granted: true, provisional: !n.eligible(), starting: role == PreCandidate && n.starting(), incarnation: n.state.Incarnation,
	}}
	if n.won() {
		n.winElection(role)
		return
	}
	for _, m := range n.members() {
		if m.GetVoter() && m.GetId() != n.config.ID {
			n.sendVote(role, &pb.RaftMessage{
				Kind: kind, To: m.GetId(), Term: term, Force: force, Leaderless: leaderless,
				LogIndex: n.log.last(), LogTerm: n.log.lastTerm(), Acknowledged: n.floorOf(m.GetId()),
			})
		}
	}
}

func (n *Node) sendVote(role Role, m *pb.RaftMessage) {
	if role == Candidate {
		n.sendAfterSync(m) // the own vote must be synced before others count on it
		return
	}
	n.send(m)
}

func (n *Node) onPreVote(m *pb.RaftMessage) {
	if n.hearsLeader() && !n.starting() {
		return // the leader confirms the sender or catches it up
	}
	n.confirmByPeer(m)
	spent := m.GetTerm() == n.state.Term && n.state.Vote != "" && n.state.Vote != m.GetFrom()
	grant := !spent && n.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	n.replyPreVote(m, grant)
	if grant && n.role == PreCandidate && (m.GetFrom() < n.config.ID || m.GetLogIndex() > n.log.last()) {
		// Two that campaign at once would split the votes.
		n.role, n.votes = Follower, nil
		n.electionDeadline = n.now + n.campaignPause()
	}
}

func (n *Node) replyPreVote(m *pb.RaftMessage, grant bool) {
	reply := &pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant, LogIndex: n.log.last(),
		Provisional: !n.confirmation.done, Starting: n.starting(), Acknowledged: n.floorOf(m.GetFrom()),
	}
	if grant {
		reply.Term = m.GetTerm()
	}
	n.send(reply)
}

func (n *Node) onPreVoteReply(m *pb.RaftMessage) {
	n.confirmByPeer(m)
	if n.role == PreCandidate && (m.GetReject() || m.GetTerm() == n.state.Term+1) {
		n.countVote(m)
	}
}

func (n *Node) onVote(m *pb.RaftMessage) {
	free := n.state.Vote == "" && n.leader == ""
	grant := (free || n.state.Vote == m.GetFrom()) && n.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	if grant {
		n.state.Vote = m.GetFrom()
		n.resetElectionDeadline()
	}
	n.sendAfterSync(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_VOTE_REPLY, To: m.GetFrom(), Reject: !grant, Provisional: !n.confirmation.done,
	})
}

func (n *Node) onVoteReply(m *pb.RaftMessage) {
	if n.role == Candidate {
		n.countVote(m)
	}
}

func (n *Node) countVote(m *pb.RaftMessage) {
	n.votes[m.GetFrom()] = vote{
		granted: !m.GetReject(), provisional: m.GetProvisional(), starting: m.GetStarting(), incarnation: m.GetIncarnation(),
	}
	switch {
	case n.won():
		n.winElection(n.role)
	case n.role == Candidate && m.GetReject():
		// The votes may be split; a pre-vote finds out whether another host leads by then.
		n.electionDeadline = min(n.electionDeadline, n.now+n.campaignPause())
	}
}

// allAnswered tells that every voter stated whom it votes for. Answers to
// pre-votes come only from hosts that do not lead.
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

// won is true with a majority of full votes, or with the votes of all voters.
// A vote is full when the voter has confirmed its disk and the candidate's
// member set names that disk: it was then admitted with all that was committed.
// Unanimity admits provisional votes: when every voter's disk ends at or before
// the candidate's, no surviving disk holds anything that the candidate lacks.
// It covers the first election of new disks. The vote of a host that is starting
// counts once all have answered: then none of them leads, and no lease that it
// confirmed before its start is left.
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
		if (!v.starting || answered) && !v.provisional && len(v.incarnation) > 0 && bytes.Equal(v.incarnation, m.GetIncarnation()) {
			full++
		}
	}
	return voters > 0 && (full > voters/2 || all == voters)
}

// onTransferLeader starts an election at the request of the leader.
func (n *Node) onTransferLeader(m *pb.RaftMessage) {
	if n.role != Leader && m.GetFrom() == n.leader && n.canCampaign() && n.eligible() {
		n.campaign(Candidate, true)
	}
}
