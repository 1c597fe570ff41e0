package body

import (
	"runtime/debug"
	"sync"
	"syscall"
)

// Large request bodies are held in mappings of their own. A mapping has the size that the body may have, but takes memory only
// for the bytes that were received. So a body is never copied to a larger buffer, and leaves no garbage.

// mappingStep is the unit in which the memory of a mapping is counted.
const mappingStep = 64 << 10

func mapBuffer(size int64) ([]byte, error) {
	b, err := syscall.Mmap(-1, 0, int(size), syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_ANON|syscall.MAP_PRIVATE|syscall.MAP_NORESERVE)
	if err == nil {
		// Huge pages would take memory beyond the bytes received. Kernels without them return an error, which does not matter.
		_ = syscall.Madvise(b, madviseNoHugePage)
	}
	return b, err
}

// madviseNoHugePage is MADV_NOHUGEPAGE of linux/mman.h, which package syscall does not define for all systems.
const madviseNoHugePage = 15

// unmap returns the memory of a mapping of which a number of bytes is in use.
func unmap(b []byte, used int64) {
	if err := syscall.Munmap(b); err != nil {
		panic(err) // cannot happen: b is a mapping
	}
	heap.addMapped(-used)
}

// heap is the limit of the memory that the runtime manages, next to the mappings.
var heap heapLimit

type heapLimit struct {
	mu                   sync.Mutex
	usual, total, mapped int64
	applied              int64 // mapped when the limit was set
}

// heapLimitStep is the change of the mappings after which the limit is set anew.
const heapLimitStep = 1 << 20

// LimitHeap sets the memory limit of the runtime to usual, and lower while it and the mappings together would exceed total.
func LimitHeap(usual, total int64) {
	heap.mu.Lock()
	defer heap.mu.Unlock()
	heap.usual, heap.total = usual, total
	heap.apply()
}

func (h *heapLimit) addMapped(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mapped += n
	if d := h.mapped - h.applied; h.total > 0 && (d >= heapLimitStep || d <= -heapLimitStep) {
		h.apply()
	}
}

func (h *heapLimit) apply() {
	h.applied = h.mapped
	debug.SetMemoryLimit(min(h.usual, h.total-h.mapped))
}

// extendMapped appends a part to a body in the mapping of the lease. most is the largest size that the body may have. It returns
// false if there is no memory left.
func (l *Lease) extendMapped(b, part []byte, most int64) ([]byte, bool) {
	size := int64(len(b) + len(part))
	if !l.allows(size) || size > most {
		return nil, false
	}
	if l.mapping == nil {
		var err error
		if l.mapping, err = mapBuffer(most); err != nil {
			l.mapping = nil
			return nil, false
		}
		b = l.mapping[:copy(l.mapping, b)]
	}
	if size > l.held {
		held := l.held
		if !l.hold(min(most, (size+mappingStep-1)/mappingStep*mappingStep)) {
			return nil, false
		}
		heap.addMapped(l.held - held)
	}
	return append(b, part...), true
}
