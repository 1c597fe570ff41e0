package follower

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/core/floor"
	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// errTooFewRecorders is returned when too few recorders acknowledged a revision.
var errTooFewRecorders = errors.New("too few recorders acknowledged the revision")

// recorders returns the addresses of the recorders by preference: the relay in use,
// the peers by rendezvous hash, the other relays.
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

// recordFloor asks recorders to store the revision as the floor of this node, and returns
// once enough of them have acknowledged it. Three are asked at the same time; one that
// fails or exceeds RecordTimeout is replaced by the next. It returns errTooFewRecorders if too
// few acknowledge.
func (f *Follower) recordFloor(ctx context.Context, revision uint64) error {
	candidates := f.recorders()
	needed := floor.QuorumOf(len(candidates))
	results := make(chan bool, len(candidates))
	asked := 0
	ask := func() {
		address := candidates[asked]
		asked++
		f.group.Go(func() { results <- f.recordFloorAt(ctx, address, revision) })
	}
	for asked < min(floor.AskedRecorders, len(candidates)) {
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
	return errTooFewRecorders
}

// recordFloorAt asks one recorder to store the revision and reports whether it did.
func (f *Follower) recordFloorAt(ctx context.Context, address string, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, f.options.RecordTimeout)
	defer cancel()
	r, err := f.clientOf(address).RecordFloor(ctx, connect.NewRequest(&pb.RecordFloorRequest{
		NodeId: f.options.NodeID, Revision: revision,
	}))
	return err == nil && r.Msg.GetFloor() >= revision
}
