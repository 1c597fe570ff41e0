package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanfield/rattanfield/ports"
)

// Rendezvous orders the candidates by rendezvous hashing (highest random weight)
// with the key. Each key yields its own order, and removing a candidate does not
// change the relative order of the others.
func Rendezvous(key string, candidates []string) []string {
	out := slices.Clone(candidates)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
	})
	return out
}

func score(key, candidate string) uint64 {
	return xxhash.Sum64String(key + "\x00" + candidate)
}

// Relay is a control host as listed in the settings of the nodes.
type Relay struct {
	ID, Address, FailureDomain, Region string
}

// RankRelays orders relays by preference for a node: first those of its failure
// domain, then those of its region, then the others. Within each class the order
// is by rendezvous hash, so that the nodes of a failed relay are distributed over
// the remaining ones.
func RankRelays(node, failureDomain, region string, relays []Relay) []Relay {
	link := func(r Relay) ports.Link {
		switch {
		case r.FailureDomain == failureDomain:
			return ports.LinkDomain
		case r.Region == region:
			return ports.LinkRegion
		}
		return ports.LinkRemote
	}
	out := slices.Clone(relays)
	slices.SortFunc(out, func(a, b Relay) int {
		return cmp.Or(cmp.Compare(link(a), link(b)),
			cmp.Compare(score(node, b.ID), score(node, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out
}
