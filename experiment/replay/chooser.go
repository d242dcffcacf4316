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

// Deciders are the names of the routing schemes: that of a site, and plain balancers.
var Deciders = []string{"site", "least_outstanding", "power_of_two", "round_robin"}

// decision names an engine or another region; with neither the request is refused.
type decision struct {
	engine *engine
	region *region
	// source is an engine to fetch cached prompt parts from; nil for none.
	source  *engine
	tracker tracker
	// sender is the instance that sends the request, or the balancer.
	sender any
	// retryAfter is when the caller of a refused request may return; 0 for the usual time.
	retryAfter time.Duration
}

// tracker is notified of the progress of a request at its engine.
type tracker interface {
	firstEvent(now time.Time)
	done(now time.Time, r pick.Result)
	// rest and leaving tell what the engine says of itself.
	rest(now time.Time, asked time.Duration)
	leaving()
}

// chooser routes the requests of one region's callers.
type chooser interface {
	choose(now time.Time, q *request, mayForward bool) decision
	// loads adds the region's requests in flight to sum.
	loads(now time.Time, sum *pick.RegionLoad)
	// reset drops all state.
	reset(now time.Time)
	// enginesChanged tells that an engine of the region has started again.
	enginesChanged(now time.Time)
}

func newChooser(name string, w *world, r *region) (chooser, error) {
	switch name {
	case "site":
		return newSite(w, r), nil
	case "least_outstanding", "power_of_two", "round_robin":
		return &plain{w: w, r: r, rule: name, inFlight: map[*engine]int{}, rng: rand.New(rand.NewPCG(uint64(len(r.Name)), 2))}, nil
	}
	return nil, errors.NotFoundf("decider %q", name)
}

// site routes as the instances of a site do. Each one owns some groups of engines, and learns
// the others' requests in flight after a delay.
type site struct {
	w         *world
	r         *region
	instances []*instance
	byID      map[string]*instance
	// rng draws the instance that receives a request.
	rng *rand.Rand
	// knownEngines is the number of engines in the instances' last update.
	knownEngines int
}

// instance is an entry instance.
type instance struct {
	id   string
	pool *pick.Pool
}

// siteTracker holds the choice of the group owner, and that of the receiving instance if it is
// another one.
type siteTracker []*pick.Choice

func (s siteTracker) firstEvent(now time.Time) {
	for _, c := range s {
		c.FirstEvent(now)
	}
}

func (s siteTracker) done(now time.Time, r pick.Result) {
	for _, c := range s {
		c.Done(now, r)
	}
}

// rest tells the receiving instance, the last one, which was asked.
func (s siteTracker) rest(now time.Time, asked time.Duration) { s[len(s)-1].Rest(now, asked) }

func (s siteTracker) leaving() {
	for _, c := range s {
		c.Leaving()
	}
}

// noTracker is for requests that were not sent to an engine.
type noTracker struct{}

func (noTracker) firstEvent(time.Time)          {}
func (noTracker) done(time.Time, pick.Result)   {}
func (noTracker) rest(time.Time, time.Duration) {}
func (noTracker) leaving()                      {}

func newSite(w *world, r *region) *site {
	s := &site{w: w, r: r, rng: rand.New(rand.NewPCG(uint64(len(r.Name)), 3))}
	s.reset(w.now)
	if r.Instances > 1 {
		w.every(localExchangeInterval, s.exchangeLocal)
	}
	return s
}

func (s *site) reset(now time.Time) {
	s.instances, s.byID = nil, map[string]*instance{}
	for n := range max(1, s.r.Instances) {
		id := s.r.Name + "/" + strconv.Itoa(n)
		i := &instance{id: id, pool: pick.New(id)}
		s.instances, s.byID[id] = append(s.instances, i), i
	}
	s.update(now)
}

// update gives the pools the list of engines and the other instances' requests in flight.
func (s *site) update(now time.Time) {
	snapshot := pick.Snapshot{
		Rules: map[string]pick.ServiceRules{service: {
			Engine: true, FetchPerKilo: s.w.p.Engine.FetchPerKilo, GapAim: s.w.p.gapAim(),
		}},
	}
	for _, i := range s.instances {
		snapshot.Entries = append(snapshot.Entries, i.id)
	}
	for _, e := range s.r.liveEngines() {
		snapshot.Targets = append(snapshot.Targets, pick.Target{
			ID: e.id, Service: service, Address: e.id, Zone: zone, Slots: s.w.p.Engine.Slots, StartMillis: 1 + e.starts,
		})
	}
	s.knownEngines = len(snapshot.Targets)
	if len(s.instances) == 1 {
		s.instances[0].pool.Update(now, snapshot)
		return
	}
	all := s.totalLoads(now)
	for _, i := range s.instances {
		own := snapshot
		own.Loads = subtractLoads(all, i.pool.Loads(now))
		i.pool.Update(now, own)
	}
}

func (s *site) enginesChanged(now time.Time) { s.update(now) }

// exchangeLocal exchanges the loads between the instances of the region.
func (s *site) exchangeLocal() { s.update(s.w.now) }

// totalLoads returns the requests in flight of all instances, by engine.
func (s *site) totalLoads(now time.Time) map[string]pick.Load {
	all := map[string]pick.Load{}
	for _, i := range s.instances {
		for id, l := range i.pool.Loads(now) {
			all[id] = addLoad(all[id], l, 1)
		}
	}
	return all
}

// subtractLoads returns the loads of all without an instance's own.
func subtractLoads(all, own map[string]pick.Load) map[string]pick.Load {
	out := maps.Clone(all)
	for id, l := range own {
		out[id] = addLoad(out[id], l, -1)
	}
	return out
}

func addLoad(a, b pick.Load, sign int) pick.Load {
	a.Running += sign * b.Running
	a.PrefillMillis += sign * b.PrefillMillis
	for rank, tokens := range b.PendingPrefill {
		a.PendingPrefill[rank] += sign * tokens
	}
	return a
}

// pick lets the request's group owner choose a target for the receiver, which sends the
// request. It returns nil if there is none.
func (s *site) pick(now time.Time, receiver *instance, q *request) (*pick.Choice, siteTracker) {
	owner, call := s.byID[receiver.pool.Owner(q.call)], q.call
	if owner != receiver {
		call.Tried = slices.Concat(call.Tried, receiver.pool.Resting(now, service))
		owner.pool.LearnLeaving(receiver.pool.KnownLeaving(service))
	}
	choice, _ := owner.pool.Pick(now, call)
	if choice == nil {
		receiver.pool.LearnLeaving(owner.pool.KnownLeaving(service))
		own, _ := receiver.pool.Pick(now, q.call)
		if own == nil {
			return nil, nil
		}
		return own, siteTracker{own}
	}
	if owner == receiver {
		return choice, siteTracker{choice}
	}
	own := receiver.pool.PickAt(now, q.call, choice.ID)
	if own == nil {
		choice.Done(now, pick.Neutral)
		return nil, nil
	}
	own.Source, own.Cost, own.Wait, own.QueueWait, own.Tokens = choice.Source, choice.Cost, choice.Wait, choice.QueueWait, choice.Tokens
	return own, siteTracker{choice, own}
}

func (s *site) choose(now time.Time, q *request, mayForward bool) decision {
	if s.knownEngines != len(s.r.liveEngines()) {
		s.update(now)
	}
	receiver := s.instances[0]
	if len(s.instances) > 1 {
		receiver = s.instances[s.rng.IntN(len(s.instances))]
	}
	choice, sent := s.pick(now, receiver, q)
	local := place.NoTargetCost
	if choice != nil {
		local = choice.Wait
	}
	if candidate := place.ChooseRegion(local, s.candidates(receiver, q, mayForward)); candidate != nil {
		sent.done(now, pick.Neutral)
		return decision{region: s.region(candidate.Region)}
	}
	if choice == nil {
		d := decision{tracker: noTracker{}}
		if rest, ok := receiver.pool.RestLeft(now, service); ok {
			d.retryAfter = place.RestRetryAfter(rest.Left, rest.Asked, q.deadline().Sub(now), s.rng.Float64())
		}
		return d
	}
	if place.Overloaded(choice.QueueWait, time.Duration(q.kind.AimMillis)*time.Millisecond) {
		sent.done(now, pick.Neutral)
		return decision{tracker: noTracker{}}
	}
	d := decision{engine: s.engine(choice.ID), tracker: sent, sender: receiver}
	if choice.Source != "" {
		d.source = s.engine(choice.Source)
	}
	return d
}

func (s *site) candidates(receiver *instance, q *request, mayForward bool) []place.RegionCandidate {
	var out []place.RegionCandidate
	for _, o := range s.w.regions {
		if mayForward && o != s.r && o.reportedLoad.Targets > 0 && !s.w.partitioned {
			out = append(out, place.RegionCandidate{Region: o.Name, RoundTrip: s.w.trips.To(o.Name), Cost: receiver.pool.RegionCost(o.Name, o.reportedLoad, q.call)})
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
	for _, l := range s.totalLoads(now) {
		sum.Load = addLoad(sum.Load, l, 1)
	}
	for _, i := range s.instances {
		sum.Prefill.Add(i.pool.PrefillSums(now)[service])
	}
}

// plain is a balancer that counts requests in flight. It refuses only if it finds no engine,
// and forwards only if its region has none.
type plain struct {
	w        *world
	r        *region
	rule     string
	next     int
	inFlight map[*engine]int
	rng      *rand.Rand
}

type plainTracker struct {
	p *plain
	e *engine
}

func (plainTracker) firstEvent(time.Time)          {}
func (plainTracker) rest(time.Time, time.Duration) {}
func (plainTracker) leaving()                      {}
func (s plainTracker) done(time.Time, pick.Result) { s.p.inFlight[s.e]-- }

func (p *plain) choose(_ time.Time, _ *request, mayForward bool) decision {
	live := p.r.liveEngines()
	if len(live) == 0 {
		for _, o := range p.w.regions {
			if mayForward && o != p.r && len(o.liveEngines()) > 0 && !p.w.partitioned {
				return decision{region: o}
			}
		}
		return decision{tracker: noTracker{}}
	}
	e := p.pick(live)
	p.inFlight[e]++
	return decision{engine: e, tracker: plainTracker{p, e}, sender: p}
}

func (p *plain) pick(live []*engine) *engine {
	p.next++
	switch p.rule {
	case "round_robin":
		return live[p.next%len(live)]
	case "power_of_two":
		a, b := live[p.rng.IntN(len(live))], live[p.rng.IntN(len(live))]
		if p.inFlight[b] < p.inFlight[a] {
			return b
		}
		return a
	}
	return slices.MinFunc(live, func(a, b *engine) int { return p.inFlight[a] - p.inFlight[b] })
}

func (p *plain) loads(_ time.Time, sum *pick.RegionLoad) {
	for _, n := range p.inFlight {
		sum.Running += n
	}
}

func (p *plain) reset(time.Time) { clear(p.inFlight) }

func (*plain) enginesChanged(time.Time) {}
