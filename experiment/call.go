package experiment

import (
	"errors"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin/enginemodel"
)

// The retry policy, the same for all deciders. An idempotent request is retried
// until a part of an answer was relayed. A non-idempotent one is retried only if
// the target was not reached and no other has started it. Each retry or hedge
// consumes one token of its instance's budget; each success adds retryShare.
const (
	maxAttempts  = 3
	retryShare   = 0.2
	retryBurst   = 20
	retryBackoff = 20 * time.Millisecond
	// maxHeld bounds the requests held by one instance.
	maxHeld = 256
)

// outcome is the final answer to a caller.
type outcome uint8

const (
	pending outcome = iota
	// answered means that the whole answer came, in time or late.
	answered
	// refused means that the caller got an error that says it was not run.
	refused
	// failed means that the caller got an error that says it may have run, or
	// that the deadline passed.
	failed
)

// call is a request that has arrived.
type call struct {
	*arrival
	req     route.Request
	in      *instance
	open    []*attempt
	started int
	hedged  bool
	// first is the time to first token and total the time to the final answer,
	// as the caller sees them.
	first, total    time.Duration
	responseStarted bool
	outcome         outcome
	finals          int
	cached          int
}

// attempt is an attempt of a call at a target.
type attempt struct {
	id      uint64
	call    *call
	in      *instance
	target  *target
	running bool
	// alone means that the target was reserved for it.
	alone bool
}

func (w *world) arrive(a *arrival) {
	home := w.regions[a.region]
	c := &call{arrival: a, req: a.req, in: home.instances[w.rng.IntN(len(home.instances))], cached: -1}
	c.req.ID = uint64(len(w.calls) + 1)
	c.req.Arrival = w.now
	c.req.Deadline = w.now.Add(a.class.Deadline)
	w.calls = append(w.calls, c)
	w.open++
	if !w.trial.Late {
		w.schedule(c.req.Deadline, func() { w.expire(c) })
	}
	w.decide(c)
}

// expire ends a call at its deadline, as the request path does: its attempts are
// cancelled and its caller gets the final answer at once.
func (w *world) expire(c *call) {
	if c.outcome != pending {
		return
	}
	w.cancelAttempts(c)
	w.finish(c, failed)
}

// cancelAttempts cancels the open attempts of a call and removes it from the held
// calls.
func (w *world) cancelAttempts(c *call) {
	for _, a := range slices.Clone(c.open) {
		w.cancel(a)
	}
	c.in.held = slices.DeleteFunc(c.in.held, func(x *call) bool { return x == c })
}

// decide follows the decision of the instance's decider.
func (w *world) decide(c *call) {
	if c.outcome != pending {
		return
	}
	switch c.suspicion(w.now) {
	case suspect.Refuse:
		w.endUnanswered(c)
		return
	case suspect.RunAlone:
		w.runAlone(c)
		return
	}
	switch d := c.in.decider.Decide(w.now, &c.req); d.Action {
	case route.Send:
		w.send(c, d, false)
	case route.Spill:
		w.spill(c, d)
	case route.Hold:
		w.hold(c, d)
	default:
		w.finish(c, refused)
	}
}

func (w *world) send(c *call, d route.Decision, alone bool) {
	t := w.targets[d.Target]
	if t == nil || t.region != c.in.region || !c.mayRunIn(t.spec.Region) {
		w.invalidSends++
		w.finish(c, refused)
		return
	}
	w.nextID++
	a := &attempt{id: w.nextID, call: c, in: c.in, target: t, alone: alone}
	w.attempts[a.id] = a
	c.open = append(c.open, a)
	c.in.decider.Sent(w.now, route.AttemptID(a.id), &c.req, d)
	if c.in.table != nil {
		c.in.table.Started(suspect.Attempt(a.id), c.digest, string(t.spec.ID), alone)
	}
	w.after(targetDelay, func() { w.enqueue(a) })
	if !d.HedgeAt.IsZero() && c.req.Idempotent && !c.hedged {
		w.schedule(d.HedgeAt, func() { w.hedge(a) })
	}
}

func (c *call) mayRunIn(region string) bool {
	return len(c.req.Regions) == 0 || slices.Contains(c.req.Regions, region)
}

func (w *world) enqueue(a *attempt) {
	if w.attempts[a.id] == nil {
		return
	}
	if a.alone && !a.target.engine.Idle() || a.target.runsAlone {
		w.loneViolations++
	}
	a.target.runsAlone = a.target.runsAlone || a.alone
	err := a.target.engine.Enqueue(w.now, a.call.engineRequest(a.id, a.call.req.Priority))
	w.scheduleAdvance(a.target)
	switch {
	case errors.Is(err, enginemodel.ErrDown):
		w.attemptEnded(a, route.Unreached, 0, -1)
	case err != nil:
		w.attemptEnded(a, route.Rejected, 0, -1)
	default:
		a.running = true
		a.call.started++
	}
}

// spill forwards a call to another region, which decides again. Over a
// partitioned link it returns to its home region, which may not spill it again.
func (w *world) spill(c *call, d route.Decision) {
	i := slices.IndexFunc(w.regions, func(r *region) bool { return r.name == d.Region })
	if c.req.Forwarded || i < 0 || !c.mayRunIn(d.Region) {
		w.invalidSpills++
		w.finish(c, refused)
		return
	}
	c.req.Forwarded = true
	home, away := c.in.region, w.regions[i]
	if home.partitioned || away.partitioned {
		w.after(2*regionDelay, func() { w.decide(c) })
		return
	}
	c.in = away.instances[w.rng.IntN(len(away.instances))]
	w.after(regionDelay, func() { w.decide(c) })
}

func (w *world) hold(c *call, d route.Decision) {
	if len(c.in.held) >= maxHeld {
		w.finish(c, refused)
		return
	}
	c.in.held = append(c.in.held, c)
	w.schedule(d.DecideAgain, func() { w.decideAgain(c) })
}

func (w *world) decideAgain(c *call) {
	if i := slices.Index(c.in.held, c); i >= 0 {
		c.in.held = slices.Delete(c.in.held, i, i+1)
		w.decide(c)
	}
}

// decideHeldAgain decides held calls again, oldest first, until one stays held.
func (w *world) decideHeldAgain(in *instance) {
	for range len(in.held) {
		c := in.held[0]
		w.decideAgain(c)
		if slices.Contains(in.held, c) {
			return
		}
	}
}

// hedge starts a second attempt if the first has not produced a token yet.
func (w *world) hedge(a *attempt) {
	c := a.call
	if c.outcome != pending || c.responseStarted || c.suspicion(w.now) != suspect.Run || len(c.open) != 1 || c.open[0] != a || a.in.retryTokens < 1 {
		return
	}
	second := c.req
	second.Attempt++
	second.Tried = append(slices.Clone(c.req.Tried), a.target.spec.ID)
	d := c.in.decider.Decide(w.now, &second)
	if d.Action != route.Send || d.Target == a.target.spec.ID {
		return
	}
	c.hedged = true
	c.req = second
	a.in.retryTokens--
	w.hedges++
	w.send(c, d, false)
}

func (w *world) firstToken(a *attempt, ev enginemodel.Event) {
	c := a.call
	if c.poison {
		w.poisonCrashes[poisonKey{c.digest, a.target.region.name}]++
		w.crashAndRestart(a.target)
		return
	}
	a.in.decider.FirstToken(w.now, route.AttemptID(a.id))
	for _, o := range slices.Clone(c.open) {
		if o != a {
			w.cancel(o)
		}
	}
	c.responseStarted = true
	c.first = w.callerTime(c)
	c.cached = ev.CachedTokens
}

// callerTime returns the time from arrival until the caller learns of an event
// that happens now.
func (w *world) callerTime(c *call) time.Duration {
	d := w.now.Sub(epoch) - c.at
	if c.in.region != w.regions[c.region] {
		d += regionDelay
	}
	return d
}

// removeAttempt removes an attempt and notifies its decider.
func (w *world) removeAttempt(a *attempt, o route.Outcome, tokens, cached int) {
	delete(w.attempts, a.id)
	a.call.open = slices.DeleteFunc(a.call.open, func(x *attempt) bool { return x == a })
	a.in.decider.Ended(w.now, route.End{
		Attempt: route.AttemptID(a.id), Outcome: o, OutputTokens: tokens, CachedTokens: cached,
	})
	if a.in.table == nil {
		return
	}
	a.in.region.publish(w.now, a.in.table.Ended(w.now, suspect.Attempt(a.id), o == route.Succeeded))
	if a.alone {
		w.endLone(a.call, a.target)
	}
}

func (w *world) cancel(a *attempt) {
	a.target.engine.Cancel(w.now, a.id)
	w.scheduleAdvance(a.target)
	w.removeAttempt(a, route.Cancelled, 0, -1)
}

// attemptEnded handles the end of an attempt that was not cancelled.
func (w *world) attemptEnded(a *attempt, o route.Outcome, tokens, cached int) {
	c := a.call
	c.req.Tried = append(slices.Clip(c.req.Tried), a.target.spec.ID)
	w.removeAttempt(a, o, tokens, cached)
	switch {
	case o == route.Succeeded:
		a.in.retryTokens = min(a.in.retryTokens+retryShare, retryBurst)
		w.finish(c, answered)
	case len(c.open) > 0:
		// The other of two hedged attempts continues.
	default:
		w.retry(c, a.in, o)
	}
	w.decideHeldAgain(a.in)
}

// retry retries a call if the policy allows it, and otherwise ends it.
func (w *world) retry(c *call, in *instance, o route.Outcome) {
	safe := c.req.Idempotent && !c.responseStarted || o == route.Unreached && c.started == 0
	c.req.Attempt++
	if safe && c.req.Attempt < maxAttempts && in.retryTokens >= 1 {
		in.retryTokens--
		w.retries++
		backoff := retryBackoff + time.Duration(w.rng.Int64N(int64(retryBackoff)))
		w.after(backoff, func() { w.decide(c) })
		return
	}
	w.endUnanswered(c)
}

// endUnanswered ends a call without an answer: failed if it may have run, and
// otherwise refused.
func (w *world) endUnanswered(c *call) {
	if c.started > 0 {
		w.finish(c, failed)
		return
	}
	w.finish(c, refused)
}

// failRemoteCalls fails the calls in flight over the links of a partitioned
// region. Their home region retries them if the policy allows it.
func (w *world) failRemoteCalls(r *region) {
	for _, c := range w.calls {
		home := w.regions[c.region]
		if c.outcome != pending || c.in.region == home || home != r && c.in.region != r {
			continue
		}
		w.cancelAttempts(c)
		c.in = home.instances[0]
		w.retry(c, c.in, route.Failed)
	}
}

// finish gives the caller its final answer.
func (w *world) finish(c *call, o outcome) {
	c.finals++
	if c.outcome != pending {
		return
	}
	c.outcome = o
	c.total = w.callerTime(c)
	w.open--
	if c.poison && o != answered {
		w.resendPoisonRequest(c.arrival)
	}
}
