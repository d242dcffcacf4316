package route

// maxRecentAttempts bounds the sent and ended attempts kept for a target that
// does not report.
const maxRecentAttempts = 1024

// sentAttempt is an own attempt that the next report may not include.
type sentAttempt struct {
	at float64
	// tokens is the number of prompt tokens to prefill, memory that of prompt
	// and output tokens.
	tokens, memory float64
	ended          bool
}

// endedAttempt is the end of an own attempt that the next report may not
// reflect.
type endedAttempt struct {
	sentAt, at float64
}

// load estimates one target's queue. Because reports lag, it adds the attempts
// sent since the time of the last report, by this instance and, as estimated, by
// its peers, and subtracts what the target must have prefilled since.
//
// Without this correction, every decision between two reports goes to the
// target that was idle in the last one, and a queue jumps from target to target
// at the report interval.
type load struct {
	// reportedAt is the time that the last report describes, in seconds.
	reportedAt float64
	reported   bool
	// reportedInFlight is the reported number of running and waiting requests,
	// kvUsed the reported KV cache share.
	reportedInFlight float64
	kvUsed           float64
	// pendingTokens estimates the queued prompt tokens at asOf, in seconds.
	pendingTokens float64
	asOf          float64
	// ownInFlight counts own attempts in flight, sentSinceReport those sent
	// after reportedAt, and endedSinceReport ended attempts that the report
	// still counts.
	ownInFlight      int
	sentSinceReport  int
	endedSinceReport int
	// ownTokens is the number of prompt and output tokens of own attempts in
	// flight.
	ownTokens   float64
	recentSent  []sentAttempt
	recentEnded []endedAttempt
}

// peers is the estimated behaviour of the other instances.
type peers struct {
	// perOwn is the number of peer attempts to a target per own attempt to it.
	perOwn float64
	// tokenRate is the rate of peer tokens that reach each target independently
	// of own choices, in tokens per second.
	tokenRate float64
}

// advance moves the estimate to now while the target prefills rate tokens per
// second.
func (l *load) advance(now, rate float64, p peers) {
	dt := now - l.asOf
	if dt <= 0 {
		return
	}
	l.pendingTokens = max(0, l.pendingTokens+(p.tokenRate-rate)*dt)
	l.asOf = now
}

// send records an own attempt. rate is the target's prefill rate in tokens per
// second.
func (l *load) send(now float64, s sentAttempt, rate float64, p peers) {
	l.advance(now, rate, p)
	l.pendingTokens += s.tokens * (1 + p.perOwn)
	l.ownTokens += s.memory
	l.ownInFlight++
	l.sentSinceReport++
	if len(l.recentSent) >= maxRecentAttempts {
		l.recentSent = append(l.recentSent[:0], l.recentSent[maxRecentAttempts/2:]...)
	}
	s.at = now
	l.recentSent = append(l.recentSent, s)
}

// end removes an own attempt that was sent at sentAt; memory is its number of
// prompt and output tokens.
func (l *load) end(now, sentAt, memory float64) {
	l.ownInFlight--
	l.ownTokens -= memory
	if l.reported && sentAt <= l.reportedAt {
		l.endedSinceReport++
	} else {
		l.sentSinceReport--
	}
	for i := range l.recentSent {
		if l.recentSent[i].at == sentAt && !l.recentSent[i].ended {
			l.recentSent[i].ended = true
			break
		}
	}
	if len(l.recentEnded) >= maxRecentAttempts {
		l.recentEnded = append(l.recentEnded[:0], l.recentEnded[maxRecentAttempts/2:]...)
	}
	l.recentEnded = append(l.recentEnded, endedAttempt{sentAt: sentAt, at: now})
}

// report replaces the estimate by report r, which describes the target at time
// at, and replays the attempts sent since. rate is as for send. The caller must
// drop reports that are not newer than the last.
func (l *load) report(now, at float64, r Report, rate float64, p peers) {
	l.reported = true
	l.reportedAt = at
	l.reportedInFlight = float64(r.Running + r.Waiting)
	l.kvUsed = r.KVUsed
	l.pendingTokens = float64(r.WaitingTokens)
	l.asOf = at
	l.trim(at)
	l.sentSinceReport = 0
	for _, s := range l.recentSent {
		l.advance(s.at, rate, p)
		l.pendingTokens += s.tokens * (1 + p.perOwn)
		if !s.ended {
			l.sentSinceReport++
		}
	}
	l.advance(now, rate, p)
	l.endedSinceReport = 0
	for _, e := range l.recentEnded {
		if e.sentAt <= at {
			l.endedSinceReport++
		}
	}
}

// trim drops sent and ended attempts that a report of time at includes.
func (l *load) trim(at float64) {
	n := 0
	for n < len(l.recentSent) && l.recentSent[n].at <= at {
		n++
	}
	l.recentSent = append(l.recentSent[:0], l.recentSent[n:]...)
	n = 0
	for n < len(l.recentEnded) && l.recentEnded[n].at <= at {
		n++
	}
	l.recentEnded = append(l.recentEnded[:0], l.recentEnded[n:]...)
}

// memorySinceReport estimates the tokens that need memory and were sent since
// the last report, by all instances.
func (l *load) memorySinceReport(p peers) float64 {
	sum := 0.0
	for _, s := range l.recentSent {
		if !s.ended {
			sum += s.memory
		}
	}
	return sum * (1 + p.perOwn)
}

// inFlight estimates the target's running and waiting requests from all
// instances. A report older than stale seconds is replaced by an estimate from
// own attempts.
func (l *load) inFlight(now, stale float64, p peers) float64 {
	if !l.reported || now-l.reportedAt > stale {
		return float64(l.ownInFlight) * (1 + p.perOwn)
	}
	n := l.reportedInFlight + float64(l.sentSinceReport)*(1+p.perOwn) - float64(l.endedSinceReport)
	return max(float64(l.ownInFlight), n)
}
