package enginemodel

import (
	"slices"
	"time"
)

// run takes all plans that end at or before now.
func (e *Engine) run(now time.Time) {
	for e.active && !e.plan.end().After(now) {
		end := e.plan.end()
		e.apply(e.plan.steps)
		e.complete(end)
		e.schedule(end)
	}
}

// settle accounts for the whole steps of the plan that have passed.
func (e *Engine) settle(now time.Time) {
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

// interrupt ends the plan with the step under way, so that a change takes
// effect at the next step, or starts an idle engine.
func (e *Engine) interrupt(now time.Time) {
	if !e.active {
		e.schedule(now)
		return
	}
	e.settle(now)
	e.plan.steps = 1
}

// apply takes n steps of the plan. By construction of the plan, only its last
// step completes anything.
func (e *Engine) apply(n int) {
	for _, c := range e.plan.prefill {
		c.seq.todo -= n * c.tokens
	}
	for _, s := range e.plan.decoding {
		s.generated += n
		if e.cfg.EventTokens > 0 {
			s.pauses.add(n, e.plan.step, e.cfg.EventTokens)
		}
	}
	e.busy += time.Duration(n) * e.plan.step
}

// complete tells what the last step of a plan brought, and drops what ended.
func (e *Engine) complete(at time.Time) {
	for _, c := range e.plan.prefill {
		if c.seq.todo == 0 {
			c.seq.generated = 1
			e.cache.store(c.seq.Prefix)
			e.tell(FirstToken, c.seq, at)
		}
	}
	for _, s := range e.plan.decoding {
		switch {
		case e.cfg.PrefillRate > 0:
			if e.cfg.EmitTokens {
				e.tell(Token, s, at)
			}
		case s.generated == s.OutputTokens:
			e.tell(FirstToken, s, at)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		done := s.todo == 0 && s.generated >= s.OutputTokens
		if done {
			e.tell(Finished, s, at)
		}
		if done || s.cancelled {
			e.kv -= s.kv()
			return true
		}
		return false
	})
}

func (e *Engine) tell(k EventKind, s *sequence, at time.Time) {
	if s.cancelled {
		return
	}
	e.out = append(e.out, Event{Kind: k, ID: s.ID, At: at, CachedTokens: s.cached, OutputTokens: s.generated, LongestPause: s.pauses.longest})
}

// schedule admits what fits and plans the next steps.
func (e *Engine) schedule(at time.Time) {
	e.admit()
	e.plan = plan{start: at, prefill: e.plan.prefill[:0], decoding: e.plan.decoding[:0]}
	e.active = len(e.running) > 0
	if !e.active {
		return
	}
	steps := 0
	for _, s := range e.running {
		if s.todo > 0 {
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

// planPrefill shares the chunk of a step among prefilling sequences in order.
// steps is what the decoding sequences allow, 0 for any number.
func (e *Engine) planPrefill(steps int) (allowed, tokens int) {
	for _, s := range e.running {
		if s.todo == 0 {
			continue
		}
		room := e.cfg.ChunkTokens - tokens
		if room == 0 {
			break
		}
		take := min(room, s.todo)
		e.plan.prefill = append(e.plan.prefill, chunk{s, take})
		tokens += take
	}
	switch {
	case len(e.plan.prefill) == 0:
		return steps, 0
	case len(e.plan.prefill) > 1:
		return 1, tokens
	}
	whole := e.plan.prefill[0].seq.todo / tokens
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

// admit moves the head of the waiting queue into free slots and memory. The
// head is not overtaken by smaller ones behind it, so that it can't starve.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		s := e.waiting[0]
		if e.kv+s.kv() > e.cfg.KVTokens {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.kv += s.kv()
		if e.cfg.PrefillRate > 0 {
			// The last token is always computed: it yields the first answer token.
			s.cached = min(e.cache.hit(s.Prefix)*BlockTokens, s.PromptTokens-1)
			s.todo = s.PromptTokens - s.cached
		}
		at, _ := slices.BinarySearchFunc(e.running, s, before)
		e.running = slices.Insert(e.running, at, s)
	}
}
