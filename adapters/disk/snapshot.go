package disk

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// SaveSnapshot stores a snapshot of the applied state and removes the log
// segments and old snapshots that it makes obsolete. Entries from index keepFrom
// on are kept. A snapshot that is not newer than the stored ones is not stored again: it may have been
// queued before one of the leader was installed, and the names of the files must stay in order.
func (s *Store) SaveSnapshot(snap raft.Snapshot, keepFrom uint64) error {
	if s.firstError != nil {
		return s.firstError
	}
	if n := len(s.snapshots); n > 0 && snapshotName(snap.Index) <= s.snapshots[n-1] {
		return nil
	}
	if err := s.writeSnapshot(snap); err != nil {
		return err
	}
	return s.removeObsolete(min(keepFrom, snap.Index))
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

func (s *Store) writeSnapshot(snap raft.Snapshot) error {
	b, err := proto.Marshal(&pb.DiskSnapshot{Index: snap.Index, Term: snap.Term, Members: snap.Members, Data: snap.Data})
	if err != nil {
		return s.fail(err, "encode a snapshot")
	}
	name := snapshotName(snap.Index)
	if err := s.replaceFile(name, appendRecord(nil, recordSnapshotFile, b)); err != nil {
		return err
	}
	if n := len(s.snapshots); n == 0 || s.snapshots[n-1] != name {
		s.snapshots = append(s.snapshots, name)
	}
	return nil
}

// removeObsolete removes the oldest segments that hold only entries before
// keepFrom, and all but the newest keptSnapshots snapshots. The removals are not synced:
// a loss of power may undo each of them, which Open expects.
func (s *Store) removeObsolete(keepFrom uint64) error {
	for len(s.segments) > 1 && s.segments[0].lastIndex < keepFrom {
		if err := s.fs.Remove(s.path(s.segments[0].name)); err != nil {
			return s.fail(err, "remove a log segment")
		}
		s.segments = s.segments[1:]
	}
	for len(s.snapshots) > keptSnapshots {
		if err := s.fs.Remove(s.path(s.snapshots[0])); err != nil {
			return s.fail(err, "remove a snapshot")
		}
		s.snapshots = s.snapshots[1:]
	}
	return nil
}

// snapshotPayload encodes index and term of a snapshot for a recordSnapshot.
func snapshotPayload(snap raft.Snapshot) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, snap.Index), snap.Term)
}
