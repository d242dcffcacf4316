// Package ring connects goroutines by bounded queues.
//
// An unbounded queue between two goroutines hides an overload until memory runs
// out. A Ring holds a bounded number of items and counts those that it refused,
// so that a counter shows an overload at the place where it occurs.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in, first-out queue for any number of concurrent
// producers and consumers.
type Ring[T any] struct {
	items   chan T
	pushed  atomic.Uint64
	refused atomic.Uint64
}

// Stats are the counters of a Ring since New.
type Stats struct {
	// Pushed is the number of items added.
	Pushed uint64
	// Refused is the number of items not added because the ring was full, for
	// Push until its context ended.
	Refused uint64
	// Len is the current number of items, Cap their maximum.
	Len, Cap int
}

// New returns a Ring for at most capacity items; a capacity below 1 counts as 1.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(1, capacity))}
}

// TryPush adds an item if there is room, and reports whether it did. It never
// blocks.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.items <- v:
		r.pushed.Add(1)
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Push adds an item, waiting for room until ctx ends; then it returns ctx.Err().
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		r.pushed.Add(1)
		return nil
	case <-ctx.Done():
		r.refused.Add(1)
		return ctx.Err()
	}
}

// Pop removes and returns the oldest item, waiting for one until ctx ends; then
// it returns ctx.Err().
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel that items are received from, for use in a select. It is
// never closed.
func (r *Ring[T]) C() <-chan T { return r.items }

// Stats returns the current counters.
func (r *Ring[T]) Stats() Stats {
	return Stats{Pushed: r.pushed.Load(), Refused: r.refused.Load(), Len: len(r.items), Cap: cap(r.items)}
}
