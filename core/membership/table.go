package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// TombstoneTTL is how long the record of a gone or down node is kept. It must
// exceed the longest delay of an exchange, because otherwise a late record would
// make the node appear live again. Two minutes are 24 long polls of 5 s.
const TombstoneTTL = 2 * time.Minute

// entry is one record with the bookkeeping of the table.
type entry struct {
	record          *pb.EndpointRecord
	stamp           uint64
	source          string // peer that sent the record, so that it is not sent back
	previousService string // service before the last change; its readers must receive the change
	removedAt       time.Time
	// contested is set on a down record when a peer holds the same version as live, or
	// may hold it because this table held the node as live. That peer must learn that
	// the node was declared down, and the owner must be able to refute it.
	contested bool
	// ownerBehind is set when the owner sent an older version than this one, which
	// happens when its clock was set back. The owner must receive this version to
	// supersede it.
	ownerBehind bool
}

// Table holds the endpoint records known to one process. The records that it
// returns must not be modified.
type Table struct {
	instance int64 // identifies the table; app/members passes the incarnation of its process
	stamp    uint64
	self     string              // id of this node, whose record only this process writes; empty in a relay
	entries  map[string]*entry   // by node id
	suspects map[uint64]*suspect // suspect requests by fingerprint; suspected nodes are in Detector
}

// NewTable returns an empty table. The instance must differ from that of every
// earlier table of the same node or relay. self is the id of this node, or empty
// in a relay. The instance belongs to the table, unlike the incarnation in a record,
// which belongs to the node that the record describes.
func NewTable(instance int64, self string) *Table {
	return &Table{
		instance: instance, self: self,
		entries: make(map[string]*entry), suspects: make(map[uint64]*suspect),
	}
}

// Instance returns the instance of the table. Stamps are comparable only within
// one instance.
func (t *Table) Instance() int64 { return t.instance }

// Stamp returns the stamp of the last accepted record.
func (t *Table) Stamp() uint64 { return t.stamp }

// Get returns the record of a node, or nil if there is none.
func (t *Table) Get(id string) *pb.EndpointRecord {
	if e := t.entries[id]; e != nil {
		return e.record
	}
	return nil
}

// Supersedes reports whether record a replaces record b of the same node. The
// higher incarnation wins, then the higher sequence; at equal versions a record in
// state down replaces one in any other state.
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

// Merge merges the records that a peer sent and returns those that changed the
// table. A newer record about this node is not stored; instead this node publishes
// its own record with a higher sequence.
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

// Publish stores this node's record with the next sequence and returns it.
func (t *Table) Publish(r *pb.EndpointRecord, now time.Time) *pb.EndpointRecord {
	r = proto.Clone(r).(*pb.EndpointRecord)
	if own := t.Get(t.self); own != nil {
		r.Sequence = max(r.GetSequence(), own.GetSequence())
	}
	r.Sequence++
	t.put(r, t.self, now)
	return r
}

// refute publishes this node's record again with a version above r, if r
// supersedes it. Such a record was made by another process or by an earlier
// process of this node. It returns nil if r is not newer.
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

// DeclareDown marks a node as down and returns its record. It returns nil when the
// node is unknown, is this node, is already gone or down, or its record no longer
// has the given incarnation and sequence.
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

// put stores a record if it supersedes the current one and reports whether it did.
// It also returns false for a tombstone of a node that was unknown until then.
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
		e.ownerBehind = e.ownerBehind || (source == r.GetNodeId() && Supersedes(e.record, r))
		return false
	}
	if old := e.record.GetService(); old != r.GetService() && old != "" {
		e.previousService = old
	}
	unknown := e.record == nil
	// A peer may hold this version as live and may have missed the declaration of down.
	contested := r.GetState() == down && IsLive(e.record)
	e.record, e.source, e.removedAt, e.contested, e.ownerBehind = r, source, time.Time{}, contested, false
	if isRemoved(r) {
		e.removedAt = now
	}
	if unknown && isRemoved(r) {
		// The tombstone is kept so that late records are rejected, but it is not
		// forwarded: if every new process forwarded tombstones, they would circulate
		// forever.
		return false
	}
	t.stamp++
	e.stamp = t.stamp
	return true
}

// Expire drops tombstones older than TombstoneTTL and suspects older than SuspectTTL.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.entries {
		if id != t.self && !e.removedAt.IsZero() && now.Sub(e.removedAt) > TombstoneTTL {
			delete(t.entries, id)
		}
	}
	t.expireSuspects(now)
}

// Filter selects the records that a peer needs. Contested records are selected
// regardless of All, FailureDomain and Services.
type Filter struct {
	// Peer is the node or relay that asks. Records that came from it are left out,
	// except for stamp 0.
	Peer string
	// All selects every record. Otherwise records are selected by failure domain or by
	// a current or former service.
	All           bool
	FailureDomain string
	Services      []string
	// Skip lists further sources whose records are left out, except for stamp 0.
	Skip []string
	// Digests are the digests of the peer's table. Live records in buckets with equal
	// digests are left out.
	Digests []uint64
}

func (f *Filter) selects(e *entry) bool {
	return f.All || e.contested || (f.FailureDomain != "" && e.record.GetFailureDomain() == f.FailureDomain) ||
		(e.record.GetService() != "" && slices.Contains(f.Services, e.record.GetService())) ||
		(e.previousService != "" && slices.Contains(f.Services, e.previousService)) ||
		slices.ContainsFunc(e.record.GetFormerServices(), func(s string) bool { return slices.Contains(f.Services, s) })
}

// Since returns the selected records accepted after the stamp, ordered by stamp,
// and the stamp up to which the result is complete. With stamp 0 the result also
// contains the records that came from the peer or from Skip, because the peer may
// have lost them.
func (t *Table) Since(stamp uint64, f Filter) ([]*pb.EndpointRecord, uint64) {
	var found []*entry
	equal := t.equalBuckets(f)
	for id, e := range t.entries {
		if id == f.Peer && (e.record.GetState() == down || e.ownerBehind) {
			e.ownerBehind = false    // if this response is lost, the owner sends its record again, which sets ownerBehind again
			found = append(found, e) // a down record is sent until its owner refutes it, regardless of the stamp
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

// Records returns the records for which keep is true, sorted by node id.
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

// IsLive reports whether a record belongs to a running node, that is one that is
// neither gone nor down.
func IsLive(r *pb.EndpointRecord) bool { return r != nil && !isRemoved(r) }
