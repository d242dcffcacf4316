package enginemodel

import (
	"slices"
	"time"
)

// advanceTo executes all plans that end at or before now.
func (e *Engine) advanceTo(now time.Time) {
	for e.active && !e.plan.end().After(now) {
		end := e.plan.end()
		e.apply(e.plan.steps)
		e.complete(end)
		e.schedule(end)
	}
}

// applyElapsed applies the steps of the plan that have ended by now.
func (e *Engine) applyElapsed(now time.Time) {
	if !e.active {
		return
	}
	passed := int(now.Sub(e.plan.start) / e.plan.step)
	if passed <= 0 || passed >= e.plan.steps {
		return
	}
	e.apply(passed)
	e.plan.start = e.plan.start.Add(time.Duration(passed) * e.plan.step)
	e.plan.steps -= passed
}

// interrupt ends the plan with the current step, so that a change takes effect
// at the next step. It starts an idle engine.
func (e *Engine) interrupt(now time.Time) {
	if !e.active {
		e.schedule(now)
		return
	}
	e.applyElapsed(now)
	e.plan.steps = 1
}

// apply applies n steps of the plan. By construction of the plan, only its last
// step completes a prefill or a sequence.
func (e *Engine) apply(n int) {
	for _, c := range e.plan.prefill {
		c.seq.toPrefill -= n * c.tokens
	}
	for _, s := range e.plan.decoding {
		s.generated += n
		if e.cfg.EventTokens > 0 {
			s.pauses.add(n, e.plan.step, e.cfg.EventTokens)
		}
	}
	e.busy += time.Duration(n) * e.plan.step
}

// complete emits the events of a plan's last step and removes the sequences that
// ended.
func (e *Engine) complete(at time.Time) {
	for _, c := range e.plan.prefill {
		if c.seq.toPrefill == 0 {
			c.seq.generated = 1
			e.cache.store(c.seq.Prefix)
			e.emit(FirstToken, c.seq, at)
		}
	}
	for _, s := range e.plan.decoding {
		switch {
		case e.cfg.PrefillRate > 0:
			if e.cfg.EmitTokens {
				e.emit(Token, s, at)
			}
		case s.generated == s.OutputTokens:
			e.emit(FirstToken, s, at)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		done := s.toPrefill == 0 && s.generated >= s.OutputTokens
		if done {
			e.emit(Finished, s, at)
		}
		if done || s.cancelled {
			e.kv -= s.reservedTokens()
			return true
		}
		return false
	})
}

func (e *Engine) emit(k EventKind, s *sequence, at time.Time) {
	if s.cancelled {
		return
	}
	e.events = append(e.events, Event{Kind: k, ID: s.ID, At: at, CachedTokens: s.cached, OutputTokens: s.generated, LongestPause: s.pauses.longest})
}

// schedule admits the requests that fit and plans the next steps.
func (e *Engine) schedule(at time.Time) {
	e.admit()
	e.plan = plan{start: at, prefill: e.plan.prefill[:0], decoding: e.plan.decoding[:0]}
	e.active = len(e.running) > 0
	if !e.active {
		return
	}
	steps := 0
	for _, s := range e.running {
		if s.toPrefill > 0 {
			continue
		}
		e.plan.decoding = append(e.plan.decoding, s)
		if left := s.OutputTokens - s.generated; steps == 0 || left < steps {
			steps = left
		}
	}
	steps, tokens := e.planPrefill(steps)
	if e.cfg.EmitTokens && e.cfg.PrefillRate > 0 {
		steps = 1
	}
	e.plan.steps = steps
	e.plan.step = e.stepTime(len(e.plan.decoding), tokens)
}

// planPrefill divides the prefill tokens of a step among the sequences in order.
// steps bounds the plan's steps for the decoding sequences, 0 for no bound. It
// returns the number of steps allowed and the prefill tokens of each.
func (e *Engine) planPrefill(steps int) (allowed, tokens int) {
	for _, s := range e.running {
		if s.toPrefill == 0 {
			continue
		}
		room := e.cfg.ChunkTokens - tokens
		if room == 0 {
			break
		}
		take := min(room, s.toPrefill)
		e.plan.prefill = append(e.plan.prefill, chunk{s, take})
		tokens += take
	}
	switch {
	case len(e.plan.prefill) == 0:
		return steps, 0
	case len(e.plan.prefill) > 1:
		return 1, tokens
	}
	whole := e.plan.prefill[0].seq.toPrefill / tokens
	if steps == 0 || whole < steps {
		return whole, tokens
	}
	return steps, tokens
}

func (e *Engine) stepTime(decoding, prefill int) time.Duration {
	d := e.cfg.StepBase + time.Duration(decoding)*e.cfg.StepPerSeq
	if prefill > 0 {
		d += time.Duration(float64(prefill) / e.cfg.PrefillRate * float64(time.Second))
	}
	return max(time.Duration(float64(d)/e.speed), 1)
}

// admit starts requests from the head of the waiting queue while slots and memory
// are free. Smaller requests do not overtake the head, so that it can't starve.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		s := e.waiting[0]
		if e.kv+s.reservedTokens() > e.cfg.KVTokens {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.kv += s.reservedTokens()
		if e.cfg.PrefillRate > 0 {
			// The last token is always computed: it yields the first answer token.
			s.cached = min(e.cache.hit(s.Prefix)*BlockTokens, s.PromptTokens-1)
			s.toPrefill = s.PromptTokens - s.cached
		}
		at, _ := slices.BinarySearchFunc(e.running, s, before)
		e.running = slices.Insert(e.running, at, s)
	}
}
