package pick

import "time"

// Choice is a target that was chosen, with the request counted in. Exactly one of
// its ends must be called: Done.
type Choice struct {
	ID, Address string
	// Cost is the estimate in milliseconds until the first event.
	Cost float64
	// Wait is Cost without what failures and others cost, for a comparison with other
	// regions: their failures are not known, and a request of which each answer fails would
	// drive all others away.
	Wait float64
	// Front is the part of Wait that requests in front take at an engine, whatever the
	// length of the call's own prompt.
	QueueWait float64
	// Tokens are what is read until the first event, as far as was known.
	Tokens float64
	// Cold says that the target was cold, and Entries how many instances were known among which
	// one decides for it.
	Cold    bool
	Entries int
	// Limit is what the target had named last, as far as was known.
	Limit TargetLimit
	// Source is the address of another target that keeps more of the prompt, from
	// where this one may fetch it; empty for none.
	Source string

	pool *Pool
	t    *target
	// advised says that another instance decided and counts it.
	advised bool
	at      time.Time
	chain   []link
	// counted is what the request still adds to the target's load.
	counted Load
	probe   bool
}

// First says that the target has begun to answer: the prompt is read.
func (c *Choice) FirstEvent(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.learn(now, float64(now.Sub(c.at).Milliseconds()))
	c.first()
	c.t.hasRead(c.chain)
}

// learn compares the time until the first event with what was expected.
func (c *Choice) learn(now time.Time, millis float64) {
	if !c.pool.snapshot.Rules[c.t.Service].Engine || c.counted.Running == 0 {
		return
	}
	pace := c.pool.pace(c.t.Service)
	if expected := pace.until(c.Tokens); expected >= leastLearned {
		ratio := min(mostSlowness, max(leastSlowness, millis/expected))
		c.t.slowness += learning * (ratio - c.t.slowness)
	}
	pace.learn(c.Tokens, millis)
	if !c.advised {
		pace.tell(now, c.Tokens, millis)
	}
}

// first takes the prompt out of what is not read yet.
func (c *Choice) first() { c.uncount(Load{PendingPrefill: c.counted.PendingPrefill}) }

// uncount takes a part of what the request was counted with out of the target's load.
func (c *Choice) uncount(part Load) {
	c.counted.subtract(part)
	c.t.own.subtract(part)
	if c.advised {
		c.t.advised.subtract(part)
	}
}

// Result is how a request at a target ended, as far as it tells of the target.
type Result uint8

const (
	// Good: it answered as it should.
	Good Result = iota
	// Neutral: the end tells nothing of the target, as when the caller left.
	Neutral
	// Failed: it answered with a failure.
	Failed
	// Lost: it could not be reached, or broke off.
	Lost
	// Unreachable: no connection to it could be made.
	Unreachable
	// Gone: another target answers at its address.
	Replaced
	// Full: it turned the request away.
	Rejected
)

// Watch has f called, by the goroutine that finds it, when the target turns out to be
// out of reach before Done.
//
// What goes wrong without it: a target falls silent with requests under way. Their
// connections look open for seconds, until the kernel gives them up, while new
// connections fail at once.
func (c *Choice) OnUnreachable(f func()) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.t.watches[c] = f
}

// Done takes the request out again.
func (c *Choice) Done(now time.Time, r Result) {
	for _, watch := range c.done(now, r) {
		watch()
	}
}

// done returns the watches that are to be called.
func (c *Choice) done(now time.Time, r Result) (watches []func()) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	t := c.t
	delete(t.watches, c)
	c.uncount(c.counted)
	if c.probe {
		t.probing = false
	}
	switch r {
	case Good, Failed, Rejected:
		c.pool.answered(now, t)
	}
	switch r {
	case Good:
		t.failures, t.downUntil = 0, time.Time{}
		t.failShare *= failKeep
	case Failed, Rejected:
		t.failures, t.downUntil = 0, time.Time{}
		t.failShare = t.failShare*failKeep + (1 - failKeep)
	case Unreachable:
		t.unreached = true
		for _, watch := range t.watches {
			watches = append(watches, watch)
		}
		clear(t.watches)
		fallthrough
	case Lost:
		t.failShare = t.failShare*failKeep + (1 - failKeep)
		t.lost(now)
	case Replaced:
		t.Draining = true
	case Neutral:
	}
	return watches
}
