package exchange

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	repeatsStep = 100 * time.Millisecond
	repeatsSpan = 10 * time.Second
	spanSteps   = int(repeatsSpan / repeatsStep)
	repeatShare = 0.2
	// startsInSpan is how often an instance may start within a span.
	startsInSpan = 4
	// mostRepeats is how often a request asks for one more sending.
	mostRepeats = 3
)

// repeatsWorld is all entry instances of a site in virtual time. Each request of a service asks
// for repeats as long as its instance allows them.
type repeatsWorld struct {
	limits  RetryLimits
	now     time.Time
	senders []*repeatsSender
	// firsts and extras count what all instances together have sent in each step.
	firsts, extras []int
}

type repeatsSender struct {
	region  int
	repeats *repeats
	// sees is the number of entry instances that it knows.
	sees   int
	starts []time.Time
}

func newRepeatsWorld(allowance float64, regions, perRegion int) *repeatsWorld {
	w := &repeatsWorld{limits: RetryLimits{Span: repeatsSpan, Share: repeatShare, Allowance: allowance}, now: time.Unix(1_800_000_000, 0)}
	for k := range regions * perRegion {
		w.senders = append(w.senders, &repeatsSender{region: k % regions, sees: regions * perRegion})
	}
	for k := range w.senders {
		w.restart(k)
	}
	return w
}

func (w *repeatsWorld) restart(k int) {
	s := w.senders[k]
	s.repeats, s.starts = newRepeats(w.limits, w.now), append(s.starts, w.now)
}

// mayRestart bounds how often an instance starts within a span.
func (w *repeatsWorld) mayRestart(k int) bool {
	starts := w.senders[k].starts
	return len(starts) < startsInSpan || w.now.Sub(starts[len(starts)-startsInSpan]) > repeatsSpan
}

// step has each instance of a region take as many requests as load gives for it.
func (w *repeatsWorld) step(load func(region int) int, failing bool) {
	firsts, extras := 0, 0
	for _, s := range w.senders {
		for range load(s.region) {
			s.repeats.first(w.now, "s", s.sees)
			firsts++
			for range mostRepeats {
				if failing && s.repeats.try(w.now, "s", s.sees).allowed {
					extras++
				}
			}
		}
	}
	w.firsts, w.extras = append(w.firsts, firsts), append(w.extras, extras)
	w.now = w.now.Add(repeatsStep)
}

func (w *repeatsWorld) run(d time.Duration, load func(region int) int, failing bool) {
	for range int(d / repeatsStep) {
		w.step(load, failing)
	}
}

// check fails where some span has more repeats than the common bound allows for the requests of
// that span, the one before it or the one half a span before it.
func (w *repeatsWorld) check() error {
	for a := range w.extras {
		extras := countSteps(w.extras, a)
		firsts := max(countSteps(w.firsts, a), countSteps(w.firsts, a-spanSteps), countSteps(w.firsts, a-spanSteps/2))
		if allowed := w.limits.Share*float64(firsts) + w.limits.Allowance; float64(extras) > allowed {
			return fmt.Errorf("%d repeats in the span from step %d, for %d requests; allowed %.1f", extras, a, firsts, allowed)
		}
	}
	return nil
}

// countSteps sums up the span that begins with a step.
func countSteps(steps []int, from int) int {
	n := 0
	for k := max(0, from); k < min(len(steps), from+spanSteps); k++ {
		n += steps[k]
	}
	return n
}

func steady(perStep int) func(int) int { return func(int) int { return perStep } }

// Guards against processes that begin with the whole of their part though their last life has
// spent it within the span.
func TestRestartsDoNotRenewTheRetryBudget(t *testing.T) {
	w := newRepeatsWorld(50, 3, 2)
	w.run(2*repeatsSpan, steady(2), false)
	for range 3 {
		w.run(3*time.Second, steady(2), true)
		for k := range w.senders {
			w.restart(k)
		}
	}
	w.run(repeatsSpan, steady(2), true)
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// Guards against instances that each allow by their own busiest span, though their peaks come
// one after the other.
func TestPeaksThatMoveKeepTheRetryBudget(t *testing.T) {
	w := newRepeatsWorld(50, 3, 2)
	peak := func(at int) func(int) int {
		return func(region int) int {
			if region == at {
				return 10
			}
			return 0
		}
	}
	w.run(repeatsSpan, peak(0), false)
	w.run(time.Second, peak(0), true)
	w.run(4*time.Second, peak(1), true)
	w.run(4*time.Second, peak(2), true)
	w.run(repeatsSpan, steady(0), true)
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// Guards against instances that divide the allowance among those that they can still see.
func TestCutsDoNotMultiplyTheRetryAllowance(t *testing.T) {
	w := newRepeatsWorld(50, 3, 10)
	w.run(2*repeatsSpan, steady(1), false)
	for _, s := range w.senders {
		s.sees = 1
	}
	w.run(repeatsSpan, steady(1), false)
	w.run(2*repeatsSpan, steady(0), false)
	for _, s := range w.senders {
		for s.repeats.try(w.now, "s", s.sees).allowed {
			w.extras[len(w.extras)-1]++
		}
	}
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// Guards against more repeats of a service than all instances together may send, whatever the
// load, restarts and cuts are.
func TestRepeatsOfAllInstancesKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions, perRegion := rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "instances")
		w := newRepeatsWorld(float64(rapid.SampledFrom([]int{5, 50}).Draw(t, "allowance")), regions, perRegion)
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			var load [3]int
			for k := range load {
				load[k] = rapid.SampledFrom([]int{0, 1, 2, 8}).Draw(t, "load")
			}
			failing := rapid.Bool().Draw(t, "failing")
			for range rapid.SampledFrom([]int{1, 5, 20, 60, 110}).Draw(t, "steps") {
				w.step(func(region int) int { return load[region] }, failing)
			}
			sees := rapid.SampledFrom([]int{1, regions * perRegion}).Draw(t, "sees")
			restarts := rapid.SampledFrom([]int{0, 1, len(w.senders)}).Draw(t, "restarts")
			for k, s := range w.senders {
				s.sees = sees
				if k < restarts && w.mayRestart(k) {
					w.restart(k)
				}
			}
		}
		if err := w.check(); err != nil {
			t.Fatal(err)
		}
	})
}
