package plan

import (
	"crypto/subtle"
	"hash/maphash"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// organisations finds the organisation of a key. The keys are found by a hash with a random seed and then compared in
// constant time, so that the time of a lookup tells nothing about the bytes of a key.
type organisations struct {
	seed   maphash.Seed
	byHash map[uint64][]keyOwner
	count  int
}

type keyOwner struct {
	key   []byte
	owner *pb.Organisation
}

func newOrganisations(list []*pb.Organisation) organisations {
	o := organisations{seed: maphash.MakeSeed(), count: len(list)}
	if len(list) == 0 {
		return o
	}
	o.byHash = make(map[uint64][]keyOwner)
	for _, owner := range list {
		for _, key := range owner.GetKeys() {
			h := maphash.String(o.seed, key)
			o.byHash[h] = append(o.byHash[h], keyOwner{key: []byte(key), owner: owner})
		}
	}
	return o
}

// HasOrganisations reports whether callers need a key on routes that are not public.
func (t *Table) HasOrganisations() bool { return t.organisations.count > 0 }

// Organisation returns the organisation that holds a key, or nil.
func (t *Table) Organisation(key []byte) *pb.Organisation {
	var found *pb.Organisation
	for _, k := range t.organisations.byHash[maphash.Bytes(t.organisations.seed, key)] {
		if subtle.ConstantTimeCompare(k.key, key) == 1 {
			found = k.owner
		}
	}
	return found
}
