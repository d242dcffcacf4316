package pick

import "time"

// Choice is a chosen target, with the request counted in its load. The caller must call Done
// exactly once.
type Choice struct {
	ID, Address string
	// Cost is the estimated cost of the call in milliseconds: Wait, the cost to the running
	// requests and to its own answer, and the cost of the target's failures.
	Cost float64
	// Wait is the estimated time until the first event, or until the answer of a plain target, in
	// milliseconds. It is used to compare regions: the failures of other regions are unknown, and
	// if own failures counted, a request that fails everywhere would drive all others to other
	// regions.
	Wait float64
	// QueueWait is the part of Wait that an engine spends on queued requests, independent of the
	// length of the call's own prompt.
	QueueWait float64
	// Work is the time in milliseconds that an engine spends on the call's own prompt; 0 at a plain
	// target.
	Work float64
	// Rank is the rank of the call.
	Rank int
	// Group is the group of the call, by which instances agree on who decides. It is set only in
	// choices of Pick. The target may be one of another group.
	Group Group
	// Tokens is the estimated prefill until the first event, in tokens.
	Tokens float64
	// Cold says that the target was cold when chosen. EntryInstances is the number of entry
	// instances known then, one of which owns the target's group.
	Cold           bool
	EntryInstances int
	// Limit is the last limit known of the target.
	Limit TargetLimit
	// Software is the version of the target's software; empty if unknown.
	Software string
	// StartMillis is the target's start time in Unix milliseconds; 0 if unknown.
	StartMillis int64
	// Source is the address of another target from which this one may fetch a longer cached prefix
	// of the prompt; empty for none.
	Source string

	pool *Pool
	t    *target
	// byOwner says that another instance, the group owner, chose the target and counts the request.
	byOwner bool
	at      time.Time
	chain   []prefix
	// counted is the request's remaining share of the target's load.
	counted Load
	probe   bool
}

// FirstEvent records the first event of the answer: the prefill is complete.
func (c *Choice) FirstEvent(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.learn(now, float64(now.Sub(c.at).Milliseconds()))
	c.endRestTest()
	c.endPrefill()
	c.t.markPrefilled(c.chain)
}

// learn updates the target's slowness and the service's prefill time from the measured time until
// the first event, in milliseconds.
func (c *Choice) learn(now time.Time, millis float64) {
	if !c.pool.snapshot.Rules[c.t.Service].Engine || c.counted.Running == 0 {
		return
	}
	prefill := c.pool.prefillTime(c.t.Service)
	if expected := prefill.firstEventMillis(c.Tokens); expected >= minLearnMillis {
		ratio := min(maxSlowness, max(minSlowness, millis/expected))
		c.t.slowness += slownessGain * (ratio - c.t.slowness)
	}
	prefill.learn(c.Tokens, millis)
	if !c.byOwner {
		prefill.report(now, c.Tokens, millis)
	}
}

// endRestTest ends the test of a target after its rest: it has accepted the request.
func (c *Choice) endRestTest() {
	if c.probe && c.t.rest.untested && c.t.failures == 0 {
		c.t.probing, c.probe, c.t.rest.untested = false, false, false
	}
}

// endPrefill removes the prompt from the pending prefill.
func (c *Choice) endPrefill() { c.uncount(Load{PendingPrefill: c.counted.PendingPrefill}) }

// uncount removes a part of the request's load from the target's load.
func (c *Choice) uncount(part Load) {
	c.counted.subtract(part)
	c.t.own.subtract(part)
	if c.byOwner {
		c.t.byOwner.subtract(part)
	}
}

// Result is how a request at a target ended, from the target's point of view.
type Result uint8

const (
	// Good: it answered as it should.
	Good Result = iota
	// Neutral: the end says nothing about the target, for example when the caller disconnected.
	Neutral
	// Failed: it answered with a failure.
	Failed
	// Lost: the connection was established, but no whole answer came.
	Lost
	// Unreachable: no connection could be established.
	Unreachable
	// Replaced: another target answers at its address.
	Replaced
	// Rejected: it rejected the request.
	Rejected
	// Rested: it rejected the request and said when it accepts requests again: it asked for rest, or
	// is busy. That counts as no failure, and it is tested then.
	Rested
)

// OnUnreachable registers f to be called when another request finds the target unreachable before
// Done. f runs in the goroutine that finds it, without the pool's lock.
//
// Without it, requests in flight at a target that fell silent go on waiting: their connections look
// open for seconds, until the kernel gives them up, while new connections fail at once.
func (c *Choice) OnUnreachable(f func()) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.t.watches[c] = f
}

// Done removes the request from the target's load and records its result.
func (c *Choice) Done(now time.Time, r Result) {
	for _, watch := range c.done(now, r) {
		watch()
	}
}

// done is Done under the lock. It returns the callbacks to run after unlocking.
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
	case Good, Failed:
		t.rest.untested = t.rest.untested && t.resting(now)
		fallthrough
	case Rejected, Rested:
		c.pool.answered(now, t)
	}
	switch r {
	case Good:
		t.failures, t.backoffUntil = 0, time.Time{}
		t.failShare *= failShareDecay
	case Rested:
		t.failures, t.backoffUntil = 0, time.Time{}
	case Failed, Rejected:
		t.failures, t.backoffUntil = 0, time.Time{}
		t.failShare = t.failShare*failShareDecay + (1 - failShareDecay)
	case Unreachable:
		t.unreached = true
		for _, watch := range t.watches {
			watches = append(watches, watch)
		}
		clear(t.watches)
		fallthrough
	case Lost:
		t.failShare = t.failShare*failShareDecay + (1 - failShareDecay)
		t.backOff(now)
	case Replaced:
		t.Draining = true
	case Neutral:
	}
	return watches
}
