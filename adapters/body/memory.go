// Package body reads the bodies of requests and responses into a bounded amount of memory, so that
// endless or very large bodies, or many at once, do not exhaust the memory of the process.
package body

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Memory bounds the memory that large bodies use, over all connections that share
// it. Reading an endless body fails once the bound is reached. It is safe for concurrent use.
type Memory struct {
	limit      int64        // of held
	largest    int64        // limit of one body
	buffers    int64        // limit of allocated
	holdBoth   bool         // while a buffer grows, the old one is held besides the new one
	held       atomic.Int64 // by leases
	allocated  atomic.Int64 // buffers that are not garbage collected yet
	collecting sync.Mutex
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
	if m.allocated.Add(capacity) > m.buffers && !m.collect() {
		m.allocated.Add(-capacity)
		return nil, false
	}
	b := make([]byte, capacity)
	runtime.AddCleanup(&b[0], func(n int64) { m.allocated.Add(-n) }, capacity)
	return b[:0], true
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
	return &Memory{limit: int64(limit), largest: int64(limit) / largestShare, buffers: garbageFactor * int64(limit), holdBoth: true}
}

// NewRequestMemory returns a Memory of limit bytes for request bodies. One body may have all of it, because callers may send what
// the limits of the plan allow. A buffer that is being replaced by a larger one does not count towards the limit.
func NewRequestMemory(limit int) *Memory {
	return &Memory{limit: int64(limit), largest: int64(limit), buffers: garbageFactor * int64(limit)}
}

// replaced returns the bytes to hold for a buffer while it is copied to a larger one.
func (m *Memory) replaced(b []byte) int64 {
	if m.holdBoth {
		return int64(cap(b))
	}
	return 0
}

// Held returns the bytes that leases hold.
func (m *Memory) Held() int64 { return m.held.Load() }

// Lease returns a lease without memory, for one message.
func (m *Memory) Lease() *Lease { return &Lease{memory: m} }

// uncountedBytes is the size in bytes up to which a body does not count towards the limit, so that
// large bodies never prevent ordinary ones from being read.
const uncountedBytes = 64 << 10

// Lease is the memory that one message holds of a Memory. It is not safe for concurrent use.
type Lease struct {
	memory *Memory
	held   int64
}

// allows reports whether a body may have a size in bytes.
func (l *Lease) allows(size int64) bool {
	return size <= max(uncountedBytes, l.memory.largest)
}

// fits reports whether the memory for a body of a size in bytes is left at the moment.
func (l *Lease) fits(size int64) bool { return size <= l.memory.limit-l.memory.held.Load() }

// hold changes the memory of the lease to a number of bytes. It returns false, and changes nothing, if too little
// memory is left.
func (l *Lease) hold(bytes int64) bool {
	if bytes <= uncountedBytes {
		bytes = 0
	}
	additional := bytes - l.held
	if held := l.memory.held.Add(additional); additional > 0 && held > l.memory.limit {
		l.memory.held.Add(-additional)
		return false
	}
	l.held = bytes
	return true
}

// Release returns the memory of the lease, which can be used again afterwards.
func (l *Lease) Release() {
	l.memory.held.Add(-l.held)
	l.held = 0
}
