package pick

import (
	"math"
	"time"
)

// The load pattern: a target in need names in its answers how many requests a second it takes
// from all instances together, for as long as it says so.

// Named is the limit that a target names in an answer. The zero value names none.
type Named struct {
	Limited   bool    `cbor:"1,keyasint,omitempty"`
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// valid reports whether a limit can be meant. What cannot be is taken for none.
func (n Named) valid() bool {
	return n.Limited && n.PerSecond >= 0 && !math.IsInf(n.PerSecond, 0)
}

// heard is what a target named last, and when its answer came.
type heard struct {
	Named
	at time.Time
}

// Named takes in what the target's answer names, and reports whether that is news.
func (c *Choice) Named(now time.Time, n Named) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.t.hears(now, n)
}

// hears takes in what the target has named at a time, if nothing newer is known.
func (t *target) hears(at time.Time, n Named) (news bool) {
	if at.Before(t.named.at) {
		return false
	}
	if !n.valid() {
		n = Named{}
	}
	news = n != t.named.Named
	t.named = heard{n, at}
	return news
}
