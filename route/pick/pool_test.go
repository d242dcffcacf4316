package pick_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

var t0 = time.Unix(1000, 0)

func targets(n int) []pick.Target {
	var out []pick.Target
	for k := range n {
		out = append(out, pick.Target{
			ID: fmt.Sprint("t", k), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", k), Zone: "z", Slots: 4,
		})
	}
	return out
}

func engines() map[string]pick.ServiceRules {
	return map[string]pick.ServiceRules{"s": {Engine: true, ColdFor: 3 * time.Second, ColdPerSecond: 2.2}}
}

// call returns a call whose prompt has a part that all calls share, one that those of the subject
// share, and a last one.
func call(subject uint64) pick.Call {
	return pick.Call{
		Service: "s", Model: "m", PromptTokens: 9000,
		Parts: []pick.Part{{ID: 1, Tokens: 2500}, {ID: subject, Tokens: 3800}, {ID: subject*1000 + 7, Tokens: 2700}},
	}
}

func inLastSecond(sent []time.Time, now time.Time) int {
	n := 0
	for _, at := range sent {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	return n
}

// Guards against a returning target that crashes again and again because the rates of several
// instances, each within the limit, add up.
func TestColdTargetGetsItsRateFromAllInstancesTogether(t *testing.T) {
	const perSecond, slack = 2.2 * 1.5, 3
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		var entries []string
		var pools []*pick.Pool
		for k := range n {
			entries = append(entries, fmt.Sprint("e", k))
			pools = append(pools, pick.New(entries[k]))
		}
		list := targets(1)
		list[0].ColdUntil = t0.Add(time.Hour)
		now := t0
		for _, p := range pools {
			p.Update(now, pick.Snapshot{Targets: list, Entries: entries, Rules: engines()})
		}
		var sent []time.Time
		for range rapid.IntRange(20, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			if c, _ := pools[rapid.IntRange(0, n-1).Draw(t, "at")].Pick(now, call(5)); c != nil {
				sent = append(sent, now)
				c.Done(now, pick.Good)
			}
			if got := inLastSecond(sent, now); float64(got) > perSecond+slack {
				t.Fatalf("%d requests in a second", got)
			}
		}
	})
}

// Guards against a target that gets its full share and crashes when its zone's evacuation ends: it
// became cold meanwhile, but the list does not show it yet.
func TestZoneIsColdAfterItsEvacuation(t *testing.T) {
	p := pick.New("e")
	s := pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: engines(), Evacuated: map[string]bool{"z": true}}
	p.Update(t0, s)
	if c, why := p.Pick(t0, call(1)); c != nil || why != pick.ReasonNoneAvailable {
		t.Fatalf("an evacuated zone gets a request: %v", why)
	}
	s.Evacuated = nil
	p.Update(t0.Add(time.Second), s)
	got := 0
	for k := range 100 {
		if c, _ := p.Pick(t0.Add(time.Second+time.Duration(k)*10*time.Millisecond), call(1)); c != nil {
			got++
		}
	}
	if got == 0 || got > 5 {
		t.Fatalf("%d requests in the first second", got)
	}
	c, _ := p.Pick(t0.Add(5*time.Second), call(1))
	if c == nil || c.Cold {
		t.Fatal("still cold after its time")
	}
}

// Guards against a restarted target that gets many times what it can take and crashes again. It is
// back after two seconds, the list shows it as cold another second later, and its first request
// succeeds at once, so it looks idle and healthy.
func TestUnreachableTargetIsColdAfterReturn(t *testing.T) {
	p := pick.New("e")
	rules := map[string]pick.ServiceRules{"s": {Engine: true, ColdFor: 3 * time.Second, ColdPerSecond: 3}}
	p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: rules})
	c, _ := p.Pick(t0, call(1))
	c.Done(t0, pick.Unreachable)
	back := t0.Add(2 * time.Second)
	probe, _ := p.Pick(back, call(1))
	probe.FirstEvent(back)
	probe.Done(back, pick.Good)
	sent := func(from time.Time) int {
		got := 0
		for k := range 100 {
			at := from.Add(time.Duration(k) * 10 * time.Millisecond)
			// An update without changes.
			p.UpdateLoads(at, nil)
			if c, _ := p.Pick(at, call(1)); c != nil {
				c.Done(at, pick.Good)
				got++
			}
		}
		return got
	}
	if n := sent(back); n == 0 || n > 4 {
		t.Errorf("%d requests in the first second", n)
	}
	// A full update does not make it warm.
	p.Update(back.Add(time.Second), pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: rules})
	if n := sent(back.Add(time.Second)); n > 4 {
		t.Errorf("%d requests in the second second", n)
	}
	if n := sent(back.Add(4 * time.Second)); n < 90 {
		t.Errorf("%d requests in a second when it is warm", n)
	}
	// A target that breaks off an answer was reachable.
	lost, _ := p.Pick(back.Add(6*time.Second), call(1))
	lost.Done(back.Add(6*time.Second), pick.Lost)
	again, _ := p.Pick(back.Add(7*time.Second), call(1))
	again.Done(back.Add(7*time.Second), pick.Good)
	if n := sent(back.Add(7 * time.Second)); n < 90 {
		t.Errorf("%d requests in a second after a broken answer", n)
	}
}

// Guards against sending a target the full rate as soon as its listed cold period has ended, which
// crashes it: 50 ms after the end it must still count as cold.
func TestColdTimeHasAMargin(t *testing.T) {
	p := pick.New("e")
	list := targets(1)
	list[0].ColdUntil = t0.Add(100 * time.Millisecond)
	p.Update(t0, pick.Snapshot{Targets: list, Entries: []string{"e"}, Rules: engines()})
	if c, _ := p.Pick(t0.Add(150*time.Millisecond), call(1)); c == nil || !c.Cold {
		t.Fatal("counts as warm")
	}
}

// Guards against requests to a draining target after an older list, from another core instance,
// arrives later than the newer one.
func TestDrainingTargetStaysDraining(t *testing.T) {
	Convey("an older list arrives after a target began to drain", t, func() {
		p := pick.New("e")
		list := targets(2)
		s := pick.Snapshot{Targets: list, Entries: []string{"e"}, Rules: engines()}
		p.Update(t0, s)
		draining := targets(2)
		draining[0].Draining = true
		s.Targets = draining
		p.Update(t0, s)
		s.Targets = targets(2)
		p.Update(t0, s)
		for k := range uint64(20) {
			c, _ := p.Pick(t0, call(k))
			So(c.ID, ShouldEqual, "t1")
		}
	})
}

// Guards against most requests failing for seconds after a target crashed: it looks idle, as
// everything sent to it ends at once.
func TestLostTargetIsProbedByOneRequest(t *testing.T) {
	Convey("a target is lost", t, func() {
		p := pick.New("e")
		p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: engines()})
		c, _ := p.Pick(t0, call(1))
		c.Done(t0, pick.Lost)
		none, why := p.Pick(t0.Add(10*time.Millisecond), call(1))
		So(none, ShouldBeNil)
		So(why, ShouldEqual, pick.ReasonNoneAvailable)

		later := t0.Add(400 * time.Millisecond)
		probe, _ := p.Pick(later, call(1))
		So(probe, ShouldNotBeNil)
		second, _ := p.Pick(later, call(1))
		So(second, ShouldBeNil)

		Convey("and gets all requests again when the probe succeeds", func() {
			probe.Done(later, pick.Good)
			for range 3 {
				c, _ := p.Pick(later, call(1))
				So(c, ShouldNotBeNil)
			}
		})
		Convey("and is in backoff for longer when the probe is lost", func() {
			probe.Done(later, pick.Lost)
			none, _ := p.Pick(later.Add(400*time.Millisecond), call(1))
			So(none, ShouldBeNil)
			again, _ := p.Pick(later.Add(700*time.Millisecond), call(1))
			So(again, ShouldNotBeNil)
		})
	})
}

// Guards against engines that prefill the same long prompt parts again and again under light load
// because each instance sends a subject to another target.
func TestSubjectsStayAtOneTargetAtAllInstances(t *testing.T) {
	list, entries := targets(5), []string{"a", "b", "c"}
	targetOf := map[uint64]string{}
	for _, id := range entries {
		p := pick.New(id)
		p.Update(t0, pick.Snapshot{Targets: list, Entries: entries, Rules: engines()})
		for subject := range uint64(50) {
			c, _ := p.Pick(t0, call(subject))
			if targetOf[subject] == "" {
				targetOf[subject] = c.ID
			}
			if c.ID != targetOf[subject] {
				t.Fatalf("subject %d goes to %s and to %s", subject, targetOf[subject], c.ID)
			}
			c.FirstEvent(t0)
			c.Done(t0, pick.Good)
		}
	}
	used := map[string]bool{}
	for _, id := range targetOf {
		used[id] = true
	}
	if len(used) < 4 {
		t.Fatalf("50 subjects use %d of 5 targets", len(used))
	}
}

// Guards against a hot subject that waits at one engine while others are idle because cached parts
// weigh more than any queue.
func TestHotSubjectSpreads(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(5), Entries: []string{"e"}, Rules: engines()})
	used := map[string]int{}
	for range 30 {
		c, _ := p.Pick(t0, call(1))
		used[c.ID]++
	}
	if len(used) < 4 {
		t.Fatalf("30 requests of one subject use %v", used)
	}
}

// Guards against sending to a target with a long queue that only the other instances know.
func TestLoadsOfOthersCount(t *testing.T) {
	p := pick.New("e")
	s := pick.Snapshot{Targets: targets(2), Entries: []string{"e"}, Rules: engines()}
	p.Update(t0, s)
	c, _ := p.Pick(t0, call(1))
	first := c.ID
	c.Done(t0, pick.Good)
	s.Loads = map[string]pick.Load{first: {Running: 3, PendingPrefill: pick.QueueOf(0, 60000)}}
	p.Update(t0, s)
	if c, _ := p.Pick(t0, call(1)); c.ID == first {
		t.Fatal("sent where 60000 tokens wait")
	}
}

// Guards against targets that look loaded forever, as a part of a request's load stays counted after
// its end.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pick.New("e")
		s := pick.Snapshot{Targets: targets(3), Entries: []string{"e"}, Rules: engines()}
		p.Update(t0, s)
		var open []*pick.Choice
		now := t0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			switch c, _ := p.Pick(now, call(rapid.Uint64Range(0, 5).Draw(t, "subject"))); {
			case c == nil:
			case rapid.Bool().Draw(t, "first"):
				c.FirstEvent(now)
				open = append(open, c)
			default:
				open = append(open, c)
			}
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				open[0].Done(now, pick.Result(rapid.IntRange(0, 5).Draw(t, "result")))
				open = open[1:]
			}
			if rapid.Bool().Draw(t, "update") {
				p.Update(now, s)
			}
		}
		for _, c := range open {
			c.Done(now, pick.Neutral)
		}
		if loads := p.Loads(now); len(loads) > 0 {
			t.Fatalf("load left: %v", loads)
		}
	})
}

func TestTriedTargetsAndUnknownServices(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(2), Entries: []string{"e"}, Rules: engines()})
	c := call(1)
	c.Tried = []string{"t0"}
	if got, _ := p.Pick(t0, c); got.ID != "t1" {
		t.Fatal("tried again")
	}
	c.Tried = []string{"t0", "t1"}
	if got, why := p.Pick(t0, c); got != nil || why != pick.ReasonNoneAvailable {
		t.Fatal(why)
	}
	c.Service = "none"
	if got, why := p.Pick(t0, c); got != nil || why != pick.ReasonNoTarget {
		t.Fatal(why)
	}
}

// Guards against half of all bookings being forwarded to a region 160 ms away while the own target
// is idle: some requests fail at every target, and the failures of other regions are unknown, so
// own failures must not count in the comparison.
func TestFailuresDoNotRaiseTheEstimate(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}})
	estimate := func() float64 {
		c, _ := p.Pick(t0, pick.Call{Service: "s"})
		c.Done(t0, pick.Neutral)
		return c.Wait
	}
	before := estimate()
	for range 5 {
		c, _ := p.Pick(t0, pick.Call{Service: "s"})
		c.Done(t0, pick.Failed)
	}
	if after := estimate(); after != before {
		t.Fatalf("estimate of %v ms, %v ms before the failures", after, before)
	}
}

// Guards against engines that prefill parts cached at another engine of the region: when load moves
// a subject's requests to other targets, these must learn where to fetch the parts.
func TestOverflowFetchesFromWherePartsAreCached(t *testing.T) {
	Convey("thirty requests of one subject at once", t, func() {
		p := pick.New("e")
		p.Update(t0, pick.Snapshot{Targets: targets(5), Entries: []string{"e"}, Rules: engines()})
		first, _ := p.Pick(t0, call(1))
		So(first.Source, ShouldEqual, "")
		caches := map[string]bool{first.Address: true}
		for range 30 {
			c, _ := p.Pick(t0, call(1))
			// A target that was sent the subject has it cached; each other one fetches it from one
			// of these.
			So(c.Source != "", ShouldEqual, !caches[c.Address])
			So(c.Source == "" || caches[c.Source], ShouldBeTrue)
			caches[c.Address] = true
		}
		So(len(caches), ShouldBeGreaterThan, 3)
	})
	Convey("another instance fetches from the target that all prefer", t, func() {
		one, other := pick.New("e1"), pick.New("e2")
		s := pick.Snapshot{Targets: targets(5), Entries: []string{"e1", "e2"}, Rules: engines()}
		one.Update(t0, s)
		preferred, _ := one.Pick(t0, call(1))
		s.Loads = map[string]pick.Load{preferred.ID: {PendingPrefill: pick.QueueOf(0, 90000)}}
		other.Update(t0, s)
		c, _ := other.Pick(t0, call(1))
		So(c.ID, ShouldNotEqual, preferred.ID)
		So(c.Source, ShouldEqual, preferred.Address)
	})
	Convey("short prompts are prefilled", t, func() {
		p := pick.New("e")
		p.Update(t0, pick.Snapshot{Targets: targets(5), Entries: []string{"e"}, Rules: engines()})
		short := pick.Call{Service: "s", PromptTokens: 300, Parts: []pick.Part{{ID: 1, Tokens: 200}, {ID: 2, Tokens: 100}}}
		for range 30 {
			c, _ := p.Pick(t0, short)
			So(c.Source, ShouldEqual, "")
		}
	})
}

// Guards against long answers that miss their deadline at engines busy with prefill while others
// have none, because only the time until the first event is estimated.
func TestLongPromptsAndLongAnswersAreSeparated(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(4), Entries: []string{"e"}, Rules: engines()})
	prompts, answers := map[string]int{}, map[string]int{}
	now := t0
	for n := range uint64(400) {
		now = now.Add(25 * time.Millisecond)
		long := pick.Call{Service: "s", PromptTokens: 9000, OutputTokens: 50, Parts: []pick.Part{{ID: n, Tokens: 9000}}}
		if n%5 != 0 {
			long = pick.Call{Service: "s", PromptTokens: 300, OutputTokens: 900, Parts: []pick.Part{{ID: n, Tokens: 300}}}
		}
		c, _ := p.Pick(now, long)
		c.FirstEvent(now.Add(50 * time.Millisecond))
		if n%5 == 0 {
			prompts[c.ID]++
			c.Done(now.Add(400*time.Millisecond), pick.Good)
		} else {
			answers[c.ID]++
		}
	}
	// The target with the most prefill gets less than its share of the answers.
	busiest := ""
	for id, n := range prompts {
		if busiest == "" || n > prompts[busiest] {
			busiest = id
		}
	}
	if answers[busiest]*4 >= 320 {
		t.Fatalf("prompts %v, answers %v", prompts, answers)
	}
}

// Guards against memory that grows with each request with new prompt parts.
func TestUnusedPrefixesExpire(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: engines()})
	for n := range uint64(100) {
		c, _ := p.Pick(t0, call(n))
		c.Done(t0, pick.Good)
	}
	if n := p.PrefixCount(); n < 200 {
		t.Fatalf("%d prefixes", n)
	}
	p.ExpirePrefixes(t0.Add(time.Minute))
	if n := p.PrefixCount(); n != 0 {
		t.Fatalf("%d prefixes after a minute", n)
	}
}
