package route

import (
	"cmp"
	"slices"
)

const (
	// greyEvery is how often, in seconds, grey targets are looked for.
	greyEvery = 0.25
	// overdueFactor is how many times the predicted time of its oldest attempt a
	// target may give no first token before it counts as grey, and overdueMin
	// the least time in seconds.
	overdueFactor = 5.0
	overdueMin    = 2.0
	// maxBackoff bounds how often the time of an ejection doubles.
	maxBackoff = 4
)

// guard bars a target for a time: as Broken after failures in a row, as Ejected
// while it is grey (alive but far slower than its like). A grey target answers
// its health checks; one notices it only by slow first tokens, and plain
// least-outstanding routing keeps feeding it.
type guard struct {
	failures int
	health   Health
	until    float64
	// row counts bars in a row without a success between.
	row int
}

// state is the health at now. A bar that has run out lets work through again;
// the first outcome decides.
func (g *guard) state(now float64) Health {
	if now >= g.until {
		return Healthy
	}
	return g.health
}

func (g *guard) bar(now float64, h Health, seconds float64) {
	g.health = h
	g.until = now + seconds*float64(int(1)<<min(g.row, maxBackoff))
	g.row++
}

func (g *guard) succeed() {
	g.failures = 0
	if g.health == Broken {
		g.row = 0
		g.until = 0
	}
}

func (g *guard) fail(now float64, c *Config) {
	g.failures++
	if g.failures >= c.BreakAfter && g.state(now) == Healthy {
		g.bar(now, Broken, c.EjectFor.Seconds())
	}
}

// lookForGrey is the regular look at a service: what was learned fades, and the
// targets that are slower than EjectFactor times the median are ejected.
func (r *Router) lookForGrey(s *service, now float64) {
	if now-s.greyAt < greyEvery {
		return
	}
	s.greyAt = now
	s.prefill, s.warm = 0, 0
	r.slow = r.slow[:0]
	barred := 0
	for _, t := range s.list {
		t.speed.fade(now)
		t.learned()
		if t.spec.State == Warm {
			s.prefill += t.prefillRate()
			s.warm++
		}
		if t.guard.state(now) != Healthy {
			barred++
		}
		r.slow = append(r.slow, slowTarget{t, r.slowness(t, now)})
	}
	slices.SortStableFunc(r.slow, slowestFirst)
	r.ejectSlow(now, int(r.cfg.EjectShare*float64(len(s.list)))-barred)
}

// ejectSlow ejects the slowest first, at most so many.
func (r *Router) ejectSlow(now float64, most int) {
	if len(r.slow) < 2 {
		return
	}
	median := max(1, r.slow[len(r.slow)/2].factor)
	for _, v := range r.slow {
		if most <= 0 || v.factor < r.cfg.EjectFactor*median {
			return
		}
		if v.t.guard.state(now) != Healthy {
			continue
		}
		v.t.guard.bar(now, Ejected, r.cfg.EjectFor.Seconds())
		most--
	}
}

// slowTarget is a target with how many times slower than expected it is.
type slowTarget struct {
	t      *target
	factor float64
}

func slowestFirst(a, b slowTarget) int { return cmp.Compare(b.factor, a.factor) }

// slowness is the learned factor, or more if the target has stalled: one that
// has stopped gives no observations.
func (r *Router) slowness(t *target, now float64) float64 {
	f := 1.0
	if t.speed.seen() >= speedEnough {
		f = t.speed.slow()
	}
	t.stalled = 0
	a, ok := r.oldestUnanswered(t)
	if !ok {
		return f
	}
	// A request that others overtake is late while the target works; only one
	// that gives nobody a first token has stalled.
	silent := now - max(a.sentAt, t.answeredAt)
	if silent > overdueMin && silent > overdueFactor*a.predicted {
		t.stalled = silent
		f = max(f, silent/(a.predicted+speedFloor))
	}
	return f
}

func (r *Router) oldestUnanswered(t *target) (attempt, bool) {
	for len(t.unanswered) > 0 {
		a, ok := r.attempts[t.unanswered[0]]
		if ok && !a.answered {
			return a, true
		}
		t.unanswered = t.unanswered[1:]
	}
	return attempt{}, false
}
