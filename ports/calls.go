package ports

import (
	"context"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// ClaimStatus is the outcome of a gate's attempt to claim an idempotency key.
type ClaimStatus uint8

// Claim statuses.
const (
	ClaimUnreachable ClaimStatus = iota // no majority of the ledger group answered: the request must not run
	ClaimGranted                        // only this gate may run the request
	ClaimAnswered                       // the request has already run; Answer holds its response
	ClaimPending                        // another gate holds the claim and its outcome is unknown
	ClaimKeyReused                      // the key was used before for a different request
)

// ClaimResult is the result of ClaimKeeper.Acquire.
type ClaimResult struct {
	Status ClaimStatus
	Claim  *pb.Claim        // set for ClaimGranted
	Answer *pb.StoredAnswer // set for ClaimAnswered
}

// ClaimKey identifies a request by its idempotency key. Fingerprint is a hash of
// the request, which detects a key that is reused for a different request.
type ClaimKey struct {
	Service, Tenant, Key string
	Fingerprint          uint64
}

// ClaimKeeper claims idempotency keys with the ledger group of a service.
type ClaimKeeper interface {
	// Acquire asks the ledger group for a claim. After ClaimGranted the gate calls
	// Complete or Release; if it calls neither, the outcome stays unknown.
	Acquire(ctx context.Context, s *pb.Service, k ClaimKey) ClaimResult
	// Complete stores the response of a request that has run. It does not block.
	Complete(s *pb.Service, c *pb.Claim, a *pb.StoredAnswer)
	// Release gives up a claim whose request certainly did not run. It does not block.
	Release(s *pb.Service, c *pb.Claim)
}

// PeerResolver resolves node ids to peer addresses.
type PeerResolver interface {
	// PeerAddress returns the peer address (IP:port) of a node; ok is false when it is not known.
	PeerAddress(nodeID string) (address string, ok bool)
}
