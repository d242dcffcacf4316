package enginemodel

import "time"

// pauses measures the time between the events of one answer, each of which holds a number
// of tokens.
type pauses struct {
	// held are the tokens of the next event, made in the time took.
	held int
	took time.Duration
	// longest is that of the whole events.
	longest time.Duration
}

// add takes in n tokens that took a step each, of which size make an event.
func (p *pauses) add(n int, step time.Duration, size int) {
	if missing := size - p.held; n >= missing {
		p.longest = max(p.longest, p.took+time.Duration(missing)*step)
		p.held, p.took = 0, 0
		n -= missing
	}
	if n >= size {
		p.longest = max(p.longest, time.Duration(size)*step)
		n %= size
	}
	p.held += n
	p.took += time.Duration(n) * step
}

// Fetch has the engine keep what another one keeps of a prompt. It takes no time.
func (e *Engine) Fetch(from *Engine, prefix []uint64) {
	e.cache.store(prefix[:from.cache.hit(prefix)])
}
