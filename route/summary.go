package route

import (
	"slices"
	"time"
)

// grant is the account of what one service grants to all neighbours together,
// in requests per second.
type grant struct {
	rate float64
	at   float64
}

// Summarise implements Decider. What is spare under GrantLoad is split among
// the neighbours that use it; a grant rises slowly and falls at once, so that a neighbour's
// traffic does not pull this region down after its own.
func (r *Router) Summarise(now time.Time) []RegionSummary {
	at := r.seconds(now)
	out := make([]RegionSummary, 0, len(r.names))
	for _, name := range r.names {
		out = append(out, r.summarise(now, at, r.services[name]))
	}
	return out
}

func (r *Router) summarise(now time.Time, at float64, s *service) RegionSummary {
	sum := RegionSummary{Region: r.cfg.Region, Service: s.name, At: now}
	queue, capacity := r.queueAndCapacity(s, at, &sum)
	spare := 0.0
	if free := 1 - queue/r.cfg.GrantWait.Seconds(); sum.Targets > 0 && free > 0 {
		spare = free * max(0, capacity*r.cfg.GrantLoad-s.demand(at, &r.cfg))
	}
	s.grant.follow(at, spare, capacity*r.cfg.GrantRamp)
	sum.FreeRate = s.grant.rate / float64(max(1, s.users(at)))
	sum.Wait = duration(queue + s.coldTime())
	return sum
}

// demand is the estimated rate of requests that the whole region has of its
// own, without what crossed into it, per second.
func (s *service) demand(at float64, c *Config) float64 {
	s.arrivals.fade(at)
	s.crossed.fade(at)
	own := s.arrivals.perSecond() - s.crossed.perSecond()
	return max(0, own) * float64(c.Instances)
}

// useTime is the time in seconds for which a crossing counts its region as a
// user of the grant.
const useTime = 5.0

// user is a region whose requests crossed into this one, at last at the time at.
type user struct {
	home string
	at   float64
}

// crossedFrom notes that a request of a region crossed into this one.
func (s *service) crossedFrom(home string, at float64) {
	for i := range s.usedBy {
		if s.usedBy[i].home == home {
			s.usedBy[i].at = at
			return
		}
	}
	s.usedBy = append(s.usedBy, user{home, at})
}

// users is the number of regions that use the grant. Two that begin at once are
// each told the whole of it until the first crossings have been seen.
func (s *service) users(at float64) int {
	n := 0
	for _, u := range s.usedBy {
		if at-u.at < useTime {
			n++
		}
	}
	return n
}

// follow moves the grant towards spare: down at once, up by ramp per second.
func (g *grant) follow(at, spare, ramp float64) {
	up := g.rate + ramp*max(0, at-g.at)
	g.rate = min(spare, up)
	g.at = at
}

// coldTime is the time of an average call with a cold cache, without queueing.
func (s *service) coldTime() float64 {
	if !s.model {
		return s.plain
	}
	for _, t := range s.list {
		if t.spec.PrefillRate > 0 {
			return s.prompt / t.spec.PrefillRate
		}
	}
	return 0
}

// queueAndCapacity returns the queueing time in seconds at the lower quartile
// of the warm targets and the capacity of all of them in requests per second,
// and counts them.
func (r *Router) queueAndCapacity(s *service, at float64, sum *RegionSummary) (queue, capacity float64) {
	p := s.peers(&r.cfg)
	var waits []float64
	for _, t := range s.list {
		if t.spec.State != Warm || t.guard.state(at) != Healthy {
			continue
		}
		sum.Targets++
		capacity += s.capacityOf(t, at)
		t.load.advance(at, t.prefillRate(), p)
		c := Candidate{InFlight: t.load.inFlight(at, r.cfg.ReportStale.Seconds(), p), Slots: t.slots(), AheadShare: 1}
		wait := slotWait(&c, max(s.hold, s.plain))
		if s.model {
			wait = max(wait, t.load.pending/t.prefillRate())
		}
		waits = append(waits, wait)
	}
	if len(waits) == 0 {
		return 0, 0
	}
	slices.Sort(waits)
	return waits[len(waits)/4], capacity
}

// capacityOf is the rate of average requests that a target bears, per second.
func (s *service) capacityOf(t *target, at float64) float64 {
	if !s.model {
		return float64(max(1, t.spec.Slots)) / (s.plain * t.speed.first.factor())
	}
	if t.spec.PrefillRate <= 0 {
		return 0
	}
	if s.sent == 0 {
		return t.ratedCapacity()
	}
	bySlots := t.slots() / max(s.hold, speedFloor)
	byPrefill := t.prefillRate() / max(1, s.uncached)
	return min(bySlots, byPrefill)
}

// Size of a request, in tokens, that a service is taken for that has had none
// since this instance started.
const (
	priorPrompt = 1000.0
	priorOutput = 200.0
)

// ratedCapacity is the rate of requests of the prior size that a target bears
// by its rated speeds, per second. An idle region would else grant nothing, and
// refuse the work of a neighbour that lost its targets until it had some of its
// own.
func (t *target) ratedCapacity() float64 {
	hold := priorPrompt / t.spec.PrefillRate
	if t.spec.DecodeRate > 0 {
		hold += priorOutput * t.slots() / t.spec.DecodeRate
	}
	return min(t.slots()/hold, t.spec.PrefillRate/priorPrompt)
}
