package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Router routes the requests of one instance. It is not safe for concurrent
// use. Its decisions depend only on its settings, its random source and its
// events.
type Router struct {
	cfg      Config
	rng      *rand.Rand
	epoch    time.Time
	started  bool
	targets  map[TargetID]*target
	services map[string]*service
	// serviceNames are sorted, so that no result depends on map order.
	// remoteRegions lists, by service, the other regions that have targets of
	// it.
	serviceNames  []string
	remoteRegions map[string][]string
	links         []Link
	attempts      map[AttemptID]attempt
	// targetsSet is true after the first SetTargets.
	targetsSet bool
	filters    []Filter
	scorers    []Scorer
	picker     Picker
	// scopedTargets, least, candidates, bySlowness and snapshot are buffers
	// reused by each decision.
	scopedTargets []*target
	least         leastLoaded
	candidates    []Candidate
	bySlowness    []targetSlowness
	snapshot      Snapshot
}

// attempt is an own attempt in flight.
type attempt struct {
	t      *target
	sentAt float64
	// predicted is the predicted time to first token in seconds, expected the
	// same at the rated speed.
	predicted, expected float64
	// cached is the predicted prefix hit in tokens.
	cached int
	// uncached is the number of prompt tokens without a prefix hit, memory that
	// of prompt and output tokens; memory is 0 for plain services.
	uncached, memory float64
	// answered is true after the first token, which came at firstAt.
	firstAt  float64
	answered bool
}

var _ Decider = (*Router)(nil)

// New returns a Router. rng is its only source of randomness.
func New(cfg Config, rng *rand.Rand) *Router {
	r := &Router{
		cfg:           cfg.withDefaults(),
		rng:           rng,
		targets:       make(map[TargetID]*target),
		services:      make(map[string]*service),
		remoteRegions: make(map[string][]string),
		attempts:      make(map[AttemptID]attempt),
		filters: []Filter{
			residencyFilter{}, stateFilter{}, adapterFilter{}, triedFilter{}, restFilter{},
			healthFilter{}, slowStartFilter{},
		},
		scorers: []Scorer{queueScorer{}, prefixScorer{}, kvScorer{}, zoneScorer{}, adapterScorer{}},
	}
	r.picker = softminPicker{rng: rng}
	return r
}

// seconds converts a time to seconds since the first event.
func (r *Router) seconds(now time.Time) float64 {
	if !r.started {
		r.started = true
		r.epoch = now
	}
	return now.Sub(r.epoch).Seconds()
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// Decide implements Decider. It counts no attempt at any target. It updates the
// request rates and the admission and spill accounting, and runs the check for
// grey targets when that is due.
func (r *Router) Decide(now time.Time, q *Request) Decision {
	at := r.seconds(now)
	s := r.services[q.Service]
	if s == nil {
		s = &service{}
	}
	s.countDecided(at, q)
	cands := r.candidatesFor(now, s, q)
	if len(cands) == 0 {
		return r.decideWithoutTarget(now, s, q)
	}
	return r.admit(now, s, q, cands)
}

// scored filters the targets and scores the remaining ones.
func (r *Router) scored(s *service, at float64, q *Request, targets []*target) []Candidate {
	cands := r.filtered(s, at, q, targets)
	for _, sc := range r.scorers {
		sc.Score(&r.snapshot, cands)
	}
	return cands
}

// takeSnapshot sets r.snapshot for a request to s and looks its prefix up.
func (r *Router) takeSnapshot(now time.Time, s *service, q *Request) {
	r.snapshot = Snapshot{Request: q, Config: &r.cfg, HoldTime: s.meanHold, Model: s.model}
	v := &r.snapshot
	v.MemoryHoldTime = s.memory.holdTime()
	v.MemoryShare = s.memory.perToken() * float64(q.PromptTokens+q.OutputTokens)
	v.WaitFactor = 1 / (1 - s.higherPriorityShare(r.seconds(now), priority(q), s.peerRatio(&r.cfg)))
	v.setBounds(now, q)
	if !s.model {
		return
	}
	known := s.index.lookup(q.Prefix)
	if known < len(q.Prefix) {
		v.NewPrefix = q.Prefix[known]
		v.NewTokens = float64((len(q.Prefix) - known) * PrefixBlockTokens)
	}
}

// candidatesFor takes the snapshot of a service, then filters and scores its
// targets: those in scope, or the least loaded if the request might be refused
// with those, or all if neither leaves a candidate.
func (r *Router) candidatesFor(now time.Time, s *service, q *Request) []Candidate {
	at := r.seconds(now)
	r.checkGrey(s, at)
	r.takeSnapshot(now, s, q)
	targets := r.scope(s, &r.snapshot)
	cands := r.scored(s, at, q, targets)
	if len(targets) >= len(s.list) || len(cands) > 0 && !r.mayRefuse(q, cands) {
		return cands
	}
	if least := r.scored(s, at, q, r.leastLoaded(s, at, q)); len(least) > 0 {
		return least
	}
	return r.scored(s, at, q, s.list)
}

// filtered returns the candidates for targets, with their estimated state, that
// pass the filters.
func (r *Router) filtered(s *service, at float64, q *Request, targets []*target) []Candidate {
	perToken, perRequest := s.memory.perToken(), s.memory.perRequest()
	p := s.peers(&r.cfg)
	ahead, _ := s.prefillByPriority.of(priority(q))
	stale := r.cfg.ReportStale.Seconds()
	for len(r.candidates) < len(targets) {
		r.candidates = append(r.candidates, Candidate{})
	}
	cands := r.candidates[:len(targets)]
	for i, t := range targets {
		c := &cands[i]
		c.describe(t, at)
		t.load.advance(at, t.prefillRate(), p)
		c.PendingTokens = t.load.pendingTokens * ahead
		c.AheadShare = ahead
		c.InFlight = t.load.inFlight(at, stale, p)
		c.KVUsed = t.load.kvUsed + t.load.memorySinceReport(p)*perToken + float64(t.waiting)*perRequest*ahead
		c.PlainTime = s.meanPlain * t.speed.firstToken.factor()
		c.CachedTokens = 0
		if s.model {
			held := int(s.index.held(t.index)) * PrefixBlockTokens
			c.CachedTokens = t.trust * float64(min(held, q.PromptTokens-1))
		}
	}
	for _, f := range r.filters {
		cands = f.Apply(&r.snapshot, cands)
	}
	return cands
}

// describe sets the fields that depend only on the target and clears the
// scores.
func (c *Candidate) describe(t *target, at float64) {
	c.Spec = &t.spec
	c.hash = t.hash
	c.Slots = t.slots()
	c.PrefillTime = t.prefillTime
	c.TokenTime = t.tokenTime
	c.Health = t.guard.state(at)
	c.RestFor, c.BusyFor = t.rest.until-at, t.rest.busyUntil-at
	c.WarmFor = at - t.warmAt
	c.StalledFor = t.stalled
	c.Wait, c.FirstToken, c.Finish, c.Score = 0, 0, 0, 0
}

// allowed reports whether the request may be served in region.
func allowed(q *Request, region string) bool {
	return len(q.Regions) == 0 || slices.Contains(q.Regions, region)
}

// service returns the named service, creating it if needed.
func (r *Router) service(name string) *service {
	s := r.services[name]
	if s != nil {
		return s
	}
	s = &service{name: name, index: newPrefixIndex(), meanPlain: r.cfg.PlainTime.Seconds()}
	r.services[name] = s
	at, _ := slices.BinarySearch(r.serviceNames, name)
	r.serviceNames = slices.Insert(r.serviceNames, at, name)
	return s
}
