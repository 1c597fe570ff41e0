package raft

import (
	"bytes"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// aheadTimeouts is the number of election timeouts for which a member that is no voter may campaign after it has
// rejected a candidate. It covers the candidate's next attempt.
const aheadTimeouts = 4

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

// canCampaign reports whether this host may become leader: as a voter whose disk is admitted, or as any member that
// holds entries which a candidate lacks. The latter leads only if all known members vote for it, see wonUnanimously.
func (n *Node) canCampaign() bool {
	m := findMember(n.members(), n.config.ID)
	return m != nil && (n.campaignsAsVoter(m) || n.aheadOfCandidate())
}

// campaignsAsVoter reports whether this host, with its member record, is a voter that may lead with the votes of a
// majority. A host with a replaced disk must be admitted first: its own acknowledgements would not count.
func (n *Node) campaignsAsVoter(m *pb.Member) bool {
	return m.GetVoter() && (n.lacksMemberSet() || n.admittedAsVoter())
}

// aheadOfCandidate reports whether this host has lately rejected a candidate whose log lacks entries of its own.
func (n *Node) aheadOfCandidate() bool { return n.now < n.aheadUntil }

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
	n.votes = make(map[string]vote)
	n.countOwnVote()
	if n.won() {
		n.winElection(role)
		return
	}
	for _, m := range n.knownMembers() {
		if m.GetId() != n.config.ID {
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
	upToDate := n.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	grant := !votedForOther && upToDate
	n.replyPreVote(m, grant)
	from := findMember(n.members(), m.GetFrom())
	switch {
	case !upToDate:
		n.noteCandidateBehind()
	case grant && n.role == PreCandidate && from.GetVoter() && (m.GetFrom() < n.config.ID || m.GetLogIndex() > n.log.last()):
		// Two hosts that campaign at once would split the votes.
		n.role, n.votes = Follower, nil
		n.electionDeadline = n.now + n.preVoteDelay()
	}
}

// noteCandidateBehind lets a member that is no voter campaign for a while. The candidate may be unable to win without
// its vote, and no voter may hold what it holds.
func (n *Node) noteCandidateBehind() {
	m := findMember(n.members(), n.config.ID)
	if m == nil || n.campaignsAsVoter(m) {
		return
	}
	n.aheadUntil = n.now + aheadTimeouts*n.config.ElectionTimeout
	n.electionDeadline = min(n.electionDeadline, n.now+n.preVoteDelay())
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

// countOwnVote records the candidate's vote for itself. Replies may have completed its disk check since the last one.
func (n *Node) countOwnVote() {
	n.votes[n.config.ID] = vote{
		granted: true, provisional: !n.eligible(), starting: n.role == PreCandidate && n.starting(), diskID: n.state.Incarnation,
	}
}

func (n *Node) countVote(m *pb.RaftMessage) {
	n.countOwnVote()
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

// won reports whether the candidate may lead.
func (n *Node) won() bool { return n.wonByMajority() || n.wonUnanimously() }

// wonByMajority reports whether the candidate is a voter and has a majority of full votes.
//
// A vote is full if the voter has completed its disk check and the candidate's
// member set names that disk: the disk was then admitted when it held everything
// that had been committed.
//
// The vote of a host that is still starting counts as a full vote only once all
// voters have answered: then none of them leads, so no lease that the host
// confirmed before its start is still valid.
func (n *Node) wonByMajority() bool {
	if !n.admittedAsVoter() {
		return false
	}
	voters, full := 0, 0
	answered := n.allAnswered()
	for _, m := range n.members() {
		if !m.GetVoter() {
			continue
		}
		voters++
		v := n.votes[m.GetId()]
		if v.granted && (!v.starting || answered) && !v.provisional && len(v.diskID) > 0 && bytes.Equal(v.diskID, m.GetIncarnation()) {
			full++
		}
	}
	return full > voters/2
}

// wonUnanimously reports whether all known members, voters or not, have voted for the candidate; provisional votes
// count too. This covers the first election, in which all disks are new, and a group whose majority includes lost disks.
//
// An entry was committed by a majority of some member set, of which at least one disk is left, because that majority
// exceeds the number of disks that the group may lose. If that set is newer than the candidate's, the host of that disk
// is still among the known members: only members become voters, and a set follows another one only once that one is
// committed. So no remaining disk holds anything committed that the candidate lacks.
func (n *Node) wonUnanimously() bool {
	known := n.knownMembers()
	for _, m := range known {
		if !n.votes[m.GetId()].granted {
			return false
		}
	}
	return len(known) > 0
}

// onTransferLeader starts an election at the request of the leader.
func (n *Node) onTransferLeader(m *pb.RaftMessage) {
	if n.role != Leader && m.GetFrom() == n.leaderID && n.canCampaign() && n.eligible() {
		n.campaign(Candidate, true)
	}
}
