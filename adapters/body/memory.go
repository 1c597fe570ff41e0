// Package body reads response bodies into a bounded amount of memory, so that endless
// or very large bodies do not exhaust the memory of the process.
package body

import "sync/atomic"

// Memory bounds the memory that large response bodies use while they are read, over all
// connections that share it. Reading an endless body fails once the bound is reached.
// It is safe for concurrent use.
type Memory struct {
	limit    int64
	reserved atomic.Int64
}

// NewMemory returns a Memory of limit bytes. One response may use at most half of it.
func NewMemory(limit int) *Memory { return &Memory{limit: int64(limit)} }

// Lease returns a lease without reserved memory, for one response.
func (m *Memory) Lease() *Lease { return &Lease{memory: m} }

// uncountedBytes is the size in bytes up to which a body does not count towards the limit, so that
// large bodies never prevent ordinary ones from being read.
const uncountedBytes = 64 << 10

// Lease is the memory that one response has reserved in a Memory. It is not safe for concurrent use.
type Lease struct {
	memory   *Memory
	reserved int64
}

// reserve extends the reservation to a body of size bytes in total. It returns false if
// that exceeds half of the limit or if too little memory is left.
func (l *Lease) reserve(size int64) bool {
	additional := size - uncountedBytes - l.reserved
	if additional <= 0 {
		return true
	}
	if size > l.memory.limit/2 {
		return false
	}
	if l.memory.reserved.Add(additional) > l.memory.limit {
		l.memory.reserved.Add(-additional)
		return false
	}
	l.reserved += additional
	return true
}

// Release returns the reserved memory. The lease can be used again afterwards.
func (l *Lease) Release() {
	l.memory.reserved.Add(-l.reserved)
	l.reserved = 0
}
