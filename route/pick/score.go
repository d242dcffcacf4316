package pick

import (
	"math"
	"time"
)

// cost is the wait with what others, full memory and failures cost.
func (p *Pool) cost(now time.Time, t *target, c Call, chain []link, home bool) float64 {
	return p.wait(now, t, c, chain, home) + p.social(now, t, c, chain) + p.crowding(t, c) + failCost*t.failShare
}

// wait estimates the milliseconds until the first event, or until the answer of a
// plain target. home says that all instances prefer the target for the prompt.
func (p *Pool) wait(now time.Time, t *target, c Call, chain []link, home bool) float64 {
	running := t.load().Running
	cost := 0.0
	if t.Slots > 0 {
		if over := running + 1 - t.Slots; over > 0 {
			cost += QueueCost * float64(over)
		}
	}
	if !p.snapshot.Rules[t.Service].Engine {
		return cost + slotCost*float64(running)/float64(max(1, t.Slots))
	}
	// Engines slow down with the requests that they run.
	return cost + t.slowness*p.pace(t.Service).until(p.tokens(now, t, c, chain, home)) + float64(running)*runningCost
}

// social is what a call costs the requests that run at the target, and its own answer
// beyond the first event, in milliseconds of waiting.
func (p *Pool) social(now time.Time, t *target, c Call, chain []link) float64 {
	if !p.snapshot.Rules[t.Service].Engine {
		return 0
	}
	own := p.pace(t.Service).until(float64(c.PromptTokens - t.keptTokens(now, chain)))
	return disturbance(c, own, float64(t.load().Running), t.ownReading(now)+float64(t.others.Reading))
}

// disturbance is what reading a prompt for own milliseconds costs the requests that run, and
// the answer at a target that has read for so many milliseconds of the last span.
func disturbance(c Call, own, running, reading float64) float64 {
	share := min(1, reading/float64(readingSpan.Milliseconds()))
	slower := chunkTime*share + runningTime*running
	return disturb*own*running + slowed*float64(c.answer())*slower
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

// tokens are what is read at the target until the first event of a call: what is in front
// of it, and its own part that is not kept there.
func (p *Pool) tokens(now time.Time, t *target, c Call, chain []link, home bool) float64 {
	load := t.load()
	own := float64(c.PromptTokens - t.keptTokens(now, chain))
	if home && len(chain) > 1 {
		shared := float64(chain[len(chain)-2].tokens)
		own = min(own, float64(c.PromptTokens)-guess*shared)
	}
	return float64(load.Unread.Ahead(c.Rank)) + own
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

// keptTokens is the length of the longest beginning of the prompt that this instance
// has sent to the target lately.
func (t *target) keptTokens(now time.Time, chain []link) int {
	for i := len(chain) - 1; i >= 0; i-- {
		at, ok := t.kept[chain[i].key]
		if ok && now.Sub(at) < keepTime {
			return chain[i].tokens
		}
	}
	return 0
}

// leastFetch is the length in tokens from which on fetching kept parts is worth its
// set-up of a few milliseconds: reading as many takes 13 ms.
const leastFetch = 500

// source finds a target that keeps more of the prompt than t does: one that this
// instance has sent it to, or the one that all prefer for it. Fetching a part costs a
// third of the time of reading it, and spares the engine the reading.
func (p *Pool) source(now time.Time, t *target, chain []link, home *target) string {
	if len(chain) < 2 {
		return ""
	}
	own := t.keptTokens(now, chain)
	best, most := "", own+leastFetch
	for _, other := range p.byService[t.Service] {
		if other == t || now.Before(other.downUntil) {
			continue
		}
		if n := other.keptTokens(now, chain[:len(chain)-1]); n > most {
			best, most = other.Address, n
		}
	}
	if shared := chain[len(chain)-2].tokens; best == "" && home != nil && home != t && shared > most {
		best = home.Address
	}
	return best
}

// Sweep forgets prompt parts that were not used lately. Call it now and then.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		for key, at := range t.kept {
			if now.Sub(at) >= keepTime {
				delete(t.kept, key)
			}
		}
	}
}

// Kept is the number of prompt parts that are remembered, over all targets.
func (p *Pool) Kept() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, t := range p.targets {
		n += len(t.kept)
	}
	return n
}
