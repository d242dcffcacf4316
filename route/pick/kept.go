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
	for i := len(chain) - 1; i >= 0; i-- {
		if t.kept[chain[i].key].counts(now) {
			return chain[i].tokens
		}
	}
	return 0
}

// keep notes that a request with a prompt is sent to the target.
func (p *Pool) keep(now time.Time, t *target, chain []link) {
	for _, l := range chain {
		u, known := t.kept[l.key]
		if !known {
			p.holders[l.key] = append(p.holders[l.key], t)
		}
		t.kept[l.key] = use{at: now, read: u.read}
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

// sourcesOf finds them for a prompt, all but its own last part. Longer beginnings come first,
// so that it ends with the second target that has one.
func (p *Pool) sourcesOf(now time.Time, service string, chain []link) sources {
	var out sources
	for n := len(chain) - 1; n > 0 && out[1].t == nil; n-- {
		l := chain[n-1]
		for _, t := range p.holders[l.key] {
			u := t.kept[l.key]
			if t.Service != service || p.targets[t.ID] != t || now.Before(t.downUntil) || !u.read || !u.counts(now) {
				continue
			}
			out.add(source{t: t, tokens: l.tokens, used: u.at})
		}
	}
	return out
}

// add takes in a source, of each target the first one only.
func (s *sources) add(o source) {
	switch {
	case s[0].t == o.t || s[1].t == o.t:
	case s[0].t == nil || o.betterThan(s[0]):
		s[0], s[1] = o, s[0]
	case s[1].t == nil || o.betterThan(s[1]):
		s[1] = o
	}
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
func (p *Pool) ExpirePrefixes(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders = map[uint64][]*target{}
	for _, t := range p.targets {
		for key, u := range t.kept {
			if !u.counts(now) {
				delete(t.kept, key)
				continue
			}
			p.holders[key] = append(p.holders[key], t)
		}
	}
}

// Kept is the number of prompt parts that are remembered, over all targets.
func (p *Pool) PrefixCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, t := range p.targets {
		n += len(t.kept)
	}
	return n
}
