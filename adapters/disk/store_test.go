package disk

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func open(fs FS) (*Store, raft.Stored, error) {
	return Open(Options{Dir: "data", FS: fs, SegmentBytes: 400, NewIncarnation: func() []byte { return []byte("disk") }})
}

func entry(index, term uint64) *pb.Entry {
	return &pb.Entry{Index: index, Term: term, Kind: pb.EntryKind_ENTRY_KIND_COMMAND, Payload: fmt.Appendf(nil, "%d/%d", index, term)}
}

func entries(from, to, term uint64) []*pb.Entry {
	var out []*pb.Entry
	for i := from; i <= to; i++ {
		out = append(out, entry(i, term))
	}
	return out
}

// model is the content that a store is expected to hold.
type model struct {
	state raft.HardState
	snap  raft.Snapshot
	log   []*pb.Entry // starts at index 1
}

// apply returns the content after a batch.
func (m model) apply(b Batch) model {
	m.log = append([]*pb.Entry(nil), m.log...)
	if b.State != nil {
		m.state = *b.State
	}
	if b.Snapshot != nil {
		m.snap = *b.Snapshot
		if i := int(b.Snapshot.Index); len(m.log) < i || m.log[i-1].GetTerm() != b.Snapshot.Term {
			m.log = entries(1, b.Snapshot.Index, b.Snapshot.Term)
		}
	}
	for _, e := range b.Entries {
		m.log = append(m.log[:e.GetIndex()-1], e)
	}
	return m
}

// diff describes the first difference between the content and what a store
// loaded, or returns "". It ignores entries that the snapshot covers, which a
// restart does not need.
func (m model) diff(s raft.Stored) string {
	if s.State.Term != m.state.Term || s.State.Vote != m.state.Vote {
		return fmt.Sprintf("state %+v, want %+v", s.State, m.state)
	}
	if s.Snapshot.Index != m.snap.Index || !bytes.Equal(s.Snapshot.Data, m.snap.Data) {
		return fmt.Sprintf("snapshot %d, want %d", s.Snapshot.Index, m.snap.Index)
	}
	next := s.Snapshot.Index + 1
	for _, e := range s.Entries {
		if e.GetIndex() < next {
			continue
		}
		if e.GetIndex() != next || next > uint64(len(m.log)) || m.log[next-1].GetTerm() != e.GetTerm() {
			return fmt.Sprintf("entry %d/%d does not belong to the log", e.GetIndex(), e.GetTerm())
		}
		next++
	}
	if next != uint64(len(m.log))+1 {
		return fmt.Sprintf("the log ends before %d, want %d", next, len(m.log))
	}
	return ""
}

// drawBatches draws batches as the raft core produces them: terms grow, and a
// conflict replaces only entries after the snapshot.
func drawBatches(t *rapid.T, m model) []Batch {
	var out []Batch
	for range rapid.IntRange(1, 3).Draw(t, "batches") {
		var b Batch
		last := uint64(len(m.log))
		if rapid.IntRange(0, 3).Draw(t, "vote") == 0 {
			b.State = &raft.HardState{Term: m.state.Term + 1, Vote: "v", Incarnation: []byte("disk")}
		}
		term := m.state.Term
		if b.State != nil {
			term = b.State.Term
		}
		if rapid.IntRange(0, 7).Draw(t, "install") == 0 {
			index := m.snap.Index + uint64(rapid.IntRange(1, 9).Draw(t, "ahead"))
			// The core does not install a snapshot whose last entry the log already holds.
			if index > last || m.log[index-1].GetTerm() != term {
				b.Snapshot = &raft.Snapshot{Index: index, Term: term, Data: fmt.Appendf(nil, "state at %d", index)}
				last = uint64(len(m.apply(b).log))
			}
		}
		from := last + 1
		if floor := max(m.snap.Index, snapIndex(b.Snapshot)); rapid.IntRange(0, 4).Draw(t, "conflict") == 0 && last > floor {
			from = floor + uint64(rapid.IntRange(1, int(last-floor)).Draw(t, "from"))
		}
		b.Entries = entries(from, from+uint64(rapid.IntRange(0, 3).Draw(t, "entries")), term)
		out = append(out, b)
		m = m.apply(b)
	}
	return out
}

// Guards against the loss of acknowledged data, and against data that was never
// written, after a crash before or after any write, sync, rename or removal, with
// any part of the data that was not synced reaching the disk.
func TestCrashAtAnyStepLosesNothingAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS()
		var acked model
		for range rapid.IntRange(1, 4).Draw(t, "restarts") {
			s, stored, err := open(fs)
			if err != nil {
				t.Fatalf("Open: %v", err)
			}
			if why := acked.diff(stored); why != "" {
				t.Fatal(why)
			}
			fs.op, fs.failAt = 0, rapid.IntRange(1, 60).Draw(t, "crash at operation")
			fs.partial = rapid.IntRange(0, 200).Draw(t, "partial write")
			allowed := []model{acked}
			for range 25 {
				if rapid.IntRange(0, 4).Draw(t, "save") == 0 && len(acked.log) > int(acked.snap.Index) {
					index := acked.snap.Index + 1
					snap := raft.Snapshot{Index: index, Term: acked.log[index-1].GetTerm(), Data: fmt.Appendf(nil, "state at %d", index)}
					next := acked
					next.snap = snap
					allowed = []model{acked, next}
					if err = s.SaveSnapshot(snap, index); err != nil {
						break
					}
					acked = next
					continue
				}
				batches := drawBatches(t, acked)
				allowed = allowedAfterCrash(acked, batches)
				if err = s.Write(batches); err != nil {
					break
				}
				acked = allowed[len(allowed)-1]
			}
			if err != nil && s.Write([]Batch{{Entries: entries(1, 1, 99)}}) == nil {
				t.Fatal("a write succeeded after an error")
			}
			_ = s.Close()
			acked = reopen(t, fs, acked, allowed, err != nil)
		}
	})
}

// allowedAfterCrash lists every content that a crash during a write of batches may leave.
func allowedAfterCrash(m model, batches []Batch) []model {
	out := []model{m}
	for _, b := range batches {
		if b.State != nil {
			m.state = *b.State // meta is written before the entries of all batches
		}
	}
	out = append(out, m)
	for _, b := range batches {
		b.State = nil
		if b.Snapshot != nil {
			m = m.apply(Batch{Snapshot: b.Snapshot})
			out = append(out, m)
		}
		for _, e := range b.Entries {
			m = m.apply(Batch{Entries: []*pb.Entry{e}})
			out = append(out, m)
		}
	}
	return out
}

// reopen crashes the file system, opens the store again and returns its content.
// After a failed write the content must be one of allowed, otherwise acked.
func reopen(t *rapid.T, fs *memFS, acked model, allowed []model, failed bool) model {
	r := rapid.Uint64().Draw(t, "surviving data")
	random := func(n int) int {
		r = r*6364136223846793005 + 1442695040888963407
		return int(r>>33) % n
	}
	fs.crash(func(n int) []byte {
		b := make([]byte, random(n+1))
		whole := random(2) == 0
		for i := range b {
			if whole || random(8) > 0 {
				b[i] = 1
			}
		}
		return b
	}, random)
	s, stored, err := open(fs)
	if err != nil {
		t.Fatalf("Open after a crash: %v", err)
	}
	_ = s.Close()
	if !failed {
		allowed = []model{acked}
	}
	reason := ""
	for _, m := range allowed {
		if reason = m.diff(stored); reason == "" {
			return m
		}
		// A snapshot file can be durable while entries that precede it in the same write are not.
		if m.snap.Index < stored.Snapshot.Index && failed {
			withSnapshot := m.apply(Batch{Snapshot: &stored.Snapshot})
			if withSnapshot.diff(stored) == "" {
				return withSnapshot
			}
		}
	}
	t.Fatalf("after a crash: %s", reason)
	return acked
}

// Guards against writes that are acknowledged after a disk error because the disk
// works again: the state of the failed write is unknown.
func TestFirstErrorIsFinal(t *testing.T) {
	for _, fault := range []error{errFull, errInjected} {
		for failAt := 1; failAt <= 2; failAt++ { // 1: the write, 2: the sync
			is := is.New(t)
			fs := newMemFS()
			s, _, err := open(fs)
			is.NoErr(err)
			fs.op, fs.failAt, fs.transient, fs.failErr = 0, failAt, true, fault
			is.True(errors.Is(s.Write([]Batch{{Entries: entries(1, 1, 1)}}), fault))
			is.True(errors.Is(s.Write([]Batch{{Entries: entries(1, 1, 1)}}), fault))
			is.True(errors.Is(s.SaveSnapshot(raft.Snapshot{Index: 1}, 0), fault))
		}
	}
}

// Guards against failed writes, lost data and remains of partial writes in the
// log when the disk is full for a while and OnFull waits.
func TestWritesWaitWhileDiskIsFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		fs := newMemFS()
		waits := 0
		s, _, err := Open(Options{
			Dir: "data", FS: fs, SegmentBytes: 400, NewIncarnation: func() []byte { return []byte("disk") },
			OnFull: func() error {
				if waits++; waits%3 == 0 {
					fs.failAt = 0 // space is available again
				}
				return nil
			},
		})
		is.NoErr(err)
		fs.failErr = errFull
		for i := range uint64(20) {
			if rapid.Bool().Draw(t, "full") {
				fs.failAt, fs.writesOnly, fs.partial = fs.op+1, true, rapid.IntRange(0, 30).Draw(t, "partial")
			}
			is.NoErr(s.Write([]Batch{{State: &raft.HardState{Term: i + 1}, Entries: entries(i+1, i+1, i+1)}}))
		}
		is.NoErr(s.Close())
		_, stored, err := open(fs)
		is.NoErr(err)
		is.Equal(stored.State.Term, uint64(20))
		is.Equal(len(stored.Entries), 20)
	})
}

// Guards against a write that keeps waiting for space on a full disk when the
// process stops and OnFull returns an error.
func TestOnFullErrorEndsWrite(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	stop := errors.New("stop")
	s, _, err := Open(Options{Dir: "data", FS: fs, OnFull: func() error { return stop }})
	is.NoErr(err)
	fs.failErr, fs.failAt = errFull, fs.op+1
	err = s.Write([]Batch{{Entries: entries(1, 1, 1)}})
	is.True(errors.Is(err, stop) && errors.Is(err, errFull))
}

// Guards against a start with damaged data: Open detects each changed byte before
// the last batch, and the error names file and offset. A truncated tail is a torn
// write and not damage.
func TestOpenRejectsCorruptionBeforeTail(t *testing.T) {
	is := is.New(t)
	build := func() *memFS {
		fs := newMemFS()
		s, _, err := open(fs)
		is.NoErr(err)
		for i := uint64(1); i <= 12; i++ {
			is.NoErr(s.Write([]Batch{{State: &raft.HardState{Term: i, Incarnation: []byte("disk")}, Entries: entries(i, i, i)}}))
		}
		is.NoErr(s.SaveSnapshot(raft.Snapshot{Index: 2, Term: 2, Data: []byte("state")}, 0))
		is.NoErr(s.Write([]Batch{{Entries: entries(13, 13, 12)}}))
		return fs
	}
	base := build()
	segments := base.names(segmentPrefix)
	is.True(len(segments) > 1)
	lastBatch := headerBytes + batchBytes + headerBytes + len("........") // at most the last batch
	for _, name := range append(append(segments, base.names(snapshotPrefix)...), base.names(metaName)...) {
		for at := range base.live[name].data {
			newest := name == segments[len(segments)-1]
			if newest && at >= len(base.live[name].data)-2*lastBatch {
				continue
			}
			fs := build()
			fs.live[name].data[at] ^= 0x10
			_, _, err := open(fs)
			var c *CorruptionError
			if !errors.As(err, &c) {
				t.Fatalf("%s: byte %d changed: %v", name, at, err)
			}
			if c.File != name || c.Offset > int64(at) || c.Offset < int64(at)-80 {
				t.Fatalf("%s: byte %d changed, reported %s at %d", name, at, c.File, c.Offset)
			}
		}
	}
	fs := build()
	f := fs.live[segments[len(segments)-1]]
	f.data = f.data[:len(f.data)-3]
	s, stored, err := open(fs)
	is.NoErr(err)
	is.True(s.TornBytes() > 0)
	is.Equal(stored.Entries[len(stored.Entries)-1].GetIndex(), uint64(12))
}

// Guards against data with a missing file that is taken for a new disk, and
// against a new disk that gets no incarnation.
func TestOpenRejectsMissingFiles(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	s, stored, err := open(fs)
	is.NoErr(err)
	is.Equal(stored.State.Incarnation, []byte("disk"))
	is.True(stored.Fresh)
	for i := uint64(1); i <= 40; i++ {
		is.NoErr(s.Write([]Batch{{Entries: entries(i, i, 1)}}))
	}
	for _, remove := range []string{metaName, fs.names(segmentPrefix)[0], fs.names(segmentPrefix)[1]} {
		broken := newMemFS()
		for n, f := range fs.live {
			if n != remove && n != "data/"+remove {
				broken.live[n] = &memFile{data: bytes.Clone(f.data)}
			}
		}
		_, _, err := open(broken)
		var c *CorruptionError
		is.True(errors.As(err, &c)) // meta or a log segment is missing
	}
}

// Guards against a data directory that grows without bound, and against two
// processes that use one directory. Runs on the file system of the host.
func TestRealDirectory(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, _, err := Open(Options{Dir: dir, SegmentBytes: 1000})
	is.NoErr(err)
	_, _, err = Open(Options{Dir: dir})
	is.True(err != nil) // the directory is locked
	for i := uint64(1); i <= 200; i++ {
		is.NoErr(s.Write([]Batch{{Entries: entries(i, i, 1)}}))
		if i%20 == 0 {
			is.NoErr(s.SaveSnapshot(raft.Snapshot{Index: i, Term: 1, Data: []byte("state")}, i-10))
		}
	}
	is.True(len(s.segments) < 5)
	is.Equal(len(s.snapshots), keptSnapshots)
	is.NoErr(s.Close())
	s, stored, err := Open(Options{Dir: dir})
	is.NoErr(err)
	is.Equal(stored.Snapshot.Index, uint64(200))
	is.True(!stored.Fresh)
	is.Equal(len(stored.State.Incarnation), incarnationBytes)
	is.NoErr(s.Close())
}

func snapIndex(s *raft.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Index
}
