package plan

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"hash/maphash"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// organisations finds the organisation of a key. The keys are found by a hash with a random seed and then compared in
// constant time, so that the time of a lookup tells nothing about the bytes of a key.
type organisations struct {
	seed      maphash.Seed
	byHash    map[uint64]keyOwner
	count     int
	hasQuotas bool
}

type keyOwner struct {
	key   []byte
	owner *pb.Organisation
}

// maxSeeds bounds the seeds that are tried. Two keys have the same hash with a probability of about 2e-11 per seed and
// 30,000 keys.
const maxSeeds = 8

// newOrganisations indexes the keys. A key that is listed twice, which Validate rejects, belongs to the last organisation.
// If two keys have the same hash with every seed, the first one is unknown.
func newOrganisations(list []*pb.Organisation) organisations {
	o := organisations{count: len(list), hasQuotas: anyQuota(list)}
	keys := 0
	for _, owner := range list {
		keys += len(owner.GetKeys())
	}
	for range maxSeeds {
		o.seed, o.byHash = maphash.MakeSeed(), make(map[uint64]keyOwner, keys)
		if o.index(list) {
			break
		}
	}
	return o
}

// index fills byHash and reports whether all keys have different hashes.
func (o *organisations) index(list []*pb.Organisation) bool {
	different := true
	for _, owner := range list {
		for _, key := range owner.GetKeys() {
			h := maphash.String(o.seed, key)
			other, taken := o.byHash[h]
			different = different && !(taken && string(other.key) != key)
			o.byHash[h] = keyOwner{key: []byte(key), owner: owner}
		}
	}
	return different
}

// HasOrganisations reports whether callers need a key on routes that are not public.
func (t *Table) HasOrganisations() bool { return t.organisations.count > 0 }

// Organisation returns the organisation that holds a key, or nil.
func (t *Table) Organisation(key []byte) *pb.Organisation {
	if t.organisations.count == 0 {
		return nil
	}
	k := t.organisations.byHash[maphash.Bytes(t.organisations.seed, key)]
	if subtle.ConstantTimeCompare(k.key, key) != 1 {
		return nil
	}
	return k.owner
}

// keyHashBytes is the length of the hash that stands for a key in outputs. With 4 bytes, two of 1,000 keys have the same
// hash with a probability of 1e-4, and a hash reveals nothing about a key that cannot be guessed.
const keyHashBytes = 4

// KeyHash returns the short hash that stands for a key in outputs: the first digits of its SHA-256 hash in hexadecimal.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyHashBytes])
}
