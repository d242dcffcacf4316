package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drainAttributionDelay is longer than the time for which a new leader
// attributes each drain to an earlier leader if engines do not name the order.
const drainAttributionDelay = 20 * time.Second

// Guards against a planner that ends every drain its bundle does not ask for:
// an engine drained by a person or the platform would get work again within a
// second. Leaders change meanwhile if engines name the order of a drain. At the
// end the engine is resumed by whoever drained it.
func TestExternalDrainIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.faulty = false
		w.namesDrain = rapid.Bool().Draw(t, "engines name the drain")
		w.waitConverged("at first")
		w.run(drainAttributionDelay)
		i := rapid.IntRange(0, len(w.ids)-1).Draw(t, "drained")
		e := w.engines[w.ids[i]]
		if w.desired.Goals[i].Leaving {
			return
		}
		e.report.Draining, e.drainedAt, e.drainedBy = true, w.now, "r-by-hand"
		for range rapid.IntRange(1, 30).Draw(t, "seconds") {
			if w.namesDrain && rapid.IntRange(0, 9).Draw(t, "new leader") == 0 {
				w.leader, w.term = w.rng.IntN(len(w.hosts)), w.term+1
			}
			w.run(time.Second)
			if !e.report.Draining {
				t.Fatal("the drain was ended")
			}
		}
		w.run(30 * time.Second) // A new leader waits out the earlier one.
		for _, s := range w.hosts[w.leader].p.Status().Targets {
			if elsewhere := s.Target == e.id; elsewhere != (s.Blocked == BlockedDrainedElsewhere) || elsewhere == s.Converged {
				t.Fatalf("%+v, externally drained: %v", s, elsewhere)
			}
		}
		e.report.Draining = false
		w.waitConverged("after it was resumed")
	})
}

// Guards against an external drain that is never ended: the target is marked as
// leaving and then as active again, and must get work again.
func TestBundleTakesOverExternalDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.faulty = false
		w.waitConverged("at first")
		w.run(drainAttributionDelay)
		e := w.engines[w.ids[0]]
		if w.desired.Goals[0].Leaving {
			return
		}
		e.report.Draining, e.drainedAt = true, w.now
		w.run(5 * time.Second)
		w.setLeaving(e.id, true)
		w.waitConverged("leaving")
		w.setLeaving(e.id, false)
		w.waitConverged("active again")
	})
}

// waitConverged waits until all targets are in the desired state.
func (w *simulation) waitConverged(when string) {
	for i := 0; i < 48 && w.unconverged() != ""; i++ {
		w.run(5 * time.Second)
	}
	if fault := w.unconverged(); fault != "" {
		w.t.Fatalf("%s: %s", when, fault)
	}
}

// setLeaving changes one target's state in the desired state of all hosts.
func (w *simulation) setLeaving(id string, leaving bool) {
	w.desired.Goals = append([]Goal(nil), w.desired.Goals...)
	find(w.desired.Goals, func(g *Goal) bool { return g.Target == id }).Leaving = leaving
	for _, h := range w.hosts {
		w.step(h, SetDesired{Desired: w.desired})
	}
}
