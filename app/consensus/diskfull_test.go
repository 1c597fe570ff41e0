package consensus

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/disk"
)

// fullFS refuses everything that needs space while it is full. A write leaves a part of its bytes.
type fullFS struct {
	disk.OS
	full     atomic.Bool
	refusals atomic.Int64
}

func (f *fullFS) refuse() error {
	if !f.full.Load() {
		return nil
	}
	f.refusals.Add(1)
	return syscall.ENOSPC
}

type fullFile struct {
	disk.File
	fs *fullFS
}

func (f fullFile) Write(b []byte) (int, error) {
	if err := f.fs.refuse(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *fullFS) Create(name string) (disk.File, error) {
	if err := f.refuse(); err != nil {
		return nil, err
	}
	file, err := f.OS.Create(name)
	return fullFile{file, f}, err
}

func (f *fullFS) Append(name string) (disk.File, error) {
	file, err := f.OS.Append(name)
	return fullFile{file, f}, err
}

func (f *fullFS) Truncate(name string, size int64) error {
	if err := f.refuse(); err != nil {
		return err
	}
	return f.OS.Truncate(name, size)
}

func (f *fullFS) Rename(from, to string) error {
	if err := f.refuse(); err != nil {
		return err
	}
	return f.OS.Rename(from, to)
}

// Guards against changes that are refused or stay unanswered, while and after the disks of the hosts are full in turn, and
// against a log that cannot be read afterwards. The disks get full at any moment, also in the middle of a snapshot or
// at the start of a segment.
func TestDisksAreFullInTurn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "r", "r", "r")
	var mu sync.Mutex
	systems := make(map[string]*fullFS)
	c.tune = func(o *Options) {
		mu.Lock()
		defer mu.Unlock()
		systems[o.ID] = &fullFS{}
		o.FS, o.SnapshotEntries, o.KeepEntries, o.SegmentBytes = systems[o.ID], 7, 3, 2048
	}
	c.startAll()
	n := 0
	change := func() {
		n++
		c.submitNext(fmt.Sprint("c", n), fmt.Sprint("s", n%10))
	}
	change()
	for turn := range 6 {
		victim := c.members[turn%3].GetId()
		if turn%2 == 0 {
			victim = c.leader().options.ID
		}
		system := systems[victim]
		system.full.Store(true)
		for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
			change() // two of three disks have space, so it must be accepted
		}
		is.True(system.refusals.Load() > 0)
		system.full.Store(false)
		for range 5 {
			change()
		}
		c.waitEqual()
	}
	// The history holds the newest commands only, and a fast machine makes more of them.
	commands := func(h *testHost) (ids []string) {
		for _, r := range h.State().History {
			ids = append(ids, r.GetCommandId())
		}
		return ids
	}
	before := commands(c.leader())
	for _, m := range c.members {
		c.kill(m.GetId())
	}
	c.startAll()
	c.waitFor("all hosts after a restart", func() bool {
		for _, h := range c.running() {
			if !slices.Equal(commands(h), before) {
				return false
			}
		}
		return true
	})
	change()
	after, want := commands(c.leader()), append(before, fmt.Sprint("c", n))
	is.True(len(after) >= len(before))
	is.Equal(after, want[len(want)-len(after):]) // nothing was lost or added
}
