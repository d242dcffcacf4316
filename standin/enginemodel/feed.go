package enginemodel

import "time"

// Feed delivers values late and in order, as load reports and cache events
// come. Gaps are the host's: it leaves a value out.
type Feed[T any] struct {
	// Lag is the time from Put to Take.
	Lag   time.Duration
	queue []late[T]
}

type late[T any] struct {
	due   time.Time
	value T
}

// Put takes a value made at now.
func (f *Feed[T]) Put(now time.Time, v T) {
	f.queue = append(f.queue, late[T]{now.Add(f.Lag), v})
}

// Take returns the values that are due at now, oldest first.
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
