package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against retries that keep a region overloaded after it lost capacity: a share of
// attempts fails and every failure asks for a retry, which may fail as well. The cause would
// be a budget that counts requests instead of successes, or doesn't shrink with the success
// rate.
func TestRetriesShrinkWithTheSquareOfTheSuccessRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BudgetConfig{Ratio: rapid.Float64Range(0.05, 0.5).Draw(t, "ratio"), MinPerSecond: 0.1, Window: 10 * time.Second}
		successTenths := rapid.IntRange(0, 10).Draw(t, "success in ten")
		b := NewBudget(start, cfg)
		now, retries, successes, n := start, 0, 0, 0
		attempt := func() bool {
			n++
			if n%10 < successTenths {
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
		share := float64(successTenths) / 10
		// Saved at the start, while the success rate was not known yet.
		initial := minMaxTokens + cfg.Ratio*10
		maxRetries := 1.1*(cfg.Ratio*share*float64(successes)+cfg.MinPerSecond*60*share) + initial
		if float64(retries) > maxRetries {
			t.Fatalf("%d retries at %d successes, want at most %v", retries, successes, maxRetries)
		}
		if minRetries := 0.8*min(cfg.Ratio*share*float64(successes), float64(n-successes)) - initial; float64(retries) < minRetries {
			t.Fatalf("%d retries, want at least the %v paid for", retries, minRetries)
		}
	})
}

// Guards against callers that failed together and retry together, or never: a delay without
// jitter, without an upper bound, or that overflows after many failures.
func TestBackoffStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BackoffConfig{Base: 100 * time.Millisecond, Max: 5 * time.Second}
		n := rapid.IntRange(1, 1000).Draw(t, "retry")
		u := rapid.Float64Range(0, 0.999).Draw(t, "u")
		maxDelay := min(cfg.Max, cfg.Base<<min(n-1, 20))
		got := Backoff(cfg, n, u)
		if got < maxDelay/10 || got > maxDelay {
			t.Fatalf("delay %v of %v", got, maxDelay)
		}
	})
}

// Guards against a non-idempotent request that runs twice, a response mixed from two
// attempts, and hedges that double the load while all targets are slow: a gate that ignores
// whether the response has started, or has no bound.
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

// Guards against a service without targets although all are alive, and a recovered target
// that never closes. Targets fail, slow down alone or together, and recover. Causes: no
// bound on open targets, slowness judged without peers, or a trial that is never made.
func TestBreakerKeepsEnoughTargetsAndClosesRecoveredOnes(t *testing.T) {
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
					t.Fatalf("%d of %d targets are open or half-open", out, n)
				}
			}
		}
		drive(100, func(int) Outcome {
			return Outcome{OK: rapid.IntRange(0, 9).Draw(t, "ok") > 0, Slowness: rapid.Float64Range(0.3, 30).Draw(t, "slowness")}
		})
		healthy := func(int) Outcome { return Outcome{OK: true, Slowness: 1} }
		drive(1000, healthy)
		for _, name := range names {
			if b.State(now, name) != Closed || b.Weight(now, name) != 1 {
				t.Fatalf("%s is %v at weight %v while all targets are healthy", name, b.State(now, name), b.Weight(now, name))
			}
		}
		opened, _ := b.Counts()
		drive(200, func(int) Outcome { return Outcome{OK: true, Slowness: 20} })
		if again, _ := b.Counts(); again != opened {
			t.Fatal("a slowdown of all targets opened some")
		}
		drive(1000, healthy)
		grey := rapid.IntRange(0, n-1).Draw(t, "grey")
		drive(200, func(i int) Outcome {
			if i == grey {
				return Outcome{OK: true, Slowness: 10}
			}
			return healthy(i)
		})
		if n >= 3 && b.State(now, names[grey]) == Closed {
			t.Fatal("a target ten times as slow as its peers stays closed")
		}
	})
}

// Guards against a target that is overloaded right after it has loaded its model: a weight
// that doesn't start low, or never returns to 1.
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
