package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against overloading a neighbour: no target here takes work and
// requests arrive much faster than granted. The grant is a rate shared by the
// instances, not a yes or no.
func TestSpillingKeepsToTheGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRouter(0)
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		const span = 10 * time.Second
		spilled := 0
		for at := time.Duration(0); at < span; at += 20 * time.Millisecond {
			now := epoch.Add(at)
			if at%time.Second == 0 {
				grantFrom(r, now, rate)
			}
			if r.Decide(now, prompt(1000)).Action == Spill {
				spilled++
			}
		}
		share := rate / float64(r.cfg.Instances)
		most := share*span.Seconds() + max(minBurst, share*grantBurstSeconds)
		if float64(spilled) > most+1 || float64(spilled) < 0.8*share*span.Seconds()-1 {
			t.Fatalf("%d spilled at a grant of %.1f/s for this instance", spilled, share)
		}
	})
}

// Guards against overloading a neighbour with debts that add up, and against
// refusing short requests while it has room because of a long prompt's debt:
// long and short prompts are mixed, at more than the granted rate.
func TestWorkSpilledKeepsToTheGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRouter(0)
		grantFrom(r, epoch, 1)
		s := r.services["llm"]
		s.model, s.meanPrompt = true, 2000
		rate := rapid.Float64Range(3, 30).Draw(t, "rate")
		long := rapid.IntRange(2000, 16_000).Draw(t, "long")
		const span, short = 20 * time.Second, 200
		work, shorts, refused := 0.0, 0, 0
		for at := time.Duration(0); at < span; at += 20 * time.Millisecond {
			now := epoch.Add(at)
			if at%time.Second == 0 {
				grantFrom(r, now, rate)
			}
			q := prompt(short)
			if rapid.IntRange(0, 9).Draw(t, "one in ten is long") == 0 {
				q = prompt(long)
			}
			spilled := r.Decide(now, q).Action == Spill
			if spilled {
				work += float64(q.PromptTokens) / 2000
			}
			if q.PromptTokens == short {
				shorts++
				if !spilled {
					refused++
				}
			}
		}
		share := rate / float64(r.cfg.Instances)
		if most := share*span.Seconds() + max(minBurst, share) + maxSmallDebt; work > most+float64(long)/2000 {
			t.Fatalf("work of %.1f average requests spilled, %.1f granted", work, most)
		}
		// 45 short requests per second are 4.5 average requests.
		if share > 5 && refused > shorts/100 {
			t.Fatalf("%d of %d short requests refused at a grant of %.1f/s", refused, shorts, share)
		}
	})
}

// Guards against granting half of the spare capacity to nobody: one of two
// neighbours sends here, then both, then none. The grant must be split only
// among those that use it.
func TestGrantsAreSplitAmongThoseWhoUseThem(t *testing.T) {
	s := &service{}
	steps := []struct {
		home string
		at   float64
		want int
	}{{"", 0, 0}, {"a", 1, 1}, {"a", 2, 1}, {"b", 3, 2}, {"b", 7.5, 1}, {"", 13, 0}}
	for i, st := range steps {
		if st.home != "" {
			s.countDecided(st.at, &Request{Forwarded: true, Home: st.home})
		}
		if got := s.activeGrantUsers(st.at); got != st.want {
			t.Fatalf("step %d: %d users, want %d", i, got, st.want)
		}
	}
	granted := func(homes ...string) float64 {
		r := newTestRouter(4)
		for i := range 100 {
			now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
			q := prompt(1000)
			d := r.Decide(now, q)
			r.Sent(now, AttemptID(i), q, d)
			r.Ended(now, End{Attempt: AttemptID(i), Outcome: Succeeded, OutputTokens: 10, CachedTokens: -1})
		}
		for _, h := range homes {
			r.services["llm"].countDecided(10, &Request{Forwarded: true, Home: h})
		}
		return r.Summarise(epoch.Add(10 * time.Second))[0].FreeRate
	}
	one, two := granted("a", "a"), granted("a", "b")
	if one <= 0 || two > one*0.51 || two < one*0.49 {
		t.Fatalf("granted %.2f to one, %.2f to each of two", one, two)
	}
}

// Guards against spilling a request without a current grant or a reachable link,
// one that may not leave its region or has left another, or one that would start
// too late there.
func TestNoSpillWithoutGrantLinkOrTime(t *testing.T) {
	now := epoch.Add(time.Second)
	cases := map[string]func(r *Router, q *Request){
		"no grant":    func(r *Router, _ *Request) { grantFrom(r, now, 0) },
		"unreachable": func(r *Router, _ *Request) { r.SetLinks(now, []Link{{Region: "there", MaxShare: 1}}) },
		"no link":     func(r *Router, _ *Request) { r.SetLinks(now, nil) },
		"residency":   func(_ *Router, q *Request) { q.Regions = []string{"here"} },
		"forwarded":   func(_ *Router, q *Request) { q.Forwarded = true },
		"too late":    func(_ *Router, q *Request) { q.FirstTokenBy = now.Add(100 * time.Millisecond) },
	}
	for name, prevent := range cases {
		r, q := newTestRouter(0), prompt(100)
		grantFrom(r, epoch, 30)
		if d := r.Decide(now, q); d.Action != Spill || d.Region != "there" {
			t.Fatalf("%s: %+v before the change", name, d)
		}
		prevent(r, q)
		if d := r.Decide(now, q); d.Action != Refuse {
			t.Errorf("%s: %+v", name, d)
		}
	}
	r := newTestRouter(0)
	grantFrom(r, epoch, 30)
	if d := r.Decide(epoch.Add(time.Minute), prompt(100)); d.Action != Refuse {
		t.Errorf("stale grant: %+v", d)
	}
}

// Guards against requests that flap between regions around the point of equal
// cost, as they would with one threshold for starting and stopping.
func TestSpillingForSpeedHasHysteresis(t *testing.T) {
	var s spill
	steps := []struct {
		gain float64
		want bool
	}{{3, false}, {5, true}, {3, true}, {1.5, false}, {3, false}}
	for i, st := range steps {
		if got := s.worthSpilling(st.gain, 1, 4); got != st.want {
			t.Fatalf("step %d: gain of %v s: %v", i, st.gain, got)
		}
	}
}

// Guards against cascading overload: after one region has failed, load reaches
// a region that granted capacity and its queue grows. Grants must not outlast
// the capacity behind them.
func TestGrantsRiseSlowlyAndFallAtOnce(t *testing.T) {
	r := newTestRouter(4)
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		q := prompt(1000)
		d := r.Decide(now, q)
		r.Sent(now, AttemptID(i), q, d)
		r.Ended(now, End{Attempt: AttemptID(i), Outcome: Succeeded, OutputTokens: 10, CachedTokens: -1})
		reportQueue(r, now, 0)
	}
	free := func(at time.Duration) float64 { return r.Summarise(epoch.Add(at))[0].FreeRate }
	start := free(10 * time.Second)
	soon := free(10*time.Second + 100*time.Millisecond)
	later := free(14 * time.Second)
	if start <= 0 || later <= start || soon > start*1.5 {
		t.Fatalf("granted %.2f, %.2f, %.2f", start, soon, later)
	}
	reportQueue(r, epoch.Add(14*time.Second), 100_000)
	if got := free(14*time.Second + time.Millisecond); got != 0 {
		t.Fatalf("granted %.2f with a queue of ten seconds", got)
	}
	reportQueue(r, epoch.Add(15*time.Second), 0)
	if got := free(15*time.Second + 100*time.Millisecond); got <= 0 || got > later/2 {
		t.Fatalf("granted %.2f immediately after the queue had drained, %.2f before", got, later)
	}
}
