package route

import (
	"math"
	"time"
)

const (
	// unknownRetry is when to come back for a service that nobody serves.
	unknownRetry = 30 * time.Second
	// noTargetRetry is when to come back while no target takes work.
	noTargetRetry = 2 * time.Second
	// minRetry and maxRetry bound the time told to come back after.
	minRetry = 100 * time.Millisecond
	maxRetry = 60 * time.Second
	// retryMargin and retrySlack lengthen that time a little: who comes back at
	// the very moment would be refused again.
	retryMargin = 1.05
	retrySlack  = 10 * time.Millisecond
	// floorBurst bounds the credit of low priorities, in requests.
	floorBurst = 5.0
	// standingTime is the time in seconds after which a queue that was never
	// short stands; its bound on the wait is divided by standingPart.
	standingTime = 20.0
	standingPart = 4.0
)

// admit sends the request to one of the scored candidates that make it in time,
// spills it, or refuses it at once: a request that can't make its deadline only
// takes the place of ones that can.
func (r *Router) admit(now time.Time, s *service, q *Request, cands []Candidate) Decision {
	o := r.snapshot.outlook(cands)
	inTime := cands
	if o.latest > 0 {
		inTime = keep(cands, func(c *Candidate) bool { return r.snapshot.lateness(c) <= 0 })
	}
	if len(inTime) == 0 {
		if d, ok := r.trySpill(now, s, q, localWait{never: true}); ok {
			return d
		}
		return refuse(ReasonDeadline, o.late)
	}
	if d, ok := r.trySpill(now, s, q, localWait{seconds: o.first}); ok {
		return d
	}
	if over := r.shedBy(r.seconds(now), s, q, o.wait); over > 0 {
		return refuse(ReasonOverload, over)
	}
	c := &inTime[r.picker.Pick(&r.snapshot, inTime)]
	return r.send(now, q, c)
}

func (r *Router) send(now time.Time, q *Request, c *Candidate) Decision {
	d := Decision{
		Action:       Send,
		Target:       c.Spec.ID,
		Region:       c.Spec.Region,
		Start:        now.Add(duration(c.FirstToken)),
		Finish:       now.Add(duration(c.Finish)),
		CachedTokens: int(c.CachedTokens),
	}
	if q.Idempotent && q.Attempt == 0 {
		d.HedgeAt = r.hedgeAt(now, q, c)
	}
	return d
}

// hedgeAt is when a second attempt is worth starting: long after the first
// token was predicted, and soon enough to be of use.
func (r *Router) hedgeAt(now time.Time, q *Request, c *Candidate) time.Time {
	wait := max(r.cfg.HedgeMin, duration(r.cfg.HedgeFactor*c.FirstToken))
	at := now.Add(wait)
	if !q.FirstTokenBy.IsZero() && at.After(q.FirstTokenBy) {
		return time.Time{}
	}
	return at
}

// outlook sums up the candidates, in seconds: the least predicted time to first
// token, wait and lateness, and the greatest lateness.
type outlook struct {
	first, wait, late, latest float64
}

func (s *Snapshot) outlook(cands []Candidate) outlook {
	inf := math.Inf(1)
	o := outlook{first: inf, wait: inf, late: inf, latest: -inf}
	for i := range cands {
		c := &cands[i]
		late := s.lateness(c)
		o.first = min(o.first, c.FirstToken)
		o.wait = min(o.wait, c.Wait)
		o.late = min(o.late, late)
		o.latest = max(o.latest, late)
	}
	return o
}

// shedBy is by how many seconds the least wait exceeds what the request's
// priority bears; 0 means that it is admitted. Of the ones that would be shed a
// part is admitted all the same, so that a low priority does not starve behind
// a steady load of higher ones.
func (r *Router) shedBy(at float64, s *service, q *Request, wait float64) float64 {
	if priority(q) == priorities-1 {
		return 0
	}
	bound := r.cfg.ShedWait.Seconds() * float64(priority(q)+1)
	over := wait - s.stood[priority(q)].tighten(at, wait, bound)
	if over <= 0 {
		return 0
	}
	s.floor = min(floorBurst, s.floor+r.cfg.MinAdmitShare)
	if s.floor >= 1 {
		s.floor--
		return 0
	}
	return over
}

// standing sees a queue that does not drain, of one priority. Where more comes
// than can be done, a long queue answers no more requests than a short one, only
// later; where a burst is being worked off it answers more. What tells the two
// apart is whether the queue was ever short of late (CoDel: Nichols, Jacobson 2012).
type standing struct {
	seen bool
	// since is when the wait was last short, in seconds.
	since float64
}

// tighten returns the bound on the wait, which is a part of the usual one while
// the queue stands. All in seconds.
func (s *standing) tighten(at, wait, bound float64) float64 {
	tight := bound / standingPart
	if !s.seen || wait < tight/2 {
		s.seen = true
		s.since = at
	}
	if at-s.since > standingTime {
		return tight
	}
	return bound
}

// withoutTarget answers where no target here can take the request now.
func (r *Router) withoutTarget(now time.Time, s *service, q *Request) Decision {
	if d, ok := r.trySpill(now, s, q, localWait{never: true}); ok {
		return d
	}
	serve, may := r.serving(s, q)
	switch {
	case !serve:
		return Decision{Action: Refuse, Reason: ReasonUnknownService, RetryAfter: unknownRetry}
	case !may:
		return Decision{Action: Refuse, Reason: ReasonResidency, RetryAfter: unknownRetry}
	}
	return Decision{Action: Refuse, Reason: ReasonNoTarget, RetryAfter: noTargetRetry}
}

// serving says whether any region is known to serve the service, and whether
// one of those may serve the request.
func (r *Router) serving(s *service, q *Request) (serve, may bool) {
	if len(s.list) > 0 {
		serve = true
		may = allowed(q, r.cfg.Region)
	}
	for _, region := range r.abroad[q.Service] {
		serve = true
		may = may || allowed(q, region)
	}
	for i := range s.spill.to {
		if s.spill.to[i].summary.Targets == 0 {
			continue
		}
		serve = true
		may = may || allowed(q, s.spill.to[i].summary.Region)
	}
	return serve, may
}

func refuse(why Reason, seconds float64) Decision {
	// Bounded before the conversion: a longer time than a duration holds would
	// wrap around to a short one.
	seconds = min(max(seconds, 0), maxRetry.Seconds())
	after := min(max(duration(seconds*retryMargin), minRetry)+retrySlack, maxRetry)
	return Decision{Action: Refuse, Reason: why, RetryAfter: after}
}
