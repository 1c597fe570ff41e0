package config

import (
	"errors"
	"fmt"
	"slices"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Errors of Receive. After ErrPayload, ErrHashMismatch, ErrBaseMismatch or ErrInvalid a
// node asks for a snapshot.
var (
	ErrHashMismatch    = errors.New("configuration does not have the hash that the relay stated")
	ErrLowerRevision   = errors.New("revision is lower than the one in force")
	ErrInvalid         = errors.New("configuration is not valid")
	ErrNoConfiguration = errors.New("response carries no configuration")
)

// Receive returns the projection that results from applying a response to the
// one in force, which may be nil. The result is complete and valid, and its
// revision is not lower. After an error nothing of the response may be used.
func Receive(have *Projection, r *pb.SyncResponse) (*Projection, error) {
	if r.GetRevision() < have.Revision() {
		return nil, fmt.Errorf("%w: %d after %d", ErrLowerRevision, r.GetRevision(), have.Revision())
	}
	var c *pb.Configuration
	switch r.GetKind() {
	case pb.SyncKind_SYNC_KIND_UNCHANGED:
		if have == nil || have.Hash != r.GetHash() {
			return nil, ErrHashMismatch
		}
		return have.withRevision(r.GetRevision()), nil
	case pb.SyncKind_SYNC_KIND_DELTA:
		var d pb.Delta
		if err := Decode(r.GetPayload(), r.GetCompressed(), &d); err != nil {
			return nil, err
		}
		if have == nil {
			return nil, ErrBaseMismatch
		}
		var err error
		if c, err = ApplyDelta(have.Configuration, &d); err != nil {
			return nil, err
		}
	case pb.SyncKind_SYNC_KIND_SNAPSHOT:
		c = &pb.Configuration{}
		if err := Decode(r.GetPayload(), r.GetCompressed(), c); err != nil {
			return nil, err
		}
	default:
		return nil, ErrNoConfiguration
	}
	return verify(c, r)
}

// verify returns the projection of a received configuration when it is valid and
// has the revision and hash that the response states.
func verify(c *pb.Configuration, r *pb.SyncResponse) (*Projection, error) {
	if c.GetRevision() != r.GetRevision() {
		return nil, fmt.Errorf("%w: payload has revision %d, response %d", ErrPayload, c.GetRevision(), r.GetRevision())
	}
	if !isSorted(c) {
		return nil, fmt.Errorf("%w: names are not in order", ErrInvalid)
	}
	p, problems := NewProjection(c)
	if len(problems) > 0 {
		return nil, fmt.Errorf("%w: %s: %s", ErrInvalid, problems[0].GetSubject(), problems[0].GetMessage())
	}
	if p.Hash != r.GetHash() {
		return nil, ErrHashMismatch
	}
	return p, nil
}

// isSorted reports whether all lists are in strictly ascending order of their
// keys, on which Diff and ApplyDelta rely.
func isSorted(c *pb.Configuration) bool {
	return sortedBy(c.GetServices(), (*pb.Service).GetName) &&
		sortedBy(c.GetRoutes(), (*pb.Route).GetName) &&
		sortedBy(c.GetShares(), (*pb.ServiceShares).GetService)
}

func sortedBy[T any](list []T, key func(T) string) bool {
	for i := range list[min(1, len(list)):] {
		if key(list[i]) >= key(list[i+1]) {
			return false
		}
	}
	return true
}

// withRevision returns a projection with the same content at the given revision.
func (p *Projection) withRevision(revision uint64) *Projection {
	if revision == p.Revision() {
		return p
	}
	next := *p
	next.Configuration = &pb.Configuration{
		Revision: revision, Services: p.Configuration.GetServices(),
		Routes: p.Configuration.GetRoutes(), Shares: p.Configuration.GetShares(),
	}
	return &next
}

// AnswerPeer returns the response of a node to a peer with the interests want: a
// snapshot, or nil when the projection p, which was made for the interests have,
// does not cover them.
func AnswerPeer(p *Projection, have, want *pb.Interests) (*pb.SyncResponse, error) {
	if p == nil || !Covers(have, want) {
		return nil, nil
	}
	c := Project(p.Configuration, want)
	payload, compressed, err := Encode(c, true)
	if err != nil {
		return nil, err
	}
	return &pb.SyncResponse{
		Kind: pb.SyncKind_SYNC_KIND_SNAPSHOT, Revision: c.GetRevision(), Hash: Hash(c),
		Payload: payload, Compressed: compressed,
	}, nil
}

// NormalizeInterests returns the interests with sorted, distinct names.
func NormalizeInterests(i *pb.Interests) *pb.Interests {
	names := slices.Clone(i.GetServices())
	slices.Sort(names)
	return &pb.Interests{Services: slices.Compact(names), All: i.GetAll()}
}
