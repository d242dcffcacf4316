package route

import "math"

const (
	// meanWeight is the weight of one sending in the means of a service.
	meanWeight = 0.02
	// peerPrior is the weight, in requests in flight, of the configured number
	// of instances in the estimate of the peers' sendings.
	peerPrior = 2.0
	// trustWeight is the weight of one observed hit in the trust in the prefix
	// index, gapTrust what a gap in the cache events leaves of it.
	trustWeight = 0.1
	gapTrust    = 0.9
	// priorities is the number of priorities, 0 to priorities-1.
	priorities = 10
)

// target is what a Router knows of one target of its region.
type target struct {
	spec  TargetSpec
	svc   *service
	index int32
	// place is its place in the service's list, hash a hash of its name.
	place int
	hash  uint64
	load  load
	speed speed
	// prefillTime and tokenTime are the learned times of one prompt token and
	// one output token in seconds, 0 for a plain service.
	prefillTime, tokenTime float64
	// rate is the inverse of prefillTime, kept because divisions add up.
	rate  float64
	guard guard
	cache *blockLRU
	// trust is the part of predicted prefix hits that comes true, 0 to 1.
	trust float64
	// eventSeq is the last cache event's number.
	eventSeq uint64
	// warmAt is when it became warm, in seconds; minus infinity if it was warm
	// when first seen.
	warmAt float64
	// waiting and running are the requests without and with a slot in the last
	// report.
	waiting, running int
	// answeredAt is when it last gave a first token or a whole answer, stalled
	// how long in seconds it has given none though it is overdue.
	answeredAt, stalled float64
	// unanswered are own attempts without a first token, oldest first.
	unanswered []AttemptID
	// cachedMemory is the share of memory in use when the target last reported
	// that it was idle.
	cachedMemory float64
}

// model says that it is a model engine; else it is a plain service.
func (t *target) model() bool { return t.spec.PrefillRate > 0 }

// slots is the number of requests it really runs at once: memory may end
// before the rated slots do.
func (t *target) slots() float64 {
	if t.waiting > 0 && t.running > 0 {
		return float64(min(t.running, max(1, t.spec.Slots)))
	}
	return float64(max(1, t.spec.Slots))
}

// ratedTokenTime is the rated time of one output token with all slots in use,
// in seconds.
func (t *target) ratedTokenTime() float64 {
	if t.spec.DecodeRate <= 0 {
		return 0
	}
	return float64(max(1, t.spec.Slots)) / t.spec.DecodeRate
}

// prefillRate is the learned speed in prompt tokens per second, 0 for a plain
// service.
func (t *target) prefillRate() float64 { return t.rate }

// learned puts what was learned of the speed in force.
func (t *target) learned() {
	if !t.model() {
		return
	}
	t.prefillTime = max(fastest, t.speed.first.factor()) / t.spec.PrefillRate
	t.rate = 1 / t.prefillTime
	t.tokenTime = t.ratedTokenTime() * t.speed.decode.factor()
}

// sawHit takes the prefix hit that the engine told of against the predicted one.
func (t *target) sawHit(predicted, actual int) {
	if predicted <= 0 || actual < 0 {
		return
	}
	q := min(1, float64(actual)/float64(predicted))
	t.trust += trustWeight * (q - t.trust)
}

// service is what a Router knows of one service in its region.
type service struct {
	name string
	// list are its targets in the order of SetTargets, bySlot the same by
	// index; nil where an index is free.
	list   []*target
	bySlot []*target
	index  *prefixIndex
	model  bool
	// hold, prompt, uncached and plain are means: seconds in a slot, prompt
	// tokens, prompt tokens without a prefix hit, seconds of a plain call.
	hold, prompt, uncached, plain float64
	sent                          int
	// reportedIn and ownIn are means over reports of a target's requests in
	// flight and of this instance's among them.
	reportedIn, ownIn float64
	memory            memory
	// arrivals is the rate of own decided requests, crossed the part that came
	// from other regions, tokens the rate of own uncached prompt tokens sent;
	// all per second.
	arrivals, crossed, tokens rate
	// byPriority are the uncached prompt tokens sent by priority, fading, and
	// heldBy the tokens that need memory.
	byPriority, heldBy shares
	// held is the rate of own tokens sent that need memory, per second.
	held rate
	// prefill is the prefill rate of all targets that take work, warm their number.
	prefill float64
	warm    int
	// greyAt is when grey targets were last looked for, in seconds.
	greyAt float64
	// floor is the credit of low priorities.
	floor float64
	// stood are the queues as requests of each priority saw them.
	stood [priorities]standing
	spill spill
	grant grant
	// usedBy are the regions that use the grant.
	usedBy []user
}

// others is the estimated number of peer sendings for each own one.
func (s *service) others(c *Config) float64 {
	prior := float64(c.Instances - 1)
	n := (s.reportedIn + peerPrior*float64(c.Instances)) / (s.ownIn + peerPrior)
	return min(max(n-1, 0), 2*prior+1)
}

// peers estimates what the other instances do.
func (s *service) peers(c *Config) peers {
	others := s.others(c)
	even := others * (1 - c.PeerShare) * s.tokens.perSecond()
	return peers{
		follow: others * c.PeerShare,
		tokens: even / float64(max(1, len(s.list))),
	}
}

// maxOvertaken bounds the part of the capacity that higher priorities are
// believed to take.
const maxOvertaken = 0.97

// shares are amounts by priority.
type shares [priorities]float64

// add adds to one priority and lets all fade.
func (a *shares) add(p int, amount float64) {
	for i := range a {
		a[i] *= 1 - meanWeight
	}
	a[p] += amount
}

// of returns the parts that are of at least priority p, and of more than p.
func (a *shares) of(p int) (atLeast, above float64) {
	var total float64
	for i, v := range a {
		total += v
		if i >= p {
			atLeast += v
		}
		if i > p {
			above += v
		}
	}
	if total == 0 {
		return 1, 0
	}
	return atLeast / total, above / total
}

// overtaken is the part of the service's capacity, in prefill or in memory, that
// requests of more priority than p take. They arrive while a request waits and
// go first, so that its wait grows; without this a low priority is promised a
// start that it never gets while the higher ones keep the targets busy.
func (s *service) overtaken(at float64, p int, others float64) float64 {
	if s.prefill <= 0 {
		return 0
	}
	s.tokens.fade(at)
	s.held.fade(at)
	_, above := s.byPriority.of(p)
	_, heldAbove := s.heldBy.of(p)
	prefill := s.tokens.perSecond() * above / s.prefill
	memory := s.held.perSecond() * heldAbove * s.memory.perToken() * s.memory.holdTime() / float64(max(1, s.warm))
	return min(maxOvertaken, max(prefill, memory)*(1+others))
}

// count takes one decided request into the rates; retries do not count again.
func (s *service) count(at float64, q *Request) {
	if q.Attempt > 0 {
		return
	}
	s.arrivals.add(at, 1)
	if q.Forwarded {
		s.crossed.add(at, 1)
		s.crossedFrom(q.Home, at)
	}
}

func (s *service) sawSending(r *Request, uncached, hold float64) {
	w := max(meanWeight, 1/float64(s.sent+1))
	s.sent++
	s.hold += w * (hold - s.hold)
	s.prompt += w * (float64(r.PromptTokens) - s.prompt)
	s.uncached += w * (uncached - s.uncached)
	s.byPriority.add(priority(r), uncached)
	s.heldBy.add(priority(r), float64(r.PromptTokens+r.OutputTokens))
}

func (s *service) sawReport(rep *Report, own int) {
	s.reportedIn += meanWeight * (float64(rep.Running+rep.Waiting) - s.reportedIn)
	s.ownIn += meanWeight * (float64(own) - s.ownIn)
}

// sawPlain takes the time of a call of a plain service. Calls that queued take
// longer, so a shorter time tells more.
func (s *service) sawPlain(seconds float64) {
	w := meanWeight
	if seconds < s.plain {
		w = 5 * meanWeight
	}
	s.plain += w * (seconds - s.plain)
}

// priority returns the request's priority within its range.
func priority(r *Request) int {
	return min(max(r.Priority, 0), priorities-1)
}

// rateTime is the time constant of a rate in seconds.
const rateTime = 5.0

// rate is an exponentially fading rate of events.
type rate struct {
	sum float64
	at  float64
}

func (r *rate) add(now, n float64) {
	r.fade(now)
	r.sum += n
}

func (r *rate) fade(now float64) {
	if now > r.at {
		r.sum *= math.Exp(-(now - r.at) / rateTime)
		r.at = now
	}
}

// perSecond is the rate as of the last event.
func (r *rate) perSecond() float64 { return r.sum / rateTime }
