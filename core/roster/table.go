package roster

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Table holds the newest record of each node. It is not safe for concurrent use.
type Table struct {
	version    uint64
	ownVersion uint64
	entries    map[string]*entry
}

type entry struct {
	record  *pb.NodeRecord
	owner   string        // control host that has the record from the node; empty: this one
	heard   time.Duration // last time the node itself, or the owner, confirmed the record
	version uint64        // of the table, when the content of the record changed
	own     uint64        // own version of the table, when this host got a newer record from the node
}

// New returns an empty table.
func New() *Table { return &Table{entries: make(map[string]*entry)} }

// Version grows with every change of a record's content.
func (t *Table) Version() uint64 { return t.version }

// OwnVersion grows with every newer record that a node sent to this host.
func (t *Table) OwnVersion() uint64 { return t.ownVersion }

// Len is the number of nodes.
func (t *Table) Len() int { return len(t.entries) }

// Newer reports that record a replaces record b of the same node.
func Newer(a, b *pb.NodeRecord) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	return a.GetSeq() > b.GetSeq()
}

// Put takes a record that its node sent to this host.
func (t *Table) Put(r *pb.NodeRecord, now time.Duration) (changed bool) {
	e := t.entries[r.GetNode()]
	if e != nil && Newer(e.record, r) {
		return false
	}
	if e != nil && !Newer(r, e.record) {
		e.heard = now
		if e.owner == "" && !e.record.GetSilent() {
			return false
		}
	}
	return t.set(r, "", now)
}

// Merge takes a record that another control host has from its node.
func (t *Table) Merge(r *pb.NodeRecord, owner string, now time.Duration) (changed bool) {
	e := t.entries[r.GetNode()]
	switch {
	case e == nil || Newer(r, e.record):
	case Newer(e.record, r):
		return false
	case e.owner != owner, e.record.GetSilent() == r.GetSilent():
		// The same record: only its owner may say that the node is silent.
		if e.owner == owner {
			e.heard = now
		}
		return false
	}
	return t.set(r, owner, now)
}

// set stores a record. One that differs in its number only is no change for readers.
func (t *Table) set(r *pb.NodeRecord, owner string, now time.Duration) (changed bool) {
	next := &entry{record: r, owner: owner, heard: now}
	if e := t.entries[r.GetNode()]; e != nil && sameContent(e.record, r) {
		next.version = e.version
	} else {
		t.version++
		next.version, changed = t.version, true
	}
	if owner == "" {
		t.ownVersion++
		next.own = t.ownVersion
	}
	t.entries[r.GetNode()] = next
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

// Silence marks the records of nodes that this host has not heard for the given
// time, and forgets those that have been silent, whoever owned them, for the
// second time. It reports whether anything changed.
func (t *Table) Silence(now, after, forget time.Duration, mark func(*pb.NodeRecord) *pb.NodeRecord) (changed bool) {
	for node, e := range t.entries {
		quiet := now - e.heard
		switch {
		case quiet > forget:
			delete(t.entries, node)
		case e.owner == "" && !e.record.GetSilent() && quiet > after:
			t.version++
			t.ownVersion++
			e.record, e.version, e.own = mark(e.record), t.version, t.ownVersion
			changed = true
		}
	}
	return changed
}

// Confirm notes that a control host is there, which keeps its records.
func (t *Table) Confirm(owner string, now time.Duration) {
	for _, e := range t.entries {
		if e.owner == owner {
			e.heard = now
		}
	}
}

// Since returns the records with an upstream whose content changed after a
// version, all of them for 0. A node that has had no upstream concerns nobody.
func (t *Table) Since(version uint64) []*pb.NodeRecord {
	var out []*pb.NodeRecord
	for _, e := range t.entries {
		if e.version > version && e.record.GetState() != pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED {
			out = append(out, e.record)
		}
	}
	return out
}

// OwnSince returns the records that nodes sent to this host after an own version.
func (t *Table) OwnSince(own uint64) []*pb.NodeRecord {
	var out []*pb.NodeRecord
	for _, e := range t.entries {
		if e.owner == "" && e.own > own {
			out = append(out, e.record)
		}
	}
	return out
}

// All calls f for every record, with the time at which this host last heard of it.
func (t *Table) All(f func(r *pb.NodeRecord, heard time.Duration)) {
	for _, e := range t.entries {
		f(e.record, e.heard)
	}
}
