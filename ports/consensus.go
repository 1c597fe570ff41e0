package ports

import (
	"context"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Proposer submits commands to the replicated log.
type Proposer interface {
	// Submit returns the result of the command, also when it was submitted before
	// with the same command id. Without a quorum the outcome is UNAVAILABLE (surely
	// not accepted) or UNKNOWN (ask again by command id).
	Submit(ctx context.Context, c *pb.Command) *pb.CommandResult
}

// Leadership tells whether this control host leads.
type Leadership interface {
	// IsLeader reports a leader that holds a valid lease.
	IsLeader() bool
	// Leader returns id and peer address of the known leader; both are empty when none is known.
	Leader() (id, address string)
}

// QuorumReader confirms with a quorum that applied state is current.
type QuorumReader interface {
	// ConfirmRead returns once every change accepted before the call is applied here.
	ConfirmRead(ctx context.Context) error
	// ConfirmedAge is the time since this host last knew that its commit index was
	// current, under a valid leader lease.
	ConfirmedAge() time.Duration
}

// AppliedState is the state machine's content after one log entry. It is
// immutable and replaced as a whole.
type AppliedState struct {
	Index         uint64
	Configuration *pb.Configuration
	Moves         []*pb.Move     // sorted by id
	Members       []*pb.Member   // sorted by id
	History       []*pb.Decision // oldest first
	Plan          *pb.StoredPlan // nil until one is accepted
	Rollouts      []*pb.Rollout  // sorted by service
	PlanChanges   uint64         // accepted changes of the plan or a rollout
}

// StateReader gives the applied state and a signal for its next change.
type StateReader interface {
	// State never returns nil.
	State() *AppliedState
	// Changed returns a channel that is closed at the next change after the call.
	Changed() <-chan struct{}
}
