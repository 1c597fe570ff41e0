package consensus

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/disk"
	"github.com/rattanfield/rattanfield/adapters/rpc"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// failingFS fails every disk operation from a given one on, so that the host stops as after a crash.
type failingFS struct {
	disk.OS
	op     atomic.Int64
	failAt int64
}

func (f *failingFS) nextOperation() error {
	if f.op.Add(1) >= f.failAt {
		return syscall.EIO
	}
	return nil
}

type failingFile struct {
	disk.File
	fs *failingFS
}

func (f failingFile) Write(b []byte) (int, error) {
	if err := f.fs.nextOperation(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f failingFile) Sync() error {
	if err := f.fs.nextOperation(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *failingFS) Create(name string) (disk.File, error) {
	file, err := f.OS.Create(name)
	return failingFile{file, f}, err
}

func (f *failingFS) Append(name string) (disk.File, error) {
	file, err := f.OS.Append(name)
	return failingFile{file, f}, err
}

// Guards against a host that continues after a disk error, and against the loss
// of an accepted command when a host crashes at any disk operation between the
// proposal of a command and its application.
func TestCrashAtEachDiskStep(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "kingston", "kingston", "montego-bay")
	var failAt atomic.Int64
	failAt.Store(1 << 40)
	c.tune = func(o *Options) { o.FS, o.SnapshotEntries, o.KeepEntries = &failingFS{failAt: failAt.Load()}, 8, 4 }
	c.startAll()
	c.submitNext("c0", "s0")
	for at := int64(1); at <= 14; at++ {
		victim := c.follower().options.ID
		if at%2 == 0 {
			victim = c.leader().options.ID
		}
		c.kill(victim)
		failAt.Store(at)
		h := c.startFailing(victim)
		failAt.Store(1 << 40)
		for i := 0; h != nil; i++ {
			c.submitNext(fmt.Sprintf("c%d-%d", at, i), fmt.Sprint("s", at))
			select {
			case err := <-h.ended:
				is.True(errors.Is(err, syscall.EIO))
				h.ended <- err
				h = nil
			default:
			}
		}
		c.kill(victim)
		c.start(victim)
	}
	c.waitEqual()
	history := c.leader().State().History
	for i, d := range history {
		is.Equal(d.GetRevision(), uint64(emptyRevision+1+i)) // each accepted change exists once and in order
	}
}

// startFailing starts a host, or returns nil if the host cannot open its disk.
func (c *cluster) startFailing(id string) *testHost {
	o := Options{ID: id, Members: c.members, DataDir: filepath.Join(c.dir, id)}
	c.tune(&o)
	probe, err := New(o, rpc.NewClient(rpc.Options{}), log.NewNopLogger())
	if err != nil {
		return nil
	}
	_ = probe.store.Close()
	return c.start(id)
}

// blockedFS blocks every sync while its mutex is locked.
type blockedFS struct {
	disk.OS
	mu sync.Mutex
}

type blockedFile struct {
	disk.File
	fs *blockedFS
}

func (f blockedFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return f.File.Sync()
}

func (f *blockedFS) Create(name string) (disk.File, error) {
	file, err := f.OS.Create(name)
	return blockedFile{file, f}, err
}

// Guards against an acknowledgement, to the leader or to the operator, of an entry that is not synced yet.
func TestNothingIsAcknowledgedBeforeSync(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "kingston", "kingston")
	fs := make(map[string]*blockedFS)
	c.tune = func(o *Options) {
		fs[o.ID] = &blockedFS{}
		o.FS = fs[o.ID]
	}
	c.startAll()
	c.submitNext("first", "bookings")
	for _, slow := range []*testHost{c.follower(), c.leader()} {
		id, revision := "slow-"+slow.options.ID, c.leader().State().Configuration.GetRevision()
		fs[slow.options.ID].mu.Lock()
		done := make(chan *pb.CommandResult, 1)
		go func() { done <- c.leader().Submit(background, putService(id, revision, id, "v1")) }()
		select {
		case r := <-done:
			t.Errorf("%v before %s has synced", r, slow.options.ID)
			done <- r
		case <-time.After(200 * time.Millisecond):
		}
		fs[slow.options.ID].mu.Unlock()
		is.Equal((<-done).GetOutcome(), accepted)
	}
}
