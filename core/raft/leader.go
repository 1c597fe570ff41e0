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
	votes := n.votes
	n.role, n.leader, n.votes = Leader, n.config.ID, nil
	n.confirmation = confirmation{done: true, checked: true}
	n.lead = &leadership{
		since: n.now, self: n.config.ID, progress: make(map[string]*progress),
		rounds: make(map[uint64]time.Duration), quorumAt: n.now,
	}
	n.lead.sync(members, n.log.last(), n.now)
	for id, p := range n.lead.progress {
		p.incarnation = votes[id].incarnation
	}
	own := n.lead.progress[n.config.ID]
	own.incarnation, own.match = n.state.Incarnation, n.log.stable
	n.lead.first = n.log.last() + 1
	if n.blank() {
		n.appendMembers(firstSet(members, votes))
	} else {
		n.appendOwn(pb.EntryKind_ENTRY_KIND_NOOP, nil)
	}
	n.startRound()
}

// firstSet commits the incarnations of the disks that took part in the first election.
func firstSet(members []*pb.Member, votes map[string]vote) []*pb.Member {
	out := make([]*pb.Member, 0, len(members))
	for _, m := range members {
		c := proto.Clone(m).(*pb.Member)
		c.Incarnation = votes[m.GetId()].incarnation
		out = append(out, c)
	}
	return out
}

func (n *Node) stopLeading() {
	for _, r := range n.lead.reads {
		n.failRead(r)
	}
	n.lead = nil
}

// appendOwn adds an entry to the leader's log and sends it.
func (n *Node) appendOwn(kind pb.EntryKind, payload []byte) *pb.Entry {
	e := &pb.Entry{Index: n.log.last() + 1, Term: n.state.Term, Kind: kind, Payload: payload}
	n.log.append(e)
	n.noteEntry(e)
	n.broadcast()
	return e
}

func (n *Node) broadcast() {
	for _, m := range n.members() {
		n.replicate(m.GetId())
	}
}

// replicate sends what a member lacks, as far as its progress allows.
func (n *Node) replicate(id string) {
	if n.role != Leader || id == n.config.ID {
		return
	}
	p := n.lead.progress[id]
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

func (n *Node) sendAppend(id string, p *progress) bool {
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p)
		return false
	}
	entries := n.log.slice(p.next, n.log.last())
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_APPEND, To: id, LogIndex: p.next - 1, LogTerm: prevTerm, Entries: entries,
		Commit: n.log.commit, Context: n.lead.round, Acknowledged: n.floorOf(id),
	})
	p.inflight++
	p.sentRound = n.lead.round
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
		SnapshotMembers: s.Members, Commit: n.log.commit, Context: n.lead.round, Acknowledged: n.floorOf(id),
	})
}

// hearMember notes that a member answered; it returns nil when the reply must be ignored.
func (n *Node) hearMember(m *pb.RaftMessage) *progress {
	if n.role != Leader {
		return nil
	}
	p := n.lead.progress[m.GetFrom()]
	if p == nil {
		return nil
	}
	p.contact, p.contacted = n.now, true
	if !bytes.Equal(p.incarnation, m.GetIncarnation()) {
		if len(p.incarnation) > 0 { // another disk: what the former one held is gone
			p.match = 0
			p.probe(n.log.last() + 1)
		}
		p.incarnation = m.GetIncarnation()
	}
	if m.GetContext() > p.ackedRound {
		p.ackedRound = m.GetContext()
		n.advanceRounds()
	}
	return p
}

func (n *Node) onAppendReply(m *pb.RaftMessage) {
	p := n.hearMember(m)
	if p == nil {
		return
	}
	if p.inflight > 0 {
		p.inflight--
	}
	matched, committed := p.match, n.log.commit
	if m.GetReject() {
		// A reject of a position that matched since is late.
		if m.GetLogIndex() > p.match {
			index, _ := n.log.lastAtMost(m.GetHint(), m.GetLogTerm())
			p.probe(index + 1)
		}
	} else {
		n.noteMatch(m.GetFrom(), p, m.GetLogIndex())
	}
	n.advanceCommit()
	if n.role == Leader && n.log.commit == committed && matched < committed && p.match > matched {
		n.tellCommit(m.GetFrom(), p) // it is slower than the majority that committed
	}
	n.maintainMembers()
	n.replicate(m.GetFrom())
	n.continueTransfer(m.GetFrom(), p)
}

func (n *Node) noteMatch(id string, p *progress, index uint64) {
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
		n.raiseFloor(id, p.incarnation, index, t)
	}
}

// advanceCommit commits what a majority of counting voters has synced; only an
// entry of the own term commits those before it.
func (n *Node) advanceCommit() {
	if own := n.lead.progress[n.config.ID]; own != nil && n.log.stable > own.match {
		n.noteMatch(n.config.ID, own, n.log.stable)
	}
	matches := make([]uint64, 0, len(n.members()))
	for _, m := range n.members() {
		switch {
		case n.lead.counts(m):
			matches = append(matches, n.lead.progress[m.GetId()].match)
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
	if m := find(n.members(), n.config.ID); m == nil || !m.GetVoter() {
		n.becomeFollower(n.state.Term, "") // the committed set excludes this host
	}
}

// broadcastCommit tells idle members of a new commit index without waiting for the next heartbeat.
func (n *Node) broadcastCommit() {
	for _, m := range n.members() {
		if p := n.lead.progress[m.GetId()]; p != nil && m.GetId() != n.config.ID {
			n.tellCommit(m.GetId(), p)
		}
	}
}

// tellCommit sends a member the commit index as far as it is known to hold the
// log, unless the next append will carry it.
func (n *Node) tellCommit(id string, p *progress) {
	if !p.probing && p.next > n.log.last() {
		n.sendHeartbeat(id, p)
	}
}

// majorityValue returns the highest value that a majority has reached.
func majorityValue[T uint64 | time.Duration](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// committedOwnTerm holds once the leader knows the commit index to be current.
func (n *Node) committedOwnTerm() bool { return n.role == Leader && n.log.commit >= n.lead.first }

// TransferLeadership hands leadership to the voter that is most up to date.
func (n *Node) TransferLeadership(now time.Duration) bool {
	n.advance(now)
	if n.role != Leader || n.lead.transferring(n.now) {
		return false
	}
	best := ""
	for _, m := range n.members() {
		if m.GetId() == n.config.ID || !n.lead.counts(m) || n.now-n.lead.progress[m.GetId()].contact > n.config.ElectionTimeout {
			continue
		}
		if best == "" || n.lead.progress[m.GetId()].match > n.lead.progress[best].match {
			best = m.GetId()
		}
	}
	if best == "" {
		return false
	}
	n.lead.transferTo, n.lead.transferAt = best, n.now+n.config.ElectionTimeout
	n.continueTransfer(best, n.lead.progress[best])
	return true
}

func (n *Node) continueTransfer(id string, p *progress) {
	if n.role != Leader || n.lead.transferTo != id || !n.lead.transferring(n.now) || p.match < n.log.last() || n.lead.leaseLost {
		return
	}
	n.lead.leaseLost = true
	n.send(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_TRANSFER_LEADER, To: id})
}
