package pick

import "time"

// A target that turns a request away may ask the instance that sent it for rest: it wants no
// requests from that instance for a time. Each instance keeps the rests that it was asked for, and
// names the resting targets to the group owners that choose for it, so an owner that begins needs
// no state. Other instances may go on sending requests to the target.
//
// A target that is only busy says when it expects to accept requests again. It gets none until
// then as long as another target is available, here or in another region at less cost.

// rest is what a target has asked this instance for.
type rest struct {
	// until is the end of the rest. asked is the length of the rest that ends last.
	until time.Time
	asked time.Duration
	// busyUntil is when it expects not to be busy any more.
	busyUntil time.Time
	// untested says that no request has been accepted since: after the rest, one request at a time
	// tests whether the target accepts them again.
	untested bool
}

// Rest records that the target turned the request away at a time and asked this instance for rest.
// Of several rests the one that ends last holds.
func (c *Choice) Rest(now time.Time, asked time.Duration) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if until := now.Add(asked); until.After(c.t.rest.until) {
		c.t.rest.until, c.t.rest.asked, c.t.rest.untested = until, asked, true
	}
}

// Busy records that the target rejected the request at a time and expects to be busy for so long.
func (c *Choice) Busy(now time.Time, expected time.Duration) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.t.rest.busyUntil, c.t.rest.untested = now.Add(expected), true
}

// resting reports whether the target has asked this instance for rest.
func (t *target) resting(now time.Time) bool { return now.Before(t.rest.until) }

// busyFor is how much longer the target expects to be busy.
func (t *target) busyFor(now time.Time) time.Duration { return max(0, t.rest.busyUntil.Sub(now)) }

// maxNamedResting bounds the resting targets that are named to a group owner.
const maxNamedResting = 64

// Resting returns the targets of a service that a group owner must not choose for this instance
// because they rest, are busy, or get one request at a time after that or after a failure, at most
// maxNamedResting. PickAt does not check the last: it would then refuse the owner's own test.
func (p *Pool) Resting(now time.Time, service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, t := range p.byService[service] {
		if (t.resting(now) || t.busyFor(now) > 0 || t.probing) && len(out) < maxNamedResting {
			out = append(out, t.ID)
		}
	}
	return out
}

// RestLeft is the time until a service has a target that accepts requests from this instance
// again. Asked is how long that target's whole rest is.
type RestLeft struct{ Left, Asked time.Duration }

// RestLeft returns the rest left if all targets of a service that stay are resting or in backoff,
// and at least one is resting; otherwise it returns false.
func (p *Pool) RestLeft(now time.Time, service string) (out RestLeft, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := true
	for _, t := range p.byService[service] {
		if p.draining(t) {
			continue
		}
		until, asked := t.rest.until, t.rest.asked
		if t.backoffUntil.After(until) {
			until, asked = t.backoffUntil, 0
		}
		left := until.Sub(now)
		if left <= 0 {
			return RestLeft{}, false
		}
		if first || left < out.Left {
			out, first = RestLeft{Left: left, Asked: asked}, false
		}
		ok = ok || t.resting(now)
	}
	return out, ok
}

// AllDraining reports whether a service has targets and all of them are draining.
func (p *Pool) AllDraining(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.byService[service] {
		if !p.draining(t) {
			return false
		}
	}
	return len(p.byService[service]) > 0
}
