// Package voters decides which hosts of a control group vote.
//
// Every host of the group receives the log. The voters among them are an odd number of hosts, spread over failure
// domains and regions; the others are standbys, which take the place of voters that are lost or leave. The rules:
//
//   - A voter loses its vote only to a standby, or where the group bears more losses without it. A host that
//     comes back before a standby has taken its place still votes.
//   - A host that lost its vote remains a member for a while and, if it comes back, is a standby.
//   - A voter that is lost is demoted before its successor is promoted, because a change must not wait for a host
//     that may be lost too. A voter that runs is demoted after its successor was promoted.
//   - At most one seat is vacant. A second lost voter keeps its vote until the first one has a successor: with two
//     vacant seats of three, one host would accept alone what its disk may lose.
//
// The package does no I/O, starts no goroutine and reads no clock.
package voters

import (
	"cmp"
	"slices"
	"time"
)

// Settings are the limits of the decision.
type Settings struct {
	// MaxVoters is the largest number of voters; odd.
	MaxVoters int
	// ReplaceAfter is the time for which a host must be silent or behind before a standby takes its place.
	ReplaceAfter time.Duration
	// ForgetAfter is the time for which a host without a vote must be silent before it is removed.
	ForgetAfter time.Duration
	// GiveUpAfter is the time for which a voter must be silent before the group does without it although no
	// standby takes its place.
	GiveUpAfter time.Duration
}

// minVoters is the number of voters below which every available host votes: with fewer, no loss is borne.
const minVoters = 3

// Host is one member of the group as its leader sees it.
type Host struct {
	ID, FailureDomain, Region string
	// Voter reports that the host votes; Joining, that it will as soon as its log holds everything committed.
	Voter, Joining bool
	// Silent is the time since the host last answered, Behind the time since its log last held everything committed.
	Silent, Behind time.Duration
	// CaughtUp reports that the log of the host has held everything committed at least once under this leader.
	CaughtUp bool
	// Leaving reports that the host has announced that it stops.
	Leaving bool
}

// Change is one step towards the wanted voters. Its zero value changes nothing. It changes at most one vote.
type Change struct {
	Demote  string   // host that loses its vote, or is no longer to get one
	Promote []string // standbys that get a vote as soon as they have caught up
	Remove  string   // host without a vote that leaves the group
}

// None reports whether the change is empty.
func (c Change) None() bool { return c.Demote == "" && len(c.Promote) == 0 && c.Remove == "" }

// Next returns the next change of a group that is led by a host.
func Next(leader string, hosts []Host, s Settings) Change {
	g := group{leader: leader, settings: s, hosts: slices.SortedFunc(slices.Values(hosts), func(a, b Host) int {
		return cmp.Compare(a.ID, b.ID)
	})}
	return g.next()
}

type group struct {
	leader   string
	settings Settings
	hosts    []Host // sorted by ID
}

func (g *group) next() Change {
	wanted, size := g.wanted()
	isWanted := func(h Host) bool { return slices.ContainsFunc(wanted, func(w Host) bool { return w.ID == h.ID }) }
	var c Change
	pending := false
	for _, h := range wanted {
		switch {
		case h.Voter:
		case h.Joining:
			pending = true
		default:
			c.Promote = append(c.Promote, h.ID)
		}
	}
	voting := len(slices.DeleteFunc(slices.Clone(g.hosts), func(h Host) bool { return !h.Voter }))
	for _, h := range g.hosts {
		lostVoter := h.Voter && !g.reachable(h) && voting >= size
		if (lostVoter || h.Joining) && !isWanted(h) {
			c.Demote = h.ID
			return c
		}
	}
	if len(c.Promote) > 0 || pending {
		return c
	}
	for _, h := range g.hosts {
		switch {
		case isWanted(h):
		case h.Voter:
			return Change{Demote: h.ID}
		case h.Silent > g.settings.ForgetAfter && h.ID != g.leader:
			return Change{Remove: h.ID}
		}
	}
	return Change{}
}

func (g *group) reachable(h Host) bool {
	return h.ID == g.leader || max(h.Silent, h.Behind) <= g.settings.ReplaceAfter
}

// available reports whether a host may keep a vote or get one.
func (g *group) available(h Host) bool { return g.reachable(h) && !(h.Leaving && h.ID != g.leader) }

// wanted returns the hosts that are to vote, and the number of seats. There may be fewer hosts than seats.
func (g *group) wanted() (voting []Host, size int) {
	var seats, standbys, lost []Host
	present := 0 // voters that are not given up
	for _, h := range g.hosts {
		if h.Voter && (h.ID == g.leader || h.Silent <= g.settings.GiveUpAfter) {
			present++
		}
		switch {
		case !g.available(h):
			if h.Voter {
				lost = append(lost, h)
			}
		case h.Voter || h.Joining:
			seats = append(seats, h)
		case h.CaughtUp:
			standbys = append(standbys, h)
		}
	}
	size = min(g.settings.MaxVoters, max(minVoters, odd(len(seats)+len(standbys)), odd(present)))
	for len(seats) > size {
		seats = g.withoutWorst(seats)
	}
	for len(seats) < size && len(standbys) > 0 {
		best := cheapest(standbys, func(h Host) int { return spreadCost(append(slices.Clone(seats), h)) })
		seats = append(seats, standbys[best])
		standbys = slices.Delete(standbys, best, best+1)
	}
	// The voters that were heard last are the likeliest to come back.
	slices.SortStableFunc(lost, func(a, b Host) int { return cmp.Compare(a.Silent, b.Silent) })
	if missing := size - len(seats); missing > 0 {
		return append(seats, lost[:min(missing, len(lost))]...), size
	}
	return g.spread(seats, standbys), size
}

// odd returns the largest odd number up to n, or 0.
func odd(n int) int { return max(0, n-(n+1)%2) }

// withoutWorst removes the seat without which the others are spread best. The leader keeps its seat.
func (g *group) withoutWorst(seats []Host) []Host {
	var candidates []Host
	for _, h := range seats {
		if h.ID != g.leader {
			candidates = append(candidates, h)
		}
	}
	// In reverse, so that of equals the one with the highest id goes.
	slices.Reverse(candidates)
	worst := candidates[cheapest(candidates, func(h Host) int { return spreadCost(without(seats, h)) })]
	return without(seats, worst)
}

// spread gives the seat of a voter to a standby if the voters are then spread better.
func (g *group) spread(seats, standbys []Host) []Host {
	best := seats
	for _, in := range standbys {
		for _, out := range seats {
			if out.ID == g.leader || in.FailureDomain == "" || out.FailureDomain == "" {
				continue
			}
			if s := append(without(seats, out), in); spreadCost(s) < spreadCost(best) {
				best = s
			}
		}
	}
	return best
}

func without(hosts []Host, h Host) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(o Host) bool { return o.ID == h.ID })
}

// cheapest returns the index of the first host with the lowest cost.
func cheapest(hosts []Host, cost func(Host) int) int {
	best := 0
	for i := range hosts {
		if cost(hosts[i]) < cost(hosts[best]) {
			best = i
		}
	}
	return best
}

// spreadCost is the sum of the squares of the numbers of hosts in each failure domain and each region. It is the
// lowest when the hosts are spread evenly.
func spreadCost(hosts []Host) int {
	domains, regions := make(map[string]int), make(map[string]int)
	for _, h := range hosts {
		domain, region := h.FailureDomain, h.Region
		if domain == "" { // not known yet
			domain, region = h.ID, h.ID
		}
		domains[domain]++
		regions[region]++
	}
	cost := 0
	for _, counts := range []map[string]int{domains, regions} {
		for _, n := range counts {
			cost += n * n
		}
	}
	return cost
}
