package ledger

import (
	"slices"
	"sync"

	core "github.com/rattanfield/rattanfield/core/ledger"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// first returns the members that a claim is sent to at once.
func (k *Keeper) first(groups [][]string) []string {
	if k.options.LinkTo == nil {
		return core.Union(groups)
	}
	return core.NearestMajorities(groups, k.rank)
}

// rank orders members by the cost of the link, those that are down or unknown last.
func (k *Keeper) rank(member string) int {
	if member == k.options.NodeID {
		return -1
	}
	address, known := k.clients.resolve.PeerAddress(member)
	if !known || k.isDown(member) {
		return ports.LinkCount
	}
	return int(k.options.LinkTo(address))
}

// holders returns the members that may hold a claim.
func (k *Keeper) holders(s *pb.Service, c *pb.Claim) []string {
	groups := core.Groups(s, k.options.Now())
	if k.widened.take(c.GetAttempt()) {
		return core.Union(groups)
	}
	return k.first(groups)
}

func without(all, some []string) []string {
	var out []string
	for _, m := range all {
		if !slices.Contains(some, m) {
			out = append(out, m)
		}
	}
	return out
}

// maxWidened bounds the memory of attempts whose end is never told. Beyond it
// ends are sent to all members.
const maxWidened = 4096

// widened remembers the attempts that were sent to all members.
type widened struct {
	mu       sync.Mutex
	attempts map[uint64]bool
	full     bool
}

func (w *widened) add(attempt uint64) {
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

func (w *widened) take(attempt uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.attempts[attempt]
	delete(w.attempts, attempt)
	return found || w.full
}
