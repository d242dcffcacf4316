package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// knowsDrains is longer than a new leader takes each drain for one of an earlier
// leader, where engines do not name the order.
const knowsDrains = 20 * time.Second

// Symptom: an engine that a person has drained gets work again within a second.
// Events: engines serve as the bundle wants; one is drained by somebody else,
// whose order the planner never gave; leaders change, if the engine names the
// order. Then it is resumed by the same hand.
// Cause: a planner that ends each drain which its bundle does not ask for.
func TestForeignDrainIsNotEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.faulty = false
		w.namesDrain = rapid.Bool().Draw(t, "engines name the drain")
		w.settle("at first")
		w.run(knowsDrains)
		i := rapid.IntRange(0, len(w.ids)-1).Draw(t, "drained")
		e := w.engines[w.ids[i]]
		if w.wanted.Goals[i].Leaving {
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
		w.run(30 * time.Second) // A new leader waits out the one before.
		for _, s := range w.hosts[w.leader].p.Status().Targets {
			if elsewhere := s.Target == e.id; elsewhere != (s.Blocked == BlockedDrainedElsewhere) || elsewhere == s.Converged {
				t.Fatalf("%+v, drained elsewhere: %v", s, elsewhere)
			}
		}
		e.report.Draining = false
		w.settle("after it was resumed")
	})
}

// Symptom: a target stays without work although the bundle wants it again.
// Events: a target that somebody else has drained is marked as leaving, then as
// active.
// Cause: a drain that counts as somebody else's for good.
func TestBundleTakesForeignDrainOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.faulty = false
		w.settle("at first")
		w.run(knowsDrains)
		e := w.engines[w.ids[0]]
		if w.wanted.Goals[0].Leaving {
			return
		}
		e.report.Draining, e.drainedAt = true, w.now
		w.run(5 * time.Second)
		w.setLeaving(e.id, true)
		w.settle("leaving")
		w.setLeaving(e.id, false)
		w.settle("active again")
	})
}

// settle waits until all targets are as the bundle wants.
func (w *world) settle(when string) {
	for i := 0; i < 48 && w.unconverged() != ""; i++ {
		w.run(5 * time.Second)
	}
	if fault := w.unconverged(); fault != "" {
		w.t.Fatalf("%s: %s", when, fault)
	}
}

// setLeaving puts the same bundle in force but for one target's state.
func (w *world) setLeaving(id string, leaving bool) {
	w.wanted.Goals = append([]Goal(nil), w.wanted.Goals...)
	find(w.wanted.Goals, func(g *Goal) bool { return g.Target == id }).Leaving = leaving
	for _, h := range w.hosts {
		w.step(h, SetDesired{Desired: w.wanted})
	}
}
