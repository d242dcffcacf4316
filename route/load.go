package route

// recentMax bounds the sendings and ends remembered for targets whose reports
// do not come.
const recentMax = 1024

// sending is one own sending that a later report may not count yet.
type sending struct {
	at float64
	// tokens are the prompt tokens to prefill, memory prompt and answer tokens.
	tokens, memory float64
	// ended says that the attempt is over.
	ended bool
}

// ending is the end of an own attempt that a later report may not show yet.
type ending struct {
	sentAt, at float64
}

// load is the estimate of one target's queue. Reports lag: what this instance
// sent since a report's time is added, as is what its peers are believed to
// have sent, and what the target must have prefilled meanwhile is taken off.
//
// Without the correction every decision between two reports goes to the target
// that looked idle in the last one; one notices a queue that jumps from target
// to target at the pace of the reports.
type load struct {
	// reportedAt is the time the last report describes, in seconds.
	reportedAt float64
	reported   bool
	// reportedIn and kv are running plus waiting requests and KV share reported.
	reportedIn float64
	kv         float64
	// pending is the estimate of queued prompt tokens at asOf.
	pending float64
	asOf    float64
	// own counts this instance's attempts in flight, sentSince those of them
	// sent after reportedAt, endedSince the ended ones that the report counts.
	own        int
	sentSince  int
	endedSince int
	// ownTokens are the prompt and answer tokens of own attempts in flight.
	ownTokens float64
	sends     []sending
	ends      []ending
}

// peers is what is assumed of the other instances.
type peers struct {
	// follow is the number of peer sendings to a target for each own one to it.
	follow float64
	// tokens is the rate of peer tokens that reach each target regardless of
	// own choices, in tokens per second.
	tokens float64
}

// advance moves the estimate to now with the target prefilling at rate.
func (l *load) advance(now, rate float64, p peers) {
	dt := now - l.asOf
	if dt <= 0 {
		return
	}
	l.pending = max(0, l.pending+(p.tokens-rate)*dt)
	l.asOf = now
}

// send adds one own sending.
func (l *load) send(now float64, s sending, rate float64, p peers) {
	l.advance(now, rate, p)
	l.pending += s.tokens * (1 + p.follow)
	l.ownTokens += s.memory
	l.own++
	l.sentSince++
	if len(l.sends) >= recentMax {
		l.sends = append(l.sends[:0], l.sends[recentMax/2:]...)
	}
	s.at = now
	l.sends = append(l.sends, s)
}

// end takes off one own attempt of so many tokens that was sent at sentAt.
func (l *load) end(now, sentAt, memory float64) {
	l.own--
	l.ownTokens -= memory
	if l.reported && sentAt <= l.reportedAt {
		l.endedSince++
	} else {
		l.sentSince--
	}
	for i := range l.sends {
		if l.sends[i].at == sentAt && !l.sends[i].ended {
			l.sends[i].ended = true
			break
		}
	}
	if len(l.ends) >= recentMax {
		l.ends = append(l.ends[:0], l.ends[recentMax/2:]...)
	}
	l.ends = append(l.ends, ending{sentAt: sentAt, at: now})
}

// report replaces the estimate by a report that describes the target at at and
// replays what was sent after it. The caller drops reports older than the last.
func (l *load) report(now, at float64, r Report, rate float64, p peers) {
	l.reported = true
	l.reportedAt = at
	l.reportedIn = float64(r.Running + r.Waiting)
	l.kv = r.KVUsed
	l.pending = float64(r.WaitingTokens)
	l.asOf = at
	l.trim(at)
	l.sentSince = 0
	for _, s := range l.sends {
		l.advance(s.at, rate, p)
		l.pending += s.tokens * (1 + p.follow)
		if !s.ended {
			l.sentSince++
		}
	}
	l.advance(now, rate, p)
	l.endedSince = 0
	for _, e := range l.ends {
		if e.sentAt <= at {
			l.endedSince++
		}
	}
}

// trim forgets sendings and ends that a report of time at shows already.
func (l *load) trim(at float64) {
	n := 0
	for n < len(l.sends) && l.sends[n].at <= at {
		n++
	}
	l.sends = append(l.sends[:0], l.sends[n:]...)
	n = 0
	for n < len(l.ends) && l.ends[n].at <= at {
		n++
	}
	l.ends = append(l.ends[:0], l.ends[n:]...)
}

// memorySince estimates the tokens sent since the last report that need memory,
// of all instances.
func (l *load) memorySince(p peers) float64 {
	sum := 0.0
	for _, s := range l.sends {
		if !s.ended {
			sum += s.memory
		}
	}
	return sum * (1 + p.follow)
}

// inFlight estimates the requests at the target, of all instances.
func (l *load) inFlight(now, stale float64, p peers) float64 {
	if !l.reported || now-l.reportedAt > stale {
		return float64(l.own) * (1 + p.follow)
	}
	n := l.reportedIn + float64(l.sentSince)*(1+p.follow) - float64(l.endedSince)
	return max(float64(l.own), n)
}
