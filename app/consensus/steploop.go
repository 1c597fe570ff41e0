package consensus

import (
	"context"
	"time"

	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// ticksPerHeartbeat is the number of ticks per heartbeat interval. It bounds how late a timeout of the core is handled.
	ticksPerHeartbeat = 4
	// drainLimit bounds the number of inputs handled before one Ready, so that many inputs cannot delay the resulting work.
	drainLimit = 256
)

type proposal struct {
	payload []byte
	reply   func(index, term uint64, err error) // must not block
}

// published is the state of the core that other goroutines may read.
type published struct {
	status   raft.Status
	leaseEnd time.Duration
	address  string // of the leader
}

// stepLoop owns the raft core: only this goroutine uses it.
func (h *Host) stepLoop(ctx context.Context) error {
	ticker := time.NewTicker(h.options.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.node.Tick(h.clock.now())
		case m := <-h.inbox.Items():
			h.node.Step(h.clock.now(), m)
		case p := <-h.proposed.Items():
			h.propose(p)
		case f := <-h.stepCalls.Items():
			f()
		case <-h.synced.Items():
			h.reportSynced()
		}
		h.drain()
		h.startReads()
		if err := h.process(ctx); err != nil {
			return nil // ctx has ended
		}
	}
}

// drain handles further inputs that are already queued, so that they share one sync.
func (h *Host) drain() {
	if h.options.SyncEach {
		return
	}
	for range drainLimit {
		select {
		case m := <-h.inbox.Items():
			h.node.Step(h.clock.now(), m)
		case p := <-h.proposed.Items():
			h.propose(p)
		case f := <-h.stepCalls.Items():
			f()
		default:
			return
		}
	}
}

func (h *Host) propose(p proposal) { p.reply(h.node.Propose(h.clock.now(), p.payload)) }

func (h *Host) reportSynced() {
	if p := h.syncedTo.Load(); p != nil {
		h.node.Synced(h.clock.now(), p.index, p.term)
	}
}

// process passes the work of the core to the other goroutines.
func (h *Host) process(ctx context.Context) error {
	for {
		r, ok := h.node.Ready()
		if !ok {
			break
		}
		h.senders.send(r.Messages)
		if r.NeedsSync() {
			job := diskJob{batch: batchOf(r), afterSync: r.AfterSync}
			if err := h.diskJobs.Push(ctx, job); err != nil {
				return err
			}
		}
		for _, rs := range r.Reads {
			h.reads.finish(rs)
		}
		if r.Snapshot != nil || len(r.Committed) > 0 {
			if err := h.apply.Push(ctx, applyJob{snapshot: r.Snapshot, entries: r.Committed}); err != nil {
				return err
			}
		}
	}
	h.publishStatus()
	return nil
}

// publishStatus publishes the status of the core to other goroutines.
func (h *Host) publishStatus() {
	now := h.clock.now()
	s := h.node.Status()
	p := &published{status: s, leaseEnd: h.node.LeaseEnd(now)}
	for _, m := range s.Members {
		if m.GetId() == s.Leader {
			p.address = m.GetAddress()
		}
	}
	if p.address == "" && s.Leader != "" && h.options.AddressOf != nil {
		p.address = h.options.AddressOf(s.Leader)
	}
	old := h.published.Swap(p)
	if at, ok := h.node.ConfirmedAt(now); ok {
		h.confirmed.Store(&confirmedAt{at: at, commit: s.Commit})
	}
	if old != nil && (old.status.Leader != s.Leader || old.status.Role != s.Role) {
		_ = h.logger.Log("event", "role", "role", s.Role, "term", s.Term, "leader", s.Leader)
	}
}

// compact stores an encoded state as a snapshot and compacts the log. The apply
// loop schedules it in the step loop.
func (h *Host) compact(index uint64, data []byte) {
	h.node.Compact(index, data, raft.Keep{Entries: h.options.KeepEntries, Bytes: h.options.KeepBytes})
	s := h.node.Snapshot()
	if s.Index != index {
		return
	}
	// If the ring is full, this snapshot is not written; the next one replaces it.
	h.diskJobs.TryPush(diskJob{save: &s, keepFrom: h.node.FirstIndex()})
}

// deliver puts a message from a peer into the inbox. If the inbox is full, the message is lost.
func (h *Host) deliver(m *pb.RaftMessage) { h.inbox.TryPush(m) }
