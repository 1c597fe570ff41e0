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
	leaderID   string // "" while no leader is known
	log        *raftLog
	memberSets []memberSet // the base set, then one per member entry in the log

	electionDeadline time.Duration
	lastContact      time.Duration // time of the last message of a leader, or of the start of the process
	startedAt        time.Duration
	leaderSeen       bool // a leader has sent a message since the start
	votes            map[string]vote
	aheadUntil       time.Duration // see aheadOfCandidate

	matched       uint64 // highest index known to match the log of the leader of this term
	diskCheck     diskCheck
	acknowledged  map[string]*pb.Acknowledged // highest known acknowledged position of each member
	confirmedAt   time.Duration               // see ConfirmedAt
	everConfirmed bool

	leading *leaderState // nil unless this host is the leader

	messages       []*pb.RaftMessage
	afterSync      []*pb.RaftMessage
	reads          []ReadState
	forwardedReads map[uint64]bool // contexts of the reads that were sent to the leader
	installed      *Snapshot
}

// New returns a node that continues from the state stored on its disk.
func New(config Config, stored Stored, now time.Duration) *Node {
	n := &Node{
		config: config, now: now, state: stored.State, savedState: stored.State, log: newLog(stored),
		acknowledged: make(map[string]*pb.Acknowledged), forwardedReads: make(map[uint64]bool),
	}
	n.loadMemberSets(stored)
	// A sole voter is a majority of its own.
	n.diskCheck.done = stored.Fresh || (n.admittedAsVoter() && voterCount(n.members()) == 1)
	// A vote right after a restart could elect a leader during a lease that this host confirmed before it stopped.
	n.lastContact, n.startedAt = now, now
	n.electionDeadline = now + n.preVoteDelay()
	return n
}

// Tick handles the timeouts that have passed. It has to be called several times per heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.advanceTime(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.resetElectionDeadline()
		n.failForwardedReads()
		if n.canCampaign() {
			n.campaign(PreCandidate, false)
		}
	}
}

// Step handles a message from another member.
func (n *Node) Step(now time.Duration, m *pb.RaftMessage) {
	n.advanceTime(now)
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

// stepHigherTerm handles a message whose term is higher than the current one. It
// adopts the term, except for a pre-vote request or a granted pre-vote. It
// returns false if the message must be ignored.
func (n *Node) stepHigherTerm(m *pb.RaftMessage) bool {
	switch m.GetKind() {
	case pb.RaftKind_RAFT_KIND_PRE_VOTE:
		return true
	case pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		if !m.GetReject() {
			return true // the term is the one this host would campaign in
		}
	case pb.RaftKind_RAFT_KIND_VOTE:
		if !m.GetForce() && n.hasRecentLeader() && !(m.GetLeaderless() && n.starting()) {
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

// stepLowerTerm replies to a message of a lower term, so that its sender learns the current one.
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
		n.acceptLeader(m)
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

// Propose appends a command to the leader's log and returns its position. It
// returns ErrNotLeader on other hosts and ErrTransferring during a transfer of
// leadership.
func (n *Node) Propose(now time.Duration, payload []byte) (index, term uint64, err error) {
	n.advanceTime(now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.leading.transferring(n.now) {
		return 0, 0, ErrTransferring
	}
	e := n.appendEntry(pb.EntryKind_ENTRY_KIND_COMMAND, payload)
	return e.GetIndex(), e.GetTerm(), nil
}

// Synced tells the node that the log is synced up to an entry of an earlier Ready.
func (n *Node) Synced(now time.Duration, index, term uint64) {
	n.advanceTime(now)
	// The entry may have been replaced in the log while it was being written.
	if index <= n.log.stable || !n.log.matches(index, term) {
		return
	}
	n.log.stable = index
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact stores a snapshot of the applied state at an index and removes the
// entries it covers, except for the newest ones within keep: members that lag behind
// by less than that need no snapshot. A call with an index that is older than
// the newest snapshot or not applied yet has no effect.
func (n *Node) Compact(index uint64, data []byte, keep Keep) {
	if index <= n.log.snapshot.Index || index > n.log.applied {
		return
	}
	term, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: term, Members: n.membersAt(index), Data: data}
	n.log.compact(s, keep)
	n.compactMemberSets(index)
}

// FirstIndex returns the index of the first entry that the log holds, or would hold if it is empty.
func (n *Node) FirstIndex() uint64 { return n.log.offset + 1 }

// Snapshot returns the newest snapshot.
func (n *Node) Snapshot() Snapshot { return n.log.snapshot }

// Entry returns the entry at an index, or nil if the log does not hold it.
func (n *Node) Entry(index uint64) *pb.Entry {
	if index <= n.log.offset || index > n.log.last() {
		return nil
	}
	return n.log.entries[index-n.log.offset-1]
}

// Ready returns the work that has accumulated since the last call, and false if there is none.
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
	// Only synced entries are applied, so that the applied state is never ahead of this host's stored log.
	if to := min(n.log.commit, n.log.stable); to > n.log.applied {
		r.Committed = slices.Clone(n.log.entries[n.log.applied-n.log.offset : to-n.log.offset])
		n.log.applied = to
	}
	return r, r.NeedsSync() || len(r.Messages) > 0 || len(r.Committed) > 0 || len(r.Reads) > 0
}

// Status returns the current status of the node.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Role: n.role, Term: n.state.Term, Leader: n.leaderID, Commit: n.log.commit,
		Last: n.log.last(), LogBytes: n.log.bytes, Incarnation: n.state.Incarnation, Eligible: n.eligible(), Members: n.members(),
	}
	if n.role == Leader {
		s.Progress = n.leading.status()
	}
	return s
}

func (n *Node) advanceTime(now time.Duration) { n.now = max(n.now, now) }

func (s HardState) equal(o HardState) bool {
	return s.Term == o.Term && s.Vote == o.Vote && bytes.Equal(s.Incarnation, o.Incarnation)
}

// send queues a message that may be sent before the pending state is synced.
func (n *Node) send(m *pb.RaftMessage) {
	n.setSender(m)
	n.messages = append(n.messages, m)
}

// sendAfterSync queues a message that may be sent only once the pending state is synced.
func (n *Node) sendAfterSync(m *pb.RaftMessage) {
	n.setSender(m)
	n.afterSync = append(n.afterSync, m)
}

func (n *Node) setSender(m *pb.RaftMessage) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	m.Incarnation = n.state.Incarnation
}
