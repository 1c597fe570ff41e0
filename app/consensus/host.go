package consensus

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/adapters/disk"
	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/raft"
	"github.com/rattanfield/rattanfield/core/state"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
	"github.com/rattanfield/rattanfield/ring"
)

// Capacities of the rings that connect the goroutines of a host.
const (
	inboxCapacity    = 4096
	proposalCapacity = 1024
	stepCallCapacity = 256
	diskCapacity     = 1024
	applyCapacity    = 1024
)

var errStopped = errors.New("the control host stops")

// Host is the replica of the log and the state machine on one control host.
type Host struct {
	options Options
	client  *rpc.Client
	logger  log.Logger
	clock   *clock

	node      *raft.Node               // step loop only
	leaving   map[string]time.Duration // step loop only: until when a host counts as leaving, see replaceLeaving
	store     *disk.Store
	inbox     *ring.Ring[*pb.RaftMessage]
	proposed  *ring.Ring[proposal]
	stepCalls *ring.Ring[func()] // functions that the step loop runs, see doInStepLoop
	diskJobs  *ring.Ring[diskJob]
	apply     *ring.Ring[applyJob]
	synced    *ring.Ring[struct{}] // signals the step loop that syncedTo has changed
	syncedTo  atomic.Pointer[position]

	senders  *senders
	payloads *payloadCache
	waiters  *waiters
	reads    pendingReads

	machineMu sync.RWMutex
	machine   *state.Machine
	view      atomic.Pointer[ports.AppliedState]
	changed   signal

	published atomic.Pointer[published]
	confirmed atomic.Pointer[confirmedAt]
	// lastApplied is the newest confirmation whose commit index has been applied.
	lastApplied      atomic.Pointer[confirmedAt]
	nodes            atomic.Pointer[ports.NodeStatusReader]
	waitReasons      atomic.Pointer[func(moveID string) string]
	runCtx           context.Context // of all goroutines that Run starts
	cancelRun        context.CancelCauseFunc
	done             chan struct{} // closed when Run ends
	diskFullLoggedAt time.Time     // disk loop only
}

var (
	_ ports.Proposer     = (*Host)(nil)
	_ ports.Leadership   = (*Host)(nil)
	_ ports.QuorumReader = (*Host)(nil)
	_ ports.StateReader  = (*Host)(nil)
)

type position struct{ index, term uint64 }

// New opens the data directory and returns a host, which Run starts. It returns
// an error if the options are incomplete or the stored data cannot be read.
func New(o Options, client *rpc.Client, logger log.Logger) (*Host, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	h := &Host{
		options: o, client: client, logger: log.With(logger, "host", o.ID), clock: newClock(),
		inbox: ring.New[*pb.RaftMessage](inboxCapacity), proposed: ring.New[proposal](proposalCapacity),
		stepCalls: ring.New[func()](stepCallCapacity), diskJobs: ring.New[diskJob](diskCapacity),
		apply: ring.New[applyJob](applyCapacity), synced: ring.New[struct{}](1),
		leaving: make(map[string]time.Duration), payloads: newPayloadCache(), waiters: newWaiters(), done: make(chan struct{}),
	}
	h.runCtx, h.cancelRun = context.WithCancelCause(context.Background())
	store, stored, err := disk.Open(disk.Options{Dir: o.DataDir, FS: o.FS, SegmentBytes: o.SegmentBytes, OnFull: h.waitForSpace})
	if err != nil {
		return nil, err
	}
	h.store = store
	if store.TornBytes() > 0 {
		_ = h.logger.Log("event", "cut off a torn tail of the log", "bytes", store.TornBytes())
	}
	if n := store.RemovedAtOpen(); n > 0 {
		_ = h.logger.Log("event", "removed log segments that a loss of power had brought back", "segments", n)
	}
	h.machine = state.New(o.Members)
	if stored.Snapshot.Index > 0 {
		if h.machine, err = state.Decode(stored.Snapshot.Data); err != nil {
			_ = store.Close()
			return nil, err
		}
	}
	h.node = raft.New(raft.Config{
		ID: o.ID, Members: o.Members, ElectionTimeout: o.ElectionTimeout, HeartbeatInterval: o.HeartbeatInterval,
		Rand: newRand(o.Seed),
	}, stored, h.clock.now())
	h.senders = newSenders(h)
	h.publishView()
	h.publishStatus()
	return h, nil
}

// diskFullRetryInterval is the time between two attempts to write to a full disk.
const diskFullRetryInterval = 100 * time.Millisecond

// waitForSpace pauses the disk loop while the disk is full. The host stays a
// member but acknowledges nothing until there is space again.
func (h *Host) waitForSpace() error {
	if now := time.Now(); now.Sub(h.diskFullLoggedAt) > time.Second {
		h.diskFullLoggedAt = now
		_ = h.logger.Log("event", "disk full", "directory", h.options.DataDir, "effect", "nothing is acknowledged here until there is space")
	}
	lifecycle.Pause(h.runCtx, diskFullRetryInterval)
	return context.Cause(h.runCtx)
}

func newRand(seed uint64) *rand.Rand {
	if seed != 0 {
		return rand.New(rand.NewPCG(seed, seed))
	}
	var b [32]byte
	_, _ = crand.Read(b[:]) // never fails
	return rand.New(rand.NewChaCha8(b))
}

// Run runs the host until ctx ends or a goroutine fails, for instance because of
// a disk error. When ctx ends, it first transfers the leadership, if this host is
// the leader. It returns the cause of a failure, or the error of closing the data
// directory.
func (h *Host) Run(ctx context.Context) error {
	runCtx, cancel := h.runCtx, h.cancelRun
	defer close(h.done)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context) error{h.stepLoop, h.diskLoop, h.applyLoop, h.membersLoop} {
		wg.Go(func() {
			if err := loop(runCtx); err != nil {
				cancel(err)
			}
		})
	}
	select {
	case <-ctx.Done():
		h.transferLeadership(runCtx)
		h.leave(runCtx)
	case <-runCtx.Done():
	}
	cancel(errStopped)
	wg.Wait()
	h.senders.stop()
	h.waiters.releaseAll()
	err := context.Cause(runCtx)
	if cerr := h.store.Close(); errors.Is(err, errStopped) {
		err = eris.Wrap(cerr, "close the data directory")
	}
	if err != nil {
		_ = h.logger.Log("event", "stopped", "err", err)
	}
	return err
}

// transferLeadership starts a transfer of the leadership and waits until another
// host leads, for at most two election timeouts.
func (h *Host) transferLeadership(run context.Context) {
	ctx, cancel := context.WithTimeout(run, 2*h.options.ElectionTimeout)
	defer cancel()
	started := false
	if h.doInStepLoop(ctx, func() { started = h.node.TransferLeadership(h.clock.now()) }) != nil || !started {
		return
	}
	for ctx.Err() == nil {
		leader := ""
		if h.doInStepLoop(ctx, func() { leader = h.node.Status().Leader }) != nil || (leader != "" && leader != h.options.ID) {
			return
		}
		lifecycle.Pause(ctx, h.options.HeartbeatInterval/10)
	}
}

// doInStepLoop runs a function in the step loop and waits until it returns. It
// returns an error if ctx or the host ends before that.
func (h *Host) doInStepLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	if err := h.stepCalls.Push(ctx, func() { f(); close(done) }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-h.done:
		return errStopped
	}
}

// SetNodeStatusReader sets the source of the node statuses that the operator service reports.
func (h *Host) SetNodeStatusReader(r ports.NodeStatusReader) { h.nodes.Store(&r) }

// SetMoveWaitReader sets the function with which the operator service reads what
// a move is waiting for. The function returns "" for a move that waits for nothing.
func (h *Host) SetMoveWaitReader(read func(moveID string) string) { h.waitReasons.Store(&read) }

// Status returns the status of the raft core after the last step.
func (h *Host) Status() raft.Status { return h.published.Load().status }

func entryKey(index, term uint64) string {
	return string(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, index), term))
}

// abort ends Run without transferring the leadership. Tests use it to simulate a crash.
func (h *Host) abort() { h.cancelRun(errStopped) }

// Rings returns the rings between the goroutines of the host by name, for metrics.
func (h *Host) Rings() map[string]ring.Gauge {
	return map[string]ring.Gauge{
		"raft_inbox": h.inbox, "raft_proposals": h.proposed, "raft_control": h.stepCalls,
		"raft_disk": h.diskJobs, "raft_apply": h.apply,
	}
}
