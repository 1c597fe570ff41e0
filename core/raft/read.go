package raft

import (
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// ReadIndex requests an index that covers everything committed before the call.
// The context identifies the read: the caller chooses it, and the result arrives
// in Ready.Reads with the same context. READ_INDEX messages and their replies
// carry it in Context, where other messages carry a heartbeat round.
func (n *Node) ReadIndex(now time.Duration, context uint64) {
	n.advanceTime(now)
	switch {
	case n.role == Leader:
		n.serveRead(pendingRead{context: context})
	case n.leaderID == "":
		n.reads = append(n.reads, ReadState{Context: context, Err: ErrNoLeader})
	default:
		n.forwardedReads[context] = true
		n.send(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_READ_INDEX, To: n.leaderID, Context: context})
	}
}

func (n *Node) onReadIndex(m *pb.RaftMessage) {
	if n.role != Leader {
		n.rejectRead(m)
		return
	}
	n.serveRead(pendingRead{from: m.GetFrom(), context: m.GetContext()})
}

func (n *Node) rejectRead(m *pb.RaftMessage) {
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_READ_INDEX_REPLY, To: m.GetFrom(), Context: m.GetContext(), Reject: true,
	})
}

// serveRead answers a read at once if this host holds the lease, and otherwise
// after a heartbeat round that starts now. Before the first commit of the term no
// round starts; startDeferredReads starts it after that commit.
func (n *Node) serveRead(r pendingRead) {
	if n.HoldsLease(n.now) {
		r.index = n.log.commit
		n.answerRead(r)
		return
	}
	if n.committedInCurrentTerm() {
		r.index, r.round = n.log.commit, n.leading.round+1
	}
	n.leading.reads = append(n.leading.reads, r)
	if r.round > 0 {
		n.startRound()
	}
}

// startDeferredReads starts a heartbeat round for the reads that waited for the
// first commit of the term.
func (n *Node) startDeferredReads() {
	if !n.committedInCurrentTerm() {
		return
	}
	started := false
	for i := range n.leading.reads {
		if r := &n.leading.reads[i]; r.round == 0 {
			r.index, r.round, started = n.log.commit, n.leading.round+1, true
		}
	}
	if started {
		n.startRound()
	}
}

// finishReads answers the reads whose heartbeat round a majority has answered.
func (n *Node) finishReads() {
	var waiting []pendingRead
	for _, r := range n.leading.reads {
		if r.round == 0 || r.round > n.leading.quorumRound {
			waiting = append(waiting, r)
			continue
		}
		n.answerRead(r)
	}
	n.leading.reads = waiting
}

func (n *Node) answerRead(r pendingRead) {
	if r.from == "" {
		n.reads = append(n.reads, ReadState{Context: r.context, Index: r.index})
		return
	}
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_READ_INDEX_REPLY, To: r.from, Context: r.context, LogIndex: r.index,
	})
}

func (n *Node) failRead(r pendingRead) {
	if r.from == "" {
		n.reads = append(n.reads, ReadState{Context: r.context, Err: ErrNotLeader})
		return
	}
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_READ_INDEX_REPLY, To: r.from, Context: r.context, Reject: true,
	})
}

func (n *Node) onReadIndexReply(m *pb.RaftMessage) {
	if !n.forwardedReads[m.GetContext()] {
		return
	}
	delete(n.forwardedReads, m.GetContext())
	r := ReadState{Context: m.GetContext(), Index: m.GetLogIndex()}
	if m.GetReject() {
		r.Err = ErrNoLeader
	}
	n.reads = append(n.reads, r)
}

// failForwardedReads fails the reads that were sent to a former leader, which
// can no longer answer them.
func (n *Node) failForwardedReads() {
	for c := range n.forwardedReads {
		n.reads = append(n.reads, ReadState{Context: c, Err: ErrNoLeader})
	}
	clear(n.forwardedReads)
}
