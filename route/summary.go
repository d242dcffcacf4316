package route

import (
	"slices"
	"time"
)

// grant is the capacity that one service grants to all neighbours together, in
// requests per second.
type grant struct {
	rate float64
	at   float64
}

// Summarise implements Decider. Spare capacity below GrantLoad is split among
// the neighbours that use it. A grant rises slowly and falls immediately, so
// that a neighbour's traffic does not overload this region as well.
func (r *Router) Summarise(now time.Time) []RegionSummary {
	at := r.seconds(now)
	out := make([]RegionSummary, 0, len(r.serviceNames))
	for _, name := range r.serviceNames {
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
	s.grant.moveTowards(at, spare, capacity*r.cfg.GrantRamp)
	sum.FreeRate = s.grant.rate / float64(max(1, s.activeGrantUsers(at)))
	sum.Wait = duration(queue + s.coldFirstTokenTime())
	return sum
}

// demand estimates the region's rate of own requests per second, without those
// forwarded into it.
func (s *service) demand(at float64, c *Config) float64 {
	s.arrivals.decay(at)
	s.forwardedIn.decay(at)
	own := s.arrivals.perSecond() - s.forwardedIn.perSecond()
	return max(0, own) * float64(c.Instances)
}

// grantUseSeconds is how long after a forwarded request its region counts as a
// user of the grant.
const grantUseSeconds = 5.0

// grantUser is a region and the time of the last request forwarded from it.
type grantUser struct {
	region string
	at     float64
}

// recordForwardedFrom records a request forwarded from a region.
func (s *service) recordForwardedFrom(region string, at float64) {
	for i := range s.grantUsers {
		if s.grantUsers[i].region == region {
			s.grantUsers[i].at = at
			return
		}
	}
	s.grantUsers = append(s.grantUsers, grantUser{region, at})
}

// activeGrantUsers returns the number of regions that use the grant. Two
// regions that start at the same time are each offered the whole grant until
// their first requests arrive.
func (s *service) activeGrantUsers(at float64) int {
	n := 0
	for _, u := range s.grantUsers {
		if at-u.at < grantUseSeconds {
			n++
		}
	}
	return n
}

// moveTowards moves the grant towards spare: immediately downwards, upwards by
// ramp per second.
func (g *grant) moveTowards(at, spare, ramp float64) {
	up := g.rate + ramp*max(0, at-g.at)
	g.rate = min(spare, up)
	g.at = at
}

// coldFirstTokenTime returns the time to first token of an average prompt with
// a cold cache, or the duration of a plain call, without queueing, in seconds.
func (s *service) coldFirstTokenTime() float64 {
	if !s.model {
		return s.meanPlain
	}
	for _, t := range s.list {
		if t.spec.PrefillRate > 0 {
			return s.meanPrompt / t.spec.PrefillRate
		}
	}
	return 0
}

// queueAndCapacity returns the queueing time at the lower quartile of the warm
// targets in seconds and their total capacity in requests per second, and sets
// sum.Targets.
func (r *Router) queueAndCapacity(s *service, at float64, sum *RegionSummary) (queue, capacity float64) {
	p := s.peers(&r.cfg)
	var waits []float64
	for _, t := range s.list {
		if t.spec.State != Warm || t.guard.state(at) != Healthy || t.rest.until > at {
			continue
		}
		sum.Targets++
		capacity += s.capacityOf(t, at)
		t.load.advance(at, t.prefillRate(), p)
		c := Candidate{InFlight: t.load.inFlight(at, r.cfg.ReportStale.Seconds(), p), Slots: t.slots(), AheadShare: 1}
		wait := slotWait(&c, max(s.meanHold, s.meanPlain))
		if s.model {
			wait = max(wait, t.load.pendingTokens/t.prefillRate())
		}
		waits = append(waits, wait)
	}
	if len(waits) == 0 {
		return 0, 0
	}
	slices.Sort(waits)
	return waits[len(waits)/4], capacity
}

// capacityOf returns the rate of average requests per second that a target
// sustains.
func (s *service) capacityOf(t *target, at float64) float64 {
	if !s.model {
		return float64(max(1, t.spec.Slots)) / (s.meanPlain * t.speed.firstToken.factor())
	}
	if t.spec.PrefillRate <= 0 {
		return 0
	}
	if s.sentCount == 0 {
		return t.ratedCapacity()
	}
	bySlots := t.slots() / max(s.meanHold, speedFloorSeconds)
	byPrefill := t.prefillRate() / max(1, s.meanUncached)
	return min(bySlots, byPrefill)
}

// Assumed request size, in tokens, for a service without requests since this
// instance started.
const (
	priorPrompt = 1000.0
	priorOutput = 200.0
)

// ratedCapacity returns the rate of requests per second, of the assumed size,
// that a target sustains at its rated speeds. Without it, an idle region would
// grant nothing, and refuse the work of a neighbour that lost its targets,
// until it had requests of its own.
func (t *target) ratedCapacity() float64 {
	hold := priorPrompt / t.spec.PrefillRate
	if t.spec.DecodeRate > 0 {
		hold += priorOutput * t.slots() / t.spec.DecodeRate
	}
	return min(t.slots()/hold, t.spec.PrefillRate/priorPrompt)
}
