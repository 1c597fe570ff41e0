package httpproxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanfield/rattanfield/core/drain"
)

// StopAdmission decides which requests the entry and the gate of a node start while the node stops, see package
// drain. It is shared by both and safe for concurrent use; a nil pointer admits everything.
type StopAdmission struct {
	stop atomic.Pointer[drain.Stop]

	mu        sync.Mutex
	durations drain.Durations
	parents   map[*call]struct{} // requests that the local upstream runs
}

// NewStopAdmission returns an admission that admits everything until Begin.
func NewStopAdmission() *StopAdmission {
	return &StopAdmission{parents: make(map[*call]struct{})}
}

// Begin starts a stop.
func (a *StopAdmission) Begin(s drain.Stop) { a.stop.Store(&s) }

func (a *StopAdmission) current() *drain.Stop {
	if a == nil {
		return nil
	}
	return a.stop.Load()
}

// admitAtEntry decides about a request of a caller or of the local upstream, and bounds its deadline by the end of the
// stop. A nested call of a request in progress is admitted until the end: its parent may fail without it. It is
// recognised by the call id, which upstreams pass on, and ends with its parent.
func (a *StopAdmission) admitAtEntry(c *call, k drain.Kind) *rejection {
	if a.current() == nil {
		return nil
	}
	parent := a.parentDeadline(c.id)
	if !parent.IsZero() && c.deadline.After(parent) {
		c.deadline = parent
	}
	return a.admit(c, k, parent)
}

// admitAtGate decides about a request of an entry. The parent of a nested call, which has a depth above 1, runs
// beside another node. It is not known here, so the time limit of the call alone bounds it.
func (a *StopAdmission) admitAtGate(c *call, k drain.Kind) *rejection {
	parent := time.Time{}
	if c.depth > 1 {
		parent = c.deadline
	}
	return a.admit(c, k, parent)
}

func (a *StopAdmission) admit(c *call, k drain.Kind, parent time.Time) *rejection {
	s := a.current()
	if s == nil {
		return nil
	}
	now := time.Now()
	a.mu.Lock()
	r := drain.Request{Deadline: c.deadline, Usual: a.durations.Usual(k), ParentDeadline: parent}
	a.mu.Unlock()
	if !parent.IsZero() {
		r.Deadline = s.Limit(r.Deadline)
	}
	if limit, admitted := s.Admit(now, r); admitted {
		c.deadline, c.limit = limit, s.Limit(c.limit)
		return nil
	}
	return a.rejection()
}

// rejection returns the rejection of a request that the stopping node does not start.
func (a *StopAdmission) rejection() *rejection {
	if a.current() == nil {
		return reject(ReasonLeaving)
	}
	return &rejection{reason: ReasonLeaving, retryAfter: a.RetryAfter(), closes: true}
}

// RetryAfter returns the time after which a rejected request can be sent again; 0 before Begin.
func (a *StopAdmission) RetryAfter() time.Duration {
	s := a.current()
	if s == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return s.RetryAfter(time.Now(), a.durations.Longest())
}

// limit returns the time limit of an attempt of a request. It ends with the stop, also if the request was admitted
// before.
func (a *StopAdmission) limit(deadline time.Time) time.Time {
	if s := a.current(); s != nil {
		return s.Limit(deadline)
	}
	return deadline
}

// expired reports that a stop has reached the time at which every request must be answered.
func (a *StopAdmission) expired() bool {
	s := a.current()
	return s != nil && drain.Passed(time.Now(), s.LatestAnswer())
}

// orExpired returns a function that reports whether an exchange ends early: because of cancelled, which may be nil, or
// because the stop ends. The exchange may have begun before the stop, with a later deadline.
func (a *StopAdmission) orExpired(cancelled func() bool) func() bool {
	if a == nil {
		return cancelled
	}
	return func() bool { return (cancelled != nil && cancelled()) || a.expired() }
}

// reasonOf returns the reason of a failed exchange. One that orExpired has ended failed by its time limit.
func (a *StopAdmission) reasonOf(f *exchangeError) Reason {
	if f.reason == ReasonCancelledAfterStart && a.expired() {
		return ReasonDeadlineAfterStart
	}
	return f.reason
}

// parentDeadline returns the time limit of the request with this call id that the local upstream runs; the zero time
// if there is none.
func (a *StopAdmission) parentDeadline(id string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var latest time.Time
	for p := range a.parents {
		if id != "" && p.id == id && p.deadline.After(latest) {
			latest = p.deadline
		}
	}
	return latest
}

// beginRun records that the local upstream runs a request, and returns the function that ends it.
func (a *StopAdmission) beginRun(c *call) (end func()) {
	if a == nil {
		return func() {}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parents[c] = struct{}{}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.parents, c)
	}
}

// record records how long a request took that was answered.
func (a *StopAdmission) record(k drain.Kind, took time.Duration) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.durations.Record(k, took)
}
