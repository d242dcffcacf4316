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
	first := !r.targetsSet
	r.targetsSet = true
	seen := make(map[TargetID]bool, len(specs))
	clear(r.remoteRegions)
	for _, name := range r.serviceNames {
		r.services[name].list = r.services[name].list[:0]
	}
	for _, spec := range specs {
		if spec.Region != r.cfg.Region {
			r.addRemoteRegion(spec)
			continue
		}
		if seen[spec.ID] {
			continue
		}
		seen[spec.ID] = true
		t := r.setTarget(at, spec, first)
		t.listIndex = len(t.svc.list)
		t.svc.list = append(t.svc.list, t)
	}
	for id, t := range r.targets {
		if !seen[id] {
			r.removeTarget(t)
		}
	}
}

func (r *Router) addRemoteRegion(spec TargetSpec) {
	if !slices.Contains(r.remoteRegions[spec.Service], spec.Region) {
		r.remoteRegions[spec.Service] = append(r.remoteRegions[spec.Service], spec.Region)
	}
}

// setTarget adds or updates a target. first is true for the first list: targets
// that are warm in it get no slow start.
func (r *Router) setTarget(at float64, spec TargetSpec, first bool) *target {
	t := r.targets[spec.ID]
	if t != nil && t.spec.Service != spec.Service {
		r.removeTarget(t)
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
		t.reset()
	}
	t.spec = spec
	t.applySpeed()
	t.svc.model = t.svc.model || t.model()
	return t
}

// reset discards what was learned before the target went away: its cache is
// cold, and its speed and failures may have been the reason.
func (t *target) reset() {
	t.cache.clear()
	t.speed = speed{}
	t.guard = guard{}
	t.rest = rest{}
	t.trust = 1
	t.eventSeq = 0
}

func (r *Router) newTarget(spec TargetSpec) *target {
	s := r.service(spec.Service)
	n := slices.Index(s.byIndex, nil)
	if n < 0 {
		n = len(s.byIndex)
		s.byIndex = append(s.byIndex, nil)
	}
	t := &target{spec: spec, svc: s, index: int32(n), hash: xxhash.Sum64String(string(spec.ID)), trust: 1}
	t.cache = newBlockLRU(s.index, t.index, r.cfg.CacheBlocks)
	s.byIndex[n] = t
	r.targets[spec.ID] = t
	return t
}

func (r *Router) removeTarget(t *target) {
	t.cache.clear()
	t.svc.byIndex[t.index] = nil
	delete(r.targets, t.spec.ID)
}

// SetLinks implements Decider.
func (r *Router) SetLinks(now time.Time, links []Link) {
	r.seconds(now)
	r.links = slices.Clone(links)
}

// SetInstances sets the number of instances that route requests in the region,
// including this one. It replaces Config.Instances; values below 1 count as 1.
func (r *Router) SetInstances(n int) { r.cfg.Instances = max(1, n) }

// Report implements Decider. Reports of unknown targets and reports not newer
// than the last one are ignored. A time in the future is replaced by now:
// otherwise the report would hide attempts sent since, and suppress every
// report until then.
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
	rep.KVUsed = t.requestMemory(&rep)
	t.load.report(seen, at, rep, t.prefillRate(), t.svc.peers(&r.cfg))
	t.waiting = rep.Waiting
	t.running = rep.Running
	t.svc.observeReport(&rep, t.load.ownInFlight)
	t.svc.memory.observeReport(&rep, t.load.ownInFlight, t.load.ownTokens)
}

// requestMemory returns the share of memory held by requests. Some engines
// count cached prefixes as used, although they evict them when a request needs
// the memory; memory in use while nothing runs is such a cache.
func (t *target) requestMemory(rep *Report) float64 {
	if rep.Running == 0 && rep.Waiting == 0 {
		t.idleKVUsed = rep.KVUsed
	}
	return max(0, rep.KVUsed-t.idleKVUsed)
}

// firstEventSeq is the sequence number of the first cache event after a target
// starts.
const firstEventSeq = 1

// CacheEvent implements Decider. firstEventSeq after a higher number means that
// the target restarted with an empty cache. Other events that are not newer
// than the last one are ignored; events without a number are always applied.
// After a gap in the sequence, stored and evicted blocks are missing, so the
// trust in predicted hits is reduced.
func (r *Router) CacheEvent(_ time.Time, e CacheEvent) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	if e.Seq == firstEventSeq && t.eventSeq > firstEventSeq {
		t.cache.clear()
		t.eventSeq = 0
	}
	if e.Seq <= t.eventSeq && e.Seq != 0 {
		return
	}
	if t.eventSeq != 0 && e.Seq > t.eventSeq+1 {
		t.trust *= gapTrust
	}
	t.eventSeq = max(t.eventSeq, e.Seq) // an event may have no number
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
	a.expected = a.predicted / t.speed.firstToken.factor()
	if !t.model() {
		a.memory = 0
	}
	r.attempts[id] = a
	t.unanswered = append(t.unanswered, id)
	if !t.model() {
		t.load.send(at, sentAttempt{}, 0, t.svc.peers(&r.cfg))
		return
	}
	hold := uncached/t.spec.PrefillRate + float64(q.OutputTokens)*t.ratedTokenTime()
	t.svc.observeAttempt(q, uncached, hold)
	t.svc.uncachedRate.add(at, uncached)
	t.svc.memoryRate.add(at, a.memory)
	t.load.send(at, sentAttempt{tokens: uncached, memory: a.memory}, t.prefillRate(), t.svc.peers(&r.cfg))
	t.cache.touch(q.Prefix)
}

// predict returns the predicted time to first token of an attempt in seconds. A
// decision made by the host, for a request that must run alone, has no
// prediction. Taken as zero, it would make each response look late and the
// target slow.
func (t *target) predict(now time.Time, d Decision, uncached float64) float64 {
	switch {
	case !d.Start.IsZero():
		return max(0, d.Start.Sub(now).Seconds())
	case t.model():
		return uncached * t.prefillTime
	}
	return t.svc.meanPlain * t.speed.firstToken.factor()
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
	a.t.speed.firstToken.observe(at, at-a.sentAt, a.expected)
	a.t.applySpeed()
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
	t.rest.learn(at, e)
	switch e.Outcome {
	case Succeeded:
		t.answeredAt = at
		t.guard.succeed()
		t.observeHit(a.cached, e.CachedTokens)
		r.observeEnd(at, a, e)
	case Failed, Unreached:
		t.guard.fail(at, &r.cfg)
	case Rejected, Cancelled:
	}
}

// observeEnd updates the decode speed and the time that memory is held, or the
// duration of a plain call, from a complete response.
func (r *Router) observeEnd(at float64, a attempt, e End) {
	t := a.t
	if !t.model() {
		t.svc.observePlainCall(at - a.sentAt)
		if !a.answered {
			t.speed.firstToken.observe(at, at-a.sentAt, a.expected)
		}
		return
	}
	if !a.answered {
		return
	}
	t.svc.memory.observeHold(a.memory, at-a.firstAt+a.uncached/t.prefillRate())
	if e.OutputTokens > 1 {
		t.speed.decode.observe(at, at-a.firstAt, float64(e.OutputTokens-1)*t.ratedTokenTime())
		t.applySpeed()
	}
}
