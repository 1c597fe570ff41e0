package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	metaName       = "meta"
	segmentPrefix  = "wal-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

// replay rebuilds the log from the records of all segments. baseIndex and baseTerm
// are those of the last snapshot record that restarted the log, or 0.
type replay struct {
	baseIndex, baseTerm uint64
	entries             []*pb.Entry
}

// lastIndex returns the index of the last entry, or baseIndex when there is none.
func (r *replay) lastIndex() uint64 {
	if len(r.entries) == 0 {
		return r.baseIndex
	}
	return r.entries[len(r.entries)-1].GetIndex()
}

// startIndex returns the index before the first entry, or baseIndex when there is none.
func (r *replay) startIndex() uint64 {
	if len(r.entries) == 0 {
		return r.baseIndex
	}
	return r.entries[0].GetIndex() - 1
}

// term returns the term of the entry at an index, if it is known.
func (r *replay) term(index uint64) (uint64, bool) {
	if index == r.baseIndex {
		return r.baseTerm, true
	}
	if len(r.entries) == 0 || index < r.entries[0].GetIndex() || index > r.lastIndex() {
		return 0, false
	}
	return r.entries[index-r.entries[0].GetIndex()].GetTerm(), true
}

// addEntry drops the entries from the index of e on and appends e. It returns
// false when e does not continue the log.
func (r *replay) addEntry(e *pb.Entry) bool {
	if len(r.entries) == 0 {
		if r.baseIndex != 0 && e.GetIndex() != r.baseIndex+1 {
			return false
		}
		r.entries = append(r.entries, e)
		return true
	}
	first := r.entries[0].GetIndex()
	if e.GetIndex() <= r.baseIndex || e.GetIndex() > r.lastIndex()+1 {
		return false
	}
	// An example: segment 1 held entries 1 to 5, segment 2 holds 6 and 7, and segment 3 replaces the
	// entries from 4 on. Once a snapshot covers segment 1 and it is removed, the records are 6, 7, 4.
	if e.GetIndex() < first {
		r.entries = []*pb.Entry{e}
		return true
	}
	r.entries = append(r.entries[:e.GetIndex()-first], e)
	return true
}

// addSnapshot restarts the log after a snapshot, unless the log already holds the
// last entry of the snapshot or starts after it.
func (r *replay) addSnapshot(index, term uint64) {
	if t, ok := r.term(index); (ok && t == term) || (len(r.entries) > 0 && index < r.entries[0].GetIndex()) {
		return
	}
	r.baseIndex, r.baseTerm, r.entries = index, term, nil
}

// load reads meta, the newest snapshot and the log. It removes unfinished
// temporary files, and segments whose removal was lost.
func (s *Store) load() (raft.Stored, error) {
	var stored raft.Stored
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return stored, eris.Wrap(err, "read the data directory")
	}
	var segments, snapshots []string
	for _, n := range names {
		switch {
		case strings.HasSuffix(n, tempSuffix):
			if err := s.fs.Remove(s.path(n)); err != nil {
				return stored, eris.Wrap(err, "remove an unfinished temporary file")
			}
		case strings.HasPrefix(n, segmentPrefix):
			segments = append(segments, n)
		case strings.HasPrefix(n, snapshotPrefix):
			snapshots = append(snapshots, n)
		}
	}
	if stored.State, err = s.loadMeta(len(segments)+len(snapshots) > 0); err != nil {
		return stored, err
	}
	stored.Fresh = !slices.Contains(names, metaName)
	if len(snapshots) > 0 {
		if stored.Snapshot, err = s.loadSnapshot(snapshots[len(snapshots)-1]); err != nil {
			return stored, err
		}
		s.snapshots = snapshots
	}
	obsolete, segments, err := s.splitAtGap(segments)
	if err != nil {
		return stored, err
	}
	r := &replay{}
	for i, n := range segments {
		if err := s.loadSegment(n, i == len(segments)-1, r); err != nil {
			return stored, err
		}
	}
	if len(obsolete) > 0 {
		if err := s.removeBeforeGap(obsolete, r); err != nil {
			return stored, err
		}
	}
	stored.Entries, s.rebase, err = s.entriesContinuing(stored.Snapshot, r)
	return stored, err
}

// entriesContinuing returns all entries of the log, also those that the newest
// snapshot covers, if the log continues the snapshot. It does not when the host
// crashed just after it installed a snapshot over a conflicting log; rebase is
// then true and the log has to restart after the snapshot.
func (s *Store) entriesContinuing(snap raft.Snapshot, r *replay) (entries []*pb.Entry, rebase bool, err error) {
	if start := r.startIndex(); start > snap.Index {
		reason := fmt.Sprintf("the log starts after index %d, and the newest snapshot ends at %d", start, snap.Index)
		return nil, false, &CorruptionError{File: s.path(s.segments[0].name), Reason: reason}
	}
	t, ok := r.term(snap.Index)
	if (ok && t == snap.Term) || (len(r.entries) > 0 && r.startIndex() == snap.Index) {
		return r.entries, false, nil
	}
	return nil, true, nil
}

// splitAtGap splits the segments at the last gap in their numbers. removeObsolete does not sync the directory, so after
// a loss of power any of the segments that it removed may be there again.
func (s *Store) splitAtGap(names []string) (before, after []string, err error) {
	var last uint64
	for i, n := range names {
		number, err := numberOf(n, segmentPrefix)
		if err != nil {
			return nil, nil, &CorruptionError{File: s.path(n), Reason: "the name has no number"}
		}
		if i > 0 && number != last+1 {
			before, after = names[:i], names[i:]
		}
		last = number
	}
	if after == nil {
		after = names
	}
	return before, after, nil
}

// removeBeforeGap removes the segments before a gap. It reports the gap as corruption unless the log after it, in r,
// reaches from a stored snapshot on: segments are removed only if they hold nothing but entries before a snapshot.
func (s *Store) removeBeforeGap(names []string, r *replay) error {
	covered := slices.ContainsFunc(s.snapshots, func(name string) bool {
		index, err := numberOf(name, snapshotPrefix)
		return err == nil && r.startIndex() <= index && index <= r.lastIndex()
	})
	if !covered {
		return &CorruptionError{File: s.path(s.segments[0].name), Reason: "the preceding segment is missing"}
	}
	for _, n := range names {
		if err := s.fs.Remove(s.path(n)); err != nil {
			return eris.Wrap(err, "remove a log segment")
		}
	}
	s.removedAtOpen = len(names)
	return nil
}

// numberOf returns the hexadecimal number in the name of a file.
func numberOf(name, prefix string) (uint64, error) {
	return strconv.ParseUint(strings.TrimPrefix(name, prefix), 16, 64)
}

// loadMeta reads meta. It creates meta in a new data directory; when there is
// other data, a missing meta is corruption.
func (s *Store) loadMeta(hasData bool) (raft.HardState, error) {
	b, err := s.fs.ReadFile(s.path(metaName))
	if errors.Is(err, os.ErrNotExist) {
		if hasData {
			return raft.HardState{}, &CorruptionError{File: s.path(metaName), Reason: "the file is missing"}
		}
		st := raft.HardState{Incarnation: s.newIncarnation()}
		return st, s.writeMeta(st)
	}
	if err != nil {
		return raft.HardState{}, eris.Wrap(err, "read meta")
	}
	m := &pb.DiskMeta{}
	if err := s.decodeFile(metaName, b, recordMeta, m); err != nil {
		return raft.HardState{}, err
	}
	return raft.HardState{Term: m.GetTerm(), Vote: m.GetVote(), Incarnation: m.GetIncarnation()}, nil
}

func (s *Store) loadSnapshot(name string) (raft.Snapshot, error) {
	b, err := s.fs.ReadFile(s.path(name))
	if err != nil {
		return raft.Snapshot{}, eris.Wrap(err, "read a snapshot")
	}
	m := &pb.DiskSnapshot{}
	if err := s.decodeFile(name, b, recordSnapshotFile, m); err != nil {
		return raft.Snapshot{}, err
	}
	return raft.Snapshot{Index: m.GetIndex(), Term: m.GetTerm(), Members: m.GetMembers(), Data: m.GetData()}, nil
}

// decodeFile decodes a file that holds one record. Such a file is synced under a
// temporary name before it is renamed, so a torn write cannot occur in it.
func (s *Store) decodeFile(name string, b []byte, want recordType, m proto.Message) error {
	t, payload, _, reason := readRecord(b)
	if reason == "" && t != want {
		reason = "the record has an unexpected type"
	}
	if reason == "" {
		if err := proto.Unmarshal(payload, m); err != nil {
			reason = err.Error()
		}
	}
	if reason != "" {
		return &CorruptionError{File: s.path(name), Reason: reason}
	}
	return nil
}

// loadSegment adds the records of a segment to r. Only the newest segment may
// have a torn tail, which is truncated.
func (s *Store) loadSegment(name string, newest bool, r *replay) error {
	b, err := s.fs.ReadFile(s.path(name))
	if err != nil {
		return eris.Wrap(err, "read a log segment")
	}
	seg := segment{name: name}
	for offset := 0; offset < len(b); {
		t, payload, size, reason := readRecord(b[offset:])
		if reason != "" {
			if !newest || batchFollows(b, offset) {
				return &CorruptionError{File: s.path(name), Offset: int64(offset), Reason: reason}
			}
			if err := s.fs.Truncate(s.path(name), int64(offset)); err != nil {
				return eris.Wrap(err, "truncate a torn tail")
			}
			s.tornBytes = len(b) - offset
			b = b[:offset]
			break
		}
		if reason := r.addRecord(t, payload, &seg); reason != "" {
			return &CorruptionError{File: s.path(name), Offset: int64(offset), Reason: reason}
		}
		offset += size
	}
	seg.size = int64(len(b))
	s.segments = append(s.segments, seg)
	return nil
}

// addRecord applies one record of a segment; it returns a non-empty reason when
// the record is not valid.
func (r *replay) addRecord(t recordType, payload []byte, seg *segment) string {
	switch t {
	case recordEntry:
		e := &pb.Entry{}
		if err := proto.Unmarshal(payload, e); err != nil {
			return err.Error()
		}
		if !r.addEntry(e) {
			return fmt.Sprintf("entry %d does not continue the log after %d", e.GetIndex(), r.lastIndex())
		}
		seg.lastIndex = max(seg.lastIndex, e.GetIndex())
	case recordSnapshot:
		if len(payload) != 2*batchBytes { // index and term have 8 bytes each, as the offset in a batch record
			return "the snapshot record has an unexpected length"
		}
		r.addSnapshot(binary.BigEndian.Uint64(payload), binary.BigEndian.Uint64(payload[batchBytes:]))
	case recordBatch:
	default:
		return "the record type is not allowed in a log segment"
	}
	return ""
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }
