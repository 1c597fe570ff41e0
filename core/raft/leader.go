package raft

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func (n *Node) becomeLeader() {
	members := n.members()
	votes, byMajority := n.votes, n.wonByMajority()
	n.role, n.leaderID, n.votes = Leader, n.config.ID, nil
	n.diskCheck = diskCheck{done: true, leaderChecked: true}
	n.leading = &leaderState{
		since: n.now, self: n.config.ID, progress: make(map[string]*progress),
		rounds: make(map[uint64]time.Duration), quorumAt: n.now,
	}
	n.leading.updateProgress(members, n.log.last(), n.now)
	for id, p := range n.leading.progress {
		p.diskID = votes[id].diskID
	}
	own := n.leading.progress[n.config.ID]
	own.diskID, own.match = n.state.Incarnation, n.log.stable
	n.leading.firstIndex = n.log.last() + 1
	if byMajority {
		n.appendEntry(pb.EntryKind_ENTRY_KIND_NOOP, nil)
	} else {
		n.appendMembers(membersWithVotedDisks(members, votes))
	}
	n.startRound()
}

// membersWithVotedDisks returns the members with the ids of the disks that took part in a unanimous election. It is the
// first member set of the log, or admits the replaced disks of voters, without which there may be no majority to commit
// anything. The voters stay the same, so that every majority still meets those of the set before.
func membersWithVotedDisks(members []*pb.Member, votes map[string]vote) []*pb.Member {
	out := make([]*pb.Member, 0, len(members))
	for _, m := range members {
		c := proto.Clone(m).(*pb.Member)
		c.Incarnation = votes[m.GetId()].diskID
		out = append(out, c)
	}
	return out
}

// stopLeading fails the pending reads and discards the state of the leader.
func (n *Node) stopLeading() {
	for _, r := range n.leading.reads {
		n.failRead(r)
	}
	n.leading = nil
}

// appendEntry appends an entry to the leader's log and sends it to the members.
func (n *Node) appendEntry(kind pb.EntryKind, payload []byte) *pb.Entry {
	e := &pb.Entry{Index: n.log.last() + 1, Term: n.state.Term, Kind: kind, Payload: payload}
	n.log.append(e)
	n.recordMemberSet(e)
	n.broadcast()
	return e
}

// broadcast sends every member the entries it lacks.
func (n *Node) broadcast() {
	for _, m := range n.members() {
		n.replicate(m.GetId())
	}
}

// replicate sends a member the entries it lacks, as far as its flow control allows.
func (n *Node) replicate(id string) {
	if n.role != Leader || id == n.config.ID {
		return
	}
	p := n.leading.progress[id]
	if p == nil {
		return
	}
	for !p.paused() && (p.next <= n.log.last() || (p.probing && p.inflight == 0 && p.match == 0)) {
		if !n.sendAppend(id, p) {
			return
		}
		if p.probing {
			return
		}
	}
}

// sendAppend sends a member the entries from p.next on, with the number of the
// heartbeat round in Context. If the log no longer knows the term of the entry
// before them, it sends the newest snapshot instead, if there is one, and returns false.
func (n *Node) sendAppend(id string, p *progress) bool {
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p)
		return false
	}
	entries := n.log.slice(p.next, n.log.last())
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_APPEND, To: id, LogIndex: p.next - 1, LogTerm: prevTerm, Entries: entries,
		Commit: n.log.commit, Context: n.leading.round, Acknowledged: n.acknowledgedBy(id),
	})
	p.inflight++
	p.sentRound = n.leading.round
	if !p.probing {
		p.next += uint64(len(entries))
	}
	return true
}

func (n *Node) sendSnapshot(id string, p *progress) {
	s := n.log.snapshot
	if s.Index == 0 {
		return
	}
	p.snapshot, p.snapshotAt = s.Index, n.now
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_SNAPSHOT, To: id, Snapshot: s.Data, SnapshotIndex: s.Index, SnapshotTerm: s.Term,
		SnapshotMembers: s.Members, Commit: n.log.commit, Context: n.leading.round, Acknowledged: n.acknowledgedBy(id),
	})
}

// recordReply updates the contact time, disk id and heartbeat round of the member
// that replied. Every reply to a leader repeats the round in Context. recordReply
// returns nil if the reply must be ignored.
func (n *Node) recordReply(m *pb.RaftMessage) *progress {
	if n.role != Leader {
		return nil
	}
	p := n.leading.progress[m.GetFrom()]
	if p == nil {
		return nil
	}
	p.contact, p.contacted = n.now, true
	if !bytes.Equal(p.diskID, m.GetIncarnation()) {
		if len(p.diskID) > 0 { // the disk was replaced, and with it the entries that it held
			p.match, p.upToDate, p.upToDateAt, p.goal = 0, false, n.now, 0
			p.probe(n.log.last() + 1)
		}
		p.diskID = m.GetIncarnation()
	}
	if m.GetContext() > p.ackedRound {
		p.ackedRound = m.GetContext()
		n.advanceRounds()
	}
	return p
}

func (n *Node) onAppendReply(m *pb.RaftMessage) {
	p := n.recordReply(m)
	if p == nil {
		return
	}
	if p.inflight > 0 {
		p.inflight--
	}
	matched, committed := p.match, n.log.commit
	if m.GetReject() {
		// A rejection of a position that has matched since then arrived late.
		if m.GetLogIndex() > p.match {
			// Hint is the highest index of the member's log that may match, and LogTerm that entry's term.
			index, _ := n.log.findConflictByTerm(m.GetHint(), m.GetLogTerm())
			p.probe(index + 1)
		}
	} else {
		n.recordMatch(m.GetFrom(), p, m.GetLogIndex())
	}
	n.advanceCommit()
	p.recordUpToDate(n.log.commit, n.now)
	if n.role == Leader && n.log.commit == committed && matched < committed && p.match > matched {
		n.sendCommit(m.GetFrom(), p) // the majority committed before this member's reply arrived
	}
	n.maintainMembers()
	n.replicate(m.GetFrom())
	n.continueTransfer(m.GetFrom(), p)
}

// recordMatch records that the synced log of a member matches this one up to an index.
func (n *Node) recordMatch(id string, p *progress, index uint64) {
	if index > n.log.last() {
		return
	}
	if p.snapshot > 0 && index >= p.snapshot {
		p.snapshot = 0
	}
	if p.probing {
		p.probing, p.inflight = false, 0
		p.next = max(index, p.match) + 1
	}
	if index <= p.match {
		return
	}
	p.match = index
	p.next = max(p.next, index+1)
	if t, ok := n.log.term(index); ok {
		n.recordAcknowledged(id, p.diskID, index, t)
	}
}

// advanceCommit moves the commit index to the highest index that a majority of
// the voters has synced. It does so only for an entry of the current term, which
// also commits all entries before it.
func (n *Node) advanceCommit() {
	if own := n.leading.progress[n.config.ID]; own != nil && n.log.stable > own.match {
		n.recordMatch(n.config.ID, own, n.log.stable)
	}
	matches := make([]uint64, 0, len(n.members()))
	for _, m := range n.members() {
		switch {
		case n.leading.countsTowardQuorum(m):
			matches = append(matches, n.leading.progress[m.GetId()].match)
		case m.GetVoter():
			matches = append(matches, 0)
		}
	}
	index := majorityValue(matches)
	if t, ok := n.log.term(index); !ok || t != n.state.Term || index <= n.log.commit {
		return
	}
	n.log.commit = index
	n.startDeferredReads()
	n.broadcastCommit()
	n.maintainMembers()
	if m := findMember(n.members(), n.config.ID); m == nil || !m.GetVoter() {
		n.becomeFollower(n.state.Term, "") // the committed set excludes this host
	}
}

// broadcastCommit sends a new commit index at once to the members to which all
// entries have been sent already. They would learn it only in the next heartbeat
// round; the others receive it with their next append.
func (n *Node) broadcastCommit() {
	for _, m := range n.members() {
		if p := n.leading.progress[m.GetId()]; p != nil && m.GetId() != n.config.ID {
			n.sendCommit(m.GetId(), p)
		}
	}
}

// sendCommit sends a heartbeat with the commit index to a member to which all
// entries have been sent, because no append will carry it.
func (n *Node) sendCommit(id string, p *progress) {
	if !p.probing && p.next > n.log.last() {
		n.sendHeartbeat(id, p)
	}
}

// majorityValue returns the highest value that a majority has reached. It sorts values.
func majorityValue[T uint64 | time.Duration](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// committedInCurrentTerm reports whether this host leads and has committed an
// entry of its term. Before that its commit index may be outdated.
func (n *Node) committedInCurrentTerm() bool {
	return n.role == Leader && n.log.commit >= n.leading.firstIndex
}

// TransferLeadership starts a transfer to the voter whose log is most up to
// date. It returns false if this host does not lead, if a transfer is already in
// progress, or if no other voter is reachable.
func (n *Node) TransferLeadership(now time.Duration) bool {
	n.advanceTime(now)
	if n.role != Leader || n.leading.transferring(n.now) {
		return false
	}
	best := ""
	for _, m := range n.members() {
		if m.GetId() == n.config.ID || !n.leading.countsTowardQuorum(m) || n.now-n.leading.progress[m.GetId()].contact > n.config.ElectionTimeout {
			continue
		}
		if best == "" || n.leading.progress[m.GetId()].match > n.leading.progress[best].match {
			best = m.GetId()
		}
	}
	if best == "" {
		return false
	}
	n.leading.transferTo, n.leading.transferDeadline = best, n.now+n.config.ElectionTimeout
	n.continueTransfer(best, n.leading.progress[best])
	return true
}

// continueTransfer asks the target of a transfer to start an election, once its
// log holds all entries. The leader gives its lease up before it asks.
func (n *Node) continueTransfer(id string, p *progress) {
	if n.role != Leader || n.leading.transferTo != id || !n.leading.transferring(n.now) || p.match < n.log.last() || n.leading.leaseGivenUp {
		return
	}
	n.leading.leaseGivenUp = true
	n.send(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_TRANSFER_LEADER, To: id})
}
