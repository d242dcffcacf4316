package pick

import (
	"math"
	"time"
)

// The load pattern: a target in need names in its answers how many requests a second it takes
// from all instances together, for as long as it says so.
//
// The instance that decides for the target's group gives it requests at that rate, as to a cold
// one; the others give it none by themselves. Who gets an answer is not who decides, so what
// the answer names goes back to the decider where it believes otherwise, and each question
// carries what the asker knows: a decider that begins does not begin at nothing.

// NamedLimit is the limit that a target names in an answer. The zero value names none.
type TargetLimit struct {
	Limited   bool    `cbor:"1,keyasint,omitempty"`
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// Valid reports whether a limit can be meant. What cannot be is taken for none.
func (n TargetLimit) Valid() bool {
	return n.Limited && n.PerSecond >= 0 && !math.IsInf(n.PerSecond, 0)
}

// heard is what a target named last, and when its answer came.
type heard struct {
	TargetLimit
	at time.Time
}

// Heard takes in what the target's answer names, and reports whether that is news.
func (c *Choice) LearnLimit(now time.Time, n TargetLimit) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.t.hears(now, n)
}

// hears takes in what the target has named at a time, if nothing newer is known.
func (t *target) hears(at time.Time, n TargetLimit) (news bool) {
	if at.Before(t.named.at) {
		return false
	}
	if !n.Valid() {
		n = TargetLimit{}
	}
	news = n != t.named.TargetLimit
	t.named = heard{n, at}
	return news
}

const (
	// leastNamed is what a target that names less gets all the same, a second: without a
	// request, nothing would tell that it has recovered.
	leastNamed = 0.25
	// mostKnown bounds the limits that go with one question, oldestKnown their age.
	mostKnown   = 64
	oldestKnown = time.Hour
)

// perSecond is how many requests a second a target bears from all instances together; 0 where
// nothing bounds it.
func (p *Pool) perSecond(now time.Time, t *target) float64 {
	least := 0.0
	if p.cold(now, t) {
		least = p.snapshot.Rules[t.Service].ColdPerSecond
	}
	if t.named.Limited {
		limit := max(leastNamed, t.named.PerSecond)
		if least == 0 || limit < least {
			least = limit
		}
	}
	return least
}

// KnownLimit is a limit that an instance knows of.
type KnownLimit struct {
	Target string      `cbor:"1,keyasint"`
	Limit  TargetLimit `cbor:"2,keyasint"`
	// AgeMillis is how long ago the target named it.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// KnownLimits lists the targets of a service that are in need as far as is known here.
func (p *Pool) KnownLimits(now time.Time, service string) []KnownLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []KnownLimit
	for _, t := range p.byService[service] {
		if t.named.Limited && len(out) < mostKnown {
			out = append(out, KnownLimit{Target: t.ID, Limit: t.named.TargetLimit, AgeMillis: now.Sub(t.named.at).Milliseconds()})
		}
	}
	return out
}

// LearnLimits takes in what another instance knows. What was heard here later stays.
func (p *Pool) LearnLimits(now time.Time, known []KnownLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range known {
		if t := p.targets[k.Target]; t != nil && k.AgeMillis >= 0 && k.AgeMillis <= oldestKnown.Milliseconds() {
			t.hears(now.Add(-time.Duration(k.AgeMillis)*time.Millisecond), k.Limit)
		}
	}
}
