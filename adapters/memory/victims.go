package memory

import (
	"cmp"
	"slices"
	"time"
)

// shortage is the room that is missing, in all and of what large messages may hold.
type shortage struct{ all, large int64 }

func (s shortage) ends() bool { return s.all <= 0 && s.large <= 0 }

// candidate is a holder that may give way.
type candidate struct {
	*Holder
	first    bool // before all others
	yields   bool // its user is above its share, and not the one that asks
	state    State
	lastByte time.Time
}

// victims returns the holders that give way so that h can hold n more, besides those that already do. If too few can, it returns
// none and false. Holders of users above their share come first, and then those that have been without a byte for the longest
// time. A user that is above its share takes room only from itself; one below its share also takes it from connections above
// theirs that are still sending. For the process itself, spare connections come before all others.
func (a *Account) victims(h *Holder, n int64, large bool, now time.Time) (out []*Holder, enough bool) {
	missing := shortage{all: n - (a.limit - a.held)}
	if large {
		missing.large = n - (a.large - a.heldLarge)
	}
	candidates := a.candidates(h, n, &missing, large, now)
	slices.SortFunc(candidates, a.compare)
	extra := int64(0)
	if a.idleFirst {
		extra = a.limit / spareSlotsDivisor
	}
	for _, c := range candidates {
		if missing.all <= -extra && missing.large <= 0 || missing.ends() && c.state != Idle {
			break
		}
		if c.state == Spare && missing.all <= 0 {
			continue // only room for large messages is missing, of which it holds none
		}
		missing.reduce(c.Holder)
		out = append(out, c.Holder)
	}
	if !missing.ends() {
		return nil, false
	}
	return out, true
}

// reduce subtracts what a holder releases.
func (s *shortage) reduce(h *Holder) {
	s.all -= h.held
	s.large -= h.heldLarge
}

// candidates returns the holders that may give way to h. Those that already do reduce what is missing.
func (a *Account) candidates(h *Holder, n int64, missing *shortage, large bool, now time.Time) []candidate {
	var shares [kinds]int64
	for k, name := range h.users {
		shares[k] = a.share(Kind(k), name)
	}
	requester, own := a.above(h, n, &shares), h.users == [kinds]string{}
	var out []candidate
	for c := range a.holders {
		state := State(c.state.Load())
		if c == h || c.held == 0 || large && c.heldLarge == 0 && !a.idleFirst && state != Spare {
			continue
		}
		if c.evicted {
			missing.reduce(c) // it is about to release
			continue
		}
		if c.evict == nil || state == Busy {
			continue
		}
		first, yields, allowed := own && state == Spare, false, true
		for k, is := range a.above(c, 0, &shares) {
			same := c.users[k] == h.users[k]
			yields = yields || is && !same
			allowed = allowed && (!requester[k] || same)
		}
		if allowed && (first || yields || now.Sub(c.silentSince()) >= minSilence) {
			out = append(out, candidate{c, first, yields, state, c.silentSince()})
		}
	}
	return out
}

// compare orders candidates: those that give way first are less.
func (a *Account) compare(x, y candidate) int {
	switch {
	case a.idleFirst && x.state != y.state:
		return cmp.Compare(y.state, x.state)
	case x.first != y.first:
		return trueFirst(x.first)
	case x.yields != y.yields:
		return trueFirst(x.yields)
	}
	return x.lastByte.Compare(y.lastByte)
}

func trueFirst(x bool) int {
	if x {
		return -1
	}
	return 1
}
