// Package body reads the bodies of requests and responses into a bounded amount of memory, so that
// endless or very large bodies, or many at once, do not exhaust the memory of the process.
package body

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanfield/rattanfield/adapters/memory"
)

// Memory bounds the memory that large bodies use, over all connections that share
// it. Reading an endless body fails once the bound is reached. It is safe for concurrent use.
type Memory struct {
	limit      int64        // of held
	largest    int64        // limit of one body
	buffers    int64        // limit of allocated
	held       atomic.Int64 // by leases
	allocated  atomic.Int64 // buffers that are not garbage collected yet
	collecting sync.Mutex

	account *memory.Account // shared with other users of the memory of the process; nil: none
	holder  *memory.Holder  // of the buffers of responses in the account; nil: not counted there
	mapped  bool            // buffers are mappings (see mapping.go) instead of memory of the runtime
}

const (
	// garbageFactor bounds the buffers that are in use, replaced or not collected yet, in multiples of the limit. Without it, a
	// process that is short of processor time allocates faster than it collects.
	garbageFactor = 2
	// cleanupTime is how long an allocation waits for the buffers that a collection has found, and cleanupPause the
	// time between two looks.
	cleanupTime  = 50 * time.Millisecond
	cleanupPause = time.Millisecond
)

// allocate returns an empty buffer. It returns false if the bound is reached and no garbage is left to collect.
func (m *Memory) allocate(capacity int64) ([]byte, bool) {
	if m.allocated.Add(capacity) > m.buffers && !m.collect() || !m.count(capacity) {
		m.allocated.Add(-capacity)
		return nil, false
	}
	b := make([]byte, capacity)
	runtime.AddCleanup(&b[0], func(n int64) {
		m.allocated.Add(-n)
		m.count(-n)
	}, capacity)
	return b[:0], true
}

// count adds a buffer to the account, after a collection if there is no room.
func (m *Memory) count(n int64) bool {
	if m.holder == nil || m.holder.Add(n, true, time.Now()) {
		return true
	}
	runtime.GC()
	time.Sleep(cleanupPause)
	return m.holder.Add(n, true, time.Now())
}

// collect collects garbage until the allocated buffers are within the bound again. It returns false if they are not.
func (m *Memory) collect() bool {
	m.collecting.Lock()
	defer m.collecting.Unlock()
	within := func() bool { return m.allocated.Load() <= m.buffers }
	if within() {
		return true
	}
	runtime.GC()
	for end := time.Now().Add(cleanupTime); !within() && time.Now().Before(end); {
		time.Sleep(cleanupPause) // cleanups run after the collection
	}
	return within()
}

// largestShare is the part of a Memory, as a divisor, that one response body may use once it is complete. While it grows, it
// takes up to three times as much: the old and the new buffer.
const largestShare = 4

// NewMemory returns a Memory of limit bytes for response bodies. The body of one response may have a quarter of it.
func NewMemory(limit int) *Memory {
	return &Memory{limit: int64(limit), largest: int64(limit) / largestShare, buffers: garbageFactor * int64(limit)}
}

// NewSharedMemory is NewMemory for a Memory whose buffers also count in an account.
func NewSharedMemory(limit int, a *memory.Account) *Memory {
	m := NewMemory(limit)
	m.account, m.holder = a, a.NewHolder("", "", time.Now(), nil)
	return m
}

// NewRequestMemory returns a Memory of limit bytes for request bodies. One body may have all of it, because callers may send what
// the limits of the plan allow.
func NewRequestMemory(limit int) *Memory {
	return NewSharedRequestMemory(limit, memory.NewAccount(int64(limit), int64(limit)))
}

// NewSharedRequestMemory is NewRequestMemory for a Memory whose buffers also count in an account.
func NewSharedRequestMemory(limit int, a *memory.Account) *Memory {
	return &Memory{limit: int64(limit), largest: int64(limit), mapped: true, account: a}
}

// Held returns the bytes that leases hold.
func (m *Memory) Held() int64 { return m.held.Load() }

// Lease returns a lease without memory, for one message.
func (m *Memory) Lease() *Lease { return &Lease{memory: m} }

// LeaseFor returns a lease of a connection, whose holder takes what the lease holds of the account.
func (m *Memory) LeaseFor(h *memory.Holder) *Lease { return &Lease{memory: m, holder: h} }

// UncountedBytes is the size in bytes up to which a body does not count towards the limit, so that
// large bodies never prevent ordinary ones from being read. Of a connection with a holder, it counts in the account.
const UncountedBytes = 64 << 10

// Lease is the memory that one message holds of a Memory. It is not safe for concurrent use.
type Lease struct {
	memory  *Memory
	holder  *memory.Holder
	private bool // the holder belongs to this lease alone
	held    int64
	small   int64  // held for a body of at most UncountedBytes
	mapping []byte // buffer of a large request body
	most    int64  // largest size of a request body whose length is not stated
}

// allows reports whether a body may have a size in bytes.
func (l *Lease) allows(size int64) bool {
	return size <= max(UncountedBytes, l.memory.largest)
}

// fits reports whether the memory for a body of a size in bytes is left at the moment.
func (l *Lease) fits(size int64) bool { return size <= l.memory.limit-l.memory.held.Load() }

// hold changes the memory of the lease to a number of bytes. It returns false, and changes nothing, if too little
// memory is left.
func (l *Lease) hold(bytes int64) bool {
	if bytes <= UncountedBytes && !l.memory.mapped {
		bytes = 0
	}
	additional := bytes - l.held
	if held := l.memory.held.Add(additional); additional > 0 && held > l.memory.limit {
		l.memory.held.Add(-additional)
		return false
	}
	if l.memory.mapped && !l.take(additional, true) {
		l.memory.held.Add(-additional)
		return false
	}
	l.held = bytes
	return true
}

// CoveredBytes is the size in bytes up to which the memory that is counted for an exchange covers the body of its response.
const CoveredBytes = 4 << 10

// Covers reports whether the lease holds the memory of a response body of at most UncountedBytes.
func (l *Lease) Covers(size int64) bool { return size <= l.small }

// holdSmall takes the memory of a body of at most UncountedBytes from the account, if the lease is that of a connection.
func (l *Lease) holdSmall(bytes int64) bool {
	if l.holder == nil || l.private || bytes <= l.small {
		return true
	}
	additional := bytes - l.small
	if !l.take(additional, false) {
		return false
	}
	l.small = bytes
	return true
}

// evictionTime bounds the wait for connections that give way to a body.
const evictionTime = 200 * time.Millisecond

// take changes what the lease holds of the account.
func (l *Lease) take(additional int64, large bool) bool {
	if l.holder == nil {
		if additional <= 0 {
			return true
		}
		l.holder, l.private = l.memory.account.NewHolder("", "", time.Now(), nil), true
	}
	return Take(l.holder.Account(), l.holder, additional, large)
}

// Take adds to what a holder holds of an account. If there is no room and others give way, it waits for them,
// unless the holder has to give way too.
func Take(a *memory.Account, h *memory.Holder, additional int64, large bool) bool {
	return TakeWithin(a, h, additional, large, evictionTime)
}

// TakeWithin is Take with a bound of its own for the wait. It never waits for longer than Take does.
func TakeWithin(a *memory.Account, h *memory.Holder, additional int64, large bool, bound time.Duration) bool {
	var timeout <-chan time.Time
	for {
		if h.Add(additional, large, time.Now()) {
			return true
		}
		released, pending := a.Released()
		if h.Add(additional, large, time.Now()) { // for what was released before
			return true
		}
		if !pending || h.Evicted() {
			return false
		}
		if timeout == nil {
			timer := time.NewTimer(min(bound, evictionTime))
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-timeout:
			return false
		}
	}
}

// Release returns the memory of the lease, which can be used again afterwards. The body of a request must not be used any more.
func (l *Lease) Release() {
	l.memory.held.Add(-l.held)
	if l.mapping != nil {
		unmap(l.mapping, l.held)
	}
	if l.holder != nil {
		if l.memory.mapped && l.held > 0 {
			l.holder.Add(-l.held, true, time.Time{})
		}
		if l.small > 0 {
			l.holder.Add(-l.small, false, time.Time{})
		}
		if l.private {
			l.holder.Release()
			l.holder, l.private = nil, false
		}
	}
	l.held, l.small, l.mapping = 0, 0, nil
}
