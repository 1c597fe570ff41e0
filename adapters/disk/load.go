package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
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

// replay rebuilds the log from the records of all segments.
type replay struct {
	baseIndex, baseTerm uint64
	entries             []*pb.Entry
}

func (r *replay) last() uint64 {
	if len(r.entries) == 0 {
		return r.baseIndex
	}
	return r.entries[len(r.entries)-1].GetIndex()
}

func (r *replay) term(index uint64) (uint64, bool) {
	if index == r.baseIndex {
		return r.baseTerm, true
	}
	if len(r.entries) == 0 || index < r.entries[0].GetIndex() || index > r.last() {
		return 0, false
	}
	return r.entries[index-r.entries[0].GetIndex()].GetTerm(), true
}

// addEntry replaces what the log holds from the entry's index on.
func (r *replay) addEntry(e *pb.Entry) bool {
	if len(r.entries) == 0 {
		if r.baseIndex != 0 && e.GetIndex() != r.baseIndex+1 {
			return false
		}
		r.entries = append(r.entries, e)
		return true
	}
	first := r.entries[0].GetIndex()
	if e.GetIndex() <= r.baseIndex || e.GetIndex() > r.last()+1 {
		return false
	}
	if e.GetIndex() < first { // the segment with the entries between was removed as covered by a snapshot
		r.entries = []*pb.Entry{e}
		return true
	}
	r.entries = append(r.entries[:e.GetIndex()-first], e)
	return true
}

// addSnapshot continues the log from a snapshot, unless the log holds its end already.
func (r *replay) addSnapshot(index, term uint64) {
	if t, ok := r.term(index); (ok && t == term) || (len(r.entries) > 0 && index < r.entries[0].GetIndex()) {
		return
	}
	r.baseIndex, r.baseTerm, r.entries = index, term, nil
}

// load reads meta, the newest snapshot and the log.
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
				return stored, eris.Wrap(err, "remove an unfinished file")
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
	if err := s.checkSegments(segments); err != nil {
		return stored, err
	}
	r := &replay{}
	for i, n := range segments {
		if err := s.loadSegment(n, i == len(segments)-1, r); err != nil {
			return stored, err
		}
	}
	stored.Entries, s.rebase, err = s.joinSnapshot(stored.Snapshot, r)
	return stored, err
}

// joinSnapshot returns the entries of the log when they continue the newest
// snapshot. A snapshot that was installed over another log, just before a
// crash, leaves entries that do not; rebase then makes the log start anew.
func (s *Store) joinSnapshot(snap raft.Snapshot, r *replay) (entries []*pb.Entry, rebase bool, err error) {
	if len(r.entries) > 0 && snap.Index == 0 && r.entries[0].GetIndex() != 1 {
		return nil, false, &CorruptionError{File: s.path(s.segments[0].name), Reason: "the log starts after index 1 and there is no snapshot"}
	}
	t, ok := r.term(snap.Index)
	if (ok && t == snap.Term) || (len(r.entries) > 0 && r.entries[0].GetIndex() == snap.Index+1) {
		return r.entries, false, nil
	}
	return nil, true, nil
}

// checkSegments finds a missing segment by its number.
func (s *Store) checkSegments(names []string) error {
	var last uint64
	for i, n := range names {
		var number uint64
		if _, err := fmt.Sscanf(n, segmentPrefix+"%x", &number); err != nil || (i > 0 && number != last+1) {
			return &CorruptionError{File: s.path(n), Reason: "the segment before it is missing"}
		}
		last = number
	}
	return nil
}

// loadMeta reads meta, or creates it for a new data directory.
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
	if err := s.decodeFile(name, b, recordSnapFile, m); err != nil {
		return raft.Snapshot{}, err
	}
	return raft.Snapshot{Index: m.GetIndex(), Term: m.GetTerm(), Members: m.GetMembers(), Data: m.GetData()}, nil
}

// decodeFile reads a file of one record. Such a file is synced before it gets its name, so it is never torn.
func (s *Store) decodeFile(name string, b []byte, want recordType, m proto.Message) error {
	t, payload, _, reason := readRecord(b)
	if reason == "" && t != want {
		reason = "the record has another type"
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

func (s *Store) loadSegment(name string, newest bool, r *replay) error {
	b, err := s.fs.ReadFile(s.path(name))
	if err != nil {
		return eris.Wrap(err, "read a log segment")
	}
	seg := segment{name: name}
	for at := 0; at < len(b); {
		t, payload, size, reason := readRecord(b[at:])
		if reason != "" {
			if !newest || batchAfter(b, at) {
				return &CorruptionError{File: s.path(name), Offset: int64(at), Reason: reason}
			}
			if err := s.fs.Truncate(s.path(name), int64(at)); err != nil {
				return eris.Wrap(err, "cut a torn tail")
			}
			s.torn = len(b) - at
			b = b[:at]
			break
		}
		if reason := r.add(t, payload, &seg); reason != "" {
			return &CorruptionError{File: s.path(name), Offset: int64(at), Reason: reason}
		}
		at += size
	}
	seg.size = int64(len(b))
	s.segments = append(s.segments, seg)
	return nil
}

func (r *replay) add(t recordType, payload []byte, seg *segment) string {
	switch t {
	case recordEntry:
		e := &pb.Entry{}
		if err := proto.Unmarshal(payload, e); err != nil {
			return err.Error()
		}
		if !r.addEntry(e) {
			return fmt.Sprintf("entry %d does not continue the log after %d", e.GetIndex(), r.last())
		}
		seg.last = max(seg.last, e.GetIndex())
	case recordSnapshot:
		if len(payload) != 2*batchBytes {
			return "the snapshot record has another length"
		}
		r.addSnapshot(binary.BigEndian.Uint64(payload), binary.BigEndian.Uint64(payload[batchBytes:]))
	case recordBatch:
	default:
		return "the record type does not belong here"
	}
	return ""
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }
