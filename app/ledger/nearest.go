package ledger

import (
	"slices"
	"sync"

	core "github.com/rattanfield/rattanfield/core/ledger"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// initialMembers returns the members that are asked first: the nearest
// majorities, or all members when the options have no LinkTo.
func (k *Keeper) initialMembers(groups [][]string) []string {
	if k.options.LinkTo == nil {
		return core.Union(groups)
	}
	return core.NearestMajorities(groups, k.distance)
}

// distance returns the distance of a member: the class of the link to it. A lower
// value is nearer. This node comes first; members that are down or have no known
// address come last.
func (k *Keeper) distance(member string) int {
	if member == k.options.NodeID {
		return -1
	}
	address, known := k.clients.resolve.PeerAddress(member)
	if !known || k.isDown(member) {
		return ports.LinkCount
	}
	return int(k.options.LinkTo(address))
}

// holders returns the members that may hold a claim and must receive its end.
func (k *Keeper) holders(s *pb.Service, c *pb.Claim) []string {
	groups := core.Groups(s, k.options.Now())
	if k.widened.remove(c.GetAttempt()) {
		return core.Union(groups)
	}
	return k.initialMembers(groups)
}

// without returns the members of all that are not in some.
func without(all, some []string) []string {
	var out []string
	for _, m := range all {
		if !slices.Contains(some, m) {
			out = append(out, m)
		}
	}
	return out
}

// maxWidened bounds the number of remembered attempts, because some never end.
// When it is reached, the end of every claim is sent to all members.
const maxWidened = 4096

// attemptSet holds the attempts that were sent to all members.
type attemptSet struct {
	mu       sync.Mutex
	attempts map[uint64]bool
	full     bool
}

func (w *attemptSet) add(attempt uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempts == nil {
		w.attempts = make(map[uint64]bool)
	}
	if len(w.attempts) >= maxWidened {
		w.full = true
		return
	}
	w.attempts[attempt] = true
}

// remove removes an attempt and reports whether it may have been sent to all members.
func (w *attemptSet) remove(attempt uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.attempts[attempt]
	delete(w.attempts, attempt)
	return found || w.full
}
