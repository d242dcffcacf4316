package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/retry"
)

// Guards against a burst at the end of one slot and another at the beginning of the next, and
// against retries that are earned by requests sent before this span and the one before it, also if
// their first attempts are counted later.
func TestWindowBoundsRetriesInAnySpan(t *testing.T) {
	const (
		span      = 10 * time.Second
		share     = 0.15
		allowance = 5.0
	)
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		w := retry.NewWindow(start, span, share, allowance)
		now := start
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 40, 300, 2500, 11000, 400000}).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				w.CountFirstAttempt(now)
				lag := rapid.SampledFrom([]time.Duration{0, retry.MaxLag(span)}).Draw(t, "lag")
				firsts = append(firsts, now.Add(-lag))
				continue
			}
			if w.TryRetry(now) {
				retries = append(retries, now)
			}
			for _, back := range []time.Duration{0, span / 4, span / 2, span} {
				since := now.Add(-back)
				retried, first := countSince(retries, since), countSince(firsts, since.Add(-span))
				if float64(retried) > share*float64(first)+allowance {
					t.Fatalf("%d retries within %v at %d first attempts in that time and a span before", retried, back, first)
				}
			}
		}
	})
}

func countSince(at []time.Time, since time.Time) int {
	n := 0
	for _, t := range at {
		if !t.Before(since) {
			n++
		}
	}
	return n
}

// Guards against retries that are earned by requests sent over a span earlier, but counted within it.
func TestRequestsCountedLateEarnForNoLonger(t *testing.T) {
	const span = 10 * time.Second
	countedAt := time.Unix(1000, 0)
	w := retry.NewWindow(countedAt, span, 0.5, 0)
	for range 100 {
		w.CountFirstAttempt(countedAt)
	}
	sentAt := countedAt.Add(-retry.MaxLag(span))
	if w.TryRetry(sentAt.Add(span + 990*time.Millisecond)) {
		t.Fatal("allowed a retry by requests sent over a span before")
	}
}

// Guards against a bound that refuses, at a steady load, what two spans earn together.
func TestWindowAllowsTwiceItsShareAtSteadyLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	w := retry.NewWindow(now, 10*time.Second, 0.1, 0)
	retries := 0
	run := func(firsts int) {
		for range firsts {
			now = now.Add(50 * time.Millisecond)
			w.CountFirstAttempt(now)
			if w.TryRetry(now) {
				retries++
			}
		}
	}
	run(400)
	retries = 0
	run(1000)
	if retries < 170 || retries > 200 {
		t.Fatalf("%d retries at 1000 first attempts, want 170 to 200", retries)
	}
}

func TestWindowAllowsItsAllowance(t *testing.T) {
	now := time.Unix(1000, 0)
	w := retry.NewWindow(now, 10*time.Second, 0.5, 2)
	for k, want := range []bool{true, true, false} {
		if got := w.TryRetry(now); got != want {
			t.Fatalf("retry %d: allowed %v", k, got)
		}
	}
	w.CountFirstAttempt(now)
	w.CountFirstAttempt(now)
	if !w.TryRetry(now) {
		t.Fatal("two first attempts allow one retry at a share of a half")
	}
	if w.TryRetry(now.Add(9 * time.Second)) {
		t.Fatal("allowed again within the span")
	}
	if !w.TryRetry(now.Add(12 * time.Second)) {
		t.Fatal("not allowed after the span")
	}
}
