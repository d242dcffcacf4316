package pick

import "time"

// The load pattern: many requests share long prompt parts, and come faster than the engine
// that read them first can take them. An engine reads none of what it keeps, and fetches
// from another one of its region what that one keeps, in a fraction of the time of reading.

// use is what is known of a prompt part at a target.
type use struct {
	// at is when a request with it was sent there last.
	at time.Time
	// read says that one has had its first event: only then another target can fetch it.
	read bool
}

// counts reports whether the part is taken as kept.
func (u use) counts(now time.Time) bool { return !u.at.IsZero() && now.Sub(u.at) < keepTime }

// keptTokens is the length of the longest beginning of the prompt that was sent to the
// target lately.
func (t *target) keptTokens(now time.Time, chain []link) int {
	return t.longest(now, chain, false).tokens
}

// longest is the longest beginning of the prompt that the target is taken to keep, or to
// have read; its tokens are 0 for none.
func (t *target) longest(now time.Time, chain []link, read bool) source {
	for i := len(chain) - 1; i >= 0; i-- {
		if u := t.kept[chain[i].key]; u.counts(now) && (u.read || !read) {
			return source{t: t, tokens: chain[i].tokens, used: u.at}
		}
	}
	return source{}
}

// keep notes that a request with a prompt is sent to the target.
func (t *target) keep(now time.Time, chain []link) {
	for _, l := range chain {
		t.kept[l.key] = use{at: now, read: t.kept[l.key].read}
	}
}

// hasRead notes that a request with a prompt has had its first event there.
func (t *target) hasRead(chain []link) {
	for _, l := range chain {
		if u, ok := t.kept[l.key]; ok {
			u.read = true
			t.kept[l.key] = u
		}
	}
}

// source is a target that a beginning of a prompt can be fetched from.
type source struct {
	t *target
	// tokens is the length of the beginning, and used when it was used last: parts yield
	// by their last use, and what was used lately is the likeliest to be there.
	tokens int
	used   time.Time
}

func (s source) betterThan(o source) bool {
	if s.tokens != o.tokens {
		return s.tokens > o.tokens
	}
	return s.used.After(o.used)
}

// sources are the best one and the next, as none is a source for itself.
type sources [2]source

// sourcesOf finds them for a prompt, all but its own last part.
func sourcesOf(now time.Time, list []*target, chain []link) sources {
	var out sources
	if len(chain) < 2 {
		return out
	}
	shared := chain[:len(chain)-1]
	for _, t := range list {
		if now.Before(t.downUntil) {
			continue
		}
		switch s := t.longest(now, shared, true); {
		case s.betterThan(out[0]):
			out[0], out[1] = s, out[0]
		case s.betterThan(out[1]):
			out[1] = s
		}
	}
	return out
}

// to is the source for one target; its tokens are 0 for none.
func (s sources) to(t *target) source {
	if s[0].t == t {
		return s[1]
	}
	return s[0]
}

const (
	// leastFetch is the length in tokens from which on fetching kept parts is worth its
	// set-up of a few milliseconds: reading as many takes 6 ms at fast engines.
	leastFetch = 500
	// usualFetch is the share of the time of reading that fetching takes where the service
	// does not say how fast its targets send: that of engines of 70 billion parameters.
	usualFetch = 0.39
)

// fetchShare is the part of the time of reading that fetching the same tokens takes.
func (w *weighing) fetchShare() float64 {
	if w.rules.FetchPerKilo <= 0 {
		return usualFetch
	}
	return min(1, w.rules.FetchPerKilo/w.pace.perKilo())
}

// unreadAt is what the target has to read of the prompt, in tokens. What it fetches counts
// as the tokens that are read in the same time: a prompt whose parts are kept anywhere in
// the region costs about the same at all targets, and goes where least waits.
//
// Gain: fewer shared parts are read again than where requests are kept to the targets that
// have read their parts, and only the others are told where to fetch them.
func (w *weighing) unreadAt(t *target) int {
	own := t.keptTokens(w.now, w.chain)
	unread := w.call.PromptTokens - own
	if from := w.sources.to(t); from.tokens >= own+leastFetch {
		unread -= int(float64(from.tokens-own) * (1 - w.fetch))
	}
	return unread
}

// source is the address of the target that t fetches from; empty for none. It is told
// also where t is taken to keep the parts, as they may have yielded: nothing is fetched
// then. Where no target is known to have read the parts it is the one that all instances
// prefer for them.
func (w *weighing) source(t *target) string {
	if len(w.chain) < 2 || w.fetch >= 1 {
		return ""
	}
	if from := w.sources.to(t); from.tokens >= leastFetch {
		return from.t.Address
	}
	shared := w.chain[len(w.chain)-2].tokens
	if w.home != nil && w.home != t && shared >= t.keptTokens(w.now, w.chain)+leastFetch {
		return w.home.Address
	}
	return ""
}

// Sweep forgets prompt parts that were not used lately. Call it now and then.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		for key, u := range t.kept {
			if !u.counts(now) {
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
