package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Router decides for one instance. It is not safe for concurrent use; its
// decisions are a function of its settings, its random source and its events.
type Router struct {
	cfg      Config
	rng      *rand.Rand
	epoch    time.Time
	started  bool
	targets  map[TargetID]*target
	services map[string]*service
	// names are the services in order, so that no result depends on the order
	// of a map; abroad those that some other region has targets of.
	names    []string
	abroad   map[string][]string
	links    []Link
	attempts map[AttemptID]attempt
	// primed says that targets have been set once.
	primed  bool
	filters []Filter
	scorers []Scorer
	picker  Picker
	// scoped, candidates, slow and snapshot are reused by each decision.
	scoped     []*target
	least      leastLoaded
	candidates []Candidate
	slow       []slowTarget
	snapshot   Snapshot
}

// attempt is one own sending in flight.
type attempt struct {
	t      *target
	sentAt float64
	// predicted is the predicted time to first token in seconds, expected the
	// same at rated speed.
	predicted, expected float64
	cached              int
	// uncached are the prompt tokens without a hit, memory prompt and answer
	// tokens; 0 for plain services.
	uncached, memory float64
	firstAt          float64
	answered         bool
}

var _ Decider = (*Router)(nil)

// New makes a Router. rng is its only source of chance.
func New(cfg Config, rng *rand.Rand) *Router {
	r := &Router{
		cfg:      cfg.withDefaults(),
		rng:      rng,
		targets:  make(map[TargetID]*target),
		services: make(map[string]*service),
		abroad:   make(map[string][]string),
		attempts: make(map[AttemptID]attempt),
		filters: []Filter{
			residencyFilter{}, stateFilter{}, adapterFilter{}, triedFilter{},
			healthFilter{}, slowStartFilter{},
		},
		scorers: []Scorer{queueScorer{}, prefixScorer{}, kvScorer{}, zoneScorer{}, adapterScorer{}},
	}
	r.picker = softminPicker{rng: rng}
	return r
}

// seconds turns a time into seconds since the first event.
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

// Decide implements Decider. Of its own state it changes only the accounts of
// admission and spilling.
func (r *Router) Decide(now time.Time, q *Request) Decision {
	at := r.seconds(now)
	s := r.services[q.Service]
	if s == nil {
		s = &service{}
	}
	s.count(at, q)
	cands := r.candidatesFor(now, s, q)
	if len(cands) == 0 {
		return r.withoutTarget(now, s, q)
	}
	return r.admit(now, s, q, cands)
}

// scored filters targets and scores those that are left.
func (r *Router) scored(s *service, at float64, q *Request, targets []*target) []Candidate {
	cands := r.filtered(s, at, q, targets)
	for _, sc := range r.scorers {
		sc.Score(&r.snapshot, cands)
	}
	return cands
}

// takeSnapshot sets the snapshot of a request, without its candidates.
func (r *Router) takeSnapshot(now time.Time, s *service, q *Request) {
	r.snapshot = Snapshot{Request: q, Config: &r.cfg, HoldTime: s.hold, Model: s.model}
	v := &r.snapshot
	v.MemoryHoldTime = s.memory.holdTime()
	v.MemoryShare = s.memory.perToken() * float64(q.PromptTokens+q.OutputTokens)
	v.WaitFactor = 1 / (1 - s.overtaken(r.seconds(now), priority(q), s.others(&r.cfg)))
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

// candidatesFor takes the snapshot of a service, filters its targets and scores
// them: the ones in scope; the least loaded if those might have the request
// refused; all if none is left.
func (r *Router) candidatesFor(now time.Time, s *service, q *Request) []Candidate {
	at := r.seconds(now)
	r.lookForGrey(s, at)
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

// filtered describes targets as they are believed to be and filters them.
func (r *Router) filtered(s *service, at float64, q *Request, targets []*target) []Candidate {
	perToken, perRequest := s.memory.perToken(), s.memory.perRequest()
	p := s.peers(&r.cfg)
	ahead, _ := s.byPriority.of(priority(q))
	stale := r.cfg.ReportStale.Seconds()
	for len(r.candidates) < len(targets) {
		r.candidates = append(r.candidates, Candidate{})
	}
	cands := r.candidates[:len(targets)]
	for i, t := range targets {
		c := &cands[i]
		c.describe(t, at)
		t.load.advance(at, t.prefillRate(), p)
		c.PendingTokens = t.load.pending * ahead
		c.AheadShare = ahead
		c.InFlight = t.load.inFlight(at, stale, p)
		c.KVUsed = t.load.kv + t.load.memorySince(p)*perToken + float64(t.waiting)*perRequest*ahead
		c.PlainTime = s.plain * t.speed.first.factor()
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

// describe sets what depends on the target alone, and clears the scores.
func (c *Candidate) describe(t *target, at float64) {
	c.Spec = &t.spec
	c.hash = t.hash
	c.Slots = t.slots()
	c.PrefillTime = t.prefillTime
	c.TokenTime = t.tokenTime
	c.Health = t.guard.state(at)
	c.WarmFor = at - t.warmAt
	c.StalledFor = t.stalled
	c.Wait, c.FirstToken, c.Finish, c.Score = 0, 0, 0, 0
}

// allowed says whether the request may be served in region.
func allowed(q *Request, region string) bool {
	return len(q.Regions) == 0 || slices.Contains(q.Regions, region)
}

// service returns the service of that name, making it if need be.
func (r *Router) service(name string) *service {
	s := r.services[name]
	if s != nil {
		return s
	}
	s = &service{name: name, index: newPrefixIndex(), plain: r.cfg.PlainTime.Seconds()}
	r.services[name] = s
	at, _ := slices.BinarySearch(r.names, name)
	r.names = slices.Insert(r.names, at, name)
	return s
}
