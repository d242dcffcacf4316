package membership

import "time"

// freeze tracks freezes of this process.
//
// A process that is stopped and continued, or starved of CPU time, finds all
// its timers expired at once and no answers received. Without detection it
// would declare the others dead, and would act on a view that is as old as the
// freeze. A freeze is detected by the gap between two calls.
type freeze struct {
	lastCall time.Time
	// resumedAt is the end of the last freeze; zero if there was none.
	resumedAt time.Time
	// acked is set once a probe was answered after the freeze, synced once a
	// comparison of views was answered. Both make the view fresh again.
	acked, synced bool
}

// observe records the time of a call and resumes after a freeze.
func (g *Group) observe(now time.Time) {
	f := &g.freeze
	frozen := !f.lastCall.IsZero() && now.Sub(f.lastCall) > g.cfg.MaxTickGap
	f.lastCall = now
	if frozen {
		g.resumeAfterFreeze(now)
	}
}

// resumeAfterFreeze drops the probes in flight, as their answers may have been
// lost, restarts each suspicion with its whole time, drops queued Suspect and
// Dead updates, and schedules a comparison of views at once.
func (g *Group) resumeAfterFreeze(now time.Time) {
	g.freeze = freeze{lastCall: now, resumedAt: now}
	p := &g.prober
	p.current = probe{}
	clear(p.relayed)
	p.nextAt = now
	for _, id := range g.suspected {
		s := g.members[id].suspicion
		s.started = now
		s.by = s.by[:1]
	}
	q := g.spreader.queue[:0]
	for _, s := range g.spreader.queue {
		if s.update.State != Suspect && s.update.State != Dead {
			q = append(q, s)
		}
	}
	g.spreader.queue = q
	g.syncer.diverged = true
	g.syncer.nextAt = now
	g.syncer.seq = 0
}

// Fresh reports whether the host may act on the view. It is false from a freeze
// of the process until a member has answered a probe and a comparison of views
// is complete. An instance that finds itself alone after a freeze is fresh
// again once the others had the time to refute.
func (g *Group) Fresh() bool {
	f := &g.freeze
	if f.resumedAt.IsZero() || f.acked && f.synced {
		return true
	}
	alone := len(g.peers) == 0
	return alone && f.lastCall.Sub(f.resumedAt) > g.cfg.SuspicionMax+g.cfg.DeadProbeInterval
}
