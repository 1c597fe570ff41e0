package disk

import (
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/raft"
)

// fullOS is the file system of the host on a disk that is full for a number of operations. A write leaves a part of its bytes.
type fullOS struct {
	OS
	refusals int // operations that are still refused
}

func (f *fullOS) refuse() bool {
	f.refusals--
	return f.refusals >= 0
}

type fullOSFile struct {
	File
	fs *fullOS
}

func (f fullOSFile) Write(b []byte) (int, error) {
	if f.fs.refuse() {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f *fullOS) Create(name string) (File, error) {
	if f.refuse() {
		return nil, syscall.ENOSPC
	}
	file, err := f.OS.Create(name)
	return fullOSFile{file, f}, err
}

func (f *fullOS) Truncate(name string, size int64) error {
	if f.refuse() {
		return syscall.ENOSPC
	}
	return f.OS.Truncate(name, size)
}

func (f *fullOS) Rename(from, to string) error {
	if f.refuse() {
		return syscall.ENOSPC
	}
	return f.OS.Rename(from, to)
}

// Guards against a log on real files that cannot be read after the disk was full: a partial write that was not removed, or
// a gap behind the place where one was. The disk gets full at each operation, and also refuses to shorten and to
// rename files.
func TestFullDiskLeavesAReadableLog(t *testing.T) {
	is := is.New(t)
	fs := &fullOS{}
	o := Options{Dir: t.TempDir(), FS: fs, SegmentBytes: 400, OnFull: func() error { return nil }}
	s, _, err := Open(o)
	is.NoErr(err)
	const count = 40
	for i := uint64(1); i <= count; i++ {
		fs.refusals = int(i % 5)
		is.NoErr(s.Write([]Batch{{Entries: entries(i, i, 1)}}))
		fs.refusals = int(i % 3)
		is.NoErr(s.Write([]Batch{{State: &raft.HardState{Term: i}}}))
		if i%10 == 0 {
			fs.refusals = 3
			is.NoErr(s.SaveSnapshot(raft.Snapshot{Index: i, Term: 1, Data: []byte("state")}, 0))
		}
	}
	is.NoErr(s.Close())
	s, stored, err := Open(Options{Dir: o.Dir})
	is.NoErr(err)
	is.Equal(stored.State.Term, uint64(count))
	is.Equal(stored.Snapshot.Index, uint64(count))
	is.True(len(stored.Entries) == 0 || stored.Entries[len(stored.Entries)-1].GetIndex() == count)
	is.NoErr(s.Close())
}

// Guards against the loss of the newest snapshot, and against a host that stops later because its file is missing. A host that
// was behind, for example because its disk was full, installs a snapshot of the leader in one write with an older snapshot of
// its own that was still queued, and saves the installed one again.
func TestQueuedSnapshotDoesNotReplaceANewerOne(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	s, _, err := open(fs)
	is.NoErr(err)
	own := func(index uint64) raft.Snapshot {
		return raft.Snapshot{Index: index, Term: 1, Data: []byte("state")}
	}
	is.NoErr(s.SaveSnapshot(own(93), 90))
	installed := own(200)
	is.NoErr(s.Write([]Batch{{Snapshot: &installed}}))
	for _, index := range []uint64{100, 200} {
		is.NoErr(s.SaveSnapshot(own(index), index-3))
	}
	_, stored, err := open(fs)
	is.NoErr(err)
	is.Equal(stored.Snapshot.Index, uint64(200))
	for _, index := range []uint64{207, 214, 221} {
		is.NoErr(s.SaveSnapshot(own(index), index-3))
	}
}
