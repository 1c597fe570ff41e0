package consensus

import (
	"context"

	"github.com/rattanfield/rattanfield/adapters/disk"
	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// maxGroup bounds the number of jobs in one sync.
const maxGroup = 256

// diskJob is work for the disk loop, and the messages that may be sent once it is synced.
type diskJob struct {
	batch     disk.Batch
	afterSync []*pb.RaftMessage
	save      *raft.Snapshot // to write after the sync; nil: none
	keepFrom  uint64         // entries from this index on are kept when the snapshot replaces older ones
}

func batchOf(r raft.Ready) disk.Batch {
	return disk.Batch{State: r.State, Snapshot: r.Snapshot, Entries: r.Entries}
}

// diskLoop writes the queued jobs, up to maxGroup of them, with one sync, and then
// sends the messages that depend on it. The first disk error stops the host.
func (h *Host) diskLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case j := <-h.diskJobs.Items():
			if err := h.writeGroup(h.group(j)); err != nil {
				return err
			}
		}
	}
}

func (h *Host) group(first diskJob) []diskJob {
	jobs := []diskJob{first}
	for !h.options.SyncEach && len(jobs) < maxGroup {
		select {
		case j := <-h.diskJobs.Items():
			jobs = append(jobs, j)
		default:
			return jobs
		}
	}
	return jobs
}

func (h *Host) writeGroup(jobs []diskJob) error {
	batches := make([]disk.Batch, 0, len(jobs))
	var last *position
	for _, j := range jobs {
		batches = append(batches, j.batch)
		if n := len(j.batch.Entries); n > 0 {
			e := j.batch.Entries[n-1]
			last = &position{index: e.GetIndex(), term: e.GetTerm()}
		}
	}
	if err := h.store.Write(batches); err != nil {
		return err
	}
	for _, j := range jobs {
		h.senders.send(j.afterSync)
	}
	if last != nil {
		h.syncedTo.Store(last)
		h.synced.TryPush(struct{}{}) // if a signal is already queued, it covers this position too
	}
	for _, j := range jobs {
		if j.save != nil {
			if err := h.store.SaveSnapshot(*j.save, j.keepFrom); err != nil {
				return err
			}
		}
	}
	return nil
}
