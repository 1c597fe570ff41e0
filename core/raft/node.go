package raft

import (
	"bytes"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Node is one member of the replicated log. It is not safe for concurrent use.
type Node struct {
	config Config
	now    time.Duration

	state      HardState
	savedState HardState
	role       Role
	leader     string
	log        *raftLog
	sets       []memberSet // base set first, then one per member entry in the log

	electionDeadline time.Duration
	lastContact      time.Duration // last message of the leader; also the start of the process
	startedAt        time.Duration
	heardLeader      bool // since the start
	votes            map[string]vote

	matched      uint64 // highest index known to match the log of the leader of this term
	confirmation confirmation
	floors       map[string]*pb.Acknowledged
	confirmedAt  time.Duration
	everCurrent  bool

	lead *leadership // nil unless this host leads

	messages  []*pb.RaftMessage
	afterSync []*pb.RaftMessage
	reads     []ReadState
	remote    map[uint64]bool // contexts of reads sent to the leader
	installed *Snapshot
}

// New returns a node that continues from what its disk holds.
func New(config Config, stored Stored, now time.Duration) *Node {
	n := &Node{
		config: config, now: now, state: stored.State, savedState: stored.State, log: newLog(stored),
		floors: make(map[string]*pb.Acknowledged), remote: make(map[uint64]bool),
	}
	n.confirmation.done = stored.Fresh
	n.loadSets(stored)
	// A vote right after a restart could break a lease that this host confirmed before it stopped.
	n.lastContact, n.startedAt = now, now
	n.electionDeadline = now + n.campaignPause()
	return n
}

// Tick lets time pass; call it several times per heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.resetElectionDeadline()
		n.failRemoteReads()
		if n.canCampaign() {
			n.campaign(PreCandidate, false)
		}
	}
}

// Step handles a message of another member.
func (n *Node) Step(now time.Duration, m *pb.RaftMessage) {
	n.advance(now)
	if m.GetTo() != n.config.ID {
		return
	}
	switch {
	case m.GetTerm() > n.state.Term:
		if !n.stepHigherTerm(m) {
			return
		}
	case m.GetTerm() < n.state.Term:
		n.stepLowerTerm(m)
		return
	}
	n.dispatch(m)
}

// stepHigherTerm adopts a higher term where the message justifies it.
func (n *Node) stepHigherTerm(m *pb.RaftMessage) bool {
	switch m.GetKind() {
	case pb.RaftKind_RAFT_KIND_PRE_VOTE:
		return true
	case pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		if !m.GetReject() {
			return true // the term is the one that this host asked for
		}
	case pb.RaftKind_RAFT_KIND_VOTE:
		if !m.GetForce() && n.hearsLeader() && !(m.GetLeaderless() && n.starting()) {
			return false
		}
	}
	leader := ""
	if isFromLeader(m.GetKind()) {
		leader = m.GetFrom()
	}
	n.becomeFollower(m.GetTerm(), leader)
	return true
}

// stepLowerTerm tells a former leader or candidate the current term.
func (n *Node) stepLowerTerm(m *pb.RaftMessage) {
	switch {
	case isFromLeader(m.GetKind()):
		n.send(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_HEARTBEAT_REPLY, To: m.GetFrom(), Reject: true})
	case m.GetKind() == pb.RaftKind_RAFT_KIND_PRE_VOTE:
		n.replyPreVote(m, false)
	case m.GetKind() == pb.RaftKind_RAFT_KIND_READ_INDEX:
		n.rejectRead(m)
	}
}

func isFromLeader(k pb.RaftKind) bool {
	return k == pb.RaftKind_RAFT_KIND_APPEND || k == pb.RaftKind_RAFT_KIND_HEARTBEAT || k == pb.RaftKind_RAFT_KIND_SNAPSHOT
}

func (n *Node) dispatch(m *pb.RaftMessage) {
	if isFromLeader(m.GetKind()) {
		n.hearLeader(m)
	}
	switch m.GetKind() {
	case pb.RaftKind_RAFT_KIND_PRE_VOTE:
		n.onPreVote(m)
	case pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		n.onPreVoteReply(m)
	case pb.RaftKind_RAFT_KIND_VOTE:
		n.onVote(m)
	case pb.RaftKind_RAFT_KIND_VOTE_REPLY:
		n.onVoteReply(m)
	case pb.RaftKind_RAFT_KIND_APPEND:
		n.onAppend(m)
	case pb.RaftKind_RAFT_KIND_APPEND_REPLY:
		n.onAppendReply(m)
	case pb.RaftKind_RAFT_KIND_HEARTBEAT:
		n.onHeartbeat(m)
	case pb.RaftKind_RAFT_KIND_HEARTBEAT_REPLY:
		n.onHeartbeatReply(m)
	case pb.RaftKind_RAFT_KIND_SNAPSHOT:
		n.onSnapshot(m)
	case pb.RaftKind_RAFT_KIND_SNAPSHOT_REPLY:
		n.onAppendReply(m)
	case pb.RaftKind_RAFT_KIND_READ_INDEX:
		n.onReadIndex(m)
	case pb.RaftKind_RAFT_KIND_READ_INDEX_REPLY:
		n.onReadIndexReply(m)
	case pb.RaftKind_RAFT_KIND_TRANSFER_LEADER:
		n.onTransferLeader(m)
	}
}

// Propose adds a command to the log of the leader.
func (n *Node) Propose(now time.Duration, payload []byte) (index, term uint64, err error) {
	n.advance(now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.lead.transferring(n.now) {
		return 0, 0, ErrTransferring
	}
	e := n.appendOwn(pb.EntryKind_ENTRY_KIND_COMMAND, payload)
	return e.GetIndex(), e.GetTerm(), nil
}

// Synced reports that the log is synced up to an entry of an earlier Ready.
func (n *Node) Synced(now time.Duration, index, term uint64) {
	n.advance(now)
	// An entry that was replaced while it was written is not what the log holds now.
	if index <= n.log.stable || !n.log.matches(index, term) {
		return
	}
	n.log.stable = index
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact sets a snapshot of applied state and drops the entries before it,
// except for the newest keep entries, which spare slow members a snapshot.
func (n *Node) Compact(index uint64, data []byte, keep uint64) {
	if index <= n.log.snapshot.Index || index > n.log.applied {
		return
	}
	term, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: term, Members: n.setAt(index), Data: data}
	upTo := uint64(0)
	if index > keep {
		upTo = index - keep
	}
	n.log.compact(s, upTo)
	n.compactSets(index)
}

// Snapshot returns the newest snapshot.
func (n *Node) Snapshot() Snapshot { return n.log.snapshot }

// Entry returns an entry that the log still holds, or nil.
func (n *Node) Entry(index uint64) *pb.Entry {
	if index <= n.log.offset || index > n.log.last() {
		return nil
	}
	return n.log.entries[index-n.log.offset-1]
}

// Ready returns the work since the last call, and false when there is none.
func (n *Node) Ready() (Ready, bool) {
	r := Ready{Messages: n.messages, AfterSync: n.afterSync, Reads: n.reads, Snapshot: n.installed}
	n.messages, n.afterSync, n.reads, n.installed = nil, nil, nil, nil
	if !n.state.equal(n.savedState) {
		s := n.state
		r.State = &s
		n.savedState = s
	}
	if n.log.unsaved <= n.log.last() {
		r.Entries = slices.Clone(n.log.entries[n.log.unsaved-n.log.offset-1:])
		n.log.unsaved = n.log.last() + 1
	}
	// Entries are applied only from the synced part, so that applied state never exceeds the own log.
	if to := min(n.log.commit, n.log.stable); to > n.log.applied {
		r.Committed = slices.Clone(n.log.entries[n.log.applied-n.log.offset : to-n.log.offset])
		n.log.applied = to
	}
	return r, r.NeedsSync() || len(r.Messages) > 0 || len(r.Committed) > 0 || len(r.Reads) > 0
}

// Status returns a view of the node.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Role: n.role, Term: n.state.Term, Leader: n.leader, Commit: n.log.commit,
		Last: n.log.last(), Incarnation: n.state.Incarnation, Eligible: n.eligible(), Members: n.members(),
	}
	if n.role == Leader {
		s.Progress = n.lead.status()
	}
	return s
}

func (n *Node) advance(now time.Duration) { n.now = max(n.now, now) }

func (s HardState) equal(o HardState) bool {
	return s.Term == o.Term && s.Vote == o.Vote && bytes.Equal(s.Incarnation, o.Incarnation)
}

// send queues a message that does not depend on the disk.
func (n *Node) send(m *pb.RaftMessage) {
	n.fill(m)
	n.messages = append(n.messages, m)
}

// sendAfterSync queues a message that states something about the disk.
func (n *Node) sendAfterSync(m *pb.RaftMessage) {
	n.fill(m)
	n.afterSync = append(n.afterSync, m)
}

func (n *Node) fill(m *pb.RaftMessage) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	m.Incarnation = n.state.Incarnation
}
