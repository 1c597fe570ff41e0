package disk

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// maxOutcomes bounds the outcomes of one loss of power that are tried; 4096 are those of 12 removals.
const maxOutcomes = 4096

// Guards against a host that never starts again after a loss of power, because the removal of a log segment was kept
// and that of an older one was lost. Power is lost at each operation of writes, snapshots, removals and starts, and
// each name that is not synced is kept or lost on its own.
func TestAnyOutcomeOfAPowerLossIsRead(t *testing.T) {
	for failAt := 1; ; failAt++ {
		fs, acked, allowed, failed := writeUntil(t, failAt)
		if !failed {
			allowed = []model{acked}
		}
		for outcome, more := 0, true; more && outcome < maxOutcomes; outcome++ {
			crashed := fs.clone()
			rest := outcome
			crashed.crash(func(n int) []byte { return make([]byte, 0, n) }, func(n int) int {
				i := rest % n
				rest /= n
				return i
			})
			if more = rest == 0; !more {
				break // all outcomes were tried
			}
			requireOneOf(t, fmt.Sprintf("operation %d, outcome %d", failAt, outcome), crashed, allowed)
		}
		if !failed {
			return
		}
	}
}

// writeUntil writes a log and takes snapshots that remove several segments at once, until an operation fails.
func writeUntil(t *testing.T, failAt int) (fs *memFS, acked model, allowed []model, failed bool) {
	fs = newMemFS()
	fs.failAt = failAt
	s, _, err := open(fs)
	allowed = []model{acked}
	for i := uint64(1); i <= 48 && err == nil; i++ {
		batches := []Batch{{Entries: entries(i, i, i/20+1)}}
		if i%20 == 0 {
			batches[0].State = &raft.HardState{Term: i/20 + 1, Vote: "v", Incarnation: []byte("disk")}
		}
		allowed = allowedAfterCrash(acked, batches)
		if err = s.Write(batches); err != nil {
			break
		}
		acked = allowed[len(allowed)-1]
		if i%16 == 0 { // 16 entries fill more than two segments
			next := acked
			next.snap = raft.Snapshot{Index: i, Term: i/20 + 1, Data: fmt.Appendf(nil, "state at %d", i)}
			allowed = []model{acked, next}
			if err = s.SaveSnapshot(next.snap, i); err != nil {
				break
			}
			acked = next
		}
		if i == 35 {
			_ = s.Close()
			s, _, err = open(fs)
			allowed = []model{acked}
		}
	}
	return fs, acked, allowed, err != nil
}

// requireOneOf opens a store, which must hold one of the models, writes to it and opens it again.
func requireOneOf(t *testing.T, name string, fs *memFS, allowed []model) {
	t.Helper()
	s, stored, err := open(fs)
	if err != nil {
		t.Fatalf("%s: %v; files: %v", name, err, fs.names(""))
	}
	reason := ""
	for _, m := range allowed {
		if reason = m.diff(stored); reason != "" {
			continue
		}
		next := uint64(len(m.log)) + 1
		if err := s.Write([]Batch{{Entries: []*pb.Entry{entry(next, m.state.Term+1)}}}); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_ = s.Close()
		_, stored, err := open(fs)
		if err != nil || len(stored.Entries) == 0 || stored.Entries[len(stored.Entries)-1].GetIndex() != next {
			t.Fatalf("%s: after a write, %d entries: %v", name, len(stored.Entries), err)
		}
		return
	}
	t.Fatalf("%s: %s", name, reason)
}

// Guards against a gap in the log that is taken for a lost removal although no snapshot covers what is missing.
func TestGapThatNoSnapshotCoversIsRejected(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	s, _, err := open(fs)
	is.NoErr(err)
	for i := uint64(1); i <= 60; i++ {
		is.NoErr(s.Write([]Batch{{Entries: entries(i, i, 1)}}))
	}
	is.NoErr(s.SaveSnapshot(raft.Snapshot{Index: 30, Term: 1, Data: []byte("state")}, 1)) // keeps all segments
	covered := 0
	segments := fs.names(segmentPrefix)
	for i, lost := range segments[1 : len(segments)-1] {
		damaged := fs.clone()
		damaged.set(lost, nil)
		_, stored, err := open(damaged)
		if s.segments[i+1].lastIndex <= 30 {
			is.NoErr(err)
			is.Equal(stored.Entries[len(stored.Entries)-1].GetIndex(), uint64(60))
			covered++
			continue
		}
		var c *CorruptionError
		is.True(errors.As(err, &c)) // entries after the snapshot are missing
	}
	is.True(covered > 0 && covered < len(segments)-2)
	empty := fs.clone() // only the newest segment, which has no entry, is left behind a gap
	empty.set(fmt.Sprintf("data/%s%016x", segmentPrefix, len(segments)+1), &memFile{})
	empty.set(segments[len(segments)-1], nil)
	_, _, err = open(empty)
	var c *CorruptionError
	is.True(errors.As(err, &c))
}
