package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// Symptom: a region that lost capacity is kept down by retries.
// Events: requests come steadily, a random share of attempts fails, and every
// failure asks for a retry, which may fail as well.
// Cause: a budget that counts requests instead of successes, or that does not
// shrink with the success rate.
func TestRetriesShrinkWithTheSquareOfSuccess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BudgetConfig{Ratio: rapid.Float64Range(0.05, 0.5).Draw(t, "ratio"), MinPerSecond: 0.1, Window: 10 * time.Second}
		rate := rapid.IntRange(0, 10).Draw(t, "success in ten")
		b := NewBudget(start, cfg)
		now, retries, successes, n := start, 0, 0, 0
		attempt := func() bool {
			n++
			if n%10 < rate {
				successes++
				b.Succeeded(now)
				return true
			}
			b.Failed(now)
			return false
		}
		for range 100 * 60 {
			now = now.Add(10 * time.Millisecond)
			for ok := attempt(); !ok && b.TrySpend(now); ok = attempt() {
				retries++
			}
		}
		share := float64(rate) / 10
		// What the start saved while the success rate was not known yet.
		saved := minSaved + cfg.Ratio*10
		most := 1.1*(cfg.Ratio*share*float64(successes)+cfg.MinPerSecond*60*share) + saved
		if float64(retries) > most {
			t.Fatalf("%d retries at %d successes, at most %v", retries, successes, most)
		}
		if least := 0.8*min(cfg.Ratio*share*float64(successes), float64(n-successes)) - saved; float64(retries) < least {
			t.Fatalf("%d retries of %v paid for", retries, least)
		}
	})
}

// Symptom: callers that failed together come back together, or never.
// Events: any number of failures in a row.
// Cause: a pause without jitter, without a ceiling, or one that overflows.
func TestBackoffStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BackoffConfig{Base: 100 * time.Millisecond, Max: 5 * time.Second}
		n := rapid.IntRange(1, 1000).Draw(t, "retry")
		u := rapid.Float64Range(0, 0.999).Draw(t, "u")
		whole := min(cfg.Max, cfg.Base<<min(n-1, 20))
		got := Backoff(cfg, n, u)
		if got < whole/10 || got > whole {
			t.Fatalf("pause %v of %v", got, whole)
		}
	})
}

// Symptom: a booking runs twice, an answer is mixed of two, or hedges double
// the load while all targets are slow.
// Events: hedges are asked for at random.
// Cause: a gate that does not look at what was passed on, or has no bound.
func TestHedgesOnlyWhereSafeAndFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(start, BudgetConfig{Ratio: 1, Window: 10 * time.Second})
		g := NewHedgeGate(b, 0.1)
		hedges, requests := 0, rapid.IntRange(1, 500).Draw(t, "requests")
		for range requests {
			b.Succeeded(start)
			g.Request()
			a := Attempt{Idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0, ResponseStarted: rapid.IntRange(0, 3).Draw(t, "token") == 0}
			before := b.Tokens()
			if !g.Allow(start, a) {
				continue
			}
			hedges++
			if !a.Idempotent || a.ResponseStarted || before-b.Tokens() != 1 {
				t.Fatalf("hedge of %+v paid with %v", a, before-b.Tokens())
			}
		}
		if float64(hedges) > 0.1*float64(requests)+1e-6 {
			t.Fatalf("%d hedges of %d requests", hedges, requests)
		}
	})
}

// Symptom: a service has no target left although all are alive, or a target
// that is well again stays out for ever.
// Events: targets fail, get slow alone or all together, and recover.
// Cause: no bound on those out, slowness judged without peers, a trial that
// is never made.
func TestBreakerKeepsEnoughTargetsAndLetsThemBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("t%02d", i)
		}
		cfg := DefaultBreakerConfig()
		b := NewBreaker(cfg)
		b.SetTargets(start, names)
		now := start
		drive := func(rounds int, ended func(i int) Outcome) {
			for range rounds {
				now = now.Add(200 * time.Millisecond)
				for i, name := range names {
					if b.Weight(now, name) > 0 {
						b.Sent(now, name)
						e := ended(i)
						e.Target = name
						b.RecordOutcome(now, e)
					}
				}
				out := 0
				for _, name := range names {
					if b.State(now, name) != Closed {
						out++
					}
				}
				if float64(out) > cfg.MaxOpenShare*float64(n) {
					t.Fatalf("%d of %d targets are out", out, n)
				}
			}
		}
		drive(100, func(int) Outcome {
			return Outcome{OK: rapid.IntRange(0, 9).Draw(t, "ok") > 0, Slowness: rapid.Float64Range(0.3, 30).Draw(t, "slowness")}
		})
		well := func(int) Outcome { return Outcome{OK: true, Slowness: 1} }
		drive(1000, well)
		for _, name := range names {
			if b.State(now, name) != Closed || b.Weight(now, name) != 1 {
				t.Fatalf("%s is %v at weight %v while all is well", name, b.State(now, name), b.Weight(now, name))
			}
		}
		opened, _ := b.Counts()
		drive(200, func(int) Outcome { return Outcome{OK: true, Slowness: 20} })
		if again, _ := b.Counts(); again != opened {
			t.Fatal("a slowness of all targets opened some")
		}
		drive(1000, well)
		grey := rapid.IntRange(0, n-1).Draw(t, "grey")
		drive(200, func(i int) Outcome {
			if i == grey {
				return Outcome{OK: true, Slowness: 10}
			}
			return well(i)
		})
		if n >= 3 && b.State(now, names[grey]) == Closed {
			t.Fatal("a target ten times as slow as its peers stays closed")
		}
	})
}

// Symptom: a target that has just loaded its model is overrun at once.
// Events: it loads, and is chosen by weight from then on.
// Cause: a weight that doesn't begin low, or never gets back to 1.
func TestSlowStartAfterALoad(t *testing.T) {
	b := NewBreaker(DefaultBreakerConfig())
	b.SetTargets(start, []string{"a"})
	b.Loaded(start, "a")
	last := 0.0
	for i := range 11 {
		w := b.Weight(start.Add(time.Duration(i)*time.Second), "a")
		if w < last || w < minWeight || i == 5 && w != 0.5 {
			t.Fatalf("weight %v after %d s", w, i)
		}
		last = w
	}
	if last != 1 {
		t.Fatalf("weight %v at the end", last)
	}
}
