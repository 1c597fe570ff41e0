package raft

import (
	"slices"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// raftLog holds the log entries that follow the compacted prefix.
type raftLog struct {
	snapshot   Snapshot
	offset     uint64 // index before entries[0]
	offsetTerm uint64
	entries    []*pb.Entry
	bytes      int    // of the payloads in entries
	unsaved    uint64 // first index that no Ready has contained yet
	stable     uint64 // highest index known to be synced
	commit     uint64
	applied    uint64 // highest index that a Ready has returned as committed
}

func newLog(s Stored) *raftLog {
	l := &raftLog{snapshot: s.Snapshot, offset: s.Snapshot.Index, offsetTerm: s.Snapshot.Term}
	for _, e := range s.Entries {
		if e.GetIndex() == l.last()+1 {
			l.append(e)
		}
	}
	l.commit, l.applied = s.Snapshot.Index, s.Snapshot.Index
	l.stable = l.last()
	l.unsaved = l.last() + 1
	return l
}

func (l *raftLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at an index, and false if the log does not know it.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.offset-1].GetTerm(), true
	}
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends at (index, term) is at least as up to date as this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	lt := l.lastTerm()
	return term > lt || (term == lt && index >= l.last())
}

// slice returns the entries in [from, to], cut off at the bounds of one append
// message. It returns at least one entry if the range is not empty.
func (l *raftLog) slice(from, to uint64) []*pb.Entry {
	if from > to {
		return nil
	}
	selected := l.entries[from-l.offset-1 : to-l.offset]
	size := 0
	for i, e := range selected {
		size += len(e.GetPayload())
		if i > 0 && (size > maxAppendBytes || i >= maxAppendEntries) {
			return selected[:i:i]
		}
	}
	return selected[:len(selected):len(selected)]
}

func (l *raftLog) append(entries ...*pb.Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += payloadBytes(entries)
}

func payloadBytes(entries []*pb.Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.GetPayload())
	}
	return sum
}

// merge adds entries of the leader that follow a matching index. It returns the
// first index that changed, or 0 if the log already held all of them.
func (l *raftLog) merge(entries []*pb.Entry) uint64 {
	for i, e := range entries {
		if e.GetIndex() <= l.offset || l.matches(e.GetIndex(), e.GetTerm()) {
			continue
		}
		l.truncate(e.GetIndex())
		l.append(entries[i:]...)
		return e.GetIndex()
	}
	return 0
}

// truncate removes the entries from an index on.
func (l *raftLog) truncate(from uint64) {
	if from > l.last() {
		return
	}
	l.bytes -= payloadBytes(l.entries[from-l.offset-1:])
	// Slices returned earlier share the array, so the remaining entries are copied.
	l.entries = slices.Clone(l.entries[:from-l.offset-1])
	l.unsaved = min(l.unsaved, from)
	l.stable = min(l.stable, from-1)
}

// findConflictByTerm returns the highest index up to the given one whose term
// is at most term, and that entry's term. With it the search for the last
// matching entry skips a whole term per message. An index before the start of
// the log is returned unchanged, which makes the leader send a snapshot.
func (l *raftLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	if index < l.offset {
		return index, 0
	}
	for index = min(index, l.last()); index > l.offset; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	if l.offsetTerm > term {
		return max(l.offset, 1) - 1, 0
	}
	return l.offset, l.offsetTerm
}

// restore replaces the whole log with a snapshot.
func (l *raftLog) restore(s Snapshot) {
	*l = raftLog{
		snapshot: s, offset: s.Index, offsetTerm: s.Term,
		commit: s.Index, applied: s.Index, stable: s.Index, unsaved: s.Index + 1,
	}
}

// compact sets the newest snapshot and removes the entries that it covers, except for the newest ones within keep.
func (l *raftLog) compact(s Snapshot, keep Keep) {
	l.snapshot = s
	upTo, size := s.Index, 0
	for upTo > l.offset && s.Index-upTo < keep.Entries {
		size += len(l.entries[upTo-l.offset-1].GetPayload())
		if keep.Bytes > 0 && size > keep.Bytes {
			break
		}
		upTo--
	}
	if upTo <= l.offset {
		return
	}
	term, _ := l.term(upTo)
	l.bytes -= payloadBytes(l.entries[:upTo-l.offset])
	l.entries = slices.Clone(l.entries[upTo-l.offset:])
	l.offset, l.offsetTerm = upTo, term
}
