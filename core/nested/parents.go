// Package nested recognises the calls that an upstream makes while it runs a request, its parent. Upstreams that derive
// the ids of their calls from that of the parent name it. Otherwise such a call may expire with its parent, so that its
// time limit equals that of a running request. A client's request may have the same time limit
// by coincidence; Routes learns on which routes that does not explain the matches. The package does no I/O and reads no
// clock.
package nested

import (
	"slices"
	"strings"
	"time"
)

const (
	// early is how much sooner than its parent a call may seem to expire: both round to milliseconds.
	early = 2 * time.Millisecond
	// narrow is how much later than its parent a call usually seems to expire: the time in which the upstream reads
	// the parent and the entry reads the call.
	narrow = 8 * time.Millisecond
	// late is the same for processes that wait for processor time.
	late = 100 * time.Millisecond
)

// parent is a request that the upstream runs.
type parent struct {
	id       uint64
	deadline time.Time
	retry    bool
}

// Parents holds the requests that an upstream runs, sorted by their time limits. The zero value is empty. It is not
// safe for concurrent use.
type Parents struct {
	list []parent
	byID map[string]uint64 // unique id by the one that the caller chose
}

// Add adds a request that is sent to the upstream with a time limit. requestID is the id that the caller chose, id one
// that is unique here. retry states that it is a retry or a nested call of one.
func (p *Parents) Add(id uint64, requestID string, deadline time.Time, retry bool) {
	if p.byID == nil {
		p.byID = make(map[string]uint64)
	}
	if requestID != "" {
		p.byID[requestID] = id
	}
	p.list = slices.Insert(p.list, p.after(deadline), parent{id: id, deadline: deadline, retry: retry})
}

// Remove removes a request that was added with this id of its caller and this time limit.
func (p *Parents) Remove(id uint64, requestID string, deadline time.Time) {
	if p.byID[requestID] == id {
		delete(p.byID, requestID)
	}
	for i := p.after(deadline) - 1; i >= 0 && p.list[i].deadline.Equal(deadline); i-- {
		if p.list[i].id == id {
			p.list = slices.Delete(p.list, i, i+1)
			return
		}
	}
}

// idSeparators separate the id of the parent from what an upstream appends to it for a call.
const idSeparators = ".:/-_"

// Named returns the running request whose id that of a call extends, by the unique id with which it was added.
func (p *Parents) Named(callID string) (id uint64, ok bool) {
	i := strings.LastIndexAny(callID, idSeparators)
	if i <= 0 {
		return 0, false
	}
	id, ok = p.byID[callID[:i]]
	return id, ok
}

// after returns the index of the first request that expires after a time.
func (p *Parents) after(t time.Time) int {
	i, _ := slices.BinarySearchFunc(p.list, t, func(x parent, t time.Time) int {
		if x.deadline.After(t) {
			return 1
		}
		return -1
	})
	return i
}

// Match states which requests may be the parent of a call.
type Match struct {
	close, possible bool // one expires up to narrow or late before the call
	// coincidence states that one expires as much before the call as a client's request would by chance. The time
	// span has the same length as that of close, and follows it.
	coincidence bool
	// Retry states that the likeliest parent is a retry or a nested call of one.
	Retry bool
}

// Match compares the time limit of a call with those of the running requests.
func (p *Parents) Match(deadline time.Time) Match {
	var m Match
	i := p.after(deadline.Add(early)) - 1
	if i < 0 {
		return m
	}
	distance := deadline.Sub(p.list[i].deadline)
	m.close, m.possible, m.Retry = distance <= narrow, distance <= late, p.list[i].retry
	if j := p.after(deadline.Add(-narrow-1)) - 1; j >= 0 {
		m.coincidence = deadline.Sub(p.list[j].deadline) <= 2*narrow+early
	}
	return m
}
