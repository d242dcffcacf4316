package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// region returns a Router with n warm model targets and a neighbour "there".
func region(n int) *Router {
	r := newRouter(1)
	var specs []TargetSpec
	for i := range n {
		specs = append(specs, modelTarget(i, "here"))
	}
	r.SetTargets(epoch, specs)
	r.SetLinks(epoch, []Link{{Region: "there", OneWay: 80 * time.Millisecond, MaxShare: 1, Reachable: true}})
	return r
}

func prompt(tokens int) *Request {
	return &Request{Service: "llm", PromptTokens: tokens, OutputTokens: 10, Priority: 5, Home: "here", Idempotent: true}
}

// load reports the same queue of prompt tokens for all targets.
func queue(r *Router, now time.Time, tokens int) {
	for id := range r.targets {
		r.Report(now, Report{Target: id, At: now, Running: 1, WaitingTokens: tokens})
	}
}

func grantFrom(r *Router, now time.Time, rate float64) {
	r.RegionSummary(now, RegionSummary{Region: "there", Service: "llm", At: now, FreeRate: rate, Targets: 3})
}

// Symptom: a caller comes back when it was told to, and is refused again.
// Cause: the time told was not the time that the queue in front needs.
func TestRetryAfterIsWhenItCanBeDone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := region(rapid.IntRange(1, 4).Draw(t, "targets"))
		queue(r, epoch, rapid.IntRange(0, 400_000).Draw(t, "queue"))
		q := prompt(rapid.IntRange(1, 4000).Draw(t, "prompt"))
		patience := time.Duration(rapid.IntRange(1, 10).Draw(t, "patience")) * time.Second
		q.Deadline = epoch.Add(patience)
		d := r.Decide(epoch, q)
		if d.Action != Refuse {
			return
		}
		again := epoch.Add(d.RetryAfter)
		q.Deadline = again.Add(patience)
		if e := r.Decide(again, q); d.RetryAfter < maxRetry && e.Action != Send {
			t.Fatalf("refused for %v, then %+v", d.RetryAfter, e)
		}
	})
}

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
			s.count(st.at, &Request{Crossed: true, Home: st.home})
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
			r.services["llm"].count(10, &Request{Crossed: true, Home: h})
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
		"crossed":     func(_ *Router, q *Request) { q.Crossed = true },
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

// Symptom: idle targets refuse long prompts as overload, or spill them.
// Events: little load; the size of the memory is learned too small.
// Cause: a wait for more memory than is in use.
func TestIdleTargetsHaveNoWaitForMemory(t *testing.T) {
	r := region(2)
	grantFrom(r, epoch, 30)
	s := r.services["llm"]
	s.memory = memory{used: 0.5, running: 1, ownTokens: 1000, own: 1, weighted: 60, tokens: 1}
	queue(r, epoch, 0)
	q := prompt(10_000)
	q.Deadline = epoch.Add(10 * time.Second)
	if d := r.Decide(epoch, q); d.Action != Send {
		t.Fatalf("%+v with nothing in use", d)
	}
	r.Report(epoch.Add(1), Report{Target: "here-0", At: epoch.Add(1), Running: 1, KVUsed: 0.1})
	r.Report(epoch.Add(1), Report{Target: "here-1", At: epoch.Add(1), Running: 1, KVUsed: 0.9})
	if d := r.Decide(epoch.Add(1), q); d.Action != Send || d.Target != "here-0" {
		t.Fatalf("%+v, want the target that frees its memory sooner", d)
	}
}

// Symptom: a healthy target is taken for slow or stalled.
// Events: the host chooses it itself for requests that must run alone.
// Cause: no prediction with such a sending, read as one of no time at all.
func TestSendingsOfTheHostTeachNoWrongSpeed(t *testing.T) {
	r := region(2)
	q := prompt(20_000)
	took := duration(20_000 / modelTarget(0, "here").PrefillRate)
	for i := range 10 {
		now := epoch.Add(time.Duration(i) * time.Minute)
		r.Sent(now, AttemptID(i), q, Decision{Action: Send, Target: "here-0"})
		r.Decide(now.Add(took-time.Millisecond), prompt(1))
		if s := r.targets["here-0"].stalled; s != 0 {
			t.Fatalf("stalled for %v s", s)
		}
		r.FirstToken(now.Add(took), AttemptID(i))
		r.Ended(now.Add(took), End{Attempt: AttemptID(i), Outcome: Succeeded, OutputTokens: 1, CachedTokens: -1})
	}
	if f := r.targets["here-0"].speed.first.factor(); f < 0.9 || f > 1.1 {
		t.Fatalf("learned a factor of %v", f)
	}
}

// Symptom: one target answers, but slowly, and spoils the slowest answers.
// Events: first tokens of half of the targets take four times as long, or those
// of two thirds stop.
// Cause: they fail no health check; nothing looks at their speed. The bound on
// ejections keeps a wrong signal from taking the service away.
func TestGreyTargetsGetLittle(t *testing.T) {
	cases := []struct {
		stalled bool
		last    TargetID
		most    int
	}{{false, "here-2", 20}, {true, "here-2", 10}, {true, "here-3", 10}}
	for _, tc := range cases {
		r := region(6)
		grey := func(id TargetID) bool { return id <= tc.last }
		const all, late = 400, 200
		got := 0
		for i := range all {
			now := epoch.Add(time.Duration(i) * time.Second)
			q := prompt(2000)
			d := r.Decide(now, q)
			r.Sent(now, AttemptID(i), q, d)
			took := 200 * time.Millisecond
			if grey(d.Target) {
				took *= 4
				if i >= all-late || tc.stalled {
					got++
				}
				if tc.stalled {
					continue
				}
			}
			r.FirstToken(now.Add(took), AttemptID(i))
			r.Ended(now.Add(took), End{Attempt: AttemptID(i), Outcome: Succeeded, OutputTokens: 1, CachedTokens: -1})
		}
		if got > tc.most {
			t.Errorf("%+v: %d sent to grey targets", tc, got)
		}
		ejected := 0
		for id, v := range r.targets {
			if v.guard.state(r.seconds(epoch.Add(all*time.Second))) != Healthy {
				ejected++
				if !grey(id) {
					t.Errorf("%+v: ejected the healthy %s", tc, id)
				}
			}
		}
		if ejected > 2 {
			t.Errorf("%+v: %d of 6 ejected", tc, ejected)
		}
	}
}

// Symptom: a target that works is ejected, or one that has stopped is not.
// Events: a request at it gets no first token for a minute, because others
// overtake it, or because the target gives nobody one.
// Cause: lateness of one request taken for a stall of the target.
func TestOnlyASilentTargetHasStalled(t *testing.T) {
	for _, silent := range []bool{false, true} {
		r := region(4)
		at := func(id TargetID, now time.Time) Decision {
			return Decision{Action: Send, Target: id, Start: now.Add(200 * time.Millisecond)}
		}
		r.Sent(epoch, 1000, prompt(2000), at("here-0", epoch))
		for i := range 60 {
			now := epoch.Add(time.Duration(i) * time.Second)
			r.Decide(now, prompt(2000))
			for k := range 4 {
				id, target := AttemptID(i*4+k), modelTarget(k, "here").ID
				if target == "here-0" && silent {
					continue
				}
				r.Sent(now, id, prompt(2000), at(target, now))
				r.FirstToken(now.Add(200*time.Millisecond), id)
				r.Ended(now.Add(300*time.Millisecond), End{Attempt: id, Outcome: Succeeded, OutputTokens: 1})
			}
		}
		now := r.seconds(epoch.Add(time.Minute))
		for id, v := range r.targets {
			want := Healthy
			if silent && id == "here-0" {
				want = Ejected
			}
			if got := v.guard.state(now); got != want {
				t.Errorf("silent %v: %s has health %d, want %d", silent, id, got, want)
			}
		}
	}
}

func TestBreakerOpensAfterFailuresInARow(t *testing.T) {
	c := Config{}.withDefaults()
	var g guard
	for range c.BreakAfter - 1 {
		g.fail(0, &c)
	}
	g.succeed()
	for range c.BreakAfter - 1 {
		g.fail(1, &c)
	}
	if g.state(1) != Healthy {
		t.Fatal("open though a success came between")
	}
	g.fail(1, &c)
	if g.state(1) != Broken || g.state(1+c.EjectFor.Seconds()) != Healthy {
		t.Fatal("not open, or open for ever")
	}
	g.fail(6, &c)
	if g.state(6+c.EjectFor.Seconds()) != Broken {
		t.Fatal("the second time is not longer")
	}
}

// Symptom: low priorities get nothing for as long as the load lasts.
// Cause: shedding by priority alone, without a floor.
func TestLowPriorityIsShedFirstButDoesNotStarve(t *testing.T) {
	r := region(2)
	queue(r, epoch, 80_000)
	admitted := map[int]int{}
	for _, p := range []int{0, 9} {
		for range 100 {
			q := prompt(100)
			q.Priority = p
			if r.Decide(epoch, q).Action == Send {
				admitted[p]++
			}
		}
	}
	if admitted[9] != 100 || admitted[0] < 5 || admitted[0] > 15 {
		t.Fatalf("admitted %v of 100 each", admitted)
	}
}

// Symptom: low priorities are answered shortly before their deadline for as long
// as half of the region is lost; or a burst has requests refused that would have
// been in time. Cause: one bound on the wait for queues that stand and that drain.
func TestOnlyAStandingQueueTightensTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s standing
		const bound = 20.0
		short := 0.0
		at := rapid.Float64Range(0, 1000).Draw(t, "start")
		for i := range 200 {
			at += rapid.Float64Range(0, 2).Draw(t, "pause")
			wait := rapid.SampledFrom([]float64{2.4, 2.6, 4, 8, 19, 40}).Draw(t, "wait")
			if i == 0 || wait < bound/8 {
				short = at
			}
			want := bound
			if at-short > 20 {
				want = bound / 4
			}
			if got := s.tighten(at, wait, bound); got != want {
				t.Fatalf("bound %v after %v s without a short wait, want %v", got, at-short, want)
			}
		}
	})
	r := region(2)
	refused := func(at, span time.Duration, tokens int) (n int) {
		for end := at + span; at < end; at += 500 * time.Millisecond {
			queue(r, epoch.Add(at), tokens)
			q := prompt(100)
			q.Priority = 0
			if r.Decide(epoch.Add(at), q).Action == Refuse {
				n++
			}
		}
		return n
	}
	if n := refused(0, 15*time.Second, 20_000); n != 0 {
		t.Fatalf("%d refused in a burst of 15 s", n)
	}
	if n := refused(25*time.Second, 10*time.Second, 20_000); n < 15 || n == 20 {
		t.Fatalf("%d of 20 refused while the queue stands", n)
	}
	if n := refused(40*time.Second, 15*time.Second, 100) + refused(60*time.Second, 15*time.Second, 20_000); n != 0 {
		t.Fatalf("%d refused after the queue had drained", n)
	}
}

// Symptom: a target's load stays as it was for an hour.
// Events: its clock is ahead, then right again; reports come late.
// Cause: the time of a report compared as if all had one clock.
func TestReportsOfAWrongClock(t *testing.T) {
	r := region(1)
	at := func(now, said time.Duration, running int) float64 {
		r.Report(epoch.Add(now), Report{Target: "here-0", At: epoch.Add(said), Running: running})
		v := r.targets["here-0"]
		return v.load.inFlight(now.Seconds(), r.cfg.ReportStale.Seconds(), peers{})
	}
	q := prompt(100)
	steps := []struct {
		now, said time.Duration
		running   int
		want      float64
	}{
		{time.Second, time.Hour, 3, 3},
		{2 * time.Second, time.Hour, 4, 4},
		{3 * time.Second, time.Second, 9, 4},
		{20 * time.Second, 3 * time.Second, 9, 0}, // too old: own sendings count alone
		{20 * time.Second, 19 * time.Second, 6, 6},
	}
	for i, s := range steps {
		if got := at(s.now, s.said, s.running); got != s.want {
			t.Fatalf("step %d: %v in flight, want %v", i, got, s.want)
		}
	}
	now := epoch.Add(20 * time.Second)
	r.Sent(now, 1, q, r.Decide(now, q))
	if got := r.targets["here-0"].load.sentSince; got != 1 {
		t.Fatalf("%d own sendings since the report", got)
	}
}

// Symptom: a target's cache is believed warm after a restart, or its events are
// dropped until their number has caught up.
func TestCacheEventsOfANewLife(t *testing.T) {
	r := region(1)
	c := r.targets["here-0"].cache
	for _, e := range []CacheEvent{{Seq: 1, Stored: []uint64{7}}, {Seq: 2, Stored: []uint64{8}}, {Seq: 2, Evicted: []uint64{7}}} {
		e.Target = "here-0"
		r.CacheEvent(epoch, e)
	}
	if len(c.at) != 2 {
		t.Fatalf("%d blocks held, want 2", len(c.at))
	}
	r.CacheEvent(epoch, CacheEvent{Target: "here-0", Seq: 1, Stored: []uint64{9}})
	if _, ok := c.at[9]; !ok || len(c.at) != 1 {
		t.Fatalf("%d blocks held after a new life, want the one told", len(c.at))
	}
	steps := []struct {
		state State
		held  int
	}{{Leaving, 1}, {Warm, 1}, {Loading, 1}, {Warm, 0}}
	for i, s := range steps {
		spec := modelTarget(0, "here")
		spec.State = s.state
		r.SetTargets(epoch, []TargetSpec{spec})
		if len(c.at) != s.held {
			t.Fatalf("step %d: %d blocks held, want %d", i, len(c.at), s.held)
		}
	}
}

// Symptom: long queues at targets whose caches were lost.
// Events: the engine tells smaller hits than predicted.
// Cause: predictions that never look at what came of them.
func TestTrustFollowsTheHitsTold(t *testing.T) {
	v := &target{trust: 1}
	for range 30 {
		v.sawHit(1000, 0)
	}
	low := v.trust
	v.sawHit(1000, -1)
	v.sawHit(0, 50)
	if low > 0.1 || v.trust != low {
		t.Fatalf("trust %v, then %v without an observation", low, v.trust)
	}
	for range 30 {
		v.sawHit(500, 2000)
	}
	if v.trust < 0.9 || v.trust > 1 {
		t.Fatalf("trust %v after good hits", v.trust)
	}
}
