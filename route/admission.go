package route

import (
	"math"
	"time"
)

const (
	// unknownServiceRetry is the retry delay reported for a service that no
	// region, or none that the request allows, serves.
	unknownServiceRetry = 30 * time.Second
	// noTargetRetry is the retry delay reported while no target accepts work.
	noTargetRetry = 2 * time.Second
	// restSpread is the time over which callers return after a rest of all
	// targets.
	restSpread = time.Second
	// minRetry and maxRetry bound the reported retry delay.
	minRetry = 100 * time.Millisecond
	maxRetry = 60 * time.Second
	// retryFactor and retrySlack extend the predicted delay slightly, since a
	// retry at exactly that time would be refused again.
	retryFactor = 1.05
	retrySlack  = 10 * time.Millisecond
	// maxAdmitCredit bounds the admission credit of low priorities, in
	// requests.
	maxAdmitCredit = 5.0
	// A queue whose wait was not short for persistentQueueSeconds is
	// persistent; its wait bound is divided by persistentQueueDivisor.
	persistentQueueSeconds = 20.0
	persistentQueueDivisor = 4.0
)

// admit sends the request to one of the scored candidates that meet its
// deadlines, spills it, or refuses it immediately. A request that cannot meet
// its deadline would only take capacity from requests that can.
func (r *Router) admit(now time.Time, s *service, q *Request, cands []Candidate) Decision {
	o := r.snapshot.outlook(cands)
	inTime := cands
	if o.maxLateness > 0 {
		inTime = keep(cands, func(c *Candidate) bool { return r.snapshot.lateness(c) <= 0 })
	}
	if len(inTime) == 0 {
		if d, ok := r.trySpill(now, s, q, localWait{tooLate: true}); ok {
			return d
		}
		return refuse(ReasonDeadline, o.minLateness)
	}
	if d, ok := r.trySpill(now, s, q, localWait{seconds: o.minFirstToken}); ok {
		return d
	}
	if excess := r.excessWait(r.seconds(now), s, q, o.minWait); excess > 0 {
		return refuse(ReasonOverload, excess)
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

// hedgeAt returns when to start a second attempt: well after the predicted
// first token. It is zero if that is after q.FirstTokenBy, when a second
// attempt would be too late.
func (r *Router) hedgeAt(now time.Time, q *Request, c *Candidate) time.Time {
	wait := max(r.cfg.HedgeMin, duration(r.cfg.HedgeFactor*c.FirstToken))
	at := now.Add(wait)
	if !q.FirstTokenBy.IsZero() && at.After(q.FirstTokenBy) {
		return time.Time{}
	}
	return at
}

// outlook summarises the candidates, in seconds: the least predicted time to
// first token, wait and lateness, and the greatest lateness.
type outlook struct {
	minFirstToken, minWait, minLateness, maxLateness float64
}

func (s *Snapshot) outlook(cands []Candidate) outlook {
	inf := math.Inf(1)
	o := outlook{minFirstToken: inf, minWait: inf, minLateness: inf, maxLateness: -inf}
	for i := range cands {
		c := &cands[i]
		late := s.lateness(c)
		o.minFirstToken = min(o.minFirstToken, c.FirstToken)
		o.minWait = min(o.minWait, c.Wait)
		o.minLateness = min(o.minLateness, late)
		o.maxLateness = max(o.maxLateness, late)
	}
	return o
}

// excessWait returns by how many seconds the least wait exceeds the bound for
// the request's priority; 0 admits it. The highest priority has no bound.
// MinAdmitShare of the requests over the bound are admitted, so that low
// priorities do not starve under a steady load of higher ones.
func (r *Router) excessWait(at float64, s *service, q *Request, wait float64) float64 {
	if priority(q) == priorities-1 {
		return 0
	}
	bound := r.cfg.ShedWait.Seconds() * float64(priority(q)+1)
	excess := wait - s.queues[priority(q)].waitBound(at, wait, bound)
	if excess <= 0 {
		return 0
	}
	s.admitCredit = min(maxAdmitCredit, s.admitCredit+r.cfg.MinAdmitShare)
	if s.admitCredit >= 1 {
		s.admitCredit--
		return 0
	}
	return excess
}

// persistentQueue detects a queue of one priority that does not drain. Under
// sustained overload a long queue completes no more requests than a short one,
// only later; while a burst drains, it completes more. The two differ in
// whether the wait was short recently (CoDel: Nichols, Jacobson 2012).
type persistentQueue struct {
	observed bool
	// shortAt is the last time, in seconds, at which the wait was short: below
	// half of the tightened bound.
	shortAt float64
}

// waitBound records the wait at time at and returns the bound on it: bound, or
// a fraction of it while the queue is persistent. All values are in seconds.
func (s *persistentQueue) waitBound(at, wait, bound float64) float64 {
	tight := bound / persistentQueueDivisor
	if !s.observed || wait < tight/2 {
		s.observed = true
		s.shortAt = at
	}
	if at-s.shortAt > persistentQueueSeconds {
		return tight
	}
	return bound
}

// decideWithoutTarget decides on a request that no target of this region can
// take now.
func (r *Router) decideWithoutTarget(now time.Time, s *service, q *Request) Decision {
	if d, ok := r.trySpill(now, s, q, localWait{tooLate: true}); ok {
		return d
	}
	served, permitted := r.serving(s, q)
	switch {
	case !served:
		return Decision{Action: Refuse, Reason: ReasonUnknownService, RetryAfter: unknownServiceRetry}
	case !permitted:
		return Decision{Action: Refuse, Reason: ReasonResidency, RetryAfter: unknownServiceRetry}
	}
	if rest := s.restLeft(r.seconds(now)); rest > 0 {
		// Callers come back over a second, not together.
		return Decision{Action: Refuse, Reason: ReasonNoTarget, RetryAfter: rest + time.Duration(r.rng.Int64N(int64(restSpread)))}
	}
	return Decision{Action: Refuse, Reason: ReasonNoTarget, RetryAfter: noTargetRetry}
}

// serving reports whether any known region serves the service, and whether one
// of those regions is permitted for the request.
func (r *Router) serving(s *service, q *Request) (served, permitted bool) {
	if len(s.list) > 0 {
		served = true
		permitted = allowed(q, r.cfg.Region)
	}
	for _, region := range r.remoteRegions[q.Service] {
		served = true
		permitted = permitted || allowed(q, region)
	}
	for i := range s.spill.neighbours {
		if s.spill.neighbours[i].summary.Targets == 0 {
			continue
		}
		served = true
		permitted = permitted || allowed(q, s.spill.neighbours[i].summary.Region)
	}
	return served, permitted
}

// refuse returns a refusal; seconds is the predicted time after which a retry
// would be admitted.
func refuse(reason Reason, seconds float64) Decision {
	// Bounded before the conversion: a value beyond the range of time.Duration
	// would wrap around to a short delay.
	seconds = min(max(seconds, 0), maxRetry.Seconds())
	after := min(max(duration(seconds*retryFactor), minRetry)+retrySlack, maxRetry)
	return Decision{Action: Refuse, Reason: reason, RetryAfter: after}
}
