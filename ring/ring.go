// Package ring is a bounded ring buffer that joins two goroutines with one
// responsibility each. A full ring rejects the new item, so a slow consumer
// never makes its producer wait or memory grow.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring passes items from any number of producers to one consumer.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// Gauge is what metrics read of a ring.
type Gauge interface {
	Depth() int
	Capacity() int
	Dropped() uint64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] { return &Ring[T]{items: make(chan T, capacity)} }

// TryPush adds an item; it reports false and counts a drop when the ring is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Push adds an item and waits for space until the context ends.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Items is the receiving end, for a consumer that selects over several sources.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Depth is the number of items that wait.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Capacity is the largest number of items that can wait.
func (r *Ring[T]) Capacity() int { return cap(r.items) }

// Dropped counts the items that TryPush rejected.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
