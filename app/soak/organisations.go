package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// Organisations of all plans.
const (
	steadyOrganisation   = "steady"   // its key is in all plans
	rotatingOrganisation = "rotating" // its keys change
	limitedOrganisation  = "limited"  // it has a quota, and its key is in all plans
)

const (
	// applyBound is the time from the acknowledgement of a plan until nodes in touch apply it.
	applyBound = 2500 * time.Millisecond
	// rotateEvery is the number of plans after which the oldest key of rotatingOrganisation is withdrawn and another one is
	// added, and heldKeys the number of keys that it has.
	rotateEvery, heldKeys = 3, 2
	// recentKeys is the number of its newest keys that clients use. With 6, only one or two of them had been withdrawn for longer than
	// applyBound, and a short run judged 2 to 7 requests.
	recentKeys = 10
)

// heldKey is a key that at least one plan held. It is never in a plan again after it was withdrawn.
type heldKey struct {
	key, organisation string
	number            int // in the order of the keys; violations name it instead of the key
	// offered is when the first plan with the key was sent and accepted when that plan was acknowledged, withdrawing and
	// withdrawn are the same times of the first plan without the key; zero: not yet.
	offered, accepted, withdrawing, withdrawn time.Time
}

// keyring has the keys of the plans of a run.
type keyring struct {
	mu     sync.Mutex
	random *rand.Rand
	plans  int
	keys   []*heldKey // the fixed keys, and those of rotatingOrganisation in the order of their plans
}

func newKeyring(seed uint64) *keyring { return &keyring{random: rand.New(rand.NewPCG(seed, 17))} }

// newKey returns a key that no plan has held. The caller holds mu.
func (k *keyring) newKey() string {
	return fmt.Sprintf("%s%016x", platformtest.KeyPrefix, k.random.Uint64())
}

func (k *keyring) add(organisation string) {
	k.keys = append(k.keys, &heldKey{key: k.newKey(), organisation: organisation, number: len(k.keys), offered: time.Now()})
}

// nextPlan returns the organisations of the next plan, which is sent now.
func (k *keyring) nextPlan() []platformtest.Organisation {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.plans == 0 {
		for _, o := range []string{steadyOrganisation, limitedOrganisation, rotatingOrganisation} {
			k.add(o)
		}
	}
	if k.plans++; k.plans%rotateEvery == 0 {
		k.add(rotatingOrganisation)
		if i := len(k.keys) - 1 - heldKeys; k.keys[i].organisation == rotatingOrganisation {
			k.keys[i].withdrawing = time.Now()
		}
	}
	organisations := []platformtest.Organisation{
		{Name: steadyOrganisation}, {Name: rotatingOrganisation}, {Name: limitedOrganisation, Rate: quotaRate, Burst: quotaBurst},
	}
	for i, o := range organisations {
		for _, held := range k.keys {
			if held.organisation == o.Name && held.withdrawing.IsZero() {
				organisations[i].Keys = append(organisations[i].Keys, held.key)
			}
		}
	}
	return organisations
}

// acknowledged records that the plan of the last call of nextPlan was acknowledged.
func (k *keyring) acknowledged() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, held := range k.keys {
		if held.accepted.IsZero() {
			held.accepted = now
		}
		if !held.withdrawing.IsZero() && held.withdrawn.IsZero() {
			held.withdrawn = now
		}
	}
}

// use is how a client uses keys in a request.
type use string

const (
	validUse   use = "a key of a plan"
	unknownUse use = "a key that no plan held"
	missingUse use = "no key"
	doubleUse  use = "two keys"
	publicUse  use = "a key on a public route"
)

// credentials are the keys of a request.
type credentials struct {
	use  use
	held *heldKey // the key of validUse
	sent []string
}

// fixed returns the credentials of an organisation whose key is in all plans.
func (k *keyring) fixed(organisation string) *credentials {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := slices.IndexFunc(k.keys, func(held *heldKey) bool { return held.organisation == organisation })
	return &credentials{use: validUse, held: k.keys[i], sent: []string{k.keys[i].key}}
}

// recent returns the credentials of one of the newest keys of rotatingOrganisation.
func (k *keyring) recent(choice int) *credentials {
	k.mu.Lock()
	defer k.mu.Unlock()
	var keys []*heldKey
	for _, held := range k.keys[max(0, len(k.keys)-recentKeys):] {
		if held.organisation == rotatingOrganisation {
			keys = append(keys, held)
		}
	}
	held := keys[choice%len(keys)]
	return &credentials{use: validUse, held: held, sent: []string{held.key}}
}

// choose returns the credentials of the next request of a client.
func (k *keyring) choose(random *rand.Rand) *credentials {
	steady := k.fixed(steadyOrganisation).sent[0]
	switch n := random.IntN(20); {
	case n < 6:
		return k.fixed(steadyOrganisation)
	case n < 13:
		return k.recent(random.IntN(recentKeys))
	case n < 15:
		return &credentials{use: unknownUse, sent: []string{fmt.Sprintf("%sunknown-%d", platformtest.KeyPrefix, random.Uint64())}}
	case n == 15:
		return &credentials{use: missingUse}
	case n == 16:
		return &credentials{use: doubleUse, sent: []string{steady, steady}}
	}
	return &credentials{use: publicUse, sent: []string{steady}}
}

// all returns copies of the keys by key.
func (k *keyring) all() map[string]heldKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string]heldKey)
	for _, held := range k.keys {
		out[held.key] = *held
	}
	return out
}

// keyedPrefix begins the ids of requests of clients that use keys, keyedWritePrefix those that may run at most once.
const (
	keyedPrefix      = "k-"
	keyedWritePrefix = writePrefix + keyedPrefix
)

func isKeyed(id string) bool {
	return strings.HasPrefix(id, keyedPrefix) || strings.HasPrefix(id, keyedWritePrefix)
}
