package route

import "time"

const (
	// grantBurst is how many seconds of a grant may be spent at once.
	grantBurst = 1.0
	// leastBurst is the least that may be spent at once, in average requests.
	leastBurst = 2.0
	// smallDebt is the debt up to which requests of less than average work may
	// still be spilled, in average requests. It is what a long prompt leaves:
	// without it one dossier has twenty rewrites refused.
	smallDebt = 10.0
)

// spill is the account of what one service sends to neighbours.
type spill struct {
	// active says that spilling for speed goes on; for hysteresis.
	active bool
	to     []neighbour
}

// neighbour is what is known of one service in one other region.
type neighbour struct {
	summary RegionSummary
	// credit are average requests that may be spilled now, as of at.
	credit, at float64
	// spilled counts requests sent there.
	spilled rate
}

// localWait is what staying here costs.
type localWait struct {
	seconds float64
	// never says that the request can't be served in time here.
	never bool
}

func (s *spill) neighbour(region string) *neighbour {
	for i := range s.to {
		if s.to[i].summary.Region == region {
			return &s.to[i]
		}
	}
	return nil
}

// RegionSummary implements Decider.
func (r *Router) RegionSummary(now time.Time, sum RegionSummary) {
	if sum.Region == r.cfg.Region {
		return
	}
	s := r.services[sum.Service]
	if s == nil && sum.Targets == 0 {
		return
	}
	s = r.service(sum.Service)
	at := r.seconds(now)
	n := s.spill.neighbour(sum.Region)
	if n == nil {
		s.spill.to = append(s.spill.to, neighbour{summary: sum, at: at})
		return
	}
	if sum.At.Before(n.summary.At) {
		return
	}
	n.refill(at, r.cfg.Instances)
	n.summary = sum
}

// refill adds credit at this instance's part of the granted rate.
func (n *neighbour) refill(at float64, instances int) {
	rate := n.summary.FreeRate / float64(instances)
	if rate <= 0 {
		n.credit = min(n.credit, 0)
	}
	n.credit = min(n.credit+rate*(at-n.at), n.burst(instances))
	n.at = at
}

// burst is the greatest credit.
func (n *neighbour) burst(instances int) float64 {
	return max(leastBurst, n.summary.FreeRate/float64(instances)*grantBurst)
}

// work is what the request takes of a grant, in average requests.
func (s *service) work(q *Request) float64 {
	if !s.model || s.prompt <= 0 {
		return 1
	}
	return float64(q.PromptTokens) / s.prompt
}

// trySpill answers with a Spill if a neighbour serves the request at a lower
// marginal cost: two wide-area trips, its wait, and the prefill that a warm
// cache here would have saved. A request that can be served in time here goes
// only if it gains SpillMargin, or half of it while spilling goes on.
func (r *Router) trySpill(now time.Time, s *service, q *Request, local localWait) (Decision, bool) {
	if q.Forwarded {
		return Decision{}, false
	}
	best, cost := r.cheapest(now, s, q)
	if best == nil {
		return Decision{}, false
	}
	if !local.never && !s.spill.worth(local.seconds-cost, s.work(q), r.cfg.SpillMargin.Seconds()) {
		return Decision{}, false
	}
	at := r.seconds(now)
	best.credit -= s.work(q)
	best.spilled.add(at, 1)
	return Decision{Action: Spill, Region: best.summary.Region}, true
}

// worth decides with hysteresis whether a gain in seconds is worth crossing. A
// request with less than average work must gain more: it frees little here.
func (s *spill) worth(gain, work, margin float64) bool {
	weighed := gain * min(1, work)
	if s.active {
		s.active = gain > margin/2
	} else {
		s.active = weighed > margin
	}
	return s.active && weighed > margin/2
}

// cheapest returns the neighbour with the least predicted first token that may
// take the request, and that time in seconds; nil if none may.
func (r *Router) cheapest(now time.Time, s *service, q *Request) (*neighbour, float64) {
	var best *neighbour
	var least float64
	for i := range r.links {
		l := &r.links[i]
		if !l.Reachable || !allowed(q, l.Region) {
			continue
		}
		n := s.spill.neighbour(l.Region)
		if n == nil || !r.grants(now, s, q, n, l) {
			continue
		}
		cost := (2*l.OneWay + n.summary.Wait).Seconds() + r.extraPrefill(s, q)
		if misses(now, q, cost) || (best != nil && cost >= least) {
			continue
		}
		best, least = n, cost
	}
	return best, least
}

// grants says whether the neighbour's grant and the link's share leave room. A
// request with more work than may be spent at once needs the whole credit and
// leaves a debt, in which small ones go on.
func (r *Router) grants(now time.Time, s *service, q *Request, n *neighbour, l *Link) bool {
	at := r.seconds(now)
	if n.summary.Targets == 0 || now.Sub(n.summary.At) > r.cfg.SummaryStale {
		return false
	}
	n.refill(at, r.cfg.Instances)
	if n.credit < s.need(q, n.burst(r.cfg.Instances)) || n.summary.FreeRate <= 0 {
		return false
	}
	n.spilled.fade(at)
	s.arrivals.fade(at)
	return n.spilled.sum+1 <= max(1, l.MaxShare*s.arrivals.sum)
}

// need is the credit that a request must find.
func (s *service) need(q *Request, burst float64) float64 {
	work := s.work(q)
	if work < 1 {
		return work - smallDebt
	}
	return min(work, burst)
}

// extraPrefill is how much longer than an average prompt the request's takes to
// prefill with a cold cache, in seconds; negative for a short one.
func (r *Router) extraPrefill(s *service, q *Request) float64 {
	if !s.model || s.sent == 0 {
		return 0
	}
	for _, t := range s.list {
		if t.spec.PrefillRate > 0 {
			return (float64(q.PromptTokens) - s.prompt) / t.spec.PrefillRate
		}
	}
	return 0
}

// misses says whether a first token in cost seconds is past the request's bound.
func misses(now time.Time, q *Request, cost float64) bool {
	by := now.Add(duration(cost))
	if !q.FirstTokenBy.IsZero() && by.After(q.FirstTokenBy) {
		return true
	}
	return !q.Deadline.IsZero() && by.After(q.Deadline)
}
