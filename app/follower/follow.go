package follower

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// errInterests ends a long poll when the interests changed.
var errInterests = errors.New("interests changed")

// request for the current state of this node.
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

// step does one request to the current relay and acts on the answer.
func (f *Follower) step(ctx context.Context) {
	if len(f.relays) == 0 {
		f.pause(ctx)
		f.syncFromPeers(ctx, f.Revision())
		return
	}
	f.goHome()
	request := f.request(f.wait())
	request.Snapshot = f.wantSnapshot
	if f.confirmDue() {
		request.Confirmed, request.WaitMs = true, 0
	}
	hold, lost := f.patience.Limits(time.Now(), time.Duration(request.GetWaitMs())*time.Millisecond, f.options.Timeout)
	request.WaitMs = uint32(hold.Milliseconds())
	poll, cancel := context.WithDeadline(ctx, lost)
	defer cancel()
	response, err := f.poll(poll, f.relays[f.current.Load()].Address, request)
	if !errors.Is(err, errInterests) {
		f.patience.Answered()
	}
	switch {
	case ctx.Err() != nil || errors.Is(err, errInterests):
	case err != nil:
		f.fail(ctx)
	default:
		f.take(ctx, request, response)
	}
}

// poll is a sync that ends early when the interests change.
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
		case <-f.kick:
			cancel(errInterests)
		case <-finished.Done():
		}
	}()
	response, err := f.sync(ctx, address, r)
	if errors.Is(context.Cause(ctx), errInterests) {
		return nil, errInterests
	}
	return response, err
}

func (f *Follower) take(ctx context.Context, request *pb.SyncRequest, r *pb.SyncResponse) {
	switch r.GetKind() {
	case pb.SyncKind_SYNC_KIND_RETRY_LATER:
		f.sleep(ctx, time.Duration(r.GetRetryAfterMs())*time.Millisecond)
		return
	case pb.SyncKind_SYNC_KIND_UNCONFIRMED:
		if !request.GetConfirmed() { // the relay is behind this node
			f.fail(ctx)
		}
		return
	}
	if err := f.apply(ctx, request.GetInterests(), r); err != nil {
		_ = f.deps.Logger.Log("msg", "configuration not applied", "revision", r.GetRevision(), "err", err)
		f.wantSnapshot = !errors.Is(err, errRecorders) && !errors.Is(err, config.ErrLowerRevision)
		f.pause(ctx)
		return
	}
	f.setBraked(r.GetBrakedMoves())
	if request.GetConfirmed() {
		f.mu.Lock()
		f.recorder.Confirm(r.GetRevision())
		f.mu.Unlock()
	}
	f.wantSnapshot, f.fresh = false, false
	if !r.GetConfirmed() {
		f.withoutQuorum(ctx)
		return
	}
	f.settledUntil, f.fallback, f.failures, f.backoff = time.Time{}, -1, 0, backoffStart
}

// withoutQuorum looks for a relay with a quorum; when there is none, it stays
// with the most preferred relay that answers.
func (f *Follower) withoutQuorum(ctx context.Context) {
	if f.isSettled() {
		return
	}
	if i := int(f.current.Load()); f.fallback < 0 || i < f.fallback {
		f.fallback = i
	}
	f.fail(ctx)
}

func (f *Follower) isSettled() bool { return f.options.Now().Before(f.settledUntil) }

// wait is the long poll of the next request. The first request to a relay does
// not wait, so that a relay without a quorum or behind this node is left soon.
func (f *Follower) wait() time.Duration {
	switch {
	case f.isSettled():
		return unconfirmedWait
	case f.fresh:
		return 0
	}
	return f.options.PollWait
}

// fail goes on to the next relay; when none of them helped, to the peers.
func (f *Follower) fail(ctx context.Context) {
	if f.current.Load() == 0 {
		f.leftHome = f.options.Now()
	}
	f.failures++
	f.current.Store((f.current.Load() + 1) % int64(len(f.relays)))
	f.fresh = true
	f.settledUntil = time.Time{}
	if f.failures%len(f.relays) == 0 {
		f.syncFromPeers(ctx, f.Revision())
		if f.fallback >= 0 {
			f.current.Store(int64(f.fallback))
			f.settledUntil = f.options.Now().Add(settleTime + f.jitter(settleTime))
			f.fallback = -1
		}
	}
	f.pause(ctx)
}

// goHome returns to the preferred relay after a while.
func (f *Follower) goHome() {
	if f.current.Load() != 0 && !f.isSettled() && f.options.Now().Sub(f.leftHome) > f.options.HomeRetry {
		f.current.Store(0)
		f.fresh = true
	}
}

// confirmDue reports that the next request should be confirmed by a quorum,
// which makes this node's floor recorder complete.
func (f *Follower) confirmDue() bool {
	f.mu.Lock()
	complete := f.recorder.Complete()
	f.mu.Unlock()
	now := f.options.Now()
	if complete || now.Sub(f.triedConfirm) < confirmInterval {
		return false
	}
	f.triedConfirm = now
	return true
}
