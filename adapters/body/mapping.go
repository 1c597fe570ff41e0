package body

import (
	"io"
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

// readMapped reads a body into a mapping. first are the bytes that were read before, most is the largest size that the body may have.
// Memory is held before it is read into.
func (l *Lease) readMapped(r message, src io.Reader, first []byte, most int64) (size int64, err error) {
	size = int64(len(first))
	if !l.allows(size) || size > most {
		return size, ErrTooLarge
	}
	if l.mapping, err = mapBuffer(most); err != nil {
		l.mapping = nil
		return size, ErrTooLarge
	}
	if !l.holdMapped(size, most) {
		return size, ErrTooLarge
	}
	copy(l.mapping, first)
	for {
		var part []byte // at the end, one byte shows whether the body is longer
		if size == most {
			part = make([]byte, 1)
		} else {
			if !l.holdMapped(size+1, most) {
				return size, ErrTooLarge
			}
			part = l.mapping[size:l.held]
		}
		n, err := src.Read(part)
		size += int64(n)
		switch {
		case size > most:
			return size, ErrTooLarge
		case err == io.EOF:
			r.SetBodyRaw(l.mapping[:size]) // a raw body never gets into the pool of the HTTP library
			return size, nil
		case err != nil:
			return size, err
		}
	}
}

// holdMapped holds the memory of a mapping up to a size.
func (l *Lease) holdMapped(size, most int64) bool {
	held := l.held
	if size <= held {
		return true
	}
	if !l.hold(min(most, (size+mappingStep-1)/mappingStep*mappingStep)) {
		return false
	}
	heap.addMapped(l.held - held)
	return true
}
