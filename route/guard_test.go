package route

import (
	"testing"
	"time"
)

// Guards against a target that responds slowly and dominates tail latency:
// first tokens of half of the targets take four times as long, or those of two
// thirds stop. Such targets pass their health checks. The bound on ejections
// keeps a wrong signal from taking the service away.
func TestGreyTargetsGetFewRequests(t *testing.T) {
	cases := []struct {
		stalled bool
		last    TargetID
		most    int
	}{{false, "here-2", 20}, {true, "here-2", 10}, {true, "here-3", 10}}
	for _, tc := range cases {
		r := newTestRouter(6)
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

// Guards against ejecting a working target, or not ejecting a stalled one: a
// request gets no first token for a minute, because others overtake it or
// because the target gives none at all. A single late request must not count as
// a stall.
func TestOnlySilentTargetCountsAsStalled(t *testing.T) {
	for _, silent := range []bool{false, true} {
		r := newTestRouter(4)
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
		t.Fatal("open although a success came between")
	}
	g.fail(1, &c)
	if g.state(1) != Broken || g.state(1+c.EjectFor.Seconds()) != Healthy {
		t.Fatal("not open, or still open after its time")
	}
	g.fail(6, &c)
	if g.state(6+c.EjectFor.Seconds()) != Broken {
		t.Fatal("the second exclusion is not longer")
	}
}

// Guards against a target that is left out ever longer for each slow spell of its whole life.
func TestExclusionsOfLongAgoDoNotCount(t *testing.T) {
	const forSeconds = 10.0
	var g guard
	now := 0.0
	for n := range 6 {
		g.exclude(now, Ejected, forSeconds)
		if want := forSeconds * float64(int(1)<<min(n, maxEjectDoublings)); g.excludedUntil-now != want {
			t.Fatalf("exclusion %d in a row lasts %v s, want %v", n, g.excludedUntil-now, want)
		}
		now = g.excludedUntil + 1
	}
	now = g.excludedUntil + forSeconds*float64(int(1)<<maxEjectDoublings)
	g.exclude(now, Ejected, forSeconds)
	if g.excludedUntil-now != forSeconds {
		t.Errorf("an exclusion after a long time of health lasts %v s, want %v", g.excludedUntil-now, forSeconds)
	}
}
