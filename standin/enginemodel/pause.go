package enginemodel

import "time"

// pauses measures the time between the events of one answer, each of which has the same
// number of tokens.
type pauses struct {
	// tokens is the number of tokens generated for the next event, in the time elapsed.
	tokens  int
	elapsed time.Duration
	// longest is the longest time of a complete event.
	longest time.Duration
}

// add records n tokens generated in one step each; size tokens make an event.
func (p *pauses) add(n int, step time.Duration, size int) {
	if missing := size - p.tokens; n >= missing {
		p.longest = max(p.longest, p.elapsed+time.Duration(missing)*step)
		p.tokens, p.elapsed = 0, 0
		n -= missing
	}
	if n >= size {
		p.longest = max(p.longest, time.Duration(size)*step)
		n %= size
	}
	p.tokens += n
	p.elapsed += time.Duration(n) * step
}

// Fetch copies the cached blocks of a prompt's prefix from another engine. It takes no
// virtual time.
func (e *Engine) Fetch(from *Engine, prefix []uint64) {
	e.cache.store(prefix[:from.cache.hit(prefix)])
}
