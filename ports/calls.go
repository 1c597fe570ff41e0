package ports

import (
	"context"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// ClaimStatus is the answer to a gate that wants to run a request with an idempotency key.
type ClaimStatus uint8

// Claim statuses.
const (
	ClaimUnreachable ClaimStatus = iota // no majority: the request must not run
	ClaimGranted                        // this gate alone may run the request
	ClaimAnswered                       // the request has run; Answer holds the response
	ClaimPending                        // another gate holds the claim and its outcome is not known
	ClaimReused                         // the key was used for another request
)

// ClaimResult of an attempt to claim a key.
type ClaimResult struct {
	Status ClaimStatus
	Claim  *pb.Claim // when granted
	Answer *pb.StoredAnswer
}

// ClaimKey identifies a request by its idempotency key.
type ClaimKey struct {
	Service, Tenant, Key string
	Fingerprint          uint64
}

// ClaimKeeper claims idempotency keys with the ledger group of a service.
type ClaimKeeper interface {
	// Acquire asks the group. After ClaimGranted, Complete or Release follows;
	// neither means that the outcome stays unknown.
	Acquire(ctx context.Context, s *pb.Service, k ClaimKey) ClaimResult
	// Complete stores the response of a request that has run. It does not block.
	Complete(s *pb.Service, c *pb.Claim, a *pb.StoredAnswer)
	// Release gives up a claim whose request was certainly not run. It does not block.
	Release(s *pb.Service, c *pb.Claim)
}

// PeerResolver finds the peer address (IP:port) of a node.
type PeerResolver interface {
	PeerAddress(nodeID string) (address string, ok bool)
}
