package raft

import (
	"bytes"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

type vote struct {
	granted     bool
	provisional bool
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
	n.role, n.leader = role, ""
	n.failRemoteReads()
	kind, term := pb.RaftKind_RAFT_KIND_PRE_VOTE, n.state.Term+1
	if role == Candidate {
		kind = pb.RaftKind_RAFT_KIND_VOTE
		n.state.Term, n.state.Vote, n.matched = term, n.config.ID, 0
	}
	n.resetElectionDeadline()
	if role == PreCandidate {
		// A pre-vote costs nothing, and the first one often comes before the others miss the leader.
		quarter := n.config.ElectionTimeout / 4
		n.electionDeadline = n.now + quarter + time.Duration(n.config.Rand.Int64N(int64(quarter)))
	}
	n.votes = map[string]vote{n.config.ID: {granted: true, provisional: !n.eligible(), incarnation: n.state.Incarnation}}
	if n.won() {
		n.winElection(role)
		return
	}
	for _, m := range n.members() {
		if m.GetVoter() && m.GetId() != n.config.ID {
			n.sendVote(role, &pb.RaftMessage{
				Kind: kind, To: m.GetId(), Term: term, Force: force,
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
	if n.hearsLeader() {
		return // the leader confirms the sender or catches it up
	}
	n.confirmByPeer(m)
	n.replyPreVote(m, n.log.upToDate(m.GetLogIndex(), m.GetLogTerm()))
}

func (n *Node) replyPreVote(m *pb.RaftMessage, grant bool) {
	reply := &pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant, LogIndex: n.log.last(),
		Provisional: !n.confirmation.done, Acknowledged: n.floorOf(m.GetFrom()),
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
	n.votes[m.GetFrom()] = vote{granted: !m.GetReject(), provisional: m.GetProvisional(), incarnation: m.GetIncarnation()}
	if n.won() {
		n.winElection(n.role)
	}
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
// It covers the first election of new disks.
func (n *Node) won() bool {
	voters, full, all := 0, 0, 0
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
		if !v.provisional && len(v.incarnation) > 0 && bytes.Equal(v.incarnation, m.GetIncarnation()) {
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
