package pick

import (
	"math"
	"time"
)

// weighing is one call that a target is chosen for.
type weighing struct {
	now   time.Time
	call  Call
	chain []link
	// home is the target that all instances prefer for the prompt; nil for none, or where
	// another instance has decided.
	home  *target
	rules ServiceRules
	pace  *pace
	// sources are where the prompt's shared parts can be fetched from, and fetch is the
	// part of the time of reading that this takes.
	sources sources
	fetch   float64
}

func (p *Pool) weigh(now time.Time, c Call) *weighing {
	w := &weighing{now: now, call: c, chain: c.chain(), rules: p.snapshot.Rules[c.Service], pace: p.pace(c.Service)}
	w.sources = p.sourcesOf(now, c.Service, w.chain)
	w.fetch = w.fetchShare()
	return w
}

// estimate is what the call meets at one target.
type estimate struct {
	load Load
	// unread are the tokens of its prompt that are read there, and tokens what is read until
	// the first event, as far as is known.
	unread int
	tokens float64
	// wait is until the first event, or until the answer of a plain target; social what the
	// call costs the requests that run there, and its own answer beyond the first event. Both
	// are in milliseconds of waiting.
	wait, social float64
}

// cost is all of it, with what the target's failures cost.
func (e *estimate) cost(t *target) float64 {
	return e.wait + e.social + failCost*t.failShare
}

// hurry is what the call itself meets: all but what it costs others.
func (e *estimate) hurry(t *target) float64 { return e.wait + failCost*t.failShare }

// at estimates what the call meets at a target.
func (w *weighing) at(t *target) estimate {
	e := estimate{load: t.load()}
	running := float64(e.load.Running)
	e.wait = w.queue(t, e.load.Running)
	if !w.rules.Engine {
		e.wait += slotCost * running / float64(max(1, t.Slots))
		return e
	}
	e.unread = w.unreadAt(t)
	e.tokens = float64(e.load.PendingPrefill.Ahead(w.call.Rank)) + w.own(t, e.unread)
	// Engines slow down with the requests that they run.
	e.wait = e.wait + t.slowness*w.pace.until(e.tokens) + runningCost*running
	e.social = disturbance(&w.call, w.pace.until(float64(e.unread)), running, t.ownReading(w.now)+float64(t.others.PrefillMillis))
	e.social += w.stall(t, &e)
	return e
}

// queue is the wait for a slot.
func (w *weighing) queue(t *target, running int) float64 {
	if t.Slots == 0 {
		return 0
	}
	return queueCost * float64(max(0, running+1-t.Slots))
}

// own is the part of the prompt that is read at a target: where the home is not known to
// keep the shared parts, some other instance may have sent them there.
func (w *weighing) own(t *target, unread int) float64 {
	own := float64(unread)
	if t == w.home && len(w.chain) > 1 {
		shared := float64(w.chain[len(w.chain)-2].tokens)
		own = min(own, float64(w.call.PromptTokens)-guess*shared)
	}
	return own
}

// usualAnswer is the share of the longest answer that one has as a rule. Callers' own
// estimates are often far off, and make choices worse.
const usualAnswer = 0.35

// answer is the length in tokens that the answer is expected to have.
func (c *Call) answer() float64 { return usualAnswer * float64(c.OutputTokens) }

// disturbance is what reading a prompt for own milliseconds costs the requests that run, and
// the answer at a target that has read for so many milliseconds of the last span.
func disturbance(c *Call, own, running, reading float64) float64 {
	share := min(1, reading/float64(readingSpan.Milliseconds()))
	slower := chunkTime*share + runningTime*running
	return disturb*own*running + slowed*c.answer()*slower
}

// readMore counts the reading of a prompt that this instance has given to the target.
func (t *target) readMore(now time.Time, millis float64) {
	t.read = t.ownReading(now) + millis
	t.readAt = now
}

// ownReading is the reading that this instance has given out over the last span, in
// milliseconds.
func (t *target) ownReading(now time.Time) float64 {
	if t.readAt.IsZero() {
		return 0
	}
	return t.read * math.Exp(-float64(now.Sub(t.readAt))/float64(readingSpan))
}

// pace is that of the engines of a service.
func (p *Pool) pace(service string) *pace {
	known := p.paces[service]
	if known == nil {
		known = newPace()
		p.paces[service] = known
	}
	return known
}

// runningCost is what one running request adds to the time to the first event, in
// milliseconds: it takes its share of each step.
const runningCost = 1.0
