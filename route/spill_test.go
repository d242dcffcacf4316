package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Symptom: a neighbour is pulled down by what comes from here.
// Events: no target here takes work, requests come much faster than granted.
// Cause: a grant read as a yes or no instead of as a rate shared by instances.
func TestSpillingKeepsToTheGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := region(0)
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
		most := share*span.Seconds() + max(leastBurst, share*grantBurst)
		if float64(spilled) > most+1 || float64(spilled) < 0.8*share*span.Seconds()-1 {
			t.Fatalf("%d spilled at a grant of %.1f/s for this instance", spilled, share)
		}
	})
}

// Symptom: the neighbour is pulled down, or cheap requests are refused while it
// has room. Events: long and short prompts mixed, more than granted.
// Cause: debts that add up, or a long prompt's debt that stops the short ones.
func TestWorkSpilledKeepsToTheGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := region(0)
		grantFrom(r, epoch, 1)
		s := r.services["llm"]
		s.model, s.prompt = true, 2000
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
		if most := share*span.Seconds() + max(leastBurst, share) + smallDebt; work > most+float64(long)/2000 {
			t.Fatalf("work of %.1f average requests spilled, %.1f granted", work, most)
		}
		// 45 short ones a second are 4.5 average requests.
		if share > 5 && refused > shorts/100 {
			t.Fatalf("%d of %d short requests refused at a grant of %.1f/s", refused, shorts, share)
		}
	})
}

// Symptom: half of what a region could give is given to nobody.
// Events: one of two neighbours sends here, then the other as well, then none.
// Cause: a grant split among all neighbours, also those that don't use it.
func TestGrantsAreSplitAmongThoseWhoUseThem(t *testing.T) {
	s := &service{}
	steps := []struct {
		home string
		at   float64
		want int
	}{{"", 0, 0}, {"a", 1, 1}, {"a", 2, 1}, {"b", 3, 2}, {"b", 7.5, 1}, {"", 13, 0}}
	for i, st := range steps {
		if st.home != "" {
			s.count(st.at, &Request{Forwarded: true, Home: st.home})
		}
		if got := s.users(st.at); got != st.want {
			t.Fatalf("step %d: %d users, want %d", i, got, st.want)
		}
	}
	granted := func(homes ...string) float64 {
		r := region(4)
		for i := range 100 {
			now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
			q := prompt(1000)
			d := r.Decide(now, q)
			r.Sent(now, AttemptID(i), q, d)
			r.Ended(now, End{Attempt: AttemptID(i), Outcome: Succeeded, OutputTokens: 10, CachedTokens: -1})
		}
		for _, h := range homes {
			r.services["llm"].count(10, &Request{Forwarded: true, Home: h})
		}
		return r.Summarise(epoch.Add(10 * time.Second))[0].FreeRate
	}
	one, two := granted("a", "a"), granted("a", "b")
	if one <= 0 || two > one*0.51 || two < one*0.49 {
		t.Fatalf("granted %.2f to one, %.2f to each of two", one, two)
	}
}

func TestSpillStopsWithTheGrantTheLinkAndAge(t *testing.T) {
	now := epoch.Add(time.Second)
	cases := map[string]func(r *Router, q *Request){
		"no grant":    func(r *Router, _ *Request) { grantFrom(r, now, 0) },
		"unreachable": func(r *Router, _ *Request) { r.SetLinks(now, []Link{{Region: "there", MaxShare: 1}}) },
		"no link":     func(r *Router, _ *Request) { r.SetLinks(now, nil) },
		"bound":       func(_ *Router, q *Request) { q.Regions = []string{"here"} },
		"crossed":     func(_ *Router, q *Request) { q.Forwarded = true },
		"too late":    func(_ *Router, q *Request) { q.FirstTokenBy = now.Add(100 * time.Millisecond) },
	}
	for name, spoil := range cases {
		r, q := region(0), prompt(100)
		grantFrom(r, epoch, 30)
		if d := r.Decide(now, q); d.Action != Spill || d.Region != "there" {
			t.Fatalf("%s: %+v before it was spoilt", name, d)
		}
		spoil(r, q)
		if d := r.Decide(now, q); d.Action != Refuse {
			t.Errorf("%s: %+v", name, d)
		}
	}
	r := region(0)
	grantFrom(r, epoch, 30)
	if d := r.Decide(epoch.Add(time.Minute), prompt(100)); d.Action != Refuse {
		t.Errorf("stale grant: %+v", d)
	}
}

// Symptom: requests flap between regions around the point of equal cost.
// Cause: one threshold for beginning and ending.
func TestSpillingForSpeedHasHysteresis(t *testing.T) {
	var s spill
	steps := []struct {
		gain float64
		want bool
	}{{3, false}, {5, true}, {3, true}, {1.5, false}, {3, false}}
	for i, st := range steps {
		if got := s.worth(st.gain, 1, 4); got != st.want {
			t.Fatalf("step %d: gain of %v s: %v", i, st.gain, got)
		}
	}
}

// Symptom: after the first region has failed, the neighbour fails too.
// Events: load comes to a region that granted capacity; its queue grows.
// Cause: grants that outlast the capacity behind them.
func TestGrantsRiseSlowlyAndFallAtOnce(t *testing.T) {
	r := region(4)
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		q := prompt(1000)
		d := r.Decide(now, q)
		r.Sent(now, AttemptID(i), q, d)
		r.Ended(now, End{Attempt: AttemptID(i), Outcome: Succeeded, OutputTokens: 10, CachedTokens: -1})
		queue(r, now, 0)
	}
	free := func(at time.Duration) float64 { return r.Summarise(epoch.Add(at))[0].FreeRate }
	start := free(10 * time.Second)
	soon := free(10*time.Second + 100*time.Millisecond)
	later := free(14 * time.Second)
	if start <= 0 || later <= start || soon > start*1.5 {
		t.Fatalf("granted %.2f, %.2f, %.2f", start, soon, later)
	}
	queue(r, epoch.Add(14*time.Second), 100_000)
	if got := free(14*time.Second + time.Millisecond); got != 0 {
		t.Fatalf("granted %.2f with a queue of ten seconds", got)
	}
	queue(r, epoch.Add(15*time.Second), 0)
	if got := free(15*time.Second + 100*time.Millisecond); got <= 0 || got > later/2 {
		t.Fatalf("granted %.2f at once after the queue was gone, %.2f before", got, later)
	}
}
