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
	case p.perSecond(now, t) > 0:
		return p.due(now, t)
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

// answered notes that a target is there. One that was out of reach may have started anew a
// moment ago, and counts as cold for as long as a start takes.
//
// What goes wrong without it: the platform's list tells that a target is cold a second or two
// after its start. In between it looks idle, so as soon as one request has come back well it
// is given all that comes: on one day 11 in a second where it bears 7, and it crashes again.
func (p *Pool) answered(now time.Time, t *target) {
	if !t.unreached {
		return
	}
	t.unreached = false
	t.coldUntil(now.Add(p.snapshot.Rules[t.Service].ColdFor + coldMargin))
}

// coldUntil has the target count as cold for longer.
func (t *target) coldUntil(until time.Time) {
	if until.After(t.coldBy) {
		t.coldBy = until
	}
}

// due shares out the few requests of a target that bears only so many a second: the entry
// instance that decides for its group gives them at that rate, and the others none. What goes
// wrong without it: each instance keeps the rate by itself, and their sum crashes the target.
func (p *Pool) due(now time.Time, t *target) bool {
	return !now.Before(t.next) && p.settled(now, t.Service, t.group)
}
