package raft

import (
	"bytes"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// snapshotRetry is how long a leader waits for the reply to a snapshot.
const snapshotRetry = 5 * time.Second

// progress is what the leader knows of one member.
type progress struct {
	match, next uint64
	probing     bool // one append at a time until the first match
	inflight    int
	sentRound   uint64 // heartbeat round in which the last append was sent
	ackedRound  uint64
	snapshotAt  time.Duration
	snapshot    uint64 // index of the snapshot under way
	incarnation []byte // as the member last stated it
	contact     time.Duration
	contacted   bool
	clock       uint64 // last sent_at of the member
}

func newProgress(last uint64) *progress { return &progress{next: last + 1, probing: true} }

func (p *progress) paused() bool {
	return p.snapshot > 0 || (p.probing && p.inflight > 0) || p.inflight >= maxInflight
}

// probe goes back to one append at a time from an index.
func (p *progress) probe(next uint64) {
	p.next, p.probing, p.inflight, p.snapshot = max(next, p.match+1), true, 0, 0
}

// leadership is the state that exists only while this host leads.
type leadership struct {
	since    time.Duration
	self     string
	progress map[string]*progress
	first    uint64 // index of the first entry of the term

	round         uint64 // number of the last heartbeat round
	rounds        map[uint64]time.Duration
	nextHeartbeat time.Duration
	quorumAt      time.Duration // start of the newest round that a quorum answered
	quorumRound   uint64

	reads      []pendingRead
	transferTo string
	transferAt time.Duration
	leaseLost  bool // a forced election may be under way, so the lease proves nothing
}

type pendingRead struct {
	from    string // "" for this host
	context uint64
	index   uint64
	round   uint64 // 0: waits for the first commit of the term
}

func (l *leadership) transferring(now time.Duration) bool {
	return l.transferTo != "" && now < l.transferAt
}

// sync makes progress entries match a member set.
func (l *leadership) sync(members []*pb.Member, last uint64, now time.Duration) {
	for id := range l.progress {
		if find(members, id) == nil {
			delete(l.progress, id)
		}
	}
	for _, m := range members {
		if l.progress[m.GetId()] == nil {
			p := newProgress(last)
			p.contact = now
			l.progress[m.GetId()] = p
		}
	}
}

func (l *leadership) status() map[string]MemberProgress {
	out := make(map[string]MemberProgress, len(l.progress))
	for id, p := range l.progress {
		out[id] = MemberProgress{Match: p.match, LastContact: p.contact, Contacted: p.contacted || id == l.self}
	}
	return out
}

// counts tells whether a member's acknowledgements count: its disk must be the committed one.
func (l *leadership) counts(m *pb.Member) bool {
	p := l.progress[m.GetId()]
	return m.GetVoter() && p != nil && bytes.Equal(p.incarnation, m.GetIncarnation())
}
