package replay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
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
	loads(now time.Time, sum *pick.RegionLoad)
	// forget loses all that is known.
	forget(now time.Time)
}

func newChooser(name string, w *world, r *region) (chooser, error) {
	switch name {
	case "site":
		return newSite(w, r), nil
	case "least_outstanding", "power_of_two", "round_robin":
		return &plain{w: w, r: r, rule: name, under: map[*engine]int{}, rng: rand.New(rand.NewPCG(uint64(len(r.Name)), 2))}, nil
	}
	return nil, errors.NotFoundf("decider %q", name)
}

// site is what serves a site: instances that each decide for the groups of engines that fall
// to them, and know what the others have under way a moment later.
type site struct {
	w         *world
	r         *region
	instances []*instance
	byID      map[string]*instance
	// rng draws the instance that a caller meets.
	rng *rand.Rand
	// live is the number of engines that the instances know of.
	live int
}

// instance is an entry instance.
type instance struct {
	id   string
	pool *pick.Pool
}

// siteSent are the choice of the instance that decided, and that of the one that sends.
type siteSent []*pick.Choice

func (s siteSent) first(now time.Time) {
	for _, c := range s {
		c.FirstEvent(now)
	}
}

func (s siteSent) done(now time.Time, r pick.Result) {
	for _, c := range s {
		c.Done(now, r)
	}
}

// noneSent is for requests that went nowhere.
type noneSent struct{}

func (noneSent) first(time.Time)             {}
func (noneSent) done(time.Time, pick.Result) {}

func newSite(w *world, r *region) *site {
	s := &site{w: w, r: r, rng: rand.New(rand.NewPCG(uint64(len(r.Name)), 3))}
	s.forget(w.now)
	if r.Instances > 1 {
		w.every(tellNear, s.tellNear)
	}
	return s
}

func (s *site) forget(now time.Time) {
	s.instances, s.byID = nil, map[string]*instance{}
	for n := range max(1, s.r.Instances) {
		id := s.r.Name + "/" + strconv.Itoa(n)
		i := &instance{id: id, pool: pick.New(id)}
		s.instances, s.byID[id] = append(s.instances, i), i
	}
	s.update(now)
}

// update tells the pools which engines are there, and what the others have under way.
func (s *site) update(now time.Time) {
	snapshot := pick.Snapshot{
		Rules: map[string]pick.ServiceRules{service: {
			Engine: true, FetchPerKilo: s.w.p.Engine.FetchPerKilo, GapAim: s.w.p.gapAim(),
		}},
	}
	for _, i := range s.instances {
		snapshot.Entries = append(snapshot.Entries, i.id)
	}
	for _, e := range s.r.live() {
		snapshot.Targets = append(snapshot.Targets, pick.Target{
			ID: e.id, Service: service, Address: e.id, Zone: zone, Slots: s.w.p.Engine.Slots,
		})
	}
	s.live = len(snapshot.Targets)
	if len(s.instances) == 1 {
		s.instances[0].pool.Update(now, snapshot)
		return
	}
	all := s.sum(now)
	for _, i := range s.instances {
		own := snapshot
		own.Loads = without(all, i.pool.Loads(now))
		i.pool.Update(now, own)
	}
}

// tellNear has the instances hear of each other.
func (s *site) tellNear() { s.update(s.w.now) }

// sum is what all instances have under way.
func (s *site) sum(now time.Time) map[string]pick.Load {
	all := map[string]pick.Load{}
	for _, i := range s.instances {
		for id, l := range i.pool.Loads(now) {
			all[id] = plus(all[id], l, 1)
		}
	}
	return all
}

// without are the loads of all but one.
func without(all, own map[string]pick.Load) map[string]pick.Load {
	out := maps.Clone(all)
	for id, l := range own {
		out[id] = plus(out[id], l, -1)
	}
	return out
}

func plus(a, b pick.Load, sign int) pick.Load {
	a.Running += sign * b.Running
	a.PrefillMillis += sign * b.PrefillMillis
	for rank, tokens := range b.PendingPrefill {
		a.PendingPrefill[rank] += sign * tokens
	}
	return a
}

// pick has the instance that decides for the request choose, for the one that sends.
func (s *site) pick(now time.Time, asked *instance, q *request) (*pick.Choice, siteSent) {
	decider := s.byID[asked.pool.Owner(q.call)]
	choice, _ := decider.pool.Pick(now, q.call)
	if choice == nil {
		return nil, nil
	}
	if decider == asked {
		return choice, siteSent{choice}
	}
	own := asked.pool.PickAt(now, q.call, choice.ID)
	if own == nil {
		choice.Done(now, pick.Neutral)
		return nil, nil
	}
	own.Source, own.Cost, own.Wait, own.QueueWait, own.Tokens = choice.Source, choice.Cost, choice.Wait, choice.QueueWait, choice.Tokens
	return own, siteSent{choice, own}
}

func (s *site) choose(now time.Time, q *request, mayPass bool) decision {
	if s.live != len(s.r.live()) {
		s.update(now)
	}
	asked := s.instances[0]
	if len(s.instances) > 1 {
		asked = s.instances[s.rng.IntN(len(s.instances))]
	}
	choice, sent := s.pick(now, asked, q)
	local := place.NoTargetCost
	if choice != nil {
		local = choice.Wait
	}
	if offer := place.ChooseRegion(local, s.offers(asked, q, mayPass)); offer != nil {
		sent.done(now, pick.Neutral)
		return decision{region: s.region(offer.Region)}
	}
	if choice == nil {
		return decision{sent: noneSent{}}
	}
	if place.Overloaded(choice.QueueWait, time.Duration(q.kind.AimMillis)*time.Millisecond) {
		sent.done(now, pick.Neutral)
		return decision{sent: noneSent{}}
	}
	d := decision{engine: s.engine(choice.ID), sent: sent}
	if choice.Source != "" {
		d.source = s.engine(choice.Source)
	}
	return d
}

func (s *site) offers(asked *instance, q *request, mayPass bool) []place.RegionCandidate {
	var out []place.RegionCandidate
	for _, o := range s.w.regions {
		if mayPass && o != s.r && o.told.Targets > 0 && !s.w.cut {
			out = append(out, place.RegionCandidate{Region: o.Name, RoundTrip: s.w.trips.To(o.Name), Cost: asked.pool.RegionCost(o.Name, o.told, q.call)})
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

func (s *site) loads(now time.Time, sum *pick.RegionLoad) {
	for _, l := range s.sum(now) {
		sum.Load = plus(sum.Load, l, 1)
	}
	for _, i := range s.instances {
		sum.Prefill.Add(i.pool.PrefillSums(now)[service])
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

func (p *plain) loads(_ time.Time, sum *pick.RegionLoad) {
	for _, n := range p.under {
		sum.Running += n
	}
}

func (p *plain) forget(time.Time) { clear(p.under) }
