package pick

import "time"

// Many requests share long prompt parts and arrive faster than the engine that cached them first
// can serve. An engine does no prefill for cached parts, and fetches parts cached at another engine
// of its region in a fraction of the prefill time.

// prefixUse is what is known of a prompt prefix at a target.
type prefixUse struct {
	// lastSent is when a request with it was last sent there.
	lastSent time.Time
	// prefilled says that such a request had its first event there: only then can another target
	// fetch the prefix.
	prefilled bool
}

// cached reports whether the prefix is assumed to be cached.
func (u prefixUse) cached(now time.Time) bool {
	return !u.lastSent.IsZero() && now.Sub(u.lastSent) < prefixTTL
}

// cachedTokens is the length in tokens of the longest prefix of the prompt assumed to be cached at
// the target.
func (t *target) cachedTokens(now time.Time, chain []prefix) int {
	for i := len(chain) - 1; i >= 0; i-- {
		if t.prefixes[chain[i].key].cached(now) {
			return chain[i].tokens
		}
	}
	return 0
}

// maxPrefixes bounds the prefixes that a pool remembers, each of which takes up some 200 bytes. New ones are not
// remembered beyond it until others expire.
const maxPrefixes = 1 << 16

// recordPrefixes records that a request with the prompt is sent to the target.
func (p *Pool) recordPrefixes(now time.Time, t *target, chain []prefix) {
	for _, l := range chain {
		u, known := t.prefixes[l.key]
		if !known && len(p.holders) >= maxPrefixes && len(p.holders[l.key]) == 0 {
			continue
		}
		if !known {
			p.holders[l.key] = append(p.holders[l.key], t)
		}
		t.prefixes[l.key] = prefixUse{lastSent: now, prefilled: u.prefilled}
	}
}

// markPrefilled records that a request with the prompt had its first event at the target.
func (t *target) markPrefilled(chain []prefix) {
	for _, l := range chain {
		if u, ok := t.prefixes[l.key]; ok {
			u.prefilled = true
			t.prefixes[l.key] = u
		}
	}
}

// source is a target from which a prefix of a prompt can be fetched.
type source struct {
	t *target
	// tokens is the length of the prefix, lastUsed its last use: engines evict the least recently
	// used parts, so a recent one is the likeliest to be there.
	tokens   int
	lastUsed time.Time
}

func (s source) betterThan(o source) bool {
	if s.tokens != o.tokens {
		return s.tokens > o.tokens
	}
	return s.lastUsed.After(o.lastUsed)
}

// sourcesPerVersion is the number of sources of a software version that are kept, as no target is a
// source for itself.
const sourcesPerVersion = 2

// sources are the best source and the second best of each software version: a target cannot use what
// another version has cached.
type sources []source

// findSources finds the sources of a prompt without its last part. It goes from longer to shorter
// prefixes and stops when two targets of each version are found.
func (p *Pool) findSources(now time.Time, service string, chain []prefix) sources {
	var out sources
	for n := len(chain) - 1; n > 0 && len(out) < sourcesPerVersion*p.versions[service]; n-- {
		l := chain[n-1]
		for _, t := range p.holders[l.key] {
			u := t.prefixes[l.key]
			if t.Service != service || p.targets[t.ID] != t || now.Before(t.backoffUntil) || !u.prefilled || !u.cached(now) {
				continue
			}
			out.add(source{t: t, tokens: l.tokens, lastUsed: u.lastSent})
		}
	}
	return out
}

// add inserts a source. Only the first one of each target counts.
func (s *sources) add(o source) {
	worst, same := -1, 0
	for i, known := range *s {
		switch {
		case known.t == o.t:
			return
		case known.t.Software != o.t.Software:
			continue
		case worst < 0 || (*s)[worst].betterThan(known):
			worst = i
		}
		same++
	}
	switch {
	case same < sourcesPerVersion:
		*s = append(*s, o)
	case o.betterThan((*s)[worst]):
		(*s)[worst] = o
	}
}

// forTarget is the source to use for a target; the zero source for none.
func (s sources) forTarget(t *target) (best source) {
	for _, o := range s {
		if o.t != t && o.t.Software == t.Software && (best.t == nil || o.betterThan(best)) {
			best = o
		}
	}
	return best
}

const (
	// minFetchTokens is the number of cached tokens from which fetching is worth its setup of a few
	// milliseconds; the prefill of as many takes 6 ms at fast engines.
	minFetchTokens = 500
	// defaultFetchRatio is the ratio of fetch time to prefill time where the service does not say
	// how fast its targets send; it is that of engines of 70 billion parameters.
	defaultFetchRatio = 0.39
)

// fetchTimeRatio is the ratio of fetch time to prefill time for the same tokens, at most 1.
func (w *scorer) fetchTimeRatio() float64 {
	if w.rules.FetchPerKilo <= 0 {
		return defaultFetchRatio
	}
	return min(1, w.rules.FetchPerKilo/w.prefillTime.millisPerKilo())
}

// prefillTokensAt is the number of prompt tokens that the target has to prefill. Fetched tokens
// count as the tokens that are prefilled in the same time, so a prompt cached anywhere in the
// region costs about the same at all targets and goes where the queue is shortest. Fewer shared
// parts are prefilled again than if requests stayed at the targets that cached their parts and only
// requests at other targets named a source.
func (w *scorer) prefillTokensAt(t *target) int {
	own := t.cachedTokens(w.now, w.chain)
	tokens := w.call.PromptTokens - own
	if from := w.sources.forTarget(t); from.tokens >= own+minFetchTokens {
		tokens -= int(float64(from.tokens-own) * (1 - w.fetchRatio))
	}
	return tokens
}

// source is the address of the target that t should fetch from; empty for none. It is set even
// where t is assumed to have cached the parts, as they may have been evicted; if they are still
// there, t fetches nothing. If no target is known to have cached the parts, it is the preferred
// target.
func (w *scorer) source(t *target) string {
	if len(w.chain) < 2 || w.fetchRatio >= 1 {
		return ""
	}
	if from := w.sources.forTarget(t); from.tokens >= minFetchTokens {
		return from.t.Address
	}
	shared := w.chain[len(w.chain)-2].tokens
	if w.preferred != nil && w.preferred != t && w.preferred.Software == t.Software && shared >= t.cachedTokens(w.now, w.chain)+minFetchTokens {
		return w.preferred.Address
	}
	return ""
}

// ExpirePrefixes removes prefixes not used within prefixTTL. Call it periodically to bound memory.
func (p *Pool) ExpirePrefixes(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders = map[uint64][]*target{}
	for _, t := range p.targets {
		for key, u := range t.prefixes {
			if !u.cached(now) {
				delete(t.prefixes, key)
				continue
			}
			p.holders[key] = append(p.holders[key], t)
		}
	}
}

// PrefixCount returns the number of prefixes remembered over all targets.
func (p *Pool) PrefixCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, t := range p.targets {
		n += len(t.prefixes)
	}
	return n
}
