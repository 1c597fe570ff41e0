// Package memory divides what a process has for its connections, bytes or descriptors, among their users. It decides who gets
// room and which connection gives way. It reads no clock and does no I/O.
package memory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is a kind of user.
type Kind uint8

// Kinds of users. None may take the share of another one of its kind.
const (
	Source Kind = iota // the address of a client
	Organisation
	FailureDomain
	kinds
)

var kindNames = [...]string{"source", "organisation", "failure_domain"}

func (k Kind) String() string { return kindNames[k] }

// user names a user of a kind.
type user struct {
	kind Kind
	name string
}

// State tells how far a connection may give way to others.
type State uint8

// States of a Holder.
const (
	Busy    State = iota // its request runs; it does not give way
	Waiting              // for the rest of a request, or for its client to read an answer
	Idle                 // between requests
	Spare                // a connection that the process opened to another one, between requests
)

// minSilence is how long a connection must have been without a byte before it gives way to a user that does not have less than
// its share. Connections that are sending are not closed for others that send.
const minSilence = 300 * time.Millisecond

// spareSlotsDivisor is the part of the slots, as a divisor, that idle holders give up at once beyond what is needed. With one for
// each new connection, a storm of connections spends most of a small processor share on the choice of who gives way.
const spareSlotsDivisor = 32

// Account bounds what all its holders hold. It is safe for concurrent use.
type Account struct {
	limit, large int64
	idleFirst    bool

	mu        sync.Mutex
	held      int64
	heldLarge int64
	byUser    map[user]int64
	holders   map[*Holder]struct{}
	released  chan struct{} // closed when a holder releases something or has to give way; nil: nobody waits
	refused   uint64
	evicted   uint64
}

// NewAccount returns an account. Large messages together may hold at most large of the limit, so that the rest stays for
// ordinary ones.
func NewAccount(limit, large int64) *Account {
	return &Account{limit: limit, large: large, byUser: make(map[user]int64), holders: make(map[*Holder]struct{})}
}

// NewSlots returns an account in which each holder takes one of a number of slots. Idle holders give way first.
func NewSlots(n int64) *Account {
	a := NewAccount(n, n)
	a.idleFirst = true
	return a
}

// Holder is a connection, or another user of the account. Its methods are safe for concurrent use.
type Holder struct {
	account *Account
	evict   func()
	users   [kinds]string // "": not known

	held, heldLarge int64
	evicted         bool
	begin           time.Time
	state           atomic.Uint32
	lastByte        atomic.Int64 // nanoseconds since begin
}

// NewHolder returns a holder that holds nothing. evict is called, without a lock, when the holder has to give way; it must not
// block. A holder without evict never gives way.
func (a *Account) NewHolder(source, failureDomain string, now time.Time, evict func()) *Holder {
	h := &Holder{account: a, evict: evict, begin: now}
	h.users[Source], h.users[FailureDomain] = source, failureDomain
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// Account returns the account of the holder.
func (h *Holder) Account() *Account { return h.account }

// SetOrganisation states whose request the holder carries from now on; "": not known.
func (h *Holder) SetOrganisation(name string) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if name == h.users[Organisation] {
		return
	}
	a.addUser(Organisation, h.users[Organisation], -h.held)
	a.addUser(Organisation, name, h.held)
	h.users[Organisation] = name
}

// SetState sets the state of the holder and the time of its last byte.
func (h *Holder) SetState(s State, lastByte time.Time) {
	h.state.Store(uint32(s))
	h.Touch(lastByte)
}

// Touch sets the time of the last byte.
func (h *Holder) Touch(lastByte time.Time) { h.lastByte.Store(int64(lastByte.Sub(h.begin))) }

// silentSince returns the time of the last byte.
func (h *Holder) silentSince() time.Time { return h.begin.Add(time.Duration(h.lastByte.Load())) }

// Evicted reports whether the holder has to give way, or its connection closes. It gets nothing more then.
func (h *Holder) Evicted() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// MarkClosing states that the connection of the holder closes and releases what it holds. Others that need room wait for that;
// if they were refused instead, they would close their connections at the same time, although the room of one is enough.
func (h *Holder) MarkClosing() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.evicted = true
	h.account.wake()
}

// Add changes what the holder holds by n. It returns false, and changes nothing, if there is no room. Other holders may have
// been told to give way then, see Account.Released. A negative n always succeeds.
func (h *Holder) Add(n int64, large bool, now time.Time) bool {
	a := h.account
	a.mu.Lock()
	if n <= 0 || a.fits(n, large) {
		a.add(h, n, large)
		a.mu.Unlock()
		return true
	}
	victims, enough := a.victims(h, n, large, now)
	for _, v := range victims {
		v.evicted = true
		a.evicted++
	}
	if !enough {
		a.refused++
	}
	if len(victims) > 0 {
		a.wake() // a victim that waits for room must not hold up its own release
	}
	a.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return false
}

// Release returns all that the holder holds and removes it.
func (h *Holder) Release() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.holders[h]; !ok {
		return
	}
	a.add(h, -h.heldLarge, true)
	a.add(h, -h.held, false)
	delete(a.holders, h)
}

// Released returns a channel that is closed when something is released, or holders are told to give way. After an Add that failed, pending reports whether
// holders that were told to give way still hold something.
func (a *Account) Released() (released <-chan struct{}, pending bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for h := range a.holders {
		if h.evicted && h.held > 0 {
			pending = true
			break
		}
	}
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released, pending
}

func (a *Account) fits(n int64, large bool) bool {
	return a.held+n <= a.limit && (!large || a.heldLarge+n <= a.large)
}

func (a *Account) add(h *Holder, n int64, large bool) {
	a.held += n
	h.held += n
	if large {
		a.heldLarge += n
		h.heldLarge += n
	}
	for k, name := range h.users {
		a.addUser(Kind(k), name, n)
	}
	if n < 0 {
		a.wake()
	}
}

// wake wakes those that wait for room.
func (a *Account) wake() {
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

func (a *Account) addUser(k Kind, name string, n int64) {
	if name == "" {
		return
	}
	u := user{k, name}
	if a.byUser[u] += n; a.byUser[u] == 0 {
		delete(a.byUser, u)
	}
}

// share returns the part of the limit that each user of a kind gets, if the named one is among them.
func (a *Account) share(k Kind, name string) int64 {
	n := int64(0)
	if _, ok := a.byUser[user{k, name}]; !ok {
		n++
	}
	for u := range a.byUser {
		if u.kind == k {
			n++
		}
	}
	return a.limit / n
}

// above returns the kinds in which a holder's user would hold more than its share with n more. A user that is alone in its
// kind is never above it.
func (a *Account) above(h *Holder, n int64, shares *[kinds]int64) (out [kinds]bool) {
	for k, name := range h.users {
		out[k] = name != "" && a.byUser[user{Kind(k), name}]+n > shares[k]
	}
	return out
}

// Usage is what a user holds.
type Usage struct {
	Kind Kind
	Name string
	Held int64
}

// Top returns the users of each kind that hold the most, at most n of a kind.
func (a *Account) Top(n int) []Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Usage
	for k := range kinds {
		var all []Usage
		for u, held := range a.byUser {
			if u.kind == k {
				all = append(all, Usage{u.kind, u.name, held})
			}
		}
		slices.SortFunc(all, func(x, y Usage) int {
			return cmp.Or(cmp.Compare(y.Held, x.Held), cmp.Compare(x.Name, y.Name))
		})
		out = append(out, all[:min(n, len(all))]...)
	}
	return out
}

// Counts returns what is held, and how many requests for room were refused and how many holders had to give way.
func (a *Account) Counts() (held int64, refused, evicted uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held, a.refused, a.evicted
}
