package pick

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pool holds the targets of the own region.
type Pool struct {
	self string

	mu      sync.Mutex
	targets map[string]*target
	// byService is in the order of the division, and groups are its parts.
	byService map[string][]*target
	groups    map[string][][]*target
	// holders are the targets that a prompt part was sent to; some may be gone, or have
	// forgotten it.
	holders  map[uint64][]*target
	snapshot Snapshot
	// duties are those of the snapshot; nil until they are asked for.
	duties []Group
	// past are the entry instances known before those of the snapshot, for as long as settle
	// says. begunAt is when this instance was first told who is there, heardAt when last.
	past             []pastEntries
	begunAt, heardAt time.Time
	// evacuatedAt is when each zone was last seen evacuated.
	evacuatedAt map[string]time.Time
	// paces are those of the engines by service.
	paces map[string]*pace
}

// target is what this instance knows of one.
type target struct {
	Target
	// own counts what this instance has under way there, or has decided for others;
	// advised is the part of it that others have decided.
	own, advised Load
	others       Load
	// failures in a row that took it out, until downUntil; probing says that one
	// request is on its way to see whether it is back.
	failures  int
	downUntil time.Time
	probing   bool
	// failShare is the share of failed answers, newer ones weighing more.
	failShare float64
	// read is the time that reading prompts takes there, in milliseconds, as it was given
	// out lately: it fades over readingSpan, as of readAt.
	read   float64
	readAt time.Time
	// slowness is how many times longer first events took than at the service's engines as
	// a rule.
	slowness float64
	// next is when it may be given the next request while it bears only a few. coldBy is when
	// it ends to count as cold after a zone's return from evacuation, or after it was out of
	// reach.
	next   time.Time
	coldBy time.Time
	// named is the limit that it has named last.
	named heard
	// unreached says that no connection to it could be made since its last answer.
	unreached bool
	// order is its place among the targets of the service, alike at all instances.
	order uint64
	// group is the part of the service's targets that it belongs to.
	group int
	// watches are called when the target turns out to be out of reach.
	watches map[*Choice]func()
	// kept holds the prompt parts sent there.
	kept map[uint64]use
}

// New makes an empty pool. self is the id of this instance among the entries.
func New(self string) *Pool {
	return &Pool{
		self: self, targets: map[string]*target{}, byService: map[string][]*target{}, evacuatedAt: map[string]time.Time{},
		paces: map[string]*pace{}, holders: map[uint64][]*target{},
	}
}

// Update takes in a new view. A target that was draining stays so until it starts again:
// an older list, read elsewhere, must not bring it back.
func (p *Pool) Update(now time.Time, s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.targets
	p.targets = make(map[string]*target, len(s.Targets))
	p.byService = map[string][]*target{}
	p.noteEvacuations(now, s)
	p.noteEntries(now, &s)
	for _, listed := range s.Targets {
		t := old[listed.ID]
		if t == nil || t.startedAgain(listed) {
			t = &target{kept: map[uint64]use{}, watches: map[*Choice]func(){}, slowness: 1, order: orderOf(listed.ID)}
		}
		listed.Draining = listed.Draining || t.Draining
		t.Target, t.others = listed, s.Loads[listed.ID]
		if at, ok := p.evacuatedAt[listed.Zone]; ok && !s.Evacuated[listed.Zone] {
			t.coldUntil(at.Add(s.Rules[listed.Service].ColdFor + coldMargin))
		}
		p.targets[listed.ID] = t
		p.byService[listed.Service] = append(p.byService[listed.Service], t)
	}
	p.groups = map[string][][]*target{}
	for service, list := range p.byService {
		p.groups[service] = divide(list)
	}
	p.snapshot, p.duties = s, nil
	p.forgetPaces()
}

// UpdateLoads takes in new loads of the others where nothing else has changed. It costs by
// the number of loads, not of targets.
func (p *Pool) UpdateLoads(now time.Time, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteEvacuations(now, p.snapshot)
	p.noteEntries(now, &p.snapshot)
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

// forgetPaces drops those of services that the configuration no longer names.
func (p *Pool) forgetPaces() {
	for service := range p.paces {
		if _, ok := p.snapshot.Rules[service]; !ok {
			delete(p.paces, service)
		}
	}
}

func (p *Pool) noteEvacuations(now time.Time, s Snapshot) {
	for zone, on := range s.Evacuated {
		if on {
			p.evacuatedAt[zone] = now
		}
	}
}

// Why a choice was not made.
const (
	// ReasonNone: the service has no target in the region.
	ReasonNoTarget = "no_target"
	// ReasonLeft: all targets are draining, evacuated, out of reach, or cold or in need and not
	// due yet.
	ReasonNoneAvailable = "none_available"
)

// Pick chooses a target and counts the request in. Without a choice the reason says
// why.
func (p *Pool) Pick(now time.Time, c Call) (*Choice, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byService[c.Service]
	if len(list) == 0 {
		return nil, ReasonNoTarget
	}
	w := p.weigh(now, c)
	group := p.group(c.Service, w.chain, c.SpreadKey)
	w.home = p.home(group, w.chain)
	best, e := p.best(group, w)
	if best == nil || e.hurry(best) > leaveGroup {
		best, e = p.best(p.inTurn(list, c.SpreadKey), w)
	}
	if best == nil {
		return nil, ReasonNoneAvailable
	}
	ch := p.take(w, best, &e)
	best.readMore(now, w.pace.until(float64(ch.counted.PendingPrefill.Ahead(c.Rank))))
	return ch, ""
}

// inTurn lists the targets from any one on where the loads of most are not known here: those
// all look idle, and the first of them would be chosen by all.
func (p *Pool) inTurn(list []*target, lot uint64) []*target {
	if !p.snapshot.PartialLoads {
		return list
	}
	at := int(lot % uint64(len(list)))
	return slices.Concat(list[at:], list[:at])
}

// best is the eligible target of the least cost, with what the call meets there.
func (p *Pool) best(list []*target, w *weighing) (best *target, meets estimate) {
	least := math.Inf(1)
	for _, t := range list {
		if !p.eligible(w.now, t, w.call) {
			continue
		}
		e := w.at(t)
		if x := e.cost(t); x < least {
			best, meets, least = t, e, x
		}
	}
	return best, meets
}

// take counts the request in.
func (p *Pool) take(w *weighing, t *target, e *estimate) *Choice {
	ch := &Choice{ID: t.ID, Address: t.Address, Cost: e.cost(t), Limit: t.named.TargetLimit, pool: p, t: t, at: w.now, chain: w.chain}
	if t.failures > 0 {
		t.probing, ch.probe = true, true
	}
	ch.Cold, ch.Entries = p.cold(w.now, t), len(p.snapshot.Entries)
	if perSecond := p.perSecond(w.now, t); perSecond > 0 {
		t.next = w.now.Add(time.Duration(float64(time.Second) / perSecond))
	}
	ch.Wait, ch.Tokens = e.wait, e.tokens
	if w.rules.Engine {
		ch.QueueWait = max(0, e.wait-t.slowness*w.pace.until(float64(e.unread)))
	}
	ch.Source = w.source(t)
	ch.counted = Load{Running: 1, PendingPrefill: QueueOf(w.call.Rank, e.unread)}
	t.own.add(ch.counted)
	p.keep(w.now, t, w.chain)
	return ch
}

// PickAt counts in a request for which another instance has decided; nil if the target
// may not get it as far as is known here.
func (p *Pool) PickAt(now time.Time, c Call, id string) *Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[id]
	if t == nil || !p.open(now, t, c) {
		return nil
	}
	w := p.weigh(now, c)
	e := w.at(t)
	ch := p.take(w, t, &e)
	ch.advised = true
	t.advised.add(ch.counted)
	return ch
}

// lost leaves the target out for a while. Requests that fail together count once.
func (t *target) lost(now time.Time) {
	if now.Before(t.downUntil) {
		return
	}
	t.downUntil = now.Add(min(downMost, downFirst<<min(t.failures, 8)))
	t.failures++
	clear(t.kept)
}

// Loads lists what this instance has under way or has decided for others; what others
// have decided they list.
func (p *Pool) Loads(now time.Time) map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]Load{}
	for id, t := range p.targets {
		told := t.own
		told.subtract(t.advised)
		if told.Running > 0 {
			told.PrefillMillis = int(t.ownReading(now))
			out[id] = told
		}
	}
	return out
}

// Counts of targets by what they may get. A limited one may be any of the others, too.
type Counts struct{ Targets, BackingOff, Cold, Limited, Draining int }

// Count counts the targets of the region.
func (p *Pool) Count(now time.Time) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := Counts{Targets: len(p.targets)}
	for _, t := range p.targets {
		if t.named.Limited {
			c.Limited++
		}
		switch {
		case p.leaving(t):
			c.Draining++
		case now.Before(t.downUntil):
			c.BackingOff++
		case p.cold(now, t):
			c.Cold++
		}
	}
	return c
}

// Targets is the number of targets.
func (p *Pool) Targets() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.targets)
}

// Addresses of the targets now.
func (p *Pool) Addresses() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]bool, len(p.targets))
	for _, t := range p.targets {
		out[t.Address] = true
	}
	return out
}

// link is one part of a prompt with all before it.
type link struct {
	key uint64
	// tokens of the prompt up to the end of the part.
	tokens int
}

// chain names each beginning of the prompt: a part is kept for a request only if all
// before it are the same.
func (c *Call) chain() []link {
	out := make([]link, 0, len(c.Parts))
	key, tokens := xxhash.Sum64String(c.Model), 0
	for _, part := range c.Parts {
		key = mix(key, part.ID)
		tokens += part.Tokens
		out = append(out, link{key, tokens})
	}
	return out
}

func mix(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	a ^= b + odd + a<<6 + a>>2
	a *= odd
	return a ^ a>>29
}
