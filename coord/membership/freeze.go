package membership

import "time"

// freeze is what is known of freezes of this process.
//
// A process that is stopped and continued, or starved of its processor, finds
// all its timers expired at once and no answers in hand. It would declare the
// others dead, and would act on a view that is as old as the freeze. One sees
// it by the gap between two calls.
type freeze struct {
	lastCall time.Time
	// thawedAt is the end of the last freeze; zero if there was none.
	thawedAt time.Time
	// heard and synced are what makes the view fresh again.
	heard, synced bool
}

// observe notes the time of a call and begins anew after a freeze.
func (g *Group) observe(now time.Time) {
	f := &g.freeze
	frozen := !f.lastCall.IsZero() && now.Sub(f.lastCall) > g.cfg.MaxTickGap
	f.lastCall = now
	if frozen {
		g.thaw(now)
	}
}

// thaw gives up all that was under way: probes, whose answers may have been
// lost, and suspicions, which get their whole time again. What the others say
// meanwhile is compared at once.
func (g *Group) thaw(now time.Time) {
	g.freeze = freeze{lastCall: now, thawedAt: now}
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
	g.syncer.behind = true
	g.syncer.nextAt = now
	g.syncer.seq = 0
}

// Fresh reports whether the view can be acted on: false from a freeze of the
// process until a member has answered and a comparison of views is complete. An
// instance that finds itself alone after a freeze is fresh again once the
// others had the time to refute.
func (g *Group) Fresh() bool {
	f := &g.freeze
	if f.thawedAt.IsZero() || f.heard && f.synced {
		return true
	}
	alone := len(g.peers) == 0
	return alone && f.lastCall.Sub(f.thawedAt) > g.cfg.SuspicionMax+g.cfg.DeadProbeInterval
}
