package route

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetTargets implements Decider.
func (r *Router) SetTargets(now time.Time, specs []TargetSpec) {
	at := r.seconds(now)
	first := !r.primed
	r.primed = true
	seen := make(map[TargetID]bool, len(specs))
	clear(r.abroad)
	for _, name := range r.names {
		r.services[name].list = r.services[name].list[:0]
	}
	for _, spec := range specs {
		if spec.Region != r.cfg.Region {
			r.noteAbroad(spec)
			continue
		}
		if seen[spec.ID] {
			continue
		}
		seen[spec.ID] = true
		t := r.setTarget(at, spec, first)
		t.place = len(t.svc.list)
		t.svc.list = append(t.svc.list, t)
	}
	for id, t := range r.targets {
		if !seen[id] {
			r.forget(t)
		}
	}
}

func (r *Router) noteAbroad(spec TargetSpec) {
	if !slices.Contains(r.abroad[spec.Service], spec.Region) {
		r.abroad[spec.Service] = append(r.abroad[spec.Service], spec.Region)
	}
}

func (r *Router) setTarget(at float64, spec TargetSpec, first bool) *target {
	t := r.targets[spec.ID]
	if t != nil && t.spec.Service != spec.Service {
		r.forget(t)
		t = nil
	}
	if t == nil {
		t = r.newTarget(spec)
		t.warmAt = math.Inf(-1)
		if !first && spec.State == Warm {
			t.warmAt = at
		}
	} else if spec.State == Warm && t.spec.State != Warm && t.spec.State != Leaving {
		t.warmAt = at
		t.restart()
	}
	t.spec = spec
	t.learned()
	t.svc.model = t.svc.model || t.model()
	return t
}

// restart forgets what was learned before the target was away: its cache is
// cold, and its speed and failures may have been the reason.
func (t *target) restart() {
	t.cache.clear()
	t.speed = speed{}
	t.guard = guard{}
	t.trust = 1
	t.eventSeq = 0
}

func (r *Router) newTarget(spec TargetSpec) *target {
	s := r.service(spec.Service)
	n := slices.Index(s.bySlot, nil)
	if n < 0 {
		n = len(s.bySlot)
		s.bySlot = append(s.bySlot, nil)
	}
	t := &target{spec: spec, svc: s, index: int32(n), hash: xxhash.Sum64String(string(spec.ID)), trust: 1}
	t.cache = newBlockLRU(s.index, t.index, r.cfg.CacheBlocks)
	s.bySlot[n] = t
	r.targets[spec.ID] = t
	return t
}

func (r *Router) forget(t *target) {
	t.cache.clear()
	t.svc.bySlot[t.index] = nil
	delete(r.targets, t.spec.ID)
}

// SetLinks implements Decider.
func (r *Router) SetLinks(now time.Time, links []Link) {
	r.seconds(now)
	r.links = slices.Clone(links)
}

// SetInstances tells how many instances of the region decide alike, this one
// included. It replaces Config.Instances; less than 1 counts as 1.
func (r *Router) SetInstances(n int) { r.cfg.Instances = max(1, n) }

// Report implements Decider. Reports of unknown targets are ignored, as are ones
// older than the last. A time in the future is taken for now: believed, it would
// hide what was sent since, and every report until then.
func (r *Router) Report(now time.Time, rep Report) {
	t := r.targets[rep.Target]
	if t == nil {
		return
	}
	seen := r.seconds(now)
	at := min(seen, r.seconds(rep.At))
	if t.load.reported && at <= t.load.reportedAt {
		return
	}
	rep.KVUsed = t.heldMemory(&rep)
	t.load.report(seen, at, rep, t.prefillRate(), t.svc.peers(&r.cfg))
	t.waiting = rep.Waiting
	t.running = rep.Running
	t.svc.sawReport(&rep, t.load.own)
	t.svc.memory.sawReport(&rep, t.load.own, t.load.ownTokens)
}

// heldMemory is the share of memory that requests hold. Some engines count
// cached prefixes as used, which they give up when a request needs the room;
// what is used while nothing runs is such a cache.
func (t *target) heldMemory(rep *Report) float64 {
	if rep.Running == 0 && rep.Waiting == 0 {
		t.cachedMemory = rep.KVUsed
	}
	return max(0, rep.KVUsed-t.cachedMemory)
}

// firstEvent is the number of the first cache event of a target's life.
const firstEvent = 1

// CacheEvent implements Decider. The first event's number again means that the
// target started anew with an empty cache. A gap in the numbers means that stored and
// dropped blocks went unheard of, so predicted hits are believed less.
func (r *Router) CacheEvent(_ time.Time, e CacheEvent) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	if e.Seq == firstEvent && t.eventSeq > firstEvent {
		t.cache.clear()
		t.eventSeq = 0
	}
	if e.Seq <= t.eventSeq && e.Seq != 0 {
		return
	}
	if t.eventSeq != 0 && e.Seq > t.eventSeq+1 {
		t.trust *= gapTrust
	}
	t.eventSeq = e.Seq
	for _, d := range e.Evicted {
		t.cache.evict(d)
	}
	for _, d := range e.Stored {
		t.cache.store(d)
	}
}

// Sent implements Decider.
func (r *Router) Sent(now time.Time, id AttemptID, q *Request, d Decision) {
	t := r.targets[d.Target]
	if t == nil || d.Action != Send {
		return
	}
	if _, ok := r.attempts[id]; ok {
		return
	}
	at := r.seconds(now)
	uncached := float64(max(1, q.PromptTokens-d.CachedTokens))
	a := attempt{t: t, sentAt: at, cached: d.CachedTokens}
	a.uncached, a.memory = uncached, float64(q.PromptTokens+q.OutputTokens)
	a.predicted = t.predict(now, d, uncached)
	a.expected = a.predicted / t.speed.first.factor()
	if !t.model() {
		a.memory = 0
	}
	r.attempts[id] = a
	t.unanswered = append(t.unanswered, id)
	if !t.model() {
		t.load.send(at, sending{}, 0, t.svc.peers(&r.cfg))
		return
	}
	hold := uncached/t.spec.PrefillRate + float64(q.OutputTokens)*t.ratedTokenTime()
	t.svc.sawSending(q, uncached, hold)
	t.svc.tokens.add(at, uncached)
	t.svc.held.add(at, a.memory)
	t.load.send(at, sending{tokens: uncached, memory: a.memory}, t.prefillRate(), t.svc.peers(&r.cfg))
	t.cache.touch(q.Prefix)
}

// predict is the predicted time to first token of a sending in seconds. A host
// that chose the target itself, for a request that must run alone, has none:
// taken for zero, each such answer would look late and the target slow.
func (t *target) predict(now time.Time, d Decision, uncached float64) float64 {
	switch {
	case !d.Start.IsZero():
		return max(0, d.Start.Sub(now).Seconds())
	case t.model():
		return uncached * t.prefillTime
	}
	return t.svc.plain * t.speed.first.factor()
}

// FirstToken implements Decider.
func (r *Router) FirstToken(now time.Time, id AttemptID) {
	a, ok := r.attempts[id]
	if !ok || a.answered {
		return
	}
	at := r.seconds(now)
	a.answered = true
	a.firstAt = at
	a.t.answeredAt = at
	r.attempts[id] = a
	a.t.speed.first.observe(at, at-a.sentAt, a.expected)
	a.t.learned()
}

// Ended implements Decider.
func (r *Router) Ended(now time.Time, e End) {
	a, ok := r.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(r.attempts, e.Attempt)
	at := r.seconds(now)
	t := a.t
	t.load.end(at, a.sentAt, a.memory)
	r.oldestUnanswered(t)
	switch e.Outcome {
	case Succeeded:
		t.answeredAt = at
		t.guard.succeed()
		t.sawHit(a.cached, e.CachedTokens)
		r.learnEnd(at, a, e)
	case Failed, Unreached:
		t.guard.fail(at, &r.cfg)
	case Rejected, Cancelled:
	}
}

// learnEnd learns the speed of decoding, or of a plain call, from a whole answer.
func (r *Router) learnEnd(at float64, a attempt, e End) {
	t := a.t
	if !t.model() {
		t.svc.sawPlain(at - a.sentAt)
		if !a.answered {
			t.speed.first.observe(at, at-a.sentAt, a.expected)
		}
		return
	}
	if !a.answered {
		return
	}
	t.svc.memory.sawHold(a.memory, at-a.firstAt+a.uncached/t.prefillRate())
	if e.OutputTokens > 1 {
		t.speed.decode.observe(at, at-a.firstAt, float64(e.OutputTokens-1)*t.ratedTokenTime())
		t.learned()
	}
}
