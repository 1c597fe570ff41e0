package ledger

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// AttemptStatus is the state of an Attempt to claim a key.
type AttemptStatus uint8

// The states of an Attempt, which ends with the first one other than Waiting.
const (
	Waiting      AttemptStatus = iota // more votes are needed
	Granted                           // this gate alone may run the request
	Answered                          // Current holds the response
	MayBeClaimed                      // another claim has a majority, or may have one
	SplitVote                         // the votes are divided among gates and none has a majority; release the claim and retry
	KeyReused                         // the key was used for a different request
	// No majority granted the claim in time: members rejected it, granted it too late or did not answer,
	// and none of them named another claim.
	Unreachable
)

// Groups returns the ledger groups of a service whose majorities a claim needs
// at the time now: the current group, and the previous one within GroupWindow of
// the change.
func Groups(s *pb.Service, now time.Time) [][]string {
	groups := [][]string{s.GetLedgerMembers()}
	changed := time.UnixMilli(s.GetLedgerChangedUnixMs())
	if len(s.GetPreviousLedgerMembers()) > 0 && now.Sub(changed) < GroupWindow {
		groups = append(groups, s.GetPreviousLedgerMembers())
	}
	return groups
}

// Union returns the distinct members of all groups.
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

// NearestMajorities returns the members that a gate asks first: in each group,
// the majority with the lowest distance from the gate. The gate asks the others
// only when these do not grant the claim in time.
func NearestMajorities(groups [][]string, distance func(member string) int) []string {
	majorities := make([][]string, 0, len(groups))
	for _, g := range groups {
		sorted := slices.Clone(g)
		slices.SortStableFunc(sorted, func(a, b string) int { return cmp.Compare(distance(a), distance(b)) })
		majorities = append(majorities, sorted[:majority(g)])
	}
	return Union(majorities)
}

// Attempt collects the votes on one claim of one gate. It is not safe for concurrent use.
type Attempt struct {
	claim   *pb.Claim
	groups  [][]string
	started time.Time
	granted map[string]bool // members whose grant counts
	failed  map[string]bool // members that voted otherwise, granted too late or did not answer
	holders map[claimID]int // number of members that hold each other claim
	reused  bool            // a member holds a claim of the key for another request
	current *pb.Claim       // claim with the stored response
}

// NewAttempt returns an attempt without votes. ClaimWindow starts at now, so it
// must be called before the first message is sent.
func NewAttempt(now time.Time, c *pb.Claim, groups [][]string) *Attempt {
	return &Attempt{
		claim: c, groups: groups, started: now,
		granted: make(map[string]bool), failed: make(map[string]bool), holders: make(map[claimID]int),
	}
}

// Current returns the claim that holds the stored response after the status
// Answered, or nil.
func (a *Attempt) Current() *pb.Claim { return a.current }

// Vote counts the outcome that a member returned and returns the status of the
// attempt. For a member that did not answer, the outcome is UNSPECIFIED.
func (a *Attempt) Vote(now time.Time, member string, o pb.ClaimOutcome, current *pb.Claim) AttemptStatus {
	switch o {
	case pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		// By the time of a later grant, a member that granted earlier may have restarted and lost its grant.
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

func (a *Attempt) decide() AttemptStatus {
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
		return MayBeClaimed
	default:
		return SplitVote
	}
}

// mayBeHeld reports whether another claim has, or may have, a majority of all
// members of the groups together. The members for which Vote has not been called
// yet may all hold it. A member that did not answer or granted too late is not
// among them, because Vote has put it in failed.
func (a *Attempt) mayBeHeld() bool {
	most := 0
	for _, n := range a.holders {
		most = max(most, n)
	}
	unknown := 0
	union := Union(a.groups)
	for _, m := range union {
		if !a.granted[m] && !a.failed[m] {
			unknown++
		}
	}
	return most+unknown >= len(union)/2+1
}

func (a *Attempt) all(f func(group []string) bool) bool {
	for _, g := range a.groups {
		if !f(g) {
			return false
		}
	}
	return len(a.groups) > 0
}

// RecoveryComplete reports whether a restarted member has pulled the claims of
// enough other members: in each of its groups, every possible majority must
// include a pulled member. In a group of 3 these are both other members, in a
// group of 4 any 2 and in a group of 5 any 3 of the others.
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
