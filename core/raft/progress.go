package raft

import (
	"bytes"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// snapshotRetry is how long a leader waits for the reply to a snapshot before it sends another.
const snapshotRetry = 5 * time.Second

// progress is the leader's record of one member.
type progress struct {
	match, next  uint64        // highest index known to be synced there; index of the next entry to send
	probing      bool          // send one append at a time, until one matches
	inflight     int           // appends that were sent and not answered yet
	sentRound    uint64        // heartbeat round in which the last append was sent
	ackedRound   uint64        // newest heartbeat round that the member has answered
	snapshotAt   time.Duration // time at which the snapshot was sent
	snapshot     uint64        // index of the snapshot that was sent and not answered yet; 0: none
	diskID       []byte        // incarnation of the member's disk, as last reported by the member
	contact      time.Duration // time of the last reply; before the first one, the time at which the member was added
	contacted    bool          // a reply has arrived in this term
	memberSentAt uint64        // highest sent_at of the member's replies: a time of the member's own clock, ns
	upToDateAt   time.Duration // latest time whose commit index the member is known to hold; before that, when it was added
	upToDate     bool          // the member has held the commit index at upToDateAt
	goal         uint64        // commit index at goalAt, which the member is not known to hold yet
	goalAt       time.Duration
}

func newProgress(last uint64) *progress { return &progress{next: last + 1, probing: true} }

// paused reports whether flow control holds back further appends.
func (p *progress) paused() bool {
	return p.snapshot > 0 || (p.probing && p.inflight > 0) || p.inflight >= maxInflight
}

// recordUpToDate updates upToDateAt after a reply. A member that is always a little behind a busy log is up to
// date at the times whose commit index its later replies cover.
func (p *progress) recordUpToDate(commit uint64, now time.Duration) {
	if p.match >= p.goal {
		if p.goal > 0 {
			p.upToDate, p.upToDateAt = true, p.goalAt
		}
		p.goal, p.goalAt = commit, now
	}
	if p.match > 0 && p.match >= commit {
		p.upToDate, p.upToDateAt = true, now
	}
}

// probe switches back to one append at a time, starting at an index.
func (p *progress) probe(next uint64) {
	p.next, p.probing, p.inflight, p.snapshot = max(next, p.match+1), true, 0, 0
}

// leaderState is the state that exists only while this host is the leader.
type leaderState struct {
	since      time.Duration // time at which this host became the leader
	self       string        // id of this host
	progress   map[string]*progress
	firstIndex uint64 // index of the first entry that this leader appended

	round         uint64                   // number of the last heartbeat round
	rounds        map[uint64]time.Duration // start time of each round since quorumRound
	nextHeartbeat time.Duration
	quorumAt      time.Duration // start of the newest round that a quorum answered
	quorumRound   uint64

	diskBehind time.Duration // since when this host has not synced what is committed; 0: it has

	reads            []pendingRead
	transferTo       string        // target of a transfer of leadership; "" without one
	transferDeadline time.Duration // time at which the transfer has failed
	leaseGivenUp     bool          // the target was asked to start an election, so the lease is no longer valid
}

// pendingRead is a read that waits until a majority has answered a heartbeat round.
type pendingRead struct {
	from    string // host that asked; "" for this host
	context uint64 // id of the read, chosen by the host that asked
	index   uint64 // commit index that the read must cover
	round   uint64 // heartbeat round to wait for; 0: waits for the first commit of the term
}

func (l *leaderState) transferring(now time.Duration) bool {
	return l.transferTo != "" && now < l.transferDeadline
}

// updateProgress adds and removes progress records so that they match a member set.
func (l *leaderState) updateProgress(members []*pb.Member, last uint64, now time.Duration) {
	for id := range l.progress {
		if findMember(members, id) == nil {
			delete(l.progress, id)
		}
	}
	for _, m := range members {
		if l.progress[m.GetId()] == nil {
			p := newProgress(last)
			p.contact, p.upToDateAt = now, now
			l.progress[m.GetId()] = p
		}
	}
}

func (l *leaderState) status() map[string]MemberProgress {
	out := make(map[string]MemberProgress, len(l.progress))
	for id, p := range l.progress {
		out[id] = MemberProgress{
			Match: p.match, LastContact: p.contact, Contacted: p.contacted || id == l.self,
			UpToDateAt: p.upToDateAt, UpToDate: p.upToDate,
		}
	}
	return out
}

// countsTowardQuorum reports whether the acknowledgements of a member count: it
// must be a voter, and its disk must be the one recorded in the member set.
func (l *leaderState) countsTowardQuorum(m *pb.Member) bool {
	p := l.progress[m.GetId()]
	return m.GetVoter() && p != nil && bytes.Equal(p.diskID, m.GetIncarnation())
}
