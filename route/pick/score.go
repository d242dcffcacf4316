package pick

import (
	"math"
	"time"
)

// scorer estimates the cost of one call at targets.
type scorer struct {
	now   time.Time
	call  Call
	chain []prefix
	// preferred is the target that all instances prefer for the prompt; nil for none, or where
	// another instance, the group owner, chooses.
	preferred   *target
	rules       ServiceRules
	prefillTime *prefillTime
	// busyToo says that targets that expect to be busy may be chosen.
	busyToo bool
	// sources are where the prompt's shared parts can be fetched from, and fetchRatio is the ratio
	// of fetch time to prefill time.
	sources    sources
	fetchRatio float64
}

func (p *Pool) newScorer(now time.Time, c Call) *scorer {
	w := &scorer{now: now, call: c, chain: c.chain(), rules: p.snapshot.Rules[c.Service], prefillTime: p.prefillTime(c.Service)}
	w.sources = p.findSources(now, c.Service, w.chain)
	w.fetchRatio = w.fetchTimeRatio()
	return w
}

// estimate is what the call costs at one target.
type estimate struct {
	load Load
	// prefillTokens is the part of its prompt that is prefilled there, and tokens all prefill until
	// the first event, as far as is known.
	prefillTokens int
	tokens        float64
	// wait is the time until the first event, or until the answer of a plain target. othersCost is
	// what the call costs the requests running there, and its own answer after the first event.
	// Both are in milliseconds of waiting.
	wait, othersCost float64
}

// cost is the total in milliseconds, with what the target's failures cost.
func (e *estimate) cost(t *target) float64 {
	return e.wait + e.othersCost + failCostMillis*t.failShare
}

// callCost is the cost to the call itself, without the cost to others.
func (e *estimate) callCost(t *target) float64 { return e.wait + failCostMillis*t.failShare }

// estimateAt estimates the costs of the call at a target.
func (w *scorer) estimateAt(t *target) estimate {
	e := estimate{load: t.load()}
	running := float64(e.load.Running)
	e.wait = w.slotWait(t, e.load.Running) + float64(t.busyFor(w.now).Milliseconds())
	if !w.rules.Engine {
		e.wait += slotCostMillis * running / float64(max(1, t.Slots))
		return e
	}
	e.prefillTokens = w.prefillTokensAt(t)
	e.tokens = float64(e.load.PendingPrefill.Ahead(w.call.Rank)) + w.expectedPrefillTokens(t, e.prefillTokens)
	// Engines slow down with the number of running requests.
	e.wait = e.wait + t.slowness*w.prefillTime.firstEventMillis(e.tokens) + runningCostMillis*running
	e.othersCost = slowdownCost(&w.call, w.prefillTime.firstEventMillis(float64(e.prefillTokens)), running, t.ownPrefillMillis(w.now)+float64(t.others.PrefillMillis))
	e.othersCost += w.stallCost(t, &e)
	return e
}

// slotWait is the cost of waiting for a slot, in milliseconds.
func (w *scorer) slotWait(t *target, running int) float64 {
	if t.Slots == 0 {
		return 0
	}
	return queueCostMillis * float64(max(0, running+1-t.Slots))
}

// expectedPrefillTokens is the part of the prompt expected to be prefilled at a target, at most
// prefillTokens. At the preferred target preferredHitShare of the shared parts is assumed to be
// cached, even where this instance does not know of it: other instances send the same parts there.
func (w *scorer) expectedPrefillTokens(t *target, prefillTokens int) float64 {
	own := float64(prefillTokens)
	if t == w.preferred && len(w.chain) > 1 {
		shared := float64(w.chain[len(w.chain)-2].tokens)
		own = min(own, float64(w.call.PromptTokens)-preferredHitShare*shared)
	}
	return own
}

// typicalAnswerShare is the typical length of an answer as a share of the maximum. Callers' own
// estimates are often far off and make choices worse.
const typicalAnswerShare = 0.35

// expectedAnswerTokens is the expected length of the answer in tokens.
func (c *Call) expectedAnswerTokens() float64 { return typicalAnswerShare * float64(c.OutputTokens) }

// slowdownCost is what a prefill of prefillMillis costs the requests running at a target, plus what
// the call's answer loses there, given the target's recent prefill. It is in milliseconds of
// waiting.
func slowdownCost(c *Call, prefillMillis, running, recentPrefillMillis float64) float64 {
	share := min(1, recentPrefillMillis/float64(prefillSpan.Milliseconds()))
	slower := chunkMillis*share + runningMillis*running
	return disturbWeight*prefillMillis*running + slowdownWeight*c.expectedAnswerTokens()*slower
}

// recordPrefill adds prefill time that this instance has assigned to the target.
func (t *target) recordPrefill(now time.Time, millis float64) {
	t.prefillMillis = t.ownPrefillMillis(now) + millis
	t.prefillAt = now
}

// ownPrefillMillis is the recent prefill time that this instance has assigned to the target, in
// milliseconds.
func (t *target) ownPrefillMillis(now time.Time) float64 {
	if t.prefillAt.IsZero() {
		return 0
	}
	return t.prefillMillis * math.Exp(-float64(now.Sub(t.prefillAt))/float64(prefillSpan))
}

// prefillTime returns the estimator of a service, and creates it if needed.
func (p *Pool) prefillTime(service string) *prefillTime {
	known := p.prefillTimes[service]
	if known == nil {
		known = newPrefillTime()
		p.prefillTimes[service] = known
	}
	return known
}

// runningCostMillis is what one running request adds to the time until the first event: it takes
// its share of each step.
const runningCostMillis = 1.0
