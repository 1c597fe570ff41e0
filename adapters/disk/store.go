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

// Options of a Store.
type Options struct {
	Dir          string
	FS           FS    // nil: the host's
	SegmentBytes int64 // 0: 8 MiB
	// NewIncarnation makes the identity of a new disk; nil: random.
	NewIncarnation func() []byte
	// OnFull is called when the disk has no space for a write; the write is tried again after it
	// returned nil. Nothing is acknowledged in between. nil: a full disk is an error like any other.
	OnFull func() error
}

// Batch is the work of one raft.Ready for the disk.
type Batch struct {
	State    *raft.HardState
	Snapshot *raft.Snapshot // received from the leader
	Entries  []*pb.Entry
}

// Store is the data directory of a control host. One goroutine may use it.
type Store struct {
	fs             FS
	dir            string
	segmentBytes   int64
	newIncarnation func() []byte
	onFull         func() error
	lock           io.Closer
	segments       []segment // the last one is open
	snapshots      []string
	file           File
	torn           int  // bytes cut off at the start
	rebase         bool // the log does not lead up to the newest snapshot
	syncs          uint64
	failed         error
}

type segment struct {
	name string
	size int64
	last uint64 // highest index in it
}

// Open reads a data directory, creating it when it does not exist.
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

// TornBytes is the size of the torn tail that Open cut off.
func (s *Store) TornBytes() int { return s.torn }

// Syncs counts the calls of fsync on the log.
func (s *Store) Syncs() uint64 { return s.syncs }

// Close closes the files; it syncs nothing.
func (s *Store) Close() error {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
	return s.lock.Close()
}

// fail makes the first error final.
func (s *Store) fail(err error, what string) error {
	if s.failed == nil {
		s.failed = eris.Wrap(err, what)
	}
	return s.failed
}

// Write makes batches durable, in order, with one sync of the log for all of them.
func (s *Store) Write(batches []Batch) error {
	if s.failed != nil {
		return s.failed
	}
	var state *raft.HardState
	for _, b := range batches {
		if b.State != nil {
			state = b.State // a later term or vote may be durable before the entries of an earlier one
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
			seg.last = max(seg.last, e.GetIndex())
		}
	}
	if len(buf) == 0 {
		return nil
	}
	return s.appendSynced(buf)
}

// appendSynced writes records behind a batch record and syncs them.
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

// writeLog appends to the open segment, whose size is given. What a write leaves
// that found no space is cut off before the next try.
func (s *Store) writeLog(size int64, b []byte) error {
	return s.whileFull(func() error {
		n, err := s.file.Write(b)
		if err != nil && n > 0 && errors.Is(err, syscall.ENOSPC) {
			if cut := s.fs.Truncate(s.path(s.segments[len(s.segments)-1].name), size); cut != nil {
				return cut
			}
		}
		return err
	})
}

// whileFull repeats an operation that found no space on the disk. It is for
// operations before a sync only: a sync that failed is never repeated.
func (s *Store) whileFull(operation func() error) error {
	for {
		err := operation()
		if err == nil || s.onFull == nil || !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		if stop := s.onFull(); stop != nil {
			return errors.Join(err, stop)
		}
	}
}

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

func (s *Store) addSegment() error {
	next := uint64(1)
	if n := len(s.segments); n > 0 {
		if _, err := fmt.Sscanf(s.segments[n-1].name, segmentPrefix+"%x", &next); err != nil {
			return s.fail(err, "read the number of a log segment")
		}
		next++
	}
	name := fmt.Sprintf("%s%016x", segmentPrefix, next)
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
	err = s.whileFull(func() error {
		f, err = s.fs.Create(path)
		return err
	})
	return f, err
}

// createWith makes a file with this content, not synced yet.
func (s *Store) createWith(path string, b []byte) (f File, err error) {
	err = s.whileFull(func() error {
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

// replaceFile writes a file under a temporary name, syncs it and renames it.
func (s *Store) replaceFile(name string, b []byte) error {
	temp := s.path(name + tempSuffix)
	f, err := s.createWith(temp, b)
	if err != nil {
		return s.fail(err, "create "+name)
	}
	err = f.Sync()
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = s.fs.Rename(temp, s.path(name))
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		return s.fail(err, "write "+name)
	}
	return nil
}
