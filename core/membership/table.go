package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// TombstoneTTL is how long a record of a gone or down node is kept. It must stay
// longer than any delay of an exchange, or a late record would bring the node
// back; two minutes are 24 long polls of 5 s.
const TombstoneTTL = 2 * time.Minute

// entry is one record as a table holds it.
type entry struct {
	record    *pb.EndpointRecord
	stamp     uint64
	source    string // peer that delivered it, so that it is not sent back
	previous  string // service before the last change, whose readers must learn of the change
	removedAt time.Time
	// contested: a peer holds the same version as live, so it must learn that the
	// node was declared down, and the owner must get to refute that.
	contested bool
	// stale: the owner sent an older version than this one, as a process does whose
	// clock was set back; it must learn of this one to supersede it.
	stale bool
}

// Table holds the endpoint records that one process knows. Records that it
// returns are immutable.
type Table struct {
	instance int64
	stamp    uint64
	self     string // node id whose record only this process writes; empty in a relay
	entries  map[string]*entry
	suspects map[uint64]*suspect
}

// NewTable returns an empty table. The instance must differ from that of every
// earlier table of the same process; self is the node id of the owner.
func NewTable(instance int64, self string) *Table {
	return &Table{
		instance: instance, self: self,
		entries: make(map[string]*entry), suspects: make(map[uint64]*suspect),
	}
}

// Instance of the table, to which stamps belong.
func (t *Table) Instance() int64 { return t.instance }

// Stamp of the last accepted record.
func (t *Table) Stamp() uint64 { return t.stamp }

// Get returns the record of a node, or nil.
func (t *Table) Get(id string) *pb.EndpointRecord {
	if e := t.entries[id]; e != nil {
		return e.record
	}
	return nil
}

// Supersedes reports whether record a replaces record b of the same node.
func Supersedes(a, b *pb.EndpointRecord) bool {
	if b == nil {
		return true
	}
	if c := cmp.Compare(a.GetIncarnation(), b.GetIncarnation()); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(a.GetSequence(), b.GetSequence()); c != 0 {
		return c > 0
	}
	return a.GetState() == down && b.GetState() != down
}

// Merge takes records that a peer sent and returns those that changed the
// table. A record about the owner is never taken over: it makes the owner
// publish a higher sequence.
func (t *Table) Merge(records []*pb.EndpointRecord, source string, now time.Time) []*pb.EndpointRecord {
	var changed []*pb.EndpointRecord
	for _, r := range records {
		if r.GetNodeId() == "" {
			continue
		}
		if r.GetNodeId() == t.self {
			if refuted := t.refute(r, now); refuted != nil {
				changed = append(changed, refuted)
			}
			continue
		}
		if t.put(r, source, now) {
			changed = append(changed, r)
		}
	}
	return changed
}

// Publish stores the owner's record with the next sequence and returns it.
func (t *Table) Publish(r *pb.EndpointRecord, now time.Time) *pb.EndpointRecord {
	r = proto.Clone(r).(*pb.EndpointRecord)
	if own := t.Get(t.self); own != nil {
		r.Sequence = max(r.GetSequence(), own.GetSequence())
	}
	r.Sequence++
	t.put(r, t.self, now)
	return r
}

// refute answers a record about the owner that others made or that an earlier
// process of the same incarnation left.
func (t *Table) refute(r *pb.EndpointRecord, now time.Time) *pb.EndpointRecord {
	own := t.Get(t.self)
	if own == nil || !Supersedes(r, own) {
		return nil
	}
	next := proto.Clone(own).(*pb.EndpointRecord)
	next.Incarnation = max(own.GetIncarnation(), r.GetIncarnation())
	next.Sequence = max(own.GetSequence(), r.GetSequence())
	return t.Publish(next, now)
}

// DeclareDown marks the node as down for the incarnation and sequence that were
// observed; it returns nil when the node has published a later record.
func (t *Table) DeclareDown(id string, incarnation int64, sequence uint64, now time.Time) *pb.EndpointRecord {
	e := t.entries[id]
	if e == nil || id == t.self || isRemoved(e.record) ||
		e.record.GetIncarnation() != incarnation || e.record.GetSequence() != sequence {
		return nil
	}
	r := proto.Clone(e.record).(*pb.EndpointRecord)
	r.State = down
	t.put(r, t.self, now)
	return r
}

func (t *Table) put(r *pb.EndpointRecord, source string, now time.Time) bool {
	e := t.entries[r.GetNodeId()]
	if e == nil {
		e = &entry{}
		t.entries[r.GetNodeId()] = e
	} else if !Supersedes(r, e.record) {
		if e.record.GetState() == down && IsLive(r) && Supersedes(e.record, r) && e.record.GetSequence() == r.GetSequence() &&
			e.record.GetIncarnation() == r.GetIncarnation() {
			t.stamp++
			e.stamp, e.source, e.contested = t.stamp, "", true
		}
		e.stale = e.stale || (source == r.GetNodeId() && Supersedes(e.record, r))
		return false
	}
	if old := e.record.GetService(); old != r.GetService() && old != "" {
		e.previous = old
	}
	unknown := e.record == nil
	// A peer may hold the version as live and have lost what declared it down.
	contested := r.GetState() == down && IsLive(e.record)
	e.record, e.source, e.removedAt, e.contested, e.stale = r, source, time.Time{}, contested, false
	if isRemoved(r) {
		e.removedAt = now
	}
	if unknown && isRemoved(r) {
		// Kept against late records, but not passed on: tombstones that every
		// newcomer passed on would circulate for ever.
		return false
	}
	t.stamp++
	e.stamp = t.stamp
	return true
}

// Expire drops tombstones older than TombstoneTTL and old suspects.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.entries {
		if id != t.self && !e.removedAt.IsZero() && now.Sub(e.removedAt) > TombstoneTTL {
			delete(t.entries, id)
		}
	}
	t.expireSuspects(now)
}

// Filter selects the records that a peer needs.
type Filter struct {
	// Peer is the node or relay that asks; records that it delivered are left out.
	Peer string
	// All selects every record. Otherwise a record is selected by failure domain or service.
	All           bool
	FailureDomain string
	Services      []string
	// Skip leaves out records that these sources delivered.
	Skip []string
	// Digests that the peer sent; live records in buckets with equal digests are left out.
	Digests []uint64
}

func (f *Filter) selects(e *entry) bool {
	return f.All || e.contested || (f.FailureDomain != "" && e.record.GetFailureDomain() == f.FailureDomain) ||
		(e.record.GetService() != "" && slices.Contains(f.Services, e.record.GetService())) ||
		(e.previous != "" && slices.Contains(f.Services, e.previous)) ||
		slices.ContainsFunc(e.record.GetFormerServices(), func(s string) bool { return slices.Contains(f.Services, s) })
}

// Since returns the selected records that were accepted after a stamp, ordered
// by stamp, and the stamp up to which the answer is complete. With stamp 0 the
// peer may have lost what it delivered, so it gets that too.
func (t *Table) Since(stamp uint64, f Filter) ([]*pb.EndpointRecord, uint64) {
	var found []*entry
	equal := t.equalBuckets(f)
	for id, e := range t.entries {
		if id == f.Peer && (e.record.GetState() == down || e.stale) {
			e.stale = false          // a lost response makes the owner send its record again
			found = append(found, e) // down until the owner refutes it, whatever it was sent before
			continue
		}
		if e.stamp <= stamp || !f.selects(e) {
			continue
		}
		if equal != nil && equal[bucket(id)] && IsLive(e.record) {
			continue
		}
		if stamp > 0 && (e.source == f.Peer || slices.Contains(f.Skip, e.source)) {
			continue
		}
		found = append(found, e)
	}
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Compare(a.stamp, b.stamp) })
	out := make([]*pb.EndpointRecord, len(found))
	for i, e := range found {
		out[i] = e.record
	}
	return out, t.stamp
}

// Records returns the records that keep selects, sorted by node id.
func (t *Table) Records(keep func(*pb.EndpointRecord) bool) []*pb.EndpointRecord {
	var out []*pb.EndpointRecord
	for _, e := range t.entries {
		if keep(e.record) {
			out = append(out, e.record)
		}
	}
	slices.SortFunc(out, func(a, b *pb.EndpointRecord) int { return cmp.Compare(a.GetNodeId(), b.GetNodeId()) })
	return out
}

const down = pb.EndpointState_ENDPOINT_STATE_DOWN

func isRemoved(r *pb.EndpointRecord) bool {
	return r.GetState() == down || r.GetState() == pb.EndpointState_ENDPOINT_STATE_GONE
}

// IsLive reports a record of a node that runs: it can be probed and asked.
func IsLive(r *pb.EndpointRecord) bool { return r != nil && !isRemoved(r) }
