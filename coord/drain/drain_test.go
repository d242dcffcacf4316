package drain_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/drain"
)

// start is an arbitrary time.
var start = time.Unix(1_700_000_000, 0)

// fakeRequest is a request in virtual time.
type fakeRequest struct {
	sent, deadline, ends time.Time
	entered, accepted    bool
	left                 bool
}

// Guards against a request that an ending instance accepts and then cuts, and against one that is accepted
// after the last check.
func TestNoRequestIsAcceptedAndCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		plan := drain.NewPlan(start, ms("notice", 4000), ms("left", 9000))
		var requests []*fakeRequest
		for range rapid.IntRange(0, 40).Draw(t, "requests") {
			r := &fakeRequest{sent: start.Add(ms("sent", 10_000) - 2*time.Second)}
			allowed := ms("allowed", 6000)
			r.deadline = r.sent.Add(allowed)
			r.ends = r.sent.Add(min(allowed, ms("takes", 6000)))
			requests = append(requests, r)
		}
		var g drain.Gate
		begun := false
		for now := start.Add(-2 * time.Second); ; now = now.Add(time.Millisecond) {
			if !begun && !now.Before(start) {
				g.Begin(plan)
				begun = true
			}
			for _, r := range requests {
				r.advance(&g, now)
			}
			if !begun || now.UnixMilli()%100 != 0 && now.Before(plan.End) {
				continue
			}
			action := g.Step(now)
			if action == drain.Wait && !now.Before(plan.End) {
				t.Fatalf("waits at the end of the plan, %d requests in progress", g.InProgress())
			}
			if action == drain.Wait {
				continue
			}
			if now.Before(plan.NoticeEnd) {
				t.Fatalf("ends %v before the notice does", plan.NoticeEnd.Sub(now))
			}
			if g.Accepts(now, now) || g.Phase(now) != drain.Closed {
				t.Fatal("accepts requests after the last check")
			}
			for _, r := range requests {
				if cut := r.accepted && !r.left; cut && (action == drain.Stop || !r.sent.Before(plan.NoticeEnd)) {
					t.Fatalf("%v at %v, with a request in progress sent at %v", action, now.Sub(start), r.sent.Sub(start))
				}
			}
			return
		}
	})
}

// advance lets a request be sent or end at a time.
func (r *fakeRequest) advance(g *drain.Gate, now time.Time) {
	if !r.entered && !now.Before(r.sent) {
		g.Enter()
		r.entered, r.accepted = true, g.Accepts(now, r.deadline)
		if !r.accepted {
			g.Leave()
			r.left = true
		}
	}
	if r.accepted && !r.left && !now.Before(r.ends) {
		g.Leave()
		r.left = true
	}
}

// Guards against a request that is read just when the gate closes: whoever enters first is seen by the other.
func TestRequestThatEntersWhileTheGateClosesIsSeen(t *testing.T) {
	const rounds = 2000
	for range rounds {
		var g drain.Gate
		g.Begin(drain.NewPlan(start, 0, time.Minute))
		accepted := make(chan bool)
		go func() {
			g.Enter()
			accepted <- g.Accepts(start, start.Add(time.Second))
		}()
		action := g.Step(start)
		if <-accepted && action == drain.Stop {
			t.Fatal("a request was accepted that the last check has not counted")
		}
	}
}

func TestAcceptedByPhase(t *testing.T) {
	plan := drain.NewPlan(start, 3*time.Second, 7*time.Second)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name          string
		now, deadline time.Duration
		want          bool
	}{
		{"in the notice, ends in time", time.Second, 2 * time.Second, true},
		{"in the notice, may outlast the instance", time.Second, 16 * time.Second, true},
		{"after it, ends in time", 4 * time.Second, 7 * time.Second, true},
		{"after it, may outlast the instance", 4 * time.Second, 7*time.Second + 1, false},
	} {
		var g drain.Gate
		if !g.Accepts(at(c.now), at(c.deadline)) {
			t.Errorf("%s: refused by an instance that is not ending", c.name)
		}
		g.Begin(plan)
		if got := g.Accepts(at(c.now), at(c.deadline)); got != c.want {
			t.Errorf("%s: accepted %v", c.name, got)
		}
	}
}
