package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/route/pick"
	"github.com/gullhaven/gullhaven/route/place"
)

// Deciders are the names of what can be played: what serves a site, and plain balancers.
var Deciders = []string{"site", "least_outstanding", "power_of_two", "round_robin"}

// decision is an engine, another region, or neither to refuse.
type decision struct {
	engine *engine
	region *region
	// source is an engine to fetch kept prompt parts from; nil for none.
	source *engine
	sent   sent
}

// sent is told what becomes of a request at its engine.
type sent interface {
	first(now time.Time)
	done(now time.Time, r pick.Result)
}

// chooser decides for the callers of one region.
type chooser interface {
	choose(now time.Time, q *request, mayPass bool) decision
	// loads adds up what is under way.
	loads(now time.Time, sum *pick.Load)
	// forget loses all that is known.
	forget(now time.Time)
}

func newChooser(name string, w *world, r *region) (chooser, error) {
	switch name {
	case "site":
		s := &site{w: w, r: r}
		s.forget(w.now)
		return s, nil
	case "least_outstanding", "power_of_two", "round_robin":
		return &plain{w: w, r: r, rule: name, under: map[*engine]int{}, rng: rand.New(rand.NewPCG(uint64(len(r.Name)), 2))}, nil
	}
	return nil, errors.NotFoundf("decider %q", name)
}

// site is what serves a site: one decider for a region.
type site struct {
	w    *world
	r    *region
	pool *pick.Pool
	last int
}

type siteSent struct{ c *pick.Choice }

func (s siteSent) first(now time.Time)               { s.c.First(now) }
func (s siteSent) done(now time.Time, r pick.Result) { s.c.Done(now, r) }

// noneSent is for requests that went nowhere.
type noneSent struct{}

func (noneSent) first(time.Time)             {}
func (noneSent) done(time.Time, pick.Result) {}

func (s *site) forget(now time.Time) {
	s.pool = pick.New(s.r.Name)
	s.update(now)
}

// update tells the pool which engines are there.
func (s *site) update(now time.Time) {
	snapshot := pick.Snapshot{
		Entries: []string{s.r.Name},
		Rules: map[string]pick.ServiceRules{service: {
			Engine: true, FetchPerKilo: s.w.p.Engine.FetchPerKilo, GapAim: s.w.p.gapAim(),
		}},
	}
	for _, e := range s.r.live() {
		snapshot.Targets = append(snapshot.Targets, pick.Target{
			ID: e.id, Service: service, Address: e.id, Zone: zone, Slots: s.w.p.Engine.Slots,
		})
	}
	s.pool.Update(now, snapshot)
	s.last = len(snapshot.Targets)
}

func (s *site) choose(now time.Time, q *request, mayPass bool) decision {
	if s.last != len(s.r.live()) {
		s.update(now)
	}
	choice, _ := s.pool.Pick(now, q.call)
	local := place.Nowhere
	if choice != nil {
		local = choice.Wait
	}
	if name, ok := place.Region(local, s.offers(q, mayPass)); ok {
		if choice != nil {
			choice.Done(now, pick.Neutral)
		}
		return decision{region: s.region(name)}
	}
	if choice == nil {
		return decision{sent: noneSent{}}
	}
	if place.Overloaded(choice.Front, time.Duration(q.kind.AimMillis)*time.Millisecond) {
		choice.Done(now, pick.Neutral)
		return decision{sent: noneSent{}}
	}
	d := decision{engine: s.engine(choice.ID), sent: siteSent{choice}}
	if choice.Source != "" {
		d.source = s.engine(choice.Source)
	}
	return d
}

func (s *site) offers(q *request, mayPass bool) []place.Offer {
	var out []place.Offer
	for _, o := range s.w.regions {
		if mayPass && o != s.r && o.told.Targets > 0 && !s.w.cut {
			out = append(out, place.Offer{Region: o.Name, Cost: s.pool.RegionCost(o.told, q.call)})
		}
	}
	return out
}

func (s *site) region(name string) *region {
	i := slices.IndexFunc(s.w.regions, func(r *region) bool { return r.Name == name })
	return s.w.regions[i]
}

func (s *site) engine(id string) *engine {
	i := slices.IndexFunc(s.r.engines, func(e *engine) bool { return e.id == id })
	return s.r.engines[i]
}

func (s *site) loads(now time.Time, sum *pick.Load) {
	for _, l := range s.pool.Loads(now) {
		sum.Running += l.Running
		sum.Reading += l.Reading
		for rank, tokens := range l.Unread {
			sum.Unread[rank] += tokens
		}
	}
}

// plain is a balancer that counts what is under way, never refuses, and passes on only
// where its region has no engine.
type plain struct {
	w     *world
	r     *region
	rule  string
	turn  int
	under map[*engine]int
	rng   *rand.Rand
}

type plainSent struct {
	p *plain
	e *engine
}

func (plainSent) first(time.Time)               {}
func (s plainSent) done(time.Time, pick.Result) { s.p.under[s.e]-- }

func (p *plain) choose(_ time.Time, _ *request, mayPass bool) decision {
	live := p.r.live()
	if len(live) == 0 {
		for _, o := range p.w.regions {
			if mayPass && o != p.r && len(o.live()) > 0 && !p.w.cut {
				return decision{region: o}
			}
		}
		return decision{sent: noneSent{}}
	}
	e := p.pick(live)
	p.under[e]++
	return decision{engine: e, sent: plainSent{p, e}}
}

func (p *plain) pick(live []*engine) *engine {
	p.turn++
	switch p.rule {
	case "round_robin":
		return live[p.turn%len(live)]
	case "power_of_two":
		a, b := live[p.rng.IntN(len(live))], live[p.rng.IntN(len(live))]
		if p.under[b] < p.under[a] {
			return b
		}
		return a
	}
	return slices.MinFunc(live, func(a, b *engine) int { return p.under[a] - p.under[b] })
}

func (p *plain) loads(_ time.Time, sum *pick.Load) {
	for _, n := range p.under {
		sum.Running += n
	}
}

func (p *plain) forget(time.Time) { clear(p.under) }
