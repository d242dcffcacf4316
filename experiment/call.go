package experiment

import (
	"errors"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin/enginemodel"
)

// The retry policy, the same for all deciders. An idempotent request is sent
// again while nothing of an answer was passed on. A non-idempotent one is sent
// again only when the target was not reached. Each retry or hedge takes one
// token from its instance's budget, each success puts retryShare back.
const (
	maxAttempts  = 3
	retryShare   = 0.2
	retryBurst   = 20
	retryBackoff = 20 * time.Millisecond
	// maxHeld bounds the requests that one instance holds.
	maxHeld = 256
)

// outcome is the final answer to a caller.
type outcome uint8

const (
	pending outcome = iota
	// answered: the whole answer came, in time or late.
	answered
	// refused: told that it was not run.
	refused
	// failed: told that it broke off and may have run, or given up by the caller.
	failed
)

// call is one request on its way.
type call struct {
	*arrival
	req     route.Request
	in      *instance
	open    []*attempt
	started int
	hedged  bool
	// first is the time to first token and total the time to the final answer,
	// as the caller sees them.
	first, total time.Duration
	passedOn     bool
	outcome      outcome
	finals       int
	cached       int
}

// attempt is one sending of a call.
type attempt struct {
	id      uint64
	call    *call
	in      *instance
	target  *target
	running bool
	// alone says that the target was kept free for it.
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
		w.push(c.req.Deadline, func() { w.giveUp(c) })
	}
	w.decide(c)
}

// giveUp ends a call at its deadline, as the request path does: its attempts are
// cancelled and its caller has the final answer at once.
func (w *world) giveUp(c *call) {
	if c.outcome != pending {
		return
	}
	w.abandon(c)
	w.final(c, failed)
}

// abandon cancels what is under way of a call and holds it no longer.
func (w *world) abandon(c *call) {
	for _, a := range slices.Clone(c.open) {
		w.cancel(a)
	}
	c.in.held = slices.DeleteFunc(c.in.held, func(x *call) bool { return x == c })
}

// decide asks the instance's decider and follows it.
func (w *world) decide(c *call) {
	if c.outcome != pending {
		return
	}
	switch c.suspicion() {
	case suspect.Refuse:
		w.giveBack(c)
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
		w.final(c, refused)
	}
}

func (w *world) send(c *call, d route.Decision, alone bool) {
	t := w.targets[d.Target]
	if t == nil || t.region != c.in.region || !c.mayRunIn(t.spec.Region) {
		w.stray++
		w.final(c, refused)
		return
	}
	w.nextID++
	a := &attempt{id: w.nextID, call: c, in: c.in, target: t, alone: alone}
	w.attempts[a.id] = a
	c.open = append(c.open, a)
	c.in.decider.Sent(w.now, route.AttemptID(a.id), &c.req, d)
	if c.in.table != nil {
		c.in.table.Sent(suspect.Attempt(a.id), c.digest, string(t.spec.ID), alone)
	}
	w.after(targetDelay, func() { w.enqueue(a) })
	if !d.HedgeAt.IsZero() && c.req.Idempotent && !c.hedged {
		w.push(d.HedgeAt, func() { w.hedge(a) })
	}
}

func (c *call) mayRunIn(region string) bool {
	return len(c.req.Regions) == 0 || slices.Contains(c.req.Regions, region)
}

func (w *world) enqueue(a *attempt) {
	if w.attempts[a.id] == nil {
		return
	}
	if a.alone && !a.target.engine.Idle() || a.target.alone {
		w.beside++
	}
	a.target.alone = a.target.alone || a.alone
	err := a.target.engine.Enqueue(w.now, a.call.engineRequest(a.id, a.call.req.Priority))
	w.wake(a.target)
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

// spill passes a call to another region, which decides anew. Over a cut link
// it comes back to its home, which may not spill it again.
func (w *world) spill(c *call, d route.Decision) {
	i := slices.IndexFunc(w.regions, func(r *region) bool { return r.name == d.Region })
	if c.req.Forwarded || i < 0 || !c.mayRunIn(d.Region) {
		w.loops++
		w.final(c, refused)
		return
	}
	c.req.Forwarded = true
	home, away := c.in.region, w.regions[i]
	if home.cut || away.cut {
		w.after(2*regionDelay, func() { w.decide(c) })
		return
	}
	c.in = away.instances[w.rng.IntN(len(away.instances))]
	w.after(regionDelay, func() { w.decide(c) })
}

func (w *world) hold(c *call, d route.Decision) {
	if len(c.in.held) >= maxHeld {
		w.final(c, refused)
		return
	}
	c.in.held = append(c.in.held, c)
	w.push(d.DecideAgain, func() { w.unhold(c) })
}

func (w *world) unhold(c *call) {
	if i := slices.Index(c.in.held, c); i >= 0 {
		c.in.held = slices.Delete(c.in.held, i, i+1)
		w.decide(c)
	}
}

// unholdSome decides held calls anew, oldest first, until one stays held.
func (w *world) unholdSome(in *instance) {
	for range len(in.held) {
		c := in.held[0]
		w.unhold(c)
		if slices.Contains(in.held, c) {
			return
		}
	}
}

// hedge starts a second attempt if the first has brought nothing yet.
func (w *world) hedge(a *attempt) {
	c := a.call
	if c.outcome != pending || c.passedOn || c.suspicion() != suspect.Run || len(c.open) != 1 || c.open[0] != a || a.in.tokens < 1 {
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
	a.in.tokens--
	w.hedges++
	w.send(c, d, false)
}

func (w *world) firstToken(a *attempt, ev enginemodel.Event) {
	c := a.call
	if c.killer {
		w.killed[killing{c.digest, a.target.region.name}]++
		w.crashKiller(a.target)
		return
	}
	a.in.decider.FirstToken(w.now, route.AttemptID(a.id))
	for _, o := range slices.Clone(c.open) {
		if o != a {
			w.cancel(o)
		}
	}
	c.passedOn = true
	c.first = w.seen(c)
	c.cached = ev.CachedTokens
}

// seen is the time from arrival until the caller sees what happens now.
func (w *world) seen(c *call) time.Duration {
	d := w.now.Sub(epoch) - c.at
	if c.in.region != w.regions[c.region] {
		d += regionDelay
	}
	return d
}

// forget takes an attempt off the books and tells its decider.
func (w *world) forget(a *attempt, o route.Outcome, tokens, cached int) {
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
	w.wake(a.target)
	w.forget(a, route.Cancelled, 0, -1)
}

// attemptEnded follows the end of an attempt that was not given up.
func (w *world) attemptEnded(a *attempt, o route.Outcome, tokens, cached int) {
	c := a.call
	c.req.Tried = append(slices.Clip(c.req.Tried), a.target.spec.ID)
	w.forget(a, o, tokens, cached)
	switch {
	case o == route.Succeeded:
		a.in.tokens = min(a.in.tokens+retryShare, retryBurst)
		w.final(c, answered)
	case len(c.open) > 0:
		// The other of two hedged attempts goes on.
	default:
		w.retry(c, a.in, o)
	}
	w.unholdSome(a.in)
}

// retry sends a call again where the policy allows it, else ends it.
func (w *world) retry(c *call, in *instance, o route.Outcome) {
	safe := c.req.Idempotent && !c.passedOn || o == route.Unreached && c.started == 0
	c.req.Attempt++
	if safe && c.req.Attempt < maxAttempts && in.tokens >= 1 {
		in.tokens--
		w.retries++
		backoff := retryBackoff + time.Duration(w.rng.Int64N(int64(retryBackoff)))
		w.after(backoff, func() { w.decide(c) })
		return
	}
	w.giveBack(c)
}

// giveBack ends a call that is not answered, by what may have run of it.
func (w *world) giveBack(c *call) {
	if c.started > 0 {
		w.final(c, failed)
		return
	}
	w.final(c, refused)
}

// cutCalls ends what is under way over the links of a region that is cut off.
// Its home sends it again where the policy allows it.
func (w *world) cutCalls(r *region) {
	for _, c := range w.calls {
		home := w.regions[c.region]
		if c.outcome != pending || c.in.region == home || home != r && c.in.region != r {
			continue
		}
		w.abandon(c)
		c.in = home.instances[0]
		w.retry(c, c.in, route.Failed)
	}
}

// final gives the caller its answer.
func (w *world) final(c *call, o outcome) {
	c.finals++
	if c.outcome != pending {
		return
	}
	c.outcome = o
	c.total = w.seen(c)
	w.open--
	if c.killer && o != answered {
		w.resendKiller(c.arrival)
	}
}
