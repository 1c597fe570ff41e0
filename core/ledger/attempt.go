package ledger

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Decision on an attempt to claim a key.
type Decision uint8

// Decisions.
const (
	Waiting     Decision = iota
	Granted              // this gate alone may run the request
	Answered             // Current holds the response
	Claimed              // another gate holds the claim
	SplitVote            // gates divided the votes and nobody has a majority; release and try again
	KeyReused            // the key belongs to another request
	Unreachable          // no majority answered in time
)

// Groups returns the ledger groups whose majorities a claim needs at a time.
func Groups(s *pb.Service, now time.Time) [][]string {
	groups := [][]string{s.GetLedgerMembers()}
	changed := time.UnixMilli(s.GetLedgerChangedUnixMs())
	if len(s.GetPreviousLedgerMembers()) > 0 && now.Sub(changed) < GroupWindow {
		groups = append(groups, s.GetPreviousLedgerMembers())
	}
	return groups
}

// Union returns the members of all groups once.
func Union(groups [][]string) []string {
	var out []string
	for _, g := range groups {
		for _, m := range g {
			if !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	return out
}

// NearestMajorities returns the members that a gate asks first: of each group the majority
// with the lowest rank. The others are asked when that is not enough.
func NearestMajorities(groups [][]string, rank func(member string) int) []string {
	near := make([][]string, 0, len(groups))
	for _, g := range groups {
		sorted := slices.Clone(g)
		slices.SortStableFunc(sorted, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
		near = append(near, sorted[:majority(g)])
	}
	return Union(near)
}

// Attempt collects the votes on one claim of one gate. It is not safe for concurrent use.
type Attempt struct {
	claim   *pb.Claim
	groups  [][]string
	started time.Time
	granted map[string]bool
	failed  map[string]bool
	holders map[claimID]int // claims that other members hold
	reused  bool
	current *pb.Claim
}

// NewAttempt starts before the first message is sent.
func NewAttempt(now time.Time, c *pb.Claim, groups [][]string) *Attempt {
	return &Attempt{
		claim: c, groups: groups, started: now,
		granted: make(map[string]bool), failed: make(map[string]bool), holders: make(map[claimID]int),
	}
}

// Current is the stored response after Answered.
func (a *Attempt) Current() *pb.Claim { return a.current }

// Vote takes the answer of a member; a lost message counts as UNSPECIFIED.
func (a *Attempt) Vote(now time.Time, member string, o pb.ClaimOutcome, current *pb.Claim) Decision {
	switch o {
	case pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		// A later grant may come from a member that has restarted since another one was given.
		if now.Sub(a.started) < ClaimWindow {
			a.granted[member] = true
		} else {
			a.failed[member] = true
		}
	case pb.ClaimOutcome_CLAIM_OUTCOME_TAKEN:
		a.failed[member] = true
		if current.GetFingerprint() != a.claim.GetFingerprint() {
			a.reused = true
		}
		if current.GetState() == pb.ClaimState_CLAIM_STATE_ANSWERED {
			a.current = current
			if a.reused {
				return KeyReused
			}
			return Answered
		}
		a.holders[idOf(current)]++
	default:
		a.failed[member] = true
	}
	return a.decide()
}

func (a *Attempt) decide() Decision {
	if a.all(func(g []string) bool { return count(g, a.granted) >= majority(g) }) {
		return Granted
	}
	possible := a.all(func(g []string) bool { return len(g)-count(g, a.failed) >= majority(g) })
	if possible {
		return Waiting
	}
	switch {
	case a.reused:
		return KeyReused
	case len(a.holders) == 0:
		return Unreachable
	case a.mayBeHeld():
		return Claimed
	default:
		return SplitVote
	}
}

// mayBeHeld reports that another claim has, or may have, a majority: the
// members that did not answer are counted for it.
func (a *Attempt) mayBeHeld() bool {
	most := 0
	for _, n := range a.holders {
		most = max(most, n)
	}
	silent := 0
	union := Union(a.groups)
	for _, m := range union {
		if !a.granted[m] && !a.failed[m] {
			silent++
		}
	}
	return most+silent >= len(union)/2+1
}

func (a *Attempt) all(f func(group []string) bool) bool {
	for _, g := range a.groups {
		if !f(g) {
			return false
		}
	}
	return len(a.groups) > 0
}

// RecoveryComplete reports that a restarted member has pulled the claims of
// enough other members: in each of its groups so many that at least one of them
// holds any claim that a majority has granted. With 3 members these are both
// others, with 4 any 2 and with 5 any 3 others.
func RecoveryComplete(groups [][]string, self string, pulled map[string]bool) bool {
	for _, g := range groups {
		if !slices.Contains(g, self) {
			continue
		}
		if needed := len(g) - majority(g) + 1; count(g, pulled) < needed {
			return false
		}
	}
	return true
}

func majority(g []string) int { return len(g)/2 + 1 }

func count(g []string, set map[string]bool) int {
	n := 0
	for _, m := range g {
		if set[m] {
			n++
		}
	}
	return n
}
