package raft

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	simTick      = 10 * time.Millisecond
	simElection  = 200 * time.Millisecond
	simHeartbeat = 40 * time.Millisecond
)

// simDisk is the state that survives a crash.
type simDisk struct {
	state   HardState
	snap    Snapshot
	entries []*pb.Entry
}

func (d *simDisk) write(r Ready) {
	if r.State != nil {
		d.state = *r.State
	}
	if r.Snapshot != nil {
		d.install(*r.Snapshot)
	}
	for _, e := range r.Entries {
		for i, old := range d.entries {
			if old.GetIndex() >= e.GetIndex() {
				d.entries = d.entries[:i:i]
				break
			}
		}
		d.entries = append(d.entries, e)
	}
}

func (d *simDisk) install(s Snapshot) {
	holds := slices.ContainsFunc(d.entries, func(e *pb.Entry) bool { return e.GetIndex() == s.Index && e.GetTerm() == s.Term })
	if !holds {
		d.entries = nil
	}
	d.snap = s
	d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e *pb.Entry) bool { return e.GetIndex() <= s.Index })
}

type simHost struct {
	id          string
	node        *Node // nil while down
	disk        simDisk
	pending     []Ready // work that is not synced yet
	backups     []simDisk
	applied     uint64
	digest      uint64
	paused      bool
	diskFull    bool // writes wait
	started     bool // the disk was used before
	replaced    bool // the disk was lost
	diskDamaged bool // the disk was lost or replaced with an older copy, and has not been admitted since
	undetected  bool // no disk check has detected yet that the disk is an older copy
	seed        uint64
	reads       map[uint64]uint64 // context to the commit index at the time of the request
}

type simMessage struct{ m *pb.RaftMessage }

// sim simulates hosts with a faulty network and faulty disks, and checks the guarantees of the log after each event.
type sim struct {
	t       *rapid.T
	now     time.Duration
	hosts   []*simHost
	initial []*pb.Member
	net     []simMessage
	drop    func(m *pb.RaftMessage) bool // selects messages to lose; nil: none
	cut     map[[2]string]bool           // cut links by sender and receiver
	// fixedMembers reports that a host with a replaced disk is started with the initial member set, and not without one.
	fixedMembers bool

	committed []*pb.Entry // by index; the first entry has index 1, and index 0 holds nil
	digests   []uint64
	leaders   map[uint64]string
	maxCommit uint64
	commitAt  []simCommit
	lastID    uint64
}

type simCommit struct {
	at     time.Duration
	commit uint64
}

func newSim(t *rapid.T, voters, spares int, seed uint64) *sim {
	s := &sim{t: t, now: time.Second, fixedMembers: true, cut: make(map[[2]string]bool), leaders: make(map[uint64]string), committed: []*pb.Entry{nil}, digests: []uint64{0}}
	for i := range voters + spares {
		h := &simHost{id: fmt.Sprintf("h%d", i), seed: seed + uint64(i)*1000}
		h.disk.state.Incarnation = []byte(fmt.Sprintf("disk-%d-0", i))
		s.hosts = append(s.hosts, h)
		if i < voters {
			s.initial = append(s.initial, &pb.Member{Id: h.id, Voter: true})
		}
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	return s
}

func (s *sim) start(h *simHost) {
	h.seed++
	fresh := !h.started // a new or replaced disk is used for the first time
	h.started = true
	members := s.initial
	if h.replaced && !s.fixedMembers {
		members = nil
	}
	h.node = New(Config{
		ID: h.id, Members: members, ElectionTimeout: simElection, HeartbeatInterval: simHeartbeat,
		Rand: rand.New(rand.NewPCG(h.seed, 1)),
	}, Stored{State: h.disk.state, Snapshot: h.disk.snap, Entries: h.disk.entries, Fresh: fresh}, s.now)
	h.applied, h.digest = h.disk.snap.Index, 0
	if h.applied > 0 {
		h.digest = binary.BigEndian.Uint64(h.disk.snap.Data)
	}
	h.pending, h.paused, h.reads = nil, false, make(map[uint64]uint64)
}

// crash stops a host and loses its unsynced writes, except for the first ones,
// which have reached the disk but were not acknowledged.
func (s *sim) crash(h *simHost, reached int) {
	for _, r := range h.pending[:min(reached, len(h.pending))] {
		h.disk.write(r)
	}
	h.node, h.pending = nil, nil
}

func (s *sim) host(id string) *simHost {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// process handles the work that a host returns, and checks the host.
func (s *sim) process(h *simHost) {
	for {
		r, ok := h.node.Ready()
		if !ok {
			break
		}
		s.emit(r.Messages)
		if r.NeedsSync() {
			h.pending = append(h.pending, r)
		}
		if r.Snapshot != nil {
			h.applied, h.digest = r.Snapshot.Index, binary.BigEndian.Uint64(r.Snapshot.Data)
			s.require(h.digest == s.digests[h.applied], "%s installed a snapshot with another content at %d", h.id, h.applied)
		}
		for _, e := range r.Committed {
			s.apply(h, e)
		}
		for _, rs := range r.Reads {
			s.require(rs.Err != nil || rs.Index >= h.reads[rs.Context], "%s: read at %d is stale, %d was committed", h.id, rs.Index, h.reads[rs.Context])
		}
	}
	s.check(h)
}

func (s *sim) emit(messages []*pb.RaftMessage) {
	for _, m := range messages {
		s.net = append(s.net, simMessage{proto.CloneOf(m)})
	}
}

func (s *sim) apply(h *simHost, e *pb.Entry) {
	s.require(e.GetIndex() == h.applied+1, "%s applied %d after %d", h.id, e.GetIndex(), h.applied)
	if e.GetIndex() == uint64(len(s.committed)) {
		s.committed = append(s.committed, e)
		s.digests = append(s.digests, chainDigest(s.digests[len(s.digests)-1], e))
	}
	want := s.committed[e.GetIndex()]
	s.require(want.GetTerm() == e.GetTerm() && bytes.Equal(want.GetPayload(), e.GetPayload()),
		"%s applied another entry at %d: term %d, before it was term %d", h.id, e.GetIndex(), e.GetTerm(), want.GetTerm())
	h.applied, h.digest = e.GetIndex(), s.digests[e.GetIndex()]
}

func chainDigest(d uint64, e *pb.Entry) uint64 {
	for _, b := range append(binary.BigEndian.AppendUint64(nil, e.GetTerm()), e.GetPayload()...) {
		d = d*1099511628211 + uint64(b) + 1
	}
	return d
}

// check verifies the guarantees of the log against the state of one host.
func (s *sim) check(h *simHost) {
	n := h.node
	s.require(n.log.bytes == payloadBytes(n.log.entries), "%s counts %d bytes of a log of %d", h.id, n.log.bytes, payloadBytes(n.log.entries))
	if h.diskDamaged && n.eligible() {
		h.diskDamaged = false
	}
	// A disk check that detects the older copy gives the node a new incarnation of 16 bytes. It
	// differs from the incarnation on the disk, which is mostly of another length, until it is synced.
	if h.undetected && (n.diskCheck.done || len(n.state.Incarnation) != len(h.disk.state.Incarnation)) {
		h.undetected = false
	}
	if n.role != Leader {
		s.checkConfirmed(h)
		return
	}
	other, known := s.leaders[n.state.Term]
	s.require(!known || other == h.id, "%s and %s both lead term %d", other, h.id, n.state.Term)
	if !known {
		s.leaders[n.state.Term] = h.id
		s.checkComplete(h)
	}
	if n.log.commit > s.maxCommit {
		s.maxCommit = n.log.commit
		s.commitAt = append(s.commitAt, simCommit{s.now, s.maxCommit})
	}
	if n.HoldsLease(s.now) {
		s.require(n.log.commit >= s.maxCommit, "%s holds the lease at %d, but %d is committed", h.id, n.log.commit, s.maxCommit)
	}
	s.checkConfirmed(h)
}

// checkComplete verifies that a new leader holds everything that was committed.
func (s *sim) checkComplete(h *simHost) {
	for i := h.node.log.offset + 1; i < uint64(len(s.committed)); i++ {
		s.require(h.node.log.matches(i, s.committed[i].GetTerm()), "new leader %s of term %d lacks committed entry %d", h.id, h.node.state.Term, i)
	}
	s.require(h.node.log.last() >= s.maxCommit, "new leader %s ends at %d, %d is committed", h.id, h.node.log.last(), s.maxCommit)
}

// checkConfirmed verifies ConfirmedAt: the commit index covers everything that was committed before that time.
func (s *sim) checkConfirmed(h *simHost) {
	at, ok := h.node.ConfirmedAt(s.now)
	if !ok {
		return
	}
	for _, c := range slices.Backward(s.commitAt) {
		if c.at < at {
			s.require(h.node.log.commit >= c.commit, "%s was confirmed at %v with %d, %d was committed at %v", h.id, at, h.node.log.commit, c.commit, c.at)
			return
		}
	}
}

func (s *sim) require(ok bool, format string, args ...any) {
	if !ok {
		s.t.Fatalf("%v: "+format, append([]any{s.now}, args...)...)
	}
}

func (s *sim) tick(h *simHost) {
	if h.node != nil && !h.paused {
		h.node.Tick(s.now)
		s.process(h)
	}
}

// deliver passes the message at a position to its receiver, unless the link is
// cut. With keep a duplicate stays in the network.
func (s *sim) deliver(i int, keep bool) {
	m := s.net[i].m
	if !keep {
		s.net = slices.Delete(s.net, i, i+1)
	}
	to := s.host(m.GetTo())
	if s.drop != nil && s.drop(m) {
		return
	}
	if s.cut[[2]string{m.GetFrom(), m.GetTo()}] || to == nil || to.node == nil || to.paused {
		return
	}
	to.node.Step(s.now, proto.CloneOf(m))
	s.process(to)
}

// sync completes the first k writes of a host with one sync.
func (s *sim) sync(h *simHost, k int) {
	if h.node == nil || h.paused || h.diskFull || len(h.pending) == 0 {
		return
	}
	k = min(k, len(h.pending))
	batch := h.pending[:k]
	h.pending = h.pending[k:]
	var last *pb.Entry
	for _, r := range batch {
		h.disk.write(r)
		if len(r.Entries) > 0 {
			last = r.Entries[len(r.Entries)-1]
		}
	}
	for _, r := range batch {
		s.emit(r.AfterSync)
	}
	if last != nil {
		h.node.Synced(s.now, last.GetIndex(), last.GetTerm())
	}
	s.process(h)
}

// leaseHolder returns the running host that holds the leader lease, or nil if there is none.
func (s *sim) leaseHolder() *simHost {
	for _, h := range s.hosts {
		if h.node != nil && !h.paused && h.node.HoldsLease(s.now) {
			return h
		}
	}
	return nil
}

func (s *sim) propose(h *simHost) bool {
	s.lastID++
	_, _, err := h.node.Propose(s.now, binary.BigEndian.AppendUint64(nil, s.lastID))
	s.process(h)
	return err == nil
}

func (s *sim) read(h *simHost) {
	s.lastID++
	h.reads[s.lastID] = s.maxCommit
	h.node.ReadIndex(s.now, s.lastID)
	s.process(h)
}

func (s *sim) compact(h *simHost, keep uint64) {
	if h.applied == 0 {
		return
	}
	h.node.Compact(h.applied, binary.BigEndian.AppendUint64(nil, h.digest), Keep{Entries: keep, Bytes: int(keep) * 40})
	if snap := h.node.Snapshot(); snap.Index > h.disk.snap.Index && len(h.pending) == 0 {
		h.disk.install(snap)
	}
}

// runFaultFree advances the time without new faults: every message on an intact
// link arrives, and every write is synced.
func (s *sim) runFaultFree(d time.Duration) {
	for end := s.now + d; s.now < end; {
		for n := len(s.net); n > 0 && len(s.net) > 0; n-- {
			s.deliver(0, false)
		}
		for _, h := range s.hosts {
			s.sync(h, len(h.pending))
		}
		for n := len(s.net); n > 0 && len(s.net) > 0; n-- {
			s.deliver(0, false)
		}
		s.now += simTick
		for _, h := range s.hosts {
			s.tick(h)
		}
	}
}

// heal restores all links and starts or resumes all hosts.
func (s *sim) heal() {
	clear(s.cut)
	for _, h := range s.hosts {
		h.paused = false
		if h.node == nil {
			s.start(h)
		}
	}
}

// damagedHosts returns the number of disks that lack entries which their hosts acknowledged.
func (s *sim) damagedHosts() int {
	count := 0
	for _, h := range s.hosts {
		if h.diskDamaged {
			count++
		}
	}
	return count
}
