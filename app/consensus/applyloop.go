package consensus

import (
	"context"
	"sync"

	"github.com/rattanfield/rattanfield/core/raft"
	"github.com/rattanfield/rattanfield/core/state"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// applyJob is work for the apply loop: a snapshot to install, if any, and then entries to apply.
type applyJob struct {
	snapshot *raft.Snapshot
	entries  []*pb.Entry
}

// applyLoop applies committed entries to the state machine and takes snapshots of it.
func (h *Host) applyLoop(ctx context.Context) error {
	snapshotAt, size := h.view.Load().Index, 0 // size is the number of bytes applied since the last snapshot
	for {
		select {
		case <-ctx.Done():
			return nil
		case j := <-h.apply.Items():
			if err := h.applyJob(j); err != nil {
				return err
			}
			for _, e := range j.entries {
				size += len(e.GetPayload())
			}
			due := h.view.Load().Index-snapshotAt >= h.options.SnapshotEntries || size >= h.options.SnapshotBytes
			if due && h.takeSnapshot() {
				snapshotAt, size = h.view.Load().Index, 0
			}
		}
	}
}

func (h *Host) applyJob(j applyJob) error {
	if j.snapshot != nil {
		m, err := state.Decode(j.snapshot.Data)
		if err != nil {
			return err
		}
		h.machineMu.Lock()
		h.machine = m
		h.machineMu.Unlock()
	}
	results := make([]*pb.CommandResult, len(j.entries))
	for i, e := range j.entries {
		h.machineMu.Lock()
		results[i] = h.machine.Apply(e)
		h.machineMu.Unlock()
	}
	// The view is published first: a caller that receives a result must find it in the state of this host.
	h.publishView()
	if j.snapshot != nil {
		h.waiters.releaseUpTo(j.snapshot.Index)
	}
	for i, e := range j.entries {
		h.waiters.finish(e.GetIndex(), e.GetTerm(), results[i])
	}
	return nil
}

// publishView publishes the applied state to readers and wakes those that wait for a change.
func (h *Host) publishView() {
	h.machineMu.RLock()
	v := h.machine.View()
	h.machineMu.RUnlock()
	h.view.Store(v)
	h.changed.fire()
}

// takeSnapshot encodes the state and passes it to the step loop. It returns false
// if the state cannot be encoded or the step loop's queue is full.
func (h *Host) takeSnapshot() bool {
	h.machineMu.RLock()
	index := h.machine.Index()
	data, err := h.machine.Encode()
	h.machineMu.RUnlock()
	if err != nil {
		_ = h.logger.Log("event", "snapshot failed", "err", err)
		return false
	}
	return h.stepCalls.TryPush(func() { h.compact(index, data) })
}

// State returns the applied state. The caller must not change it.
func (h *Host) State() *ports.AppliedState { return h.view.Load() }

// Changed returns a channel that is closed at the next change of the applied state.
func (h *Host) Changed() <-chan struct{} { return h.changed.channel() }

// signal wakes all goroutines that wait for an event.
type signal struct {
	mu sync.Mutex
	c  chan struct{}
}

func (s *signal) channel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c == nil {
		s.c = make(chan struct{})
	}
	return s.c
}

func (s *signal) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c != nil {
		close(s.c)
		s.c = nil
	}
}
