package follower

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/core/floor"
	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// errRecorders says that too few recorders acknowledged a revision.
var errRecorders = errors.New("too few recorders acknowledged the revision")

// recorders returns the addresses of recorders in order: the relay in use, the
// peers by rendezvous hash, the other relays.
func (f *Follower) recorders() []string {
	var out []string
	if len(f.relays) > 0 {
		out = append(out, f.relays[f.current.Load()].Address)
	}
	byID := make(map[string]string)
	var ids []string
	for _, p := range f.peers() {
		byID[p.GetNodeId()] = p.GetPeerAddress()
		ids = append(ids, p.GetNodeId())
	}
	for _, id := range membership.Rendezvous(f.options.NodeID, ids) {
		out = append(out, byID[id])
	}
	for i, r := range f.relays {
		if int64(i) != f.current.Load() {
			out = append(out, r.Address)
		}
	}
	return out
}

// record returns once enough recorders hold the revision as this node's floor.
// Three are asked at once; one that fails or is late is replaced by the next.
func (f *Follower) record(ctx context.Context, revision uint64) error {
	candidates := f.recorders()
	needed := floor.QuorumOf(len(candidates))
	results := make(chan bool, len(candidates))
	asked := 0
	ask := func() {
		address := candidates[asked]
		asked++
		f.group.Go(func() { results <- f.recordAt(ctx, address, revision) })
	}
	for asked < min(floor.Recorders, len(candidates)) {
		ask()
	}
	acknowledged := 0
	for answered := 0; answered < asked; {
		select {
		case ok := <-results:
			answered++
			if ok {
				acknowledged++
			} else if asked < len(candidates) {
				ask()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		if acknowledged >= needed {
			return nil
		}
	}
	return errRecorders
}

func (f *Follower) recordAt(ctx context.Context, address string, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, f.options.RecordTimeout)
	defer cancel()
	r, err := f.clientOf(address).RecordFloor(ctx, connect.NewRequest(&pb.RecordFloorRequest{
		NodeId: f.options.NodeID, Revision: revision,
	}))
	return err == nil && r.Msg.GetFloor() >= revision
}
