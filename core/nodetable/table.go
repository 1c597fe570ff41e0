package nodetable

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Table holds the newest record of each node. It is not safe for concurrent use.
type Table struct {
	version    uint64 // counts changes of the content of a record
	ownVersion uint64 // counts what the other control hosts need from this one, see OwnVersion
	entries    map[string]*entry
}

type entry struct {
	record        *pb.NodeRecord
	receiver      string        // control host that received the record from the node; empty for this host
	heardAt       time.Duration // time at which the node itself, or the receiver, last confirmed the record
	version       uint64        // version of the table at which the content of the record last changed
	directVersion uint64        // own version of the table at which the record was stored or marked silent; 0 with another receiver
}

// New returns an empty table.
func New() *Table { return &Table{entries: make(map[string]*entry)} }

// Version returns a counter that grows with every change of a record's content.
func (t *Table) Version() uint64 { return t.version }

// OwnVersion returns a counter that grows whenever the other control hosts need a
// record from this host: when a node sends it a newer record or one that replaces a
// silent mark, when a node of another control host sends it an equal record, and
// when MarkSilent marks a record.
func (t *Table) OwnVersion() uint64 { return t.ownVersion }

// Len returns the number of nodes.
func (t *Table) Len() int { return len(t.entries) }

// Supersedes reports whether record a replaces record b of the same node.
func Supersedes(a, b *pb.NodeRecord) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	return a.GetSeq() > b.GetSeq()
}

// Put stores a record that its node sent to this host, unless the table has a
// newer one or the record is not valid. It reports whether the content changed.
func (t *Table) Put(r *pb.NodeRecord, now time.Duration) (changed bool) {
	if !ValidRecord(r) {
		return false
	}
	e := t.entries[r.GetNode()]
	if e != nil && Supersedes(e.record, r) {
		return false
	}
	if e != nil && !Supersedes(r, e.record) {
		e.heardAt = now
		if e.receiver == "" && !e.record.GetSilent() {
			return false
		}
	}
	return t.set(r, "", now)
}

// Merge stores a record that another control host, the receiver, got from the node,
// unless the table has a newer one or the record is not valid. It reports whether the
// content changed.
func (t *Table) Merge(r *pb.NodeRecord, receiver string, now time.Duration) (changed bool) {
	if !ValidRecord(r) {
		return false
	}
	e := t.entries[r.GetNode()]
	switch {
	case e == nil || Supersedes(r, e.record):
	case Supersedes(e.record, r):
		return false
	case e.receiver != receiver, e.record.GetSilent() == r.GetSilent():
		// For the same epoch and sequence number, only the receiver may change the silent mark.
		if e.receiver == receiver {
			e.heardAt = now
		}
		return false
	}
	return t.set(r, receiver, now)
}

// set stores a record and reports whether its content changed. A record that
// differs only in its sequence number has the same content.
func (t *Table) set(r *pb.NodeRecord, receiver string, now time.Duration) (changed bool) {
	stored := &entry{record: r, receiver: receiver, heardAt: now}
	if e := t.entries[r.GetNode()]; e != nil && sameContent(e.record, r) {
		stored.version = e.version
	} else {
		t.version++
		stored.version, changed = t.version, true
	}
	if receiver == "" {
		t.ownVersion++
		stored.directVersion = t.ownVersion
	}
	t.entries[r.GetNode()] = stored
	return changed
}

func sameContent(a, b *pb.NodeRecord) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return false
	}
	c := proto.CloneOf(a)
	c.Seq = b.GetSeq()
	return proto.Equal(c, b)
}

// MarkSilent applies mark to the records of nodes that report to this host and have
// not been heard for longer than after. It drops the records, of any receiver, that
// have not been confirmed for longer than forget. It reports whether a record was
// marked.
func (t *Table) MarkSilent(now, after, forget time.Duration, mark func(*pb.NodeRecord) *pb.NodeRecord) (changed bool) {
	for node, e := range t.entries {
		idle := now - e.heardAt
		switch {
		case idle > forget:
			delete(t.entries, node)
		case e.receiver == "" && !e.record.GetSilent() && idle > after:
			t.version++
			t.ownVersion++
			e.record, e.version, e.directVersion = mark(e.record), t.version, t.ownVersion
			changed = true
		}
	}
	return changed
}

// Confirm records that a control host was reachable at the given time, so that the
// records that it received from nodes are not dropped.
func (t *Table) Confirm(receiver string, now time.Duration) {
	for _, e := range t.entries {
		if e.receiver == receiver {
			e.heardAt = now
		}
	}
}

// Since returns the records whose content changed after the version, and all
// records for version 0. It leaves out nodes that have never had an upstream,
// because no other node calls them.
func (t *Table) Since(version uint64) []*pb.NodeRecord {
	var out []*pb.NodeRecord
	for _, e := range t.entries {
		if e.version > version && e.record.GetState() != pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED {
			out = append(out, e.record)
		}
	}
	return out
}

// OwnSince returns the records that nodes sent to this host and that were stored or
// marked silent after the own version.
func (t *Table) OwnSince(own uint64) []*pb.NodeRecord {
	var out []*pb.NodeRecord
	for _, e := range t.entries {
		if e.receiver == "" && e.directVersion > own {
			out = append(out, e.record)
		}
	}
	return out
}

// ForEach calls f for every record, with the time at which it was last confirmed.
func (t *Table) ForEach(f func(r *pb.NodeRecord, heardAt time.Duration)) {
	for _, e := range t.entries {
		f(e.record, e.heardAt)
	}
}

// Receivers returns the number of nodes by the control host that received their record; empty for this host.
func (t *Table) Receivers() map[string]int {
	out := make(map[string]int)
	for _, e := range t.entries {
		out[e.receiver]++
	}
	return out
}
