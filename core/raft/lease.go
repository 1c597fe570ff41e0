package raft

import (
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// leasePercent is the length of the lease in percent of the election timeout.
	// Voters do not vote for one election timeout after a heartbeat; the rest
	// covers clocks that run at different speeds.
	leasePercent = 80
	// Every fullAcknowledgedRounds-th heartbeat round carries the acknowledged
	// positions of all members, the others only the position of the receiver.
	fullAcknowledgedRounds = 4
)

func (n *Node) tickLeader() {
	l := n.leading
	if n.now-l.quorumAt > n.config.ElectionTimeout {
		n.becomeFollower(n.state.Term, "") // check-quorum: no majority has answered
		return
	}
	if l.transferTo != "" && n.now >= l.transferDeadline {
		l.transferTo = ""
		if l.leaseGivenUp {
			// Votes from the failed transfer may still arrive. A new term makes them invalid.
			n.becomeFollower(n.state.Term, "")
			n.campaign(Candidate, true)
			return
		}
	}
	if n.now >= l.nextHeartbeat {
		n.startRound()
		n.maintainMembers()
	}
	n.checkOwnDisk()
}

// checkOwnDisk passes the leadership on if this host cannot sync what the others have committed. A host applies only
// what it has synced, so that a leader with a full disk would report no outcome.
func (n *Node) checkOwnDisk() {
	l := n.leading
	switch {
	case n.log.commit <= n.log.stable:
		l.diskBehind = 0
	case l.diskBehind == 0:
		l.diskBehind = n.now
	case n.now-l.diskBehind > n.config.ElectionTimeout:
		l.diskBehind = 0 // if nobody takes over, the next attempt comes later
		n.TransferLeadership(n.now)
	}
}

// startRound starts a heartbeat round: it sends a heartbeat to every member.
func (n *Node) startRound() {
	l := n.leading
	l.round++
	l.rounds[l.round] = n.now
	l.nextHeartbeat = n.now + n.config.HeartbeatInterval
	for _, m := range n.members() {
		if m.GetId() != n.config.ID {
			n.sendHeartbeat(m.GetId(), l.progress[m.GetId()])
		}
	}
	n.advanceRounds() // a single voter is its own quorum
}

// sendHeartbeat sends a heartbeat of the current round to a member. Commit is the
// commit index as far as the member's log is known to match, Hint the leader's own
// commit index, Context the number of the round, and Echo the time that the member
// sent in its newest reply.
func (n *Node) sendHeartbeat(id string, p *progress) {
	h := &pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_HEARTBEAT, To: id, Commit: min(p.match, n.log.commit), Hint: n.log.commit,
		Context: n.leading.round, Acknowledged: n.acknowledgedBy(id), Lease: n.HoldsLease(n.now), Echo: p.memberSentAt,
	}
	if n.leading.round%fullAcknowledgedRounds == 1 {
		h.Acknowledged = nil
		for _, m := range n.members() {
			h.Acknowledged = append(h.Acknowledged, n.acknowledgedBy(m.GetId())...)
		}
	}
	n.send(h)
}

// advanceRounds records the newest round that a majority of the voters has
// answered, and completes the reads that waited for it.
func (n *Node) advanceRounds() {
	l := n.leading
	acked := make([]uint64, 0, len(n.members()))
	for _, m := range n.members() {
		switch {
		case m.GetId() == n.config.ID && l.countsTowardQuorum(m):
			acked = append(acked, l.round)
		case l.countsTowardQuorum(m):
			acked = append(acked, l.progress[m.GetId()].ackedRound)
		case m.GetVoter():
			acked = append(acked, 0)
		}
	}
	round := majorityValue(acked)
	if round <= l.quorumRound {
		return
	}
	l.quorumRound, l.quorumAt = round, l.rounds[round]
	for r := range l.rounds {
		if r < round {
			delete(l.rounds, r)
		}
	}
	n.finishReads()
}

// HoldsLease reports whether this host holds the leader lease: no other host
// can lead now, so its commit index is current.
func (n *Node) HoldsLease(now time.Duration) bool {
	n.advanceTime(now)
	return n.role == Leader && n.committedInCurrentTerm() && !n.leading.leaseGivenUp && n.leading.quorumRound > 0 &&
		n.now-n.leading.quorumAt < n.config.ElectionTimeout*leasePercent/100
}

// ConfirmedAt returns the time at which this host's commit index was last known
// to be current, and false if it never was.
func (n *Node) ConfirmedAt(now time.Duration) (time.Duration, bool) {
	if n.HoldsLease(now) {
		n.confirmedAt, n.everConfirmed = n.now, true
	}
	return n.confirmedAt, n.everConfirmed
}

func (n *Node) onHeartbeat(m *pb.RaftMessage) {
	// After the disk was restored from an older copy, the leader's record of this log is ahead of
	// it, so the commit index is limited to what this process has matched in the current term.
	n.log.commit = max(n.log.commit, min(m.GetCommit(), n.matched))
	n.finishDiskCheck(m.GetHint()) // in a heartbeat, Hint is the leader's commit index
	// Echo is a time of this host's own clock, from its SentAt. The leader sent this message after it had received
	// that time, and held the lease then.
	if m.GetLease() && m.GetEcho() > 0 && n.log.commit >= m.GetHint() && time.Duration(m.GetEcho()) > n.confirmedAt {
		n.confirmedAt, n.everConfirmed = time.Duration(m.GetEcho()), true
	}
	// In the reply, Context repeats the number of the round, and Hint is the highest index that matches the leader's log.
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_HEARTBEAT_REPLY, To: m.GetFrom(), Context: m.GetContext(), LogIndex: n.log.last(),
		Hint: n.matched, SentAt: uint64(n.now),
	})
}

func (n *Node) onHeartbeatReply(m *pb.RaftMessage) {
	p := n.recordReply(m)
	if p == nil {
		return
	}
	p.memberSentAt = max(p.memberSentAt, m.GetSentAt())
	p.recordUpToDate(n.log.commit, n.now)
	if p.snapshot > 0 && n.now-p.snapshotAt > snapshotRetry {
		p.probe(p.next)
	}
	// An append that was sent in a round before the one that this reply answers, and has no reply, was lost.
	if p.snapshot == 0 && p.match < n.log.last() && p.sentRound < m.GetContext() {
		p.probe(p.match + 1)
		if p.match == 0 {
			p.next = min(m.GetLogIndex(), n.log.last()) + 1
		}
	}
	n.maintainMembers()
	n.replicate(m.GetFrom())
	n.recheckMatch(m, p)
}

// recheckMatch sends an empty append to a member that was restarted in this
// term. The member commits nothing until its log has matched again, and there
// may be no new entry to send. Hint in a heartbeat reply is the highest index that
// the member has matched in this term since its start.
func (n *Node) recheckMatch(m *pb.RaftMessage, p *progress) {
	term, ok := n.log.term(p.match)
	if n.role != Leader || !ok || m.GetHint() >= min(p.match, n.log.commit) {
		return
	}
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_APPEND, To: m.GetFrom(), LogIndex: p.match, LogTerm: term,
		Commit: n.log.commit, Context: n.leading.round, Acknowledged: n.acknowledgedBy(m.GetFrom()),
	})
}

// LeaseEnd returns the time at which the lease ends unless it is renewed, or 0 without a lease.
func (n *Node) LeaseEnd(now time.Duration) time.Duration {
	if !n.HoldsLease(now) {
		return 0
	}
	return n.leading.quorumAt + n.config.ElectionTimeout*leasePercent/100
}
