package pick

import (
	"math"
	"time"
)

// An overloaded target announces in its responses how many requests a second it accepts from all
// instances together, for as long as the limit holds.
//
// The owner of the target's group sends it requests at that rate, as to a cold target; the other
// instances choose it for none themselves. The instance that gets the response need not be the
// owner, so it reports the announced limit to the owner if the owner knows a different one. Each
// request to the owner also carries the limits known to the sender, so a new owner does not start
// without any.

// TargetLimit is the limit that a target announces in a response. The zero value is no limit.
type TargetLimit struct {
	Limited bool `cbor:"1,keyasint,omitempty"`
	// PerSecond is the accepted requests per second, from all instances together.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// Valid reports whether the limit is a possible one. Callers treat an invalid limit as none.
func (n TargetLimit) Valid() bool {
	return n.Limited && n.PerSecond >= 0 && !math.IsInf(n.PerSecond, 0)
}

// limitAt is the limit that a target announced last, and when.
type limitAt struct {
	TargetLimit
	at time.Time
}

// LearnLimit records the limit in the target's response and reports whether it changed. An invalid
// limit counts as none.
func (c *Choice) LearnLimit(now time.Time, n TargetLimit) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.t.learnLimit(now, n)
}

// learnLimit records a limit announced at a time, unless a newer one is known. It reports whether
// the limit changed.
func (t *target) learnLimit(at time.Time, n TargetLimit) (changed bool) {
	if at.Before(t.limit.at) {
		return false
	}
	if !n.Valid() {
		n = TargetLimit{}
	}
	changed = n != t.limit.TargetLimit
	t.limit = limitAt{n, at}
	return changed
}

const (
	// minPerSecond is the rate that a target gets even if it announces less: without any request,
	// nothing would show that it has recovered.
	minPerSecond = 0.25
	// maxKnownLimits bounds the limits sent with one request to a group owner, maxLimitAge their
	// age.
	maxKnownLimits = 64
	maxLimitAge    = time.Hour
)

// allowedPerSecond is how many requests a second a target may get from all instances together; 0
// for no limit.
func (p *Pool) allowedPerSecond(now time.Time, t *target) float64 {
	lowest := 0.0
	if p.cold(now, t) {
		lowest = p.snapshot.Rules[t.Service].ColdPerSecond
	}
	if t.limit.Limited {
		limit := max(minPerSecond, t.limit.PerSecond)
		if lowest == 0 || limit < lowest {
			lowest = limit
		}
	}
	return lowest
}

// KnownLimit is a target's limit as sent between instances.
type KnownLimit struct {
	Target string      `cbor:"1,keyasint"`
	Limit  TargetLimit `cbor:"2,keyasint"`
	// AgeMillis is the time since the target announced it.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// KnownLimits returns the limited targets of a service, at most maxKnownLimits.
func (p *Pool) KnownLimits(now time.Time, service string) []KnownLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []KnownLimit
	for _, t := range p.byService[service] {
		if t.limit.Limited && len(out) < maxKnownLimits {
			out = append(out, KnownLimit{Target: t.ID, Limit: t.limit.TargetLimit, AgeMillis: now.Sub(t.limit.at).Milliseconds()})
		}
	}
	return out
}

// LearnLimits records limits from another instance. Newer limits known here stay, and limits with a
// negative age or one above maxLimitAge are ignored.
func (p *Pool) LearnLimits(now time.Time, known []KnownLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range known {
		if t := p.targets[k.Target]; t != nil && k.AgeMillis >= 0 && k.AgeMillis <= maxLimitAge.Milliseconds() {
			t.learnLimit(now.Add(-time.Duration(k.AgeMillis)*time.Millisecond), k.Limit)
		}
	}
}
