package route

import (
	"cmp"
	"slices"
)

const (
	// greyCheckSeconds is the interval between checks for grey targets.
	greyCheckSeconds = 0.25
	// A target counts as stalled if it has given no first token for
	// overdueFactor times the predicted time of its oldest unanswered attempt,
	// and for at least overdueMinSeconds.
	overdueFactor     = 5.0
	overdueMinSeconds = 2.0
	// maxEjectDoublings bounds how often the duration of an exclusion doubles.
	maxEjectDoublings = 4
)

// guard excludes a target temporarily: as Broken after consecutive failures, as
// Ejected while it is grey (alive but far slower than the service's other
// targets). A grey target passes its health checks and shows only in slow first
// tokens, and plain least-outstanding routing keeps sending to it.
type guard struct {
	failures      int
	health        Health
	excludedUntil float64
	// exclusions counts exclusions, each of which lasts twice as long as the one
	// before. It is reset by a success while health is Broken, and by as long a
	// time without an exclusion as the longest one: single responses of a grey
	// target say nothing.
	exclusions int
}

// state returns the health at now. After an exclusion expires, the target gets
// work again and its next outcome decides.
func (g *guard) state(now float64) Health {
	if now >= g.excludedUntil {
		return Healthy
	}
	return g.health
}

func (g *guard) exclude(now float64, h Health, seconds float64) {
	if now-g.excludedUntil >= seconds*float64(int(1)<<maxEjectDoublings) {
		g.exclusions = 0
	}
	g.health = h
	g.excludedUntil = now + seconds*float64(int(1)<<min(g.exclusions, maxEjectDoublings))
	g.exclusions++
}

func (g *guard) succeed() {
	g.failures = 0
	if g.health == Broken {
		g.exclusions = 0
		g.excludedUntil = 0
	}
}

func (g *guard) fail(now float64, c *Config) {
	g.failures++
	if g.failures >= c.BreakAfter && g.state(now) == Healthy {
		g.exclude(now, Broken, c.EjectFor.Seconds())
	}
}

// checkGrey runs at most every greyCheckSeconds for a service. It decays the
// learned speeds, sums the prefill rates of the warm targets, and ejects
// targets slower than EjectFactor times the median.
func (r *Router) checkGrey(s *service, now float64) {
	if now-s.greyCheckedAt < greyCheckSeconds {
		return
	}
	s.greyCheckedAt = now
	s.totalPrefillRate, s.warmTargets = 0, 0
	r.bySlowness = r.bySlowness[:0]
	excluded := 0
	for _, t := range s.list {
		t.speed.decay(now)
		t.applySpeed()
		if t.spec.State == Warm {
			s.totalPrefillRate += t.prefillRate()
			s.warmTargets++
		}
		if t.guard.state(now) != Healthy {
			excluded++
		}
		r.bySlowness = append(r.bySlowness, targetSlowness{t, r.slowness(t, now)})
	}
	slices.SortStableFunc(r.bySlowness, slowestFirst)
	r.ejectSlow(now, int(r.cfg.EjectShare*float64(len(s.list)))-excluded)
}

// ejectSlow ejects up to limit targets of r.bySlowness, slowest first.
func (r *Router) ejectSlow(now float64, limit int) {
	if len(r.bySlowness) < 2 {
		return
	}
	median := max(1, r.bySlowness[len(r.bySlowness)/2].factor)
	for _, v := range r.bySlowness {
		if limit <= 0 || v.factor < r.cfg.EjectFactor*median {
			return
		}
		if v.t.guard.state(now) != Healthy {
			continue
		}
		v.t.guard.exclude(now, Ejected, r.cfg.EjectFor.Seconds())
		limit--
	}
}

// targetSlowness is a target and the factor by which it is slower than
// expected; below 1 if it is faster.
type targetSlowness struct {
	t      *target
	factor float64
}

func slowestFirst(a, b targetSlowness) int { return cmp.Compare(b.factor, a.factor) }

// slowness returns the factor by which the target is slower than expected: the
// learned one, or a larger one if the target has stalled, since a stalled
// target yields no observations. It also sets t.stalled.
func (r *Router) slowness(t *target, now float64) float64 {
	f := 1.0
	if t.speed.observations() >= minObservations {
		f = t.speed.slowdown()
	}
	t.stalled = 0
	a, ok := r.oldestUnanswered(t)
	if !ok {
		return f
	}
	// A request overtaken by others is late while the target works. Only a
	// target that gives no first token at all has stalled.
	silentFor := now - max(a.sentAt, t.answeredAt)
	if silentFor > overdueMinSeconds && silentFor > overdueFactor*a.predicted {
		t.stalled = silentFor
		f = max(f, silentFor/(a.predicted+speedFloorSeconds))
	}
	return f
}

// oldestUnanswered returns the target's oldest attempt without a first token.
// It drops ended and answered attempts from the front of t.unanswered.
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
