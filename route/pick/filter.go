package pick

import (
	"slices"
	"time"
)

// eligible is the filter: what may get this request now.
func (p *Pool) eligible(now time.Time, t *target, c Call) bool {
	switch {
	case !p.open(now, t, c), t.probing:
		return false
	case p.cold(now, t):
		return p.mayWarm(now, t)
	}
	return true
}

// open reports whether the target may get this request as far as its own state and the
// request tell; whether it is the turn of a cold or returning one is decided apart.
func (p *Pool) open(now time.Time, t *target, c Call) bool {
	return !p.leaving(t) && !slices.Contains(c.Tried, t.ID) && !now.Before(t.downUntil)
}

// leaving reports whether the target gets nothing new by order.
func (p *Pool) leaving(t *target) bool { return t.Draining || p.snapshot.Evacuated[t.Zone] }

// cold reports whether a target bears only a few requests a second.
func (p *Pool) cold(now time.Time, t *target) bool {
	if p.snapshot.Rules[t.Service].ColdPerSecond <= 0 {
		return false
	}
	return now.Before(t.ColdUntil.Add(coldMargin)) || now.Before(t.coldBy)
}

// mayWarm shares a cold target's few requests out: the entry instance that decides for
// its group gives them at the rate that it bears, and the others none. What goes wrong
// without it: each instance keeps the rate by itself, their sum crashes the target,
// and it comes back cold again.
func (p *Pool) mayWarm(now time.Time, t *target) bool {
	if now.Before(t.coldNext) {
		return false
	}
	return p.owner(t.Service, t.group) == p.self
}
