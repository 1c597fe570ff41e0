package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	core "github.com/rattanfield/rattanfield/core/ledger"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
	"github.com/rattanfield/rattanfield/ring"
)

const (
	// maxAttempts is the number of attempts on a claim whose votes are divided among gates.
	maxAttempts = 4
	// splitBackoff bounds the random delay before the second attempt, so that these gates do not
	// make it at the same time. The bound doubles with each attempt.
	splitBackoff = 20 * time.Millisecond

	noticeCapacity = 4096 // notices in the queue
	noticeWorkers  = 4    // notices that are sent at the same time
	noticeAttempts = 4
	noticeTimeout  = time.Second           // per attempt
	noticeBackoff  = 50 * time.Millisecond // delay before the second attempt; it doubles with each attempt
	downTime       = time.Second

	// hedgeAfter is the delay after which a claim that the nearest members have not
	// granted is sent to all members. It is about one round trip between regions.
	hedgeAfter = 40 * time.Millisecond
)

// Keeper claims keys for the gate of this node.
type Keeper struct {
	options     Options
	clients     *Clients
	lastAttempt atomic.Uint64 // number of the newest attempt of this process
	notices     *ring.Ring[notice]
	pending     atomic.Int64  // notices that are queued or being sent
	dropped     atomic.Uint64 // see Dropped

	widened attemptSet // attempts that were sent to all members

	mu     sync.Mutex
	random *rand.Rand
	down   map[string]time.Time // end of the downTime of members that a notice did not reach
}

var _ ports.ClaimKeeper = (*Keeper)(nil)

// notice is the message to members that a claim was answered or released.
type notice struct {
	claim   *pb.Claim
	members []string
}

// NewKeeper returns a keeper. Run must be running to send its notices.
func NewKeeper(o Options, c *Clients) *Keeper {
	o = o.withDefaults()
	seed := uint64(o.Incarnation)
	return &Keeper{
		options: o, clients: c, notices: ring.New[notice](noticeCapacity),
		random: rand.New(rand.NewPCG(seed, seed+1)), down: make(map[string]time.Time),
	}
}

// Acquire claims a key in the ledger group of the service. When the votes are
// divided among gates, it makes up to maxAttempts attempts. A claim that is not
// granted is released.
func (k *Keeper) Acquire(ctx context.Context, s *pb.Service, key ports.ClaimKey) ports.ClaimResult {
	for attempt := range maxAttempts {
		claim := &pb.Claim{
			Service: key.Service, Tenant: key.Tenant, Key: key.Key, Fingerprint: key.Fingerprint,
			Owner: k.options.NodeID, OwnerIncarnation: k.options.Incarnation, Attempt: k.lastAttempt.Add(1),
			State: pb.ClaimState_CLAIM_STATE_CLAIMED,
		}
		status, current := k.collect(ctx, s, claim)
		if status == core.Granted {
			return ports.ClaimResult{Status: ports.ClaimGranted, Claim: claim}
		}
		k.Release(s, claim)
		switch status {
		case core.Answered:
			return ports.ClaimResult{Status: ports.ClaimAnswered, Answer: current.GetAnswer()}
		case core.KeyReused:
			return ports.ClaimResult{Status: ports.ClaimKeyReused}
		case core.MayBeClaimed:
			return ports.ClaimResult{Status: ports.ClaimPending}
		case core.SplitVote:
			if !k.backOff(ctx, attempt) {
				return ports.ClaimResult{Status: ports.ClaimUnreachable}
			}
		default:
			return ports.ClaimResult{Status: ports.ClaimUnreachable}
		}
	}
	return ports.ClaimResult{Status: ports.ClaimUnreachable}
}

// backOff waits for a random time. It reports false when the context ends first.
func (k *Keeper) backOff(ctx context.Context, attempt int) bool {
	k.mu.Lock()
	d := time.Duration(k.random.Int64N(int64(splitBackoff << attempt)))
	k.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// vote is the response of a member to a claim, nil if it did not answer.
type vote struct {
	member   string
	response *pb.ClaimResponse
}

// collect asks the nearest majorities for a claim, and the other members when one
// of these does not grant it or hedgeAfter has passed. It returns at the first
// status other than Waiting, or with Unreachable when the context ends.
func (k *Keeper) collect(ctx context.Context, s *pb.Service, claim *pb.Claim) (core.AttemptStatus, *pb.Claim) {
	started := k.options.Now()
	groups := core.Groups(s, started)
	attempt := core.NewAttempt(started, claim, groups)
	all := core.Union(groups)
	asked := k.initialMembers(groups)
	votes := make(chan vote, len(all))
	ask := func(members []string) {
		for _, m := range members {
			go func() { votes <- vote{member: m, response: k.ask(ctx, m, s, claim)} }()
		}
	}
	ask(asked)
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	widen := func() {
		if rest := without(all, asked); len(rest) > 0 {
			k.widened.add(claim.GetAttempt())
			ask(rest)
			asked = all
		}
	}
	for answered := 0; answered < len(all); {
		select {
		case v := <-votes:
			answered++
			d := attempt.Vote(k.options.Now(), v.member, v.response.GetOutcome(), v.response.GetCurrent())
			if d != core.Waiting {
				return d, attempt.Current()
			}
			if v.response.GetOutcome() != pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
				widen()
			}
		case <-hedge.C:
			widen()
		case <-ctx.Done():
			return core.Unreachable, nil
		}
	}
	return core.Unreachable, nil
}

// ask sends a claim to a member and returns nil when the member does not answer.
// It ignores the end of ctx, because after the end of the attempt the claim must
// still reach every member that was asked.
func (k *Keeper) ask(ctx context.Context, member string, s *pb.Service, claim *pb.Claim) *pb.ClaimResponse {
	client, err := k.clients.forNode(member)
	if err != nil {
		return nil
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), core.ClaimWindow)
	defer cancel()
	resp, err := client.Claim(call, connect.NewRequest(&pb.ClaimRequest{Claim: claim, GroupEpoch: s.GetLedgerChangedUnixMs()}))
	if err != nil {
		return nil
	}
	return resp.Msg
}

// Complete sends the response of a request that has run to the members, which store it.
func (k *Keeper) Complete(s *pb.Service, c *pb.Claim, a *pb.StoredAnswer) {
	k.notify(s, endedClaim(c, pb.ClaimState_CLAIM_STATE_ANSWERED, a))
}

// Release releases a claim whose request was not run.
func (k *Keeper) Release(s *pb.Service, c *pb.Claim) {
	k.notify(s, endedClaim(c, pb.ClaimState_CLAIM_STATE_RELEASED, nil))
}

// endedClaim returns a copy of a claim with the given state and response.
func endedClaim(c *pb.Claim, state pb.ClaimState, a *pb.StoredAnswer) *pb.Claim {
	return &pb.Claim{
		Service: c.GetService(), Tenant: c.GetTenant(), Key: c.GetKey(), Fingerprint: c.GetFingerprint(),
		Owner: c.GetOwner(), OwnerIncarnation: c.GetOwnerIncarnation(), Attempt: c.GetAttempt(),
		State: state, Answer: a,
	}
}

// notify queues a notice, or drops it when the queue is full. The claim then
// stays without a result until it expires, and resent requests are rejected
// because it is not known whether the request has run.
func (k *Keeper) notify(s *pb.Service, c *pb.Claim) {
	k.pending.Add(1)
	if !k.notices.TryPush(notice{claim: c, members: k.holders(s, c)}) {
		k.pending.Add(-1)
		k.dropped.Add(1)
	}
}

// Run sends the queued notices until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range noticeWorkers {
		workers.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case n := <-k.notices.Items():
					k.send(ctx, n)
					k.pending.Add(-1)
				}
			}
		})
	}
	workers.Wait()
}

// Flush waits until all queued notices are sent or have failed, so that a planned
// stop does not lose the responses that wait to be stored. It returns the cause
// of the context when that ends first.
func (k *Keeper) Flush(ctx context.Context) error {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for k.pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return nil
}

// Notices returns the queue of notices, for metrics.
func (k *Keeper) Notices() ring.Gauge { return k.notices }

// Dropped returns how many notices were dropped because the queue was full, plus
// how many deliveries to single members were abandoned.
func (k *Keeper) Dropped() uint64 { return k.dropped.Load() }

func (k *Keeper) send(ctx context.Context, n notice) {
	var sending sync.WaitGroup
	for _, m := range n.members {
		sending.Go(func() { k.sendTo(ctx, m, n.claim) })
	}
	sending.Wait()
}

// sendTo sends a notice to one member. After noticeAttempts failed attempts the
// member counts as down for downTime, during which notices to it are dropped.
func (k *Keeper) sendTo(ctx context.Context, member string, c *pb.Claim) {
	for attempt := range noticeAttempts {
		if k.isDown(member) {
			break
		}
		if k.deliver(ctx, member, c) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(noticeBackoff << attempt):
		}
	}
	k.dropped.Add(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.now().Before(k.down[member]) {
		k.down[member] = k.now().Add(downTime)
	}
}

func (k *Keeper) now() time.Time { return k.options.Now() }

// isDown reports whether a notice failed to reach a member within the last
// downTime. More attempts at such a member would delay the notices to the others.
func (k *Keeper) isDown(member string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now().Before(k.down[member])
}

func (k *Keeper) deliver(ctx context.Context, member string, c *pb.Claim) bool {
	client, err := k.clients.forNode(member)
	if err != nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	_, err = client.Complete(call, connect.NewRequest(&pb.CompleteRequest{Claim: c}))
	return err == nil
}
