// Package ring joins the goroutines of a pipeline by bounded queues.
//
// An unbounded queue between two duties hides an overload until memory runs
// out. A Ring holds a fixed number of items and counts what it refused, so that
// an overload shows in a counter at the place where it happens.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue for any number of producers and consumers.
type Ring[T any] struct {
	items   chan T
	pushed  atomic.Uint64
	refused atomic.Uint64
}

// Stats are the counters of a Ring since its making.
type Stats struct {
	// Pushed is the number of items taken in.
	Pushed uint64
	// Refused is the number of items turned away because the ring was full.
	Refused uint64
	// Len and Cap are the items held now and the bound, in items.
	Len, Cap int
}

// New makes a ring that holds at most capacity items; capacity is at least 1.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(1, capacity))}
}

// TryPush adds an item and reports whether there was room. It never blocks.
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

// Push adds an item, waiting for room until ctx ends. The error is ctx's.
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

// Pop takes the oldest item, waiting for one until ctx ends. The error is ctx's.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the receiving side, for use in a select.
func (r *Ring[T]) C() <-chan T { return r.items }

// Stats returns the counters now.
func (r *Ring[T]) Stats() Stats {
	return Stats{Pushed: r.pushed.Load(), Refused: r.refused.Load(), Len: len(r.items), Cap: cap(r.items)}
}
