package pick

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pool holds the targets of the own region. It is safe for concurrent use.
type Pool struct {
	self string

	mu      sync.Mutex
	targets map[string]*target
	// byService is sorted as in splitIntoGroups; groups holds its groups.
	byService map[string][]*target
	groups    map[string][][]*target
	// holders are the targets that a prompt prefix was sent to; some may be gone or have dropped
	// it.
	holders  map[uint64][]*target
	snapshot Snapshot
	// versions is the number of software versions of each service's targets.
	versions map[string]int
	// software are the versions listed recently in any region, by service.
	software map[string][]string
	// watched are the groups of WatchedGroups for the snapshot; nil until computed.
	watched []Group
	// absent are targets that were on the list recently.
	absent map[string]absentTarget
	// past are the entry instances known before those of the snapshot, kept for the propagation
	// delay. firstUpdateAt is when this instance first received an update, lastUpdateAt when it
	// last did.
	past                        []pastEntries
	firstUpdateAt, lastUpdateAt time.Time
	// evacuatedAt is when each zone was last seen evacuated.
	evacuatedAt map[string]time.Time
	// prefillTimes are the prefill times of the engines, by service.
	prefillTimes map[string]*prefillTime
}

// target is what this instance knows of a target.
type target struct {
	Target
	// own counts this instance's requests in flight there, and those that it chose for others as
	// group owner. byOwner is the part of it that other group owners chose. others is what other
	// instances report.
	own, byOwner Load
	others       Load
	// failures counts consecutive times that the target was lost or unreachable; any answer resets
	// it. The target is in backoff until backoffUntil. probing says that one request is in flight
	// to test whether it is back.
	failures     int
	backoffUntil time.Time
	probing      bool
	// failShare is the decayed share of requests that failed, were rejected or got no whole answer.
	failShare float64
	// prefillMillis is the recent prefill time that this instance has assigned; it decays over
	// prefillSpan, as of prefillAt.
	prefillMillis float64
	prefillAt     time.Time
	// slowness is how many times longer first events took than estimated for the service's engines.
	slowness float64
	// nextAllowed is when it may get the next request while its rate is limited. inferredColdUntil
	// is the end of a cold period inferred from the end of a zone's evacuation or from the target
	// having been unreachable.
	nextAllowed       time.Time
	inferredColdUntil time.Time
	// limit is the last limit known.
	limit limitAt
	// rest is the last rest that it asked this instance for. leaving says that it has said that it
	// is leaving; it is then draining too.
	rest    rest
	leaving bool
	// unreached says that no connection could be established since its last answer.
	unreached bool
	// lostAt is when contact was last lost, if inDoubt is set: then it may have started again. p.mu guards both.
	lostAt  time.Time
	inDoubt atomic.Bool
	// order is its sort key among the targets of the service, the same at all instances.
	order uint64
	// group is the number of its group.
	group int
	// watches are called when the target is found unreachable.
	watches map[*Choice]func()
	// prefixes are the prompt prefixes sent there.
	prefixes map[uint64]prefixUse
}

// New returns an empty pool. self is the ID of this instance in Snapshot.Entries.
func New(self string) *Pool {
	return &Pool{
		self: self, targets: map[string]*target{}, byService: map[string][]*target{}, evacuatedAt: map[string]time.Time{},
		prefillTimes: map[string]*prefillTime{}, holders: map[uint64][]*target{}, absent: map[string]absentTarget{},
	}
}

// Update replaces the snapshot. A draining target stays draining until it restarts: an older list
// from another core instance must not bring it back. The pool keeps the maps and slices of s; the
// caller must not modify them while the pool is in use.
func (p *Pool) Update(now time.Time, s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.targets
	p.targets = make(map[string]*target, len(s.Targets))
	p.byService = map[string][]*target{}
	p.recordEvacuations(now, s)
	p.recordEntries(now, &s)
	for _, listed := range s.Targets {
		t := old[listed.ID]
		if t == nil {
			t = p.takeAbsent(listed.ID)
		}
		if t == nil || t.startedAgain(listed) {
			t = &target{prefixes: map[uint64]prefixUse{}, watches: map[*Choice]func(){}, slowness: 1, order: orderOf(listed.ID)}
		}
		listed.Draining = listed.Draining || t.Draining
		t.Target, t.others = listed, s.Loads[listed.ID]
		if at, ok := p.evacuatedAt[listed.Zone]; ok && !s.Evacuated[listed.Zone] {
			t.extendCold(at.Add(s.Rules[listed.Service].ColdFor + coldMargin))
		}
		p.targets[listed.ID] = t
		p.byService[listed.Service] = append(p.byService[listed.Service], t)
	}
	p.keepAbsent(now, old)
	p.groups, p.versions = map[string][][]*target{}, map[string]int{}
	for service, list := range p.byService {
		p.groups[service] = splitIntoGroups(list)
		p.versions[service] = countVersions(list)
	}
	p.snapshot, p.watched = s, nil
	p.dropUnusedPrefillTimes()
}

// countVersions returns the number of distinct software versions.
func countVersions(list []*target) int {
	versions := map[string]bool{}
	for _, t := range list {
		versions[t.Software] = true
	}
	return len(versions)
}

// UpdateLoads replaces the loads of the other instances when nothing else has changed. Its cost
// grows with the number of loads, not of targets. The pool keeps loads; the caller must not modify
// the map while the pool is in use.
func (p *Pool) UpdateLoads(now time.Time, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordEvacuations(now, p.snapshot)
	p.recordEntries(now, &p.snapshot)
	for id := range p.snapshot.Loads {
		if t := p.targets[id]; t != nil {
			t.others = Load{}
		}
	}
	for id, l := range loads {
		if t := p.targets[id]; t != nil {
			t.others = l
		}
	}
	p.snapshot.Loads = loads
}

// dropUnusedPrefillTimes removes those of services that the configuration no longer names.
func (p *Pool) dropUnusedPrefillTimes() {
	for service := range p.prefillTimes {
		if _, ok := p.snapshot.Rules[service]; !ok {
			delete(p.prefillTimes, service)
		}
	}
}

func (p *Pool) recordEvacuations(now time.Time, s Snapshot) {
	for zone, on := range s.Evacuated {
		if on {
			p.evacuatedAt[zone] = now
		}
	}
}

// Reasons why no target was chosen.
const (
	// ReasonNoTarget: the service has no target in the region.
	ReasonNoTarget = "no_target"
	// ReasonNoneAvailable: all targets are draining, evacuated, in backoff, resting, being probed, already
	// tried, or rate-limited and not due yet or left to the owner of their group.
	ReasonNoneAvailable = "none_available"
)

// Pick chooses a target and counts the request in its load. If none can be chosen it returns nil
// and the reason.
func (p *Pool) Pick(now time.Time, c Call) (*Choice, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byService[c.Service]
	if len(list) == 0 {
		return nil, ReasonNoTarget
	}
	w := p.newScorer(now, c)
	number := groupOf(len(list), w.chain, c.SpreadKey)
	group := p.groups[c.Service][number]
	w.preferred = p.preferredTarget(group, w.chain)
	best, e := p.best(group, w)
	if best == nil || e.callCost(best) > leaveGroupMillis {
		best, e = p.best(p.rotated(list, c.SpreadKey), w)
	}
	if best == nil {
		w.busyToo = true
		best, e = p.best(p.rotated(list, c.SpreadKey), w)
	}
	if best == nil {
		return nil, ReasonNoneAvailable
	}
	ch := p.reserve(w, best, &e)
	ch.Group = Group{Service: c.Service, Number: number}
	best.recordPrefill(now, w.prefillTime.firstEventMillis(float64(ch.counted.PendingPrefill.Ahead(c.Rank))))
	return ch, ""
}

// rotated returns the targets starting at one given by spreadKey if the loads of most are unknown
// here: those all look idle, and all instances would choose the first of them.
func (p *Pool) rotated(list []*target, spreadKey uint64) []*target {
	if !p.snapshot.PartialLoads {
		return list
	}
	at := int(spreadKey % uint64(len(list)))
	return slices.Concat(list[at:], list[:at])
}

// best returns the eligible target of the lowest cost, with its estimate; nil if none is eligible.
func (p *Pool) best(list []*target, w *scorer) (best *target, estimated estimate) {
	least := math.Inf(1)
	for _, t := range list {
		if !p.eligible(t, w) {
			continue
		}
		e := w.estimateAt(t)
		if x := e.cost(t); x < least {
			best, estimated, least = t, e, x
		}
	}
	return best, estimated
}

// reserve counts the request in the target's load and rate limit, as its probe if the target has
// failed or rested, and returns the choice.
func (p *Pool) reserve(w *scorer, t *target, e *estimate) *Choice {
	ch := &Choice{ID: t.ID, Address: t.Address, Software: t.Software, StartMillis: t.StartMillis, Rank: w.call.Rank, Cost: e.cost(t), Limit: t.limit.TargetLimit, pool: p, t: t, at: w.now, chain: w.chain}
	if t.failures > 0 || t.rest.untested {
		t.probing, ch.probe = true, true
	}
	ch.Cold, ch.EntryInstances = p.cold(w.now, t), len(p.snapshot.Entries)
	if perSecond := p.allowedPerSecond(w.now, t); perSecond > 0 {
		t.nextAllowed = w.now.Add(time.Duration(float64(time.Second) / perSecond))
	}
	ch.Wait, ch.Tokens = e.wait, e.tokens
	if w.rules.Engine {
		ch.Work = t.slowness * w.prefillTime.firstEventMillis(float64(e.prefillTokens))
		ch.QueueWait = max(0, e.wait-ch.Work)
	}
	ch.Source = w.source(t)
	ch.counted = Load{Running: 1, PendingPrefill: QueueOf(w.call.Rank, e.prefillTokens)}
	t.own.add(ch.counted)
	p.recordPrefixes(w.now, t, w.chain)
	return ch
}

// PickAt counts a request at the target that another instance, the group owner, chose. It returns
// nil if this instance knows that the target must not get it.
func (p *Pool) PickAt(now time.Time, c Call, id string) *Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[id]
	if t == nil || !p.available(now, t, c) {
		return nil
	}
	ch := p.reserveAt(now, t, c)
	ch.byOwner = true
	t.byOwner.add(ch.counted)
	return ch
}

// PickAgain counts a request at a target that has run it before, also in a backoff. It returns nil if the
// target must not get it.
func (p *Pool) PickAgain(now time.Time, c Call, id string) *Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[id]
	if t == nil || p.draining(t) || t.resting(now) || p.cold(now, t) || !p.hasSoftware(t, c.Software) {
		return nil
	}
	if p.allowedPerSecond(now, t) > 0 && !p.rateAllows(now, t) {
		return nil
	}
	return p.reserveAt(now, t, c)
}

// reserveAt counts a request at a target. p.mu must be held.
func (p *Pool) reserveAt(now time.Time, t *target, c Call) *Choice {
	w := p.newScorer(now, c)
	e := w.estimateAt(t)
	return p.reserve(w, t, &e)
}

// backOff starts the target's backoff and forgets which prefixes it has cached. Requests that fail
// during the backoff don't extend it, so those that fail together count once.
func (t *target) backOff(now time.Time) {
	if now.Before(t.backoffUntil) {
		return
	}
	t.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(t.failures, 8)))
	t.failures++
	clear(t.prefixes)
}

// Loads returns the loads to report, by target ID: this instance's requests and those that it chose
// for others as group owner. Requests chosen by other group owners are reported by those.
func (p *Pool) Loads(now time.Time) map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]Load{}
	for id, t := range p.targets {
		reported := t.own
		reported.subtract(t.byOwner)
		if reported.Running > 0 {
			reported.PrefillMillis = int(t.ownPrefillMillis(now))
			out[id] = reported
		}
	}
	return out
}

// Counts are numbers of targets by state. A limited or resting target may be in any other state too.
type Counts struct{ Targets, BackingOff, Cold, Limited, Resting, Draining int }

// Count returns the numbers of targets in the region by state.
func (p *Pool) Count(now time.Time) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := Counts{Targets: len(p.targets)}
	for _, t := range p.targets {
		if t.limit.Limited {
			c.Limited++
		}
		if t.resting(now) {
			c.Resting++
		}
		switch {
		case p.draining(t):
			c.Draining++
		case now.Before(t.backoffUntil):
			c.BackingOff++
		case p.cold(now, t):
			c.Cold++
		}
	}
	return c
}

// Targets returns the number of targets.
func (p *Pool) Targets() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.targets)
}

// Addresses returns the set of the targets' addresses.
func (p *Pool) Addresses() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]bool, len(p.targets))
	for _, t := range p.targets {
		out[t.Address] = true
	}
	return out
}

// prefix is a beginning of a prompt that ends with one of its parts.
type prefix struct {
	key uint64
	// tokens is the length of the prompt up to the end of the part.
	tokens int
}

// chain returns the prefixes of the prompt from short to long. A part is cached for a request only
// if all parts before it are the same.
func (c *Call) chain() []prefix {
	parts := c.Parts[:min(len(c.Parts), MaxParts)]
	out := make([]prefix, 0, len(parts))
	key, tokens := xxhash.Sum64String(c.Model), 0
	for _, part := range parts {
		key = mix(key, part.ID)
		tokens += part.Tokens
		out = append(out, prefix{key, tokens})
	}
	return out
}

// mix combines two hashes; their order counts.
func mix(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	a ^= b + odd + a<<6 + a>>2
	a *= odd
	return a ^ a>>29
}
