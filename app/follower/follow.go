package follower

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// errInterestsChanged is returned by a long poll that ended because the interests changed.
var errInterestsChanged = errors.New("interests changed")

// request returns a sync request that states what this node has.
func (f *Follower) request(wait time.Duration) *pb.SyncRequest {
	p := f.projection.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &pb.SyncRequest{
		NodeId: f.options.NodeID, FailureDomain: f.options.FailureDomain, Incarnation: f.options.Incarnation,
		Interests: f.interests, WaitMs: uint32(wait.Milliseconds()), BrakedMoves: f.braked,
		HaveRevision: p.Revision(), Floor: p.Revision(),
	}
	if p != nil {
		r.HaveHash = p.Hash
	}
	return r
}

// sync sends a sync request to an address. Its timeout is the wait of the request plus
// Timeout.
func (f *Follower) sync(ctx context.Context, address string, r *pb.SyncRequest) (*pb.SyncResponse, error) {
	timeout := f.options.Timeout + time.Duration(r.GetWaitMs())*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := f.clientOf(address).Sync(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// syncOnce sends one request to the current relay and handles the response.
func (f *Follower) syncOnce(ctx context.Context) {
	if len(f.relays) == 0 {
		f.pause(ctx)
		f.syncFromPeers(ctx, f.Revision())
		return
	}
	f.returnToPreferred()
	request := f.request(f.wait())
	request.Snapshot = f.wantSnapshot
	if f.confirmDue() {
		request.Confirmed, request.WaitMs = true, 0 // the relay confirms its state by a quorum before it answers
	}
	remainingWait, deadline := f.pollDeadline.Limits(time.Now(), time.Duration(request.GetWaitMs())*time.Millisecond, f.options.Timeout)
	request.WaitMs = uint32(remainingWait.Milliseconds())
	pollCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response, err := f.poll(pollCtx, f.relays[f.current.Load()].Address, request)
	if !errors.Is(err, errInterestsChanged) {
		f.pollDeadline.Reset()
	}
	switch {
	case ctx.Err() != nil || errors.Is(err, errInterestsChanged):
	case err != nil:
		f.switchRelay(ctx)
	default:
		f.handleResponse(ctx, request, response)
	}
}

// poll is a sync that ends early with errInterestsChanged when the interests change.
func (f *Follower) poll(ctx context.Context, address string, r *pb.SyncRequest) (*pb.SyncResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer func() { <-done }()
	finished, finish := context.WithCancel(ctx)
	defer finish()
	go func() {
		defer close(done)
		select {
		case <-f.interestsChanged:
			cancel(errInterestsChanged)
		case <-finished.Done():
		}
	}()
	response, err := f.sync(ctx, address, r)
	if errors.Is(context.Cause(ctx), errInterestsChanged) {
		return nil, errInterestsChanged
	}
	return response, err
}

// handleResponse handles the response of the current relay. Confirmed in the request
// asks the relay to confirm its state by a quorum before it answers. The kind
// UNCONFIRMED means that it could not, or that its revision is below that of this node;
// there is no configuration in the response then. Confirmed in the response means that
// the relay was in contact with a quorum within its lease, whatever the request asked.
func (f *Follower) handleResponse(ctx context.Context, request *pb.SyncRequest, r *pb.SyncResponse) {
	switch r.GetKind() {
	case pb.SyncKind_SYNC_KIND_RETRY_LATER:
		f.sleep(ctx, time.Duration(r.GetRetryAfterMs())*time.Millisecond)
		return
	case pb.SyncKind_SYNC_KIND_UNCONFIRMED:
		// Without a requested confirmation, the relay has a lower revision than this node.
		if !request.GetConfirmed() {
			f.switchRelay(ctx)
		}
		return
	}
	if err := f.apply(ctx, request.GetInterests(), r); err != nil {
		_ = f.deps.Logger.Log("msg", "configuration not applied", "revision", r.GetRevision(), "err", err)
		f.wantSnapshot = !errors.Is(err, errTooFewRecorders) && !errors.Is(err, config.ErrLowerRevision)
		f.pause(ctx)
		return
	}
	f.setBraked(r.GetBrakedMoves())
	if request.GetConfirmed() { // a quorum confirmed the revision for this request
		f.mu.Lock()
		f.recorder.Confirm(r.GetRevision())
		f.mu.Unlock()
	}
	f.wantSnapshot, f.noResponseYet = false, false
	if !r.GetConfirmed() { // the configuration is applied, but the relay has lost its quorum
		f.handleUnconfirmed(ctx)
		return
	}
	f.fallbackUntil, f.fallbackRelay, f.failures, f.backoff = time.Time{}, -1, 0, backoffStart
}

// handleUnconfirmed is called when the current relay answered without a quorum. It tries
// the other relays for one that has a quorum. If none has one, the node falls back to
// the most preferred relay that answers.
func (f *Follower) handleUnconfirmed(ctx context.Context) {
	if f.inFallback() {
		return
	}
	if i := int(f.current.Load()); f.fallbackRelay < 0 || i < f.fallbackRelay {
		f.fallbackRelay = i
	}
	f.switchRelay(ctx)
}

// inFallback reports whether the node stays with a relay without a quorum for now.
func (f *Follower) inFallback() bool { return f.options.Now().Before(f.fallbackUntil) }

// wait returns how long the relay may hold the next request. The first request to a
// relay does not wait, so that the node soon leaves a relay that has no quorum or a
// lower revision.
func (f *Follower) wait() time.Duration {
	switch {
	case f.inFallback():
		return unconfirmedWait
	case f.noResponseYet:
		return 0
	}
	return f.options.PollWait
}

// switchRelay switches to the next relay and then waits. Once none of the relays has
// helped, it also asks the peers for a newer configuration and returns to the fallback
// relay, if there is one.
func (f *Follower) switchRelay(ctx context.Context) {
	if f.current.Load() == 0 {
		f.leftPreferred = f.options.Now()
	}
	f.failures++
	f.current.Store((f.current.Load() + 1) % int64(len(f.relays)))
	f.noResponseYet = true
	f.fallbackUntil = time.Time{}
	if f.failures%len(f.relays) == 0 {
		f.syncFromPeers(ctx, f.Revision())
		if f.fallbackRelay >= 0 {
			f.current.Store(int64(f.fallbackRelay))
			f.fallbackUntil = f.options.Now().Add(fallbackTime + f.jitter(fallbackTime))
			f.fallbackRelay = -1
		}
	}
	f.pause(ctx)
}

// returnToPreferred returns to the most preferred relay after PreferredRetry.
func (f *Follower) returnToPreferred() {
	if f.current.Load() != 0 && !f.inFallback() && f.options.Now().Sub(f.leftPreferred) > f.options.PreferredRetry {
		f.current.Store(0)
		f.noResponseYet = true
	}
}

// confirmDue reports whether the next request should ask for confirmation by a quorum.
// The response to such a request makes the floor recorder of this node complete, so that
// its answers to peers count.
func (f *Follower) confirmDue() bool {
	f.mu.Lock()
	complete := f.recorder.Complete()
	f.mu.Unlock()
	now := f.options.Now()
	if complete || now.Sub(f.lastConfirmAttempt) < confirmInterval {
		return false
	}
	f.lastConfirmAttempt = now
	return true
}
