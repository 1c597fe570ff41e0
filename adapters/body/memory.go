// Package body reads the bodies of responses into a bounded part of the memory of
// the process, also those that never end.
package body

import "sync/atomic"

// Memory bounds what large bodies of responses take while they are read, over all
// connections that share it. Bytes that come without end use it up and end there.
type Memory struct {
	limit int64
	taken atomic.Int64
}

// NewMemory returns a bound in bytes; one response may have half of it.
func NewMemory(limit int) *Memory { return &Memory{limit: int64(limit)} }

// Lease returns a lease that has taken nothing.
func (m *Memory) Lease() *Lease { return &Lease{memory: m} }

// smallBody is read without counting, so that large bodies never keep ordinary ones out.
const smallBody = 64 << 10

// Lease is the part of a Memory that one response has taken. It is not safe for concurrent use.
type Lease struct {
	memory *Memory
	taken  int64
}

// reserve makes room for a body of the given size; false: there is none.
func (l *Lease) reserve(size int64) bool {
	more := size - smallBody - l.taken
	if more <= 0 {
		return true
	}
	if size > l.memory.limit/2 {
		return false
	}
	if l.memory.taken.Add(more) > l.memory.limit {
		l.memory.taken.Add(-more)
		return false
	}
	l.taken += more
	return true
}

// Release gives back what was taken.
func (l *Lease) Release() {
	l.memory.taken.Add(-l.taken)
	l.taken = 0
}
