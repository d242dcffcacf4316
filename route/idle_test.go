package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against idle targets that refuse small requests as deadline_unmeetable
// and so never get a request again. After a quiet time they report no running
// request and memory full of cached prefixes; if that counted as held by
// requests, the mean number of requests would approach 0 and the estimated
// memory per request would grow without bound.
func TestIdleTargetsWithFullCachesTakeWork(t *testing.T) {
	r := New(Config{Region: "jatim"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	r.SetTargets(now, []TargetSpec{
		{ID: "a", Service: "s", Region: "jatim", Slots: 8, PrefillRate: 8000, DecodeRate: 800},
		{ID: "b", Service: "s", Region: "jatim", Slots: 8, PrefillRate: 8000, DecodeRate: 800},
	})
	request := func() *Request {
		return &Request{Service: "s", Arrival: now, Deadline: now.Add(10 * time.Second), PromptTokens: 50, OutputTokens: 20, Idempotent: true}
	}
	for n := range 200 {
		q := request()
		d := r.Decide(now, q)
		if d.Action != Send {
			t.Fatalf("request %d: %+v", n, d)
		}
		a := AttemptID(n + 1)
		r.Sent(now, a, q, d)
		r.Report(now.Add(time.Millisecond), Report{Target: d.Target, At: now.Add(time.Millisecond), Running: 1, KVUsed: 0.9})
		now = now.Add(100 * time.Millisecond)
		r.FirstToken(now, a)
		now = now.Add(20 * time.Millisecond)
		r.Ended(now, End{Attempt: a, OutputTokens: 20, CachedTokens: -1})
	}
	for range 600 {
		now = now.Add(200 * time.Millisecond)
		for _, id := range []TargetID{"a", "b"} {
			r.Report(now, Report{Target: id, At: now, KVUsed: 1})
		}
		if d := r.Decide(now, request()); d.Action != Send {
			t.Fatalf("%v after the last request: %+v", now.Sub(time.Unix(1024, 0)), d)
		}
	}
}

// Guards against an immediate retry at a hopelessly late target: a predicted
// lateness beyond the range of time.Duration wraps around in the conversion.
func TestExtremeLatenessIsBounded(t *testing.T) {
	for _, seconds := range []float64{1e3, 1e11, 1e300} {
		if d := refuse(ReasonDeadline, seconds); d.RetryAfter != maxRetry {
			t.Errorf("late by %g s: retry after %v", seconds, d.RetryAfter)
		}
	}
	if d := refuse(ReasonDeadline, -5); d.RetryAfter < minRetry || d.RetryAfter > time.Second {
		t.Errorf("negative lateness: retry after %v", d.RetryAfter)
	}
}

// Guards against a region that refuses after losing its targets although its
// neighbours are idle: a region without requests since its start must still
// grant capacity, which therefore cannot be learned from requests only.
func TestIdleRegionGrants(t *testing.T) {
	r := New(Config{Region: "bali"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	r.SetTargets(now, []TargetSpec{{ID: "a", Service: "s", Region: "bali", Slots: 8, PrefillRate: 8000, DecodeRate: 800}})
	r.SetLinks(now, []Link{{Region: "jatim", MaxShare: 0.2, Reachable: true}})
	granted := 0.0
	for range 60 {
		now = now.Add(time.Second)
		r.Report(now, Report{Target: "a", At: now})
		for _, s := range r.Summarise(now) {
			granted = s.FreeRate
		}
	}
	// Eight requests of 1,000 tokens hold the slots for 2.1 s: at most 3.8
	// requests per second.
	if granted <= 0 || granted > 3.8 {
		t.Fatalf("grants %g requests per second", granted)
	}
}
