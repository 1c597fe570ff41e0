package ports

import (
	"context"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Proposer submits commands to the replicated log.
type Proposer interface {
	// Submit submits a command and returns its result. A command id that was
	// submitted before gets the result of the first submission. Without a quorum
	// the outcome is UNAVAILABLE (certainly not accepted) or UNKNOWN (the caller
	// can ask for the result by command id later).
	Submit(ctx context.Context, c *pb.Command) *pb.CommandResult
}

// Leadership reports whether this control host is the leader.
type Leadership interface {
	// IsLeader reports whether this host is the leader and holds a valid lease.
	IsLeader() bool
	// Leader returns the id and peer address of the known leader; both are empty when no leader is known.
	Leader() (id, address string)
}

// QuorumReader confirms with a quorum that the applied state is current.
type QuorumReader interface {
	// ConfirmRead returns nil once every change that was accepted before the call
	// is applied on this host.
	ConfirmRead(ctx context.Context) error
	// ConfirmedAge returns the time since the commit index of this host was last
	// known to be current under a valid leader lease.
	ConfirmedAge() time.Duration
}

// AppliedState is the content of the state machine after one log entry. It is
// immutable; each applied entry produces a new one.
//
// A deployment uses one of two schemes: Configuration and Moves, which operators change
// with commands, or Plan and Rollouts, which the hosting platform of the users changes.
type AppliedState struct {
	Index         uint64            // log index of the last applied entry
	Configuration *pb.Configuration // services, routes and version shares
	Moves         []*pb.Move        // moves of services between versions, sorted by id
	Members       []*pb.Member      // control hosts, sorted by id
	History       []*pb.Decision    // accepted commands of both schemes, oldest first
	Plan          *pb.StoredPlan    // services and routes of the platform; nil until the first plan is accepted
	Rollouts      []*pb.Rollout     // rollouts of the platform, sorted by service
	Evacuations   []*pb.Evacuation  // newest order by failure domain, sorted by it
	Departures    []*pb.Departure   // departures of upstreams, oldest first
	PlanChanges   uint64            // number of accepted changes of the plan, a rollout or an evacuation
}

// StateReader provides the applied state and notifies of changes.
type StateReader interface {
	// State returns the current applied state, never nil.
	State() *AppliedState
	// Changed returns a channel that is closed at the next change of the state after the call.
	Changed() <-chan struct{}
}
