package route

import "math"

const (
	// meanWeight is the weight of one observation in the means of a service.
	meanWeight = 0.02
	// peerPrior is the weight of the configured number of instances in the
	// estimate of the peers' attempts, in requests in flight.
	peerPrior = 2.0
	// trustWeight is the weight of one observed hit in a target's trust,
	// gapTrust the factor applied to it after a gap in the cache events.
	trustWeight = 0.1
	gapTrust    = 0.9
	// priorities is the number of priorities; they range from 0 to
	// priorities-1.
	priorities = 10
)

// target is the state of one target of the region.
type target struct {
	spec  TargetSpec
	svc   *service
	index int32
	// listIndex is its index in service.list, hash a hash of its ID.
	listIndex int
	hash      uint64
	load      load
	speed     speed
	// prefillTime and tokenTime are the learned times per prompt token and per
	// output token in seconds; 0 for a plain service.
	prefillTime, tokenTime float64
	// learnedPrefillRate is 1/prefillTime, cached to avoid divisions.
	learnedPrefillRate float64
	guard              guard
	rest               rest
	cache              *blockLRU
	// trust is the fraction of predicted prefix hits that are confirmed, 0 to
	// 1.
	trust float64
	// eventSeq is the sequence number of the last cache event.
	eventSeq uint64
	// warmAt is when it became warm, in seconds; minus infinity if it was warm
	// when first seen.
	warmAt float64
	// waiting and running are the numbers of requests without and with a slot
	// in the last report.
	waiting, running int
	// answeredAt is the time of its last first token or complete response;
	// stalled is how many seconds it has given none although one is overdue.
	answeredAt, stalled float64
	// unanswered lists own attempts without a first token, oldest first.
	unanswered []AttemptID
	// idleKVUsed is the share of memory in use when the target last reported
	// that it was idle.
	idleKVUsed float64
}

// model reports whether it is a model engine rather than a plain service.
func (t *target) model() bool { return t.spec.PrefillRate > 0 }

// slots returns the number of requests it can run at once. While requests wait,
// that is the number of running ones, if below the rated slots: memory may be
// exhausted first.
func (t *target) slots() float64 {
	if t.waiting > 0 && t.running > 0 {
		return float64(min(t.running, max(1, t.spec.Slots)))
	}
	return float64(max(1, t.spec.Slots))
}

// ratedTokenTime returns the rated time per output token with all slots in use,
// in seconds.
func (t *target) ratedTokenTime() float64 {
	if t.spec.DecodeRate <= 0 {
		return 0
	}
	return float64(max(1, t.spec.Slots)) / t.spec.DecodeRate
}

// prefillRate returns the learned rate in prompt tokens per second; 0 for a
// plain service.
func (t *target) prefillRate() float64 { return t.learnedPrefillRate }

// applySpeed updates the derived times and rates from the learned speed.
func (t *target) applySpeed() {
	if !t.model() {
		return
	}
	t.prefillTime = max(minPrefillFactor, t.speed.firstToken.factor()) / t.spec.PrefillRate
	t.learnedPrefillRate = 1 / t.prefillTime
	t.tokenTime = t.ratedTokenTime() * t.speed.decode.factor()
}

// observeHit compares a predicted prefix hit with the one reported by the
// engine, in tokens.
func (t *target) observeHit(predicted, actual int) {
	if predicted <= 0 || actual < 0 {
		return
	}
	q := min(1, float64(actual)/float64(predicted))
	t.trust += trustWeight * (q - t.trust)
}

// service is the state of one service in the region.
type service struct {
	name string
	// list holds its targets in the order of SetTargets, byIndex by
	// target.index; nil where an index is free.
	list    []*target
	byIndex []*target
	index   *prefixIndex
	model   bool
	// meanHold is the mean time in seconds that a request holds a slot,
	// meanPrompt and meanUncached are the mean numbers of prompt tokens, in all
	// and without a prefix hit, meanPlain is the mean duration of a plain call
	// in seconds.
	meanHold, meanPrompt, meanUncached, meanPlain float64
	// sentCount counts attempts sent to model targets.
	sentCount int
	// meanReported and meanOwn are means over reports of a target's requests in
	// flight and of this instance's among them.
	meanReported, meanOwn float64
	memory                memory
	// arrivals is the rate of requests decided here, forwardedIn the part of it
	// that other regions forwarded, and uncachedRate the rate of uncached prompt
	// tokens sent from here; all per second.
	arrivals, forwardedIn, uncachedRate rate
	// prefillByPriority is the decaying sum of uncached prompt tokens sent,
	// memoryByPriority that of tokens that need memory.
	prefillByPriority, memoryByPriority shares
	// memoryRate is the rate of tokens sent from here that need memory, per
	// second.
	memoryRate rate
	// totalPrefillRate is the prefill rate of all warm targets in tokens per
	// second, warmTargets their number, as of greyCheckedAt.
	totalPrefillRate float64
	warmTargets      int
	// greyCheckedAt is the time of the last check for grey targets, in seconds.
	greyCheckedAt float64
	// admitCredit is the admission credit of low priorities, in requests.
	admitCredit float64
	// queues tracks the queue as seen by requests of each priority.
	queues [priorities]persistentQueue
	spill  spill
	grant  grant
	// grantUsers lists the regions that use the grant.
	grantUsers []grantUser
}

// peerRatio estimates the number of peer attempts per own attempt.
func (s *service) peerRatio(c *Config) float64 {
	prior := float64(c.Instances - 1)
	n := (s.meanReported + peerPrior*float64(c.Instances)) / (s.meanOwn + peerPrior)
	return min(max(n-1, 0), 2*prior+1)
}

// peers returns the estimated behaviour of the other instances.
func (s *service) peers(c *Config) peers {
	others := s.peerRatio(c)
	even := others * (1 - c.PeerShare) * s.uncachedRate.perSecond()
	return peers{
		perOwn:    others * c.PeerShare,
		tokenRate: even / float64(max(1, len(s.list))),
	}
}

// maxHigherPriorityShare bounds the estimated share of the capacity that higher
// priorities take.
const maxHigherPriorityShare = 0.97

// shares holds decaying amounts by priority.
type shares [priorities]float64

// add decays all amounts and adds to priority p.
func (a *shares) add(p int, amount float64) {
	for i := range a {
		a[i] *= 1 - meanWeight
	}
	a[p] += amount
}

// of returns the fractions that have at least priority p, and more than p.
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

// higherPriorityShare returns the share of the service's capacity, in prefill
// or in memory, whichever is greater, taken by requests of higher priority than p; others is the
// number of peer attempts per own attempt. These requests arrive while another
// waits and run first, so its wait grows. Without this term, a low-priority
// request is promised a start that it does not get while higher priorities keep
// the targets busy.
func (s *service) higherPriorityShare(at float64, p int, others float64) float64 {
	if s.totalPrefillRate <= 0 {
		return 0
	}
	s.uncachedRate.decay(at)
	s.memoryRate.decay(at)
	_, above := s.prefillByPriority.of(p)
	_, heldAbove := s.memoryByPriority.of(p)
	prefill := s.uncachedRate.perSecond() * above / s.totalPrefillRate
	memory := s.memoryRate.perSecond() * heldAbove * s.memory.perToken() * s.memory.holdTime() / float64(max(1, s.warmTargets))
	return min(maxHigherPriorityShare, max(prefill, memory)*(1+others))
}

// countDecided adds a decided request to the rates; retries are not counted
// again.
func (s *service) countDecided(at float64, q *Request) {
	if q.Attempt > 0 {
		return
	}
	s.arrivals.add(at, 1)
	if q.Forwarded {
		s.forwardedIn.add(at, 1)
		s.recordForwardedFrom(q.Home, at)
	}
}

// observeAttempt records an attempt sent to a model target. uncached is its
// prompt tokens without a prefix hit, hold the time in seconds for which it
// takes a slot at the rated speeds.
func (s *service) observeAttempt(r *Request, uncached, hold float64) {
	w := max(meanWeight, 1/float64(s.sentCount+1))
	s.sentCount++
	s.meanHold += w * (hold - s.meanHold)
	s.meanPrompt += w * (float64(r.PromptTokens) - s.meanPrompt)
	s.meanUncached += w * (uncached - s.meanUncached)
	s.prefillByPriority.add(priority(r), uncached)
	s.memoryByPriority.add(priority(r), float64(r.PromptTokens+r.OutputTokens))
}

// observeReport records a target's report; own is the number of own attempts in
// flight there.
func (s *service) observeReport(rep *Report, own int) {
	s.meanReported += meanWeight * (float64(rep.Running+rep.Waiting) - s.meanReported)
	s.meanOwn += meanWeight * (float64(own) - s.meanOwn)
}

// observePlainCall records the duration of a call to a plain service. Queueing
// lengthens calls, so shorter durations have more weight.
func (s *service) observePlainCall(seconds float64) {
	w := meanWeight
	if seconds < s.meanPlain {
		w = 5 * meanWeight
	}
	s.meanPlain += w * (seconds - s.meanPlain)
}

// priority returns the request's priority, clamped to its range.
func priority(r *Request) int {
	return min(max(r.Priority, 0), priorities-1)
}

// rateTimeSeconds is the time constant of a rate.
const rateTimeSeconds = 5.0

// rate is an exponentially decaying rate of events.
type rate struct {
	sum float64
	at  float64
}

func (r *rate) add(now, n float64) {
	r.decay(now)
	r.sum += n
}

func (r *rate) decay(now float64) {
	if now > r.at {
		r.sum *= math.Exp(-(now - r.at) / rateTimeSeconds)
		r.at = now
	}
}

// perSecond returns the rate at the last update.
func (r *rate) perSecond() float64 { return r.sum / rateTimeSeconds }
