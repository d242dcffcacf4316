package route

import "time"

const (
	// grantBurstSeconds is how many seconds' worth of a grant may be spent at
	// once.
	grantBurstSeconds = 1.0
	// minBurst is the lower bound of the burst, in average requests.
	minBurst = 2.0
	// maxSmallDebt is the debt, in average requests, up to which requests of
	// less than average work may still be spilled. A long prompt leaves such a
	// debt; without this allowance it would cause some twenty short requests to
	// be refused.
	maxSmallDebt = 10.0
)

// spill is the account of one service's requests spilled to neighbours.
type spill struct {
	// active is true while requests are spilled for speed; it provides
	// hysteresis.
	active     bool
	neighbours []neighbour
}

// neighbour is the state of one service in one other region.
type neighbour struct {
	summary RegionSummary
	// credit is the number of average requests that may be spilled at time at.
	credit, at float64
	// spilled is the rate of requests spilled there.
	spilled rate
}

// localWait is the predicted cost of serving a request in this region.
type localWait struct {
	seconds float64
	// tooLate is true if the request cannot be served in time in this region.
	tooLate bool
}

func (s *spill) neighbour(region string) *neighbour {
	for i := range s.neighbours {
		if s.neighbours[i].summary.Region == region {
			return &s.neighbours[i]
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
		s.spill.neighbours = append(s.spill.neighbours, neighbour{summary: sum, at: at})
		return
	}
	if sum.At.Before(n.summary.At) {
		return
	}
	n.refill(at, r.cfg.Instances)
	n.summary = sum
}

// refill adds credit at this instance's share of the granted rate.
func (n *neighbour) refill(at float64, instances int) {
	rate := n.summary.FreeRate / float64(instances)
	if rate <= 0 {
		n.credit = min(n.credit, 0)
	}
	n.credit = min(n.credit+rate*(at-n.at), n.maxCredit(instances))
	n.at = at
}

// maxCredit returns the upper bound of the credit, in average requests.
func (n *neighbour) maxCredit(instances int) float64 {
	return max(minBurst, n.summary.FreeRate/float64(instances)*grantBurstSeconds)
}

// work returns the request's cost against a grant, in average requests.
func (s *service) work(q *Request) float64 {
	if !s.model || s.meanPrompt <= 0 {
		return 1
	}
	return float64(q.PromptTokens) / s.meanPrompt
}

// trySpill returns a Spill decision if a neighbour may take the request. The
// time to its first token there is two wide-area trips, the neighbour's wait
// for a cold prompt of average length, and the prefill of the prompt beyond
// that length. A request that can be served in time here is spilled only if it
// gains SpillMargin, or half of it while spilling is active.
func (r *Router) trySpill(now time.Time, s *service, q *Request, local localWait) (Decision, bool) {
	if q.Forwarded {
		return Decision{}, false
	}
	best, cost := r.cheapest(now, s, q)
	if best == nil {
		return Decision{}, false
	}
	if !local.tooLate && !s.spill.worthSpilling(local.seconds-cost, s.work(q), r.cfg.SpillMargin.Seconds()) {
		return Decision{}, false
	}
	at := r.seconds(now)
	best.credit -= s.work(q)
	best.spilled.add(at, 1)
	return Decision{Action: Spill, Region: best.summary.Region}, true
}

// worthSpilling decides with hysteresis whether a gain in seconds justifies
// spilling; margin is Config.SpillMargin in seconds. A request of less than
// average work must gain more, as it frees little capacity here.
func (s *spill) worthSpilling(gain, work, margin float64) bool {
	weightedGain := gain * min(1, work)
	if s.active {
		s.active = gain > margin/2
	} else {
		s.active = weightedGain > margin
	}
	return s.active && weightedGain > margin/2
}

// cheapest returns the neighbour with the least predicted time to first token
// that may take the request, and that time in seconds; nil if there is none.
func (r *Router) cheapest(now time.Time, s *service, q *Request) (*neighbour, float64) {
	var best *neighbour
	var least float64
	for i := range r.links {
		l := &r.links[i]
		if !l.Reachable || !allowed(q, l.Region) {
			continue
		}
		n := s.spill.neighbour(l.Region)
		if n == nil || !r.hasRoom(now, s, q, n, l) {
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

// hasRoom reports whether the neighbour's grant and the link's share allow the
// request. A request with more work than the burst needs the full credit and
// leaves a debt, under which small requests may still be spilled.
func (r *Router) hasRoom(now time.Time, s *service, q *Request, n *neighbour, l *Link) bool {
	at := r.seconds(now)
	if n.summary.Targets == 0 || now.Sub(n.summary.At) > r.cfg.SummaryStale {
		return false
	}
	n.refill(at, r.cfg.Instances)
	if n.credit < s.minCredit(q, n.maxCredit(r.cfg.Instances)) || n.summary.FreeRate <= 0 {
		return false
	}
	n.spilled.decay(at)
	s.arrivals.decay(at)
	return n.spilled.sum+1 <= max(1, l.MaxShare*s.arrivals.sum)
}

// minCredit returns the credit required to spill the request.
func (s *service) minCredit(q *Request, burst float64) float64 {
	work := s.work(q)
	if work < 1 {
		return work - maxSmallDebt
	}
	return min(work, burst)
}

// extraPrefill returns how much longer the request's cold prefill takes than
// that of an average prompt, in seconds; negative for a short prompt.
func (r *Router) extraPrefill(s *service, q *Request) float64 {
	if !s.model || s.sentCount == 0 {
		return 0
	}
	for _, t := range s.list {
		if t.spec.PrefillRate > 0 {
			return (float64(q.PromptTokens) - s.meanPrompt) / t.spec.PrefillRate
		}
	}
	return 0
}

// misses reports whether a first token after cost seconds misses the request's
// deadlines.
func misses(now time.Time, q *Request, cost float64) bool {
	by := now.Add(duration(cost))
	if !q.FirstTokenBy.IsZero() && by.After(q.FirstTokenBy) {
		return true
	}
	return !q.Deadline.IsZero() && by.After(q.Deadline)
}
