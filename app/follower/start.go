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

// start applies the first configuration; it reports whether that succeeded.
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

// confirmedFromRelays asks the relays for a confirmed revision in order of
// preference; each next one is asked when those before it failed or take long.
// It returns nil when none of them has a quorum.
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

// startFromFloor applies a configuration that no quorum confirmed. It needs the
// floor of this node from enough recorders and takes nothing below it.
func (f *Follower) startFromFloor(ctx context.Context) bool {
	sources := f.readFloors(ctx)
	answers := make([]floor.Answer, len(sources))
	for i, s := range sources {
		answers[i] = s.answer
	}
	lowest, known := floor.Decide(answers, floor.QuorumOf(len(f.relays)+len(f.peers())))
	if !known {
		return false
	}
	if !f.syncFrom(ctx, sources, lowest) {
		return false
	}
	_ = f.deps.Logger.Log("msg", "configuration from floor", "floor", lowest, "revision", f.Revision())
	return true
}

// source is a process that may provide a configuration.
type source struct {
	address string
	answer  floor.Answer
}

// readFloors asks every relay and every peer of the failure domain at once. It
// waits for all of them up to the timeout, because each may hold the highest floor.
func (f *Follower) readFloors(ctx context.Context) []source {
	var addresses []string
	for _, r := range f.relays {
		addresses = append(addresses, r.Address)
	}
	return f.askFloors(ctx, append(addresses, f.peerAddresses()...))
}

func (f *Follower) peerAddresses() []string {
	var out []string
	for _, p := range f.peers() {
		out = append(out, p.GetPeerAddress())
	}
	return out
}

func (f *Follower) askFloors(ctx context.Context, addresses []string) []source {
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

// syncFromPeers takes a newer configuration from a peer, for the time in which
// no relay answers.
func (f *Follower) syncFromPeers(ctx context.Context, above uint64) {
	sources := f.askFloors(ctx, f.peerAddresses())
	sources = slices.DeleteFunc(sources, func(s source) bool { return s.answer.OwnRevision <= above })
	f.syncFrom(ctx, sources, above+1)
}

// syncFrom applies a configuration of at least the floor from the first source
// that has one, the highest revision first.
func (f *Follower) syncFrom(ctx context.Context, sources []source, lowest uint64) bool {
	slices.SortStableFunc(sources, func(a, b source) int { return cmp.Compare(b.answer.OwnRevision, a.answer.OwnRevision) })
	for _, s := range sources {
		if s.answer.OwnRevision < lowest {
			return false
		}
		request := f.request(0)
		request.Floor = max(request.GetFloor(), lowest)
		response, err := f.sync(ctx, s.address, request)
		if err != nil || response.GetRevision() < lowest {
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
