package disk

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"syscall"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	defaultSegmentBytes = 8 << 20
	incarnationBytes    = 16
	keptSnapshots       = 2
)

// Options configure a Store.
type Options struct {
	Dir          string
	FS           FS    // nil: OS
	SegmentBytes int64 // size from which a new segment is started; 0: 8 MiB
	// NewIncarnation creates the identity of a new disk; nil: 16 random bytes.
	NewIncarnation func() []byte
	// OnFull is called when the disk has no space for a write. The write is retried each time that
	// OnFull returns nil and fails when it returns an error. Nothing is acknowledged in between. If
	// OnFull is nil, a full disk is handled like any other write error.
	OnFull func() error
}

// Batch is the content of one raft.Ready that has to be stored. One Write stores several batches
// behind one batch record, see recordBatch.
type Batch struct {
	State    *raft.HardState
	Snapshot *raft.Snapshot // received from the leader
	Entries  []*pb.Entry
}

// Store is the data directory of a control host. It is not safe for concurrent use.
type Store struct {
	fs             FS
	dir            string
	segmentBytes   int64
	newIncarnation func() []byte
	onFull         func() error
	lock           io.Closer
	segments       []segment // in order; the last one is open in file
	snapshots      []string  // names of the files, oldest first
	file           File
	tornBytes      int  // bytes that Open truncated
	removedAtOpen  int  // segments that Open removed
	rebase         bool // the log does not continue the newest snapshot and has to restart after it
	syncs          uint64
	firstError     error // every later write returns it
}

type segment struct {
	name      string
	size      int64
	lastIndex uint64 // highest index of an entry in the segment
}

// Open locks and reads a data directory, and creates it if it does not exist. The
// error is a *CorruptionError when acknowledged data is damaged or missing.
func Open(o Options) (*Store, raft.Stored, error) {
	s := &Store{fs: o.FS, dir: o.Dir, segmentBytes: o.SegmentBytes, newIncarnation: o.NewIncarnation, onFull: o.OnFull}
	if s.fs == nil {
		s.fs = OS{}
	}
	if s.segmentBytes == 0 {
		s.segmentBytes = defaultSegmentBytes
	}
	if s.newIncarnation == nil {
		s.newIncarnation = randomIncarnation
	}
	if err := s.fs.MkdirAll(s.dir); err != nil {
		return nil, raft.Stored{}, eris.Wrap(err, "create the data directory")
	}
	var err error
	if s.lock, err = s.fs.Lock(s.dir); err != nil {
		return nil, raft.Stored{}, eris.Wrap(err, "lock the data directory")
	}
	stored, err := s.load()
	if err == nil {
		err = s.openSegment()
	}
	if err == nil && s.rebase {
		err = s.appendSynced(appendRecord(nil, recordSnapshot, snapshotPayload(stored.Snapshot)))
	}
	if err != nil {
		_ = s.Close()
		return nil, raft.Stored{}, err
	}
	return s, stored, nil
}

func randomIncarnation() []byte {
	b := make([]byte, incarnationBytes)
	_, _ = rand.Read(b) // never fails
	return b
}

// TornBytes returns the number of bytes of a torn tail that Open truncated.
func (s *Store) TornBytes() int { return s.tornBytes }

// RemovedAtOpen returns the number of log segments that Open removed because a loss of power had brought them back.
func (s *Store) RemovedAtOpen() int { return s.removedAtOpen }

// Syncs returns the number of successful fsync calls on the log.
func (s *Store) Syncs() uint64 { return s.syncs }

// Close closes the log and releases the lock; it does not sync.
func (s *Store) Close() error {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
	return s.lock.Close()
}

// fail records the first error, which all later writes return.
func (s *Store) fail(err error, what string) error {
	if s.firstError == nil {
		s.firstError = eris.Wrap(err, what)
	}
	return s.firstError
}

// Write stores batches durably and in order, with one sync of the log for all of them.
func (s *Store) Write(batches []Batch) error {
	if s.firstError != nil {
		return s.firstError
	}
	var state *raft.HardState
	for _, b := range batches {
		if b.State != nil {
			state = b.State // the newest term and vote may become durable before the entries of older batches
		}
	}
	if state != nil {
		if err := s.writeMeta(*state); err != nil {
			return err
		}
	}
	var buf []byte
	for _, b := range batches {
		if b.Snapshot != nil {
			if err := s.writeSnapshot(*b.Snapshot); err != nil {
				return err
			}
			buf = appendRecord(buf, recordSnapshot, snapshotPayload(*b.Snapshot))
		}
		for _, e := range b.Entries {
			payload, err := proto.Marshal(e)
			if err != nil {
				return s.fail(err, "encode a log entry")
			}
			buf = appendRecord(buf, recordEntry, payload)
			seg := &s.segments[len(s.segments)-1]
			seg.lastIndex = max(seg.lastIndex, e.GetIndex())
		}
	}
	if len(buf) == 0 {
		return nil
	}
	return s.appendSynced(buf)
}

// appendSynced appends one batch record, which marks the start of a write, and the given records
// to the log, and syncs it.
func (s *Store) appendSynced(records []byte) error {
	seg := &s.segments[len(s.segments)-1]
	buf := appendRecord(nil, recordBatch, binary.BigEndian.AppendUint64(nil, uint64(seg.size)))
	buf = append(buf, records...)
	if err := s.writeLog(seg.size, buf); err != nil {
		return s.fail(err, "write the log")
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(err, "sync the log")
	}
	s.syncs++
	seg.size += int64(len(buf))
	if seg.size >= s.segmentBytes {
		return s.addSegment()
	}
	return nil
}

// writeLog appends b to the open segment, which has the given size. When the disk
// is full, it truncates what a partial write left before it writes again.
func (s *Store) writeLog(size int64, b []byte) error {
	partial := false
	return s.retryWhileFull(func() error {
		if partial {
			if err := s.fs.Truncate(s.path(s.segments[len(s.segments)-1].name), size); err != nil {
				return err
			}
		}
		n, err := s.file.Write(b)
		partial = n > 0
		return err
	})
}

// retryWhileFull retries an operation while the disk has no space for it and
// OnFull returns nil. It is only for operations before a sync: a failed sync must
// never be retried.
func (s *Store) retryWhileFull(operation func() error) error {
	for {
		err := operation()
		if err == nil || s.onFull == nil || !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		if fullErr := s.onFull(); fullErr != nil {
			return errors.Join(err, fullErr)
		}
	}
}

// openSegment opens the newest segment for appending, or creates the first one.
func (s *Store) openSegment() error {
	if len(s.segments) == 0 {
		return s.addSegment()
	}
	f, err := s.fs.Append(s.path(s.segments[len(s.segments)-1].name))
	if err != nil {
		return s.fail(err, "open the log")
	}
	s.file = f
	return nil
}

// addSegment creates the next segment and makes it the open one.
func (s *Store) addSegment() error {
	number := uint64(1)
	if n := len(s.segments); n > 0 {
		last, err := numberOf(s.segments[n-1].name, segmentPrefix)
		if err != nil {
			return s.fail(err, "read the number of a log segment")
		}
		number = last + 1
	}
	name := fmt.Sprintf("%s%016x", segmentPrefix, number)
	f, err := s.create(s.path(name))
	if err != nil {
		return s.fail(err, "create a log segment")
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		_ = f.Close()
		return s.fail(err, "sync the data directory")
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file = f
	s.segments = append(s.segments, segment{name: name})
	return nil
}

func (s *Store) writeMeta(st raft.HardState) error {
	b, err := proto.Marshal(&pb.DiskMeta{Term: st.Term, Vote: st.Vote, Incarnation: st.Incarnation})
	if err != nil {
		return s.fail(err, "encode meta")
	}
	return s.replaceFile(metaName, appendRecord(nil, recordMeta, b))
}

func (s *Store) create(path string) (f File, err error) {
	err = s.retryWhileFull(func() error {
		f, err = s.fs.Create(path)
		return err
	})
	return f, err
}

// createWithContent creates a file with the content b. It does not sync the file.
func (s *Store) createWithContent(path string, b []byte) (f File, err error) {
	err = s.retryWhileFull(func() error {
		if f, err = s.fs.Create(path); err != nil {
			return err
		}
		if _, err = f.Write(b); err != nil {
			_ = f.Close()
		}
		return err
	})
	return f, err
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file and renames it.
func (s *Store) replaceFile(name string, b []byte) error {
	temp := s.path(name + tempSuffix)
	f, err := s.createWithContent(temp, b)
	if err != nil {
		return s.fail(err, "create "+name)
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = s.retryWhileFull(func() error { return s.fs.Rename(temp, s.path(name)) })
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		return s.fail(err, "write "+name)
	}
	return nil
}
