package raft

import (
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// The lease ends before a voter's promise of one election timeout; the rest
	// covers clocks that run at different speeds.
	leasePercent = 80
	// All floors are sent in every floorRounds-th heartbeat; the receiver's own in each.
	floorRounds = 4
)

func (n *Node) tickLeader() {
	l := n.lead
	if n.now-l.quorumAt > n.config.ElectionTimeout {
		n.becomeFollower(n.state.Term, "") // check-quorum: a majority does not answer
		return
	}
	if l.transferTo != "" && n.now >= l.transferAt {
		l.transferTo = ""
		if l.leaseLost {
			// Votes of the failed transfer may still arrive; they count for nothing in a new term.
			n.becomeFollower(n.state.Term, "")
			n.campaign(Candidate, true)
			return
		}
	}
	if n.now >= l.nextHeartbeat {
		n.startRound()
		n.maintainMembers()
	}
}

// startRound sends a heartbeat to every member.
func (n *Node) startRound() {
	l := n.lead
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

func (n *Node) sendHeartbeat(id string, p *progress) {
	h := &pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_HEARTBEAT, To: id, Commit: min(p.match, n.log.commit), Hint: n.log.commit,
		Context: n.lead.round, Acknowledged: n.floorOf(id), Lease: n.HoldsLease(n.now), Echo: p.clock,
	}
	if n.lead.round%floorRounds == 1 {
		h.Acknowledged = nil
		for _, m := range n.members() {
			h.Acknowledged = append(h.Acknowledged, n.floorOf(m.GetId())...)
		}
	}
	n.send(h)
}

// advanceRounds finds the newest round that a majority of counting voters answered.
func (n *Node) advanceRounds() {
	l := n.lead
	acked := make([]uint64, 0, len(n.members()))
	for _, m := range n.members() {
		switch {
		case m.GetId() == n.config.ID && l.counts(m):
			acked = append(acked, l.round)
		case l.counts(m):
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

// HoldsLease tells whether no other host can lead now, so that the commit index is current.
func (n *Node) HoldsLease(now time.Duration) bool {
	n.advance(now)
	return n.role == Leader && n.committedOwnTerm() && !n.lead.leaseLost && n.lead.quorumRound > 0 &&
		n.now-n.lead.quorumAt < n.config.ElectionTimeout*leasePercent/100
}

// ConfirmedAt is the time at which this host's commit index was last known to
// be current; false when it never was.
func (n *Node) ConfirmedAt(now time.Duration) (time.Duration, bool) {
	if n.HoldsLease(now) {
		n.confirmedAt, n.everCurrent = n.now, true
	}
	return n.confirmedAt, n.everCurrent
}

func (n *Node) onHeartbeat(m *pb.RaftMessage) {
	// The leader's record of this log can be newer than the disk, so only what matched since the start counts.
	n.log.commit = max(n.log.commit, min(m.GetCommit(), n.matched))
	n.confirmCaughtUp(m.GetHint())
	// The leader sent this after it received the echoed time, and held the lease then.
	if m.GetLease() && m.GetEcho() > 0 && n.log.commit >= m.GetHint() && time.Duration(m.GetEcho()) > n.confirmedAt {
		n.confirmedAt, n.everCurrent = time.Duration(m.GetEcho()), true
	}
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_HEARTBEAT_REPLY, To: m.GetFrom(), Context: m.GetContext(), LogIndex: n.log.last(),
		Hint: n.matched, SentAt: uint64(n.now),
	})
}

func (n *Node) onHeartbeatReply(m *pb.RaftMessage) {
	p := n.hearMember(m)
	if p == nil {
		return
	}
	p.clock = max(p.clock, m.GetSentAt())
	if p.snapshot > 0 && n.now-p.snapshotAt > snapshotRetry {
		p.probe(p.next)
	}
	// An append of an earlier round without an answer was lost.
	if p.snapshot == 0 && p.match < n.log.last() && p.sentRound < m.GetContext() {
		p.probe(p.match + 1)
		if p.match == 0 {
			p.next = min(m.GetLogIndex(), n.log.last()) + 1
		}
	}
	n.maintainMembers()
	n.replicate(m.GetFrom())
	n.renewMatch(m, p)
}

// renewMatch lets a member that restarted in this term match its log again: it
// commits nothing before, and there may be no entry left to send.
func (n *Node) renewMatch(m *pb.RaftMessage, p *progress) {
	term, ok := n.log.term(p.match)
	if n.role != Leader || !ok || m.GetHint() >= min(p.match, n.log.commit) {
		return
	}
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_APPEND, To: m.GetFrom(), LogIndex: p.match, LogTerm: term,
		Commit: n.log.commit, Context: n.lead.round, Acknowledged: n.floorOf(m.GetFrom()),
	})
}

// LeaseEnd is when the lease ends unless it is renewed; 0 without a lease.
func (n *Node) LeaseEnd(now time.Duration) time.Duration {
	if !n.HoldsLease(now) {
		return 0
	}
	return n.lead.quorumAt + n.config.ElectionTimeout*leasePercent/100
}
