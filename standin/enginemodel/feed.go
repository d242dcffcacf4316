package enginemodel

import "time"

// Feed delivers values in order after a delay, as load reports and cache events
// arrive. For a gap, the host omits a value. The zero value has no delay.
type Feed[T any] struct {
	// Lag is the delay from Put until Take returns the value.
	Lag   time.Duration
	queue []delayed[T]
}

type delayed[T any] struct {
	due   time.Time
	value T
}

// Put adds a value made at now.
func (f *Feed[T]) Put(now time.Time, v T) {
	f.queue = append(f.queue, delayed[T]{now.Add(f.Lag), v})
}

// Take removes and returns the values that are due at now, oldest first.
func (f *Feed[T]) Take(now time.Time) []T {
	var out []T
	n := 0
	for n < len(f.queue) && !f.queue[n].due.After(now) {
		out = append(out, f.queue[n].value)
		n++
	}
	f.queue = f.queue[n:]
	return out
}
