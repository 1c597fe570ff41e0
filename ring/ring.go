// Package ring provides a bounded queue between goroutines, which wraps a buffered
// channel. When the queue is full, TryPush drops the new item and counts it, so that
// a slow consumer neither blocks its producers nor makes memory grow.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in, first-out queue from any number of producers to one consumer.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// Gauge is the part of a Ring that is read to export metrics, independent of the item
// type. It is not itself a gauge of the metrics package.
type Gauge interface {
	Depth() int
	Capacity() int
	Dropped() uint64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] { return &Ring[T]{items: make(chan T, capacity)} }

// TryPush adds an item without blocking. When the ring is full, it counts a drop and returns false.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Push adds an item. It waits for space until the context ends, and then returns
// the cause of the context's end.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Items returns the receiving end of the ring, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Depth returns the number of queued items.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Capacity returns the largest number of queued items.
func (r *Ring[T]) Capacity() int { return cap(r.items) }

// Dropped returns the number of items that TryPush rejected.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
