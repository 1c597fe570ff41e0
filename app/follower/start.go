package follower

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/core/floor"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// start applies the first configuration and reports whether that succeeded.
func (f *Follower) start(ctx context.Context) bool {
	response, relay, interests := f.confirmedFromRelays(ctx)
	switch {
	case ctx.Err() != nil:
		return false
	case response == nil: // no quorum is reachable
		return f.startFromFloor(ctx)
	case response.GetKind() == pb.SyncKind_SYNC_KIND_RETRY_LATER:
		f.sleep(ctx, time.Duration(response.GetRetryAfterMs())*time.Millisecond)
		return false
	}
	f.current.Store(int64(relay))
	if err := f.apply(ctx, interests, response); err != nil {
		_ = f.deps.Logger.Log("msg", "first configuration not applied", "revision", response.GetRevision(), "err", err)
		return false
	}
	f.mu.Lock()
	f.recorder.Confirm(response.GetRevision())
	f.mu.Unlock()
	f.setBraked(response.GetBrakedMoves())
	_ = f.deps.Logger.Log("msg", "configuration confirmed", "revision", response.GetRevision())
	return true
}

// confirmedFromRelays asks the relays by preference for a revision that a quorum
// confirms. The next relay is asked when all asked before have failed, or after
// hedgeAfter. It returns the response, the index of the relay and the requested
// interests; the response is nil when no relay has a quorum.
func (f *Follower) confirmedFromRelays(ctx context.Context) (*pb.SyncResponse, int, *pb.Interests) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := f.request(0)
	request.Confirmed = true
	type result struct {
		relay    int
		response *pb.SyncResponse
	}
	results := make(chan result, len(f.relays))
	asked, answered := 0, 0
	ask := func() {
		i := asked
		asked++
		f.group.Go(func() {
			r, err := f.sync(ctx, f.relays[i].Address, request)
			if err != nil {
				r = nil
			}
			results <- result{i, r}
		})
	}
	hedge := time.NewTicker(hedgeAfter)
	defer hedge.Stop()
	for answered < len(f.relays) {
		if asked == answered {
			ask()
		}
		select {
		case r := <-results:
			answered++
			if r.response != nil && r.response.GetKind() != pb.SyncKind_SYNC_KIND_UNCONFIRMED {
				return r.response, r.relay, request.GetInterests()
			}
		case <-hedge.C:
			if asked < len(f.relays) {
				ask()
			}
		case <-ctx.Done():
			return nil, 0, nil
		}
	}
	return nil, 0, nil
}

// startFromFloor applies a configuration that is not confirmed by a quorum. It needs the
// floor of this node from enough recorders, and accepts only revisions that are not
// below the floor.
func (f *Follower) startFromFloor(ctx context.Context) bool {
	sources := f.readFloors(ctx)
	answers := make([]floor.Answer, len(sources))
	for i, s := range sources {
		answers[i] = s.answer
	}
	minRevision, known := floor.Decide(answers, floor.QuorumOf(len(f.relays)+len(f.peers())))
	if !known {
		return false
	}
	if !f.syncFrom(ctx, sources, minRevision) {
		return false
	}
	_ = f.deps.Logger.Log("msg", "configuration from floor", "floor", minRevision, "revision", f.Revision())
	return true
}

// source is a process from which a configuration may be fetched.
type source struct {
	address string
	answer  floor.Answer
}

// readFloors reads the floor of this node from all relays and all peers of the failure
// domain at the same time. It waits for all of them up to a timeout, because any of them
// may hold the highest floor.
func (f *Follower) readFloors(ctx context.Context) []source {
	var addresses []string
	for _, r := range f.relays {
		addresses = append(addresses, r.Address)
	}
	return f.readFloorsFrom(ctx, append(addresses, f.peerAddresses()...))
}

func (f *Follower) peerAddresses() []string {
	var out []string
	for _, p := range f.peers() {
		out = append(out, p.GetPeerAddress())
	}
	return out
}

// readFloorsFrom reads the floor of this node from the processes at the addresses, and
// returns those that answered within three times RecordTimeout.
func (f *Follower) readFloorsFrom(ctx context.Context, addresses []string) []source {
	ctx, cancel := context.WithTimeout(ctx, 3*f.options.RecordTimeout)
	defer cancel()
	var mu sync.Mutex
	var out []source
	var group sync.WaitGroup
	for _, a := range addresses {
		group.Go(func() {
			r, err := f.clientOf(a).ReadFloor(ctx, connect.NewRequest(&pb.ReadFloorRequest{NodeId: f.options.NodeID}))
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, source{address: a, answer: floor.Answer{
				Known: r.Msg.GetKnown(), Floor: r.Msg.GetFloor(),
				Complete: r.Msg.GetComplete(), OwnRevision: r.Msg.GetOwnRevision(),
			}})
		})
	}
	group.Wait()
	return out
}

// syncFromPeers applies a configuration above a revision from a peer. It is used while no
// relay answers.
func (f *Follower) syncFromPeers(ctx context.Context, above uint64) {
	sources := f.readFloorsFrom(ctx, f.peerAddresses())
	sources = slices.DeleteFunc(sources, func(s source) bool { return s.answer.OwnRevision <= above })
	f.syncFrom(ctx, sources, above+1)
}

// syncFrom applies a configuration whose revision is at least minRevision from the first
// source that provides one, and reports whether that succeeded. Sources with the highest
// revision are tried first.
func (f *Follower) syncFrom(ctx context.Context, sources []source, minRevision uint64) bool {
	slices.SortStableFunc(sources, func(a, b source) int { return cmp.Compare(b.answer.OwnRevision, a.answer.OwnRevision) })
	for _, s := range sources {
		if s.answer.OwnRevision < minRevision {
			return false
		}
		request := f.request(0)
		request.Floor = max(request.GetFloor(), minRevision)
		response, err := f.sync(ctx, s.address, request)
		if err != nil || response.GetRevision() < minRevision {
			continue
		}
		switch response.GetKind() {
		case pb.SyncKind_SYNC_KIND_RETRY_LATER, pb.SyncKind_SYNC_KIND_UNCONFIRMED:
			continue
		}
		if f.apply(ctx, request.GetInterests(), response) == nil {
			return true
		}
	}
	return false
}
