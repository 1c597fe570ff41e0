package consensus

import (
	"context"
	"math"
	"time"

	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/raft"
)

const (
	readRetryPause = 50 * time.Millisecond
	// leasePercent is the age, in percent of the election timeout, up to which a confirmation is current.
	leasePercent = 80
)

// confirmedAt says that a commit index was known to be current at a time of the host's clock.
type confirmedAt struct {
	at     time.Duration
	commit uint64 // the state is current once this index is applied
}

type readWaiter chan raft.ReadState

// pendingReads combines reads that wait at the same time into one ReadIndex
// request. Only the step loop uses it.
type pendingReads struct {
	waiting  []readWaiter
	inFlight map[uint64][]readWaiter
	context  uint64
}

func (r *pendingReads) finish(rs raft.ReadState) {
	for _, w := range r.inFlight[rs.Context] {
		w <- rs
	}
	delete(r.inFlight, rs.Context)
}

func (h *Host) startReads() {
	r := &h.reads
	if len(r.waiting) == 0 {
		return
	}
	if r.inFlight == nil {
		r.inFlight = make(map[uint64][]readWaiter)
		// Contexts differ between runs of the process, so that a late reply is not matched with a new read.
		r.context = uint64(time.Now().UnixNano())
	}
	r.context++
	r.inFlight[r.context], r.waiting = r.waiting, nil
	h.node.ReadIndex(h.clock.now(), r.context)
}

// ConfirmRead returns nil once every change that was accepted before the call is
// applied on this host. It retries until ctx or the submit timeout ends, and
// then returns an error.
func (h *Host) ConfirmRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.options.SubmitTimeout)
	defer cancel()
	for {
		index, err := h.readIndex(ctx)
		if err == nil {
			return h.waitApplied(ctx, index)
		}
		lifecycle.Pause(ctx, readRetryPause)
		if ctx.Err() != nil || h.stopped() {
			return err
		}
	}
}

func (h *Host) readIndex(ctx context.Context) (uint64, error) {
	w := make(readWaiter, 1)
	if err := h.doInStepLoop(ctx, func() { h.reads.waiting = append(h.reads.waiting, w) }); err != nil {
		return 0, err
	}
	// The request or its reply can be lost.
	timer := time.NewTimer(h.options.ElectionTimeout)
	defer timer.Stop()
	select {
	case rs := <-w:
		return rs.Index, rs.Err
	case <-timer.C:
		return 0, raft.ErrNoLeader
	case <-ctx.Done():
		return 0, context.Cause(ctx)
	case <-h.done:
		return 0, errStopped
	}
}

func (h *Host) waitApplied(ctx context.Context, index uint64) error {
	for {
		changed := h.Changed()
		if h.State().Index >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-h.done:
			return errStopped
		}
	}
}

// ConfirmedAge returns the time since the applied state was last known to be
// current, or the longest possible duration if it never was.
func (h *Host) ConfirmedAge() time.Duration {
	c := h.confirmed.Load()
	if c == nil {
		return math.MaxInt64
	}
	if h.State().Index < c.commit {
		// The confirmed index is not applied yet, so the age counts from the last confirmation that is applied.
		if last := h.lastApplied.Load(); last != nil {
			return h.clock.now() - last.at
		}
		return math.MaxInt64
	}
	h.lastApplied.Store(c)
	return max(0, h.clock.now()-c.at)
}

// IsLeader reports whether this host is the leader and holds a valid lease.
func (h *Host) IsLeader() bool {
	p := h.published.Load()
	return p.status.Role == raft.Leader && h.clock.now() < p.leaseEnd
}

// Leader returns the id and the peer address of the leader, or "" if none is known.
func (h *Host) Leader() (id, address string) {
	p := h.published.Load()
	return p.status.Leader, p.address
}
