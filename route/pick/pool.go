package pick

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pool holds the targets of the own region.
type Pool struct {
	self string

	mu      sync.Mutex
	targets map[string]*target
	// byService is in the order of ids.
	byService map[string][]*target
	snapshot  Snapshot
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
	// coldAt is when it last was given a request while cold, and coldBy when a
	// zone's return from evacuation ends to count as cold.
	coldNext time.Time
	coldBy   time.Time
	// order is its place among the targets of the service, alike at all instances.
	order uint64
	// group is the part of the service's targets that it belongs to.
	group int
	// watches are called when the target turns out to be out of reach.
	watches map[*Choice]func()
	// kept holds the prompt parts sent there, with the time of the last use.
	kept map[uint64]time.Time
}

// New makes an empty pool. self is the id of this instance among the entries.
func New(self string) *Pool {
	return &Pool{
		self: self, targets: map[string]*target{}, byService: map[string][]*target{}, evacuatedAt: map[string]time.Time{},
		paces: map[string]*pace{},
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
	for _, listed := range s.Targets {
		t := old[listed.ID]
		if t == nil || t.startedAgain(listed) {
			t = &target{kept: map[uint64]time.Time{}, watches: map[*Choice]func(){}, slowness: 1, order: weight(0, listed.ID)}
		}
		listed.Draining = listed.Draining || t.Draining
		t.Target, t.others = listed, s.Loads[listed.ID]
		if at, ok := p.evacuatedAt[listed.Zone]; ok && !s.Evacuated[listed.Zone] {
			t.coldBy = at.Add(s.Rules[listed.Service].ColdFor + coldMargin)
		}
		p.targets[listed.ID] = t
		p.byService[listed.Service] = append(p.byService[listed.Service], t)
	}
	for _, list := range p.byService {
		divide(list)
	}
	p.snapshot = s
}

func (p *Pool) noteEvacuations(now time.Time, s Snapshot) {
	for zone, on := range s.Evacuated {
		if on {
			p.evacuatedAt[zone] = now
		}
	}
}

// Choice is a target that was chosen, with the request counted in. Exactly one of
// its ends must be called: Done.
type Choice struct {
	ID, Address string
	// Cost is the estimate in milliseconds until the first event.
	Cost float64
	// Wait is Cost without what failures and others cost, for a comparison with other
	// regions: their failures are not known, and a request of which each answer fails would
	// drive all others away.
	Wait float64
	// Front is the part of Wait that requests in front take at an engine, whatever the
	// length of the call's own prompt.
	Front float64
	// Tokens are what is read until the first event, as far as was known.
	Tokens float64
	// Cold says that the target was cold.
	Cold bool
	// Source is the address of another target that keeps more of the prompt, from
	// where this one may fetch it; empty for none.
	Source string

	pool *Pool
	t    *target
	// advised says that another instance decided and counts it.
	advised bool
	at      time.Time
	// counted is what the request still adds to the target's load.
	counted Load
	probe   bool
}

// Why a choice was not made.
const (
	// ReasonNone: the service has no target in the region.
	ReasonNone = "no_target"
	// ReasonLeft: all targets are draining, evacuated, cold or out of reach.
	ReasonLeft = "none_available"
)

// Pick chooses a target and counts the request in. Without a choice the reason says
// why.
func (p *Pool) Pick(now time.Time, c Call) (*Choice, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byService[c.Service]
	if len(list) == 0 {
		return nil, ReasonNone
	}
	chain := c.chain()
	home := p.home(list, chain)
	best, bestCost := p.best(now, p.group(list, chain), c, chain, home)
	if best == nil || bestCost > leaveGroup {
		best, bestCost = p.best(now, list, c, chain, home)
	}
	if best == nil {
		return nil, ReasonLeft
	}
	ch := p.take(now, best, c, chain, bestCost, home)
	best.readMore(now, p.pace(c.Service).until(float64(ch.counted.Unread.Ahead(c.Rank))))
	return ch, ""
}

// best is the eligible target of the least cost.
func (p *Pool) best(now time.Time, list []*target, c Call, chain []link, home *target) (best *target, cost float64) {
	cost = math.Inf(1)
	for _, t := range list {
		if !p.eligible(now, t, c) {
			continue
		}
		if x := p.cost(now, t, c, chain, t == home); x < cost {
			best, cost = t, x
		}
	}
	return best, cost
}

// take counts the request in.
func (p *Pool) take(now time.Time, t *target, c Call, chain []link, cost float64, home *target) *Choice {
	ch := &Choice{ID: t.ID, Address: t.Address, Cost: cost, pool: p, t: t}
	if t.failures > 0 {
		t.probing, ch.probe = true, true
	}
	if p.cold(now, t) {
		ch.Cold = true
		t.coldNext = now.Add(time.Duration(float64(time.Second) / p.snapshot.Rules[t.Service].ColdPerSecond))
	}
	wait := p.wait(now, t, c, chain, t == home)
	ch.Wait = wait
	ch.Tokens, ch.at = p.tokens(now, t, c, chain, t == home), now
	unread := c.PromptTokens - t.keptTokens(now, chain)
	if p.snapshot.Rules[t.Service].Engine {
		ch.Front = max(0, wait-t.slowness*p.pace(t.Service).until(float64(unread)))
	}
	ch.Source = p.source(now, t, chain, home)
	ch.counted = Load{Running: 1, Unread: QueueOf(c.Rank, unread), Held: c.held()}
	t.own.add(ch.counted)
	for _, l := range chain {
		t.kept[l.key] = now
	}
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
	ch := p.take(now, t, c, c.chain(), 0, nil)
	ch.advised = true
	t.advised.add(ch.counted)
	return ch
}

// First says that the target has begun to answer: the prompt is read.
func (c *Choice) First(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.learn(float64(now.Sub(c.at).Milliseconds()))
	c.first()
}

// learn compares the time until the first event with what was expected.
func (c *Choice) learn(millis float64) {
	if !c.pool.snapshot.Rules[c.t.Service].Engine || c.counted.Running == 0 {
		return
	}
	pace := c.pool.pace(c.t.Service)
	if expected := pace.until(c.Tokens); expected >= leastLearned {
		ratio := min(mostSlowness, max(leastSlowness, millis/expected))
		c.t.slowness += learning * (ratio - c.t.slowness)
	}
	pace.learn(c.Tokens, millis)
}

// first takes the prompt out of what is not read yet.
func (c *Choice) first() { c.uncount(Load{Unread: c.counted.Unread}) }

// uncount takes a part of what the request was counted with out of the target's load.
func (c *Choice) uncount(part Load) {
	c.counted.subtract(part)
	c.t.own.subtract(part)
	if c.advised {
		c.t.advised.subtract(part)
	}
}

// Result is how a request at a target ended, as far as it tells of the target.
type Result uint8

const (
	// Good: it answered as it should.
	Good Result = iota
	// Neutral: the end tells nothing of the target, as when the caller left.
	Neutral
	// Failed: it answered with a failure.
	Failed
	// Lost: it could not be reached, or broke off.
	Lost
	// Unreachable: no connection to it could be made.
	Unreachable
	// Gone: another target answers at its address.
	Gone
	// Full: it turned the request away.
	Full
)

// Watch has f called, by the goroutine that finds it, when the target turns out to be
// out of reach before Done.
//
// What goes wrong without it: a target falls silent with requests under way. Their
// connections look open for seconds, until the kernel gives them up, while new
// connections fail at once.
func (c *Choice) Watch(f func()) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.t.watches[c] = f
}

// Done takes the request out again.
func (c *Choice) Done(now time.Time, r Result) {
	for _, watch := range c.done(now, r) {
		watch()
	}
}

// done returns the watches that are to be called.
func (c *Choice) done(now time.Time, r Result) (watches []func()) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	t := c.t
	delete(t.watches, c)
	c.uncount(c.counted)
	if c.probe {
		t.probing = false
	}
	switch r {
	case Good:
		t.failures, t.downUntil = 0, time.Time{}
		t.failShare *= failKeep
	case Failed, Full:
		t.failures, t.downUntil = 0, time.Time{}
		t.failShare = t.failShare*failKeep + (1 - failKeep)
	case Unreachable:
		for _, watch := range t.watches {
			watches = append(watches, watch)
		}
		clear(t.watches)
		fallthrough
	case Lost:
		t.failShare = t.failShare*failKeep + (1 - failKeep)
		t.lost(now)
	case Gone:
		t.Draining = true
	case Neutral:
	}
	return watches
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
			told.Reading = int(t.ownReading(now))
			out[id] = told
		}
	}
	return out
}

// Counts of targets by what they may get.
type Counts struct{ Targets, Out, Cold, Draining int }

// Count counts the targets of the region.
func (p *Pool) Count(now time.Time) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := Counts{Targets: len(p.targets)}
	for _, t := range p.targets {
		switch {
		case p.leaving(t):
			c.Draining++
		case now.Before(t.downUntil):
			c.Out++
		case p.cold(now, t):
			c.Cold++
		}
	}
	return c
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
