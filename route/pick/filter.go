package pick

import (
	"slices"
	"time"
)

// eligible reports whether the target may get the scorer's request now.
func (p *Pool) eligible(t *target, w *scorer) bool {
	switch {
	case !p.available(w.now, t, w.call), t.probing, t.busyFor(w.now) > 0 && !w.busyToo:
		return false
	case p.allowedPerSecond(w.now, t) > 0:
		return p.rateAllows(w.now, t)
	}
	return true
}

// available reports whether the target may get this request as far as its own state, and the
// request's tried targets and software version allow. Rate limits and probes of targets are checked separately.
func (p *Pool) available(now time.Time, t *target, c Call) bool {
	if !p.hasSoftware(t, c.Software) {
		return false
	}
	return !p.draining(t) && !slices.Contains(c.Tried, t.ID) && !now.Before(t.backoffUntil) && !t.resting(now)
}

// draining reports whether the target is draining or its zone evacuated.
func (p *Pool) draining(t *target) bool { return t.Draining || p.snapshot.Evacuated[t.Zone] }

// cold reports whether the target can take only a few requests a second because it is warming up.
func (p *Pool) cold(now time.Time, t *target) bool {
	if p.snapshot.Rules[t.Service].ColdPerSecond <= 0 {
		return false
	}
	return now.Before(t.ColdUntil.Add(coldMargin)) || now.Before(t.inferredColdUntil)
}

// answered records that the target responded. A target that was unreachable may have just
// restarted, so it counts as cold for as long as warming up takes.
//
// Without this, a restarted target looks idle for the second or two until the platform's list says
// that it is cold. After its first success it would get all traffic, 11 requests in a second where
// it can take 7, and crash again.
func (p *Pool) answered(now time.Time, t *target) {
	if !t.unreached {
		return
	}
	t.unreached = false
	t.extendCold(now.Add(p.snapshot.Rules[t.Service].ColdFor + coldMargin))
}

// extendCold makes the target count as cold at least until the given time.
func (t *target) extendCold(until time.Time) {
	if until.After(t.inferredColdUntil) {
		t.inferredColdUntil = until
	}
}

// rateAllows reports whether a target with a rate limit may get a request now. Only the entry
// instance that owns the target's group gives it requests, at that rate; if each instance kept the
// rate by itself, their sum would crash the target.
func (p *Pool) rateAllows(now time.Time, t *target) bool {
	return !now.Before(t.nextAllowed) && p.ownsGroupStably(now, t.Service, t.group)
}
