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

// Symptom: a target that has just come back crashes again and again.
// Events: any number of instances send it requests as they come, each within the rate
// that the target bears.
// Cause: the instances' rates add up.
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

// Symptom: a target of a zone that was evacuated gets its full share at once when the
// evacuation ends, and crashes.
// Events: the evacuation is taken back; the list does not show yet that the targets
// became cold meanwhile.
// Cause: only the list was asked for cold targets.
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

// Symptom: a target that has just started again gets many times what it bears, and crashes
// once more.
// Events: a target crashes and is back after two seconds. The list does not tell for another
// second that it is cold; the first request to it is answered at once.
// Cause: it was taken for well as soon as it had answered, and it looked idle.
func TestTargetThatWasOutOfReachIsColdAtFirst(t *testing.T) {
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
			// It is told that nothing has changed.
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
	// An evacuation that ended long ago does not make it warm.
	p.Update(back.Add(time.Second), pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: rules})
	if n := sent(back.Add(time.Second)); n > 4 {
		t.Errorf("%d requests in the second second", n)
	}
	if n := sent(back.Add(4 * time.Second)); n < 90 {
		t.Errorf("%d requests in a second when it is warm", n)
	}
	// One that breaks off an answer was there.
	lost, _ := p.Pick(back.Add(6*time.Second), call(1))
	lost.Done(back.Add(6*time.Second), pick.Lost)
	again, _ := p.Pick(back.Add(7*time.Second), call(1))
	again.Done(back.Add(7*time.Second), pick.Good)
	if n := sent(back.Add(7 * time.Second)); n < 90 {
		t.Errorf("%d requests in a second after a broken answer", n)
	}
}

// Symptom: a target crashes at the full rate a moment after the list calls it warm.
// Events: the list says that it is cold for 100 ms more; a request comes 150 ms later.
// Cause: the list's cold time was taken to the millisecond.
func TestColdTimeHasAMargin(t *testing.T) {
	p := pick.New("e")
	list := targets(1)
	list[0].ColdUntil = t0.Add(100 * time.Millisecond)
	p.Update(t0, pick.Snapshot{Targets: list, Entries: []string{"e"}, Rules: engines()})
	if c, _ := p.Pick(t0.Add(150*time.Millisecond), call(1)); c == nil || !c.Cold {
		t.Fatal("taken for warm")
	}
}

// Symptom: requests reach a target long after the list showed that it drains.
// Events: one core instance shows it draining; an older list of another one comes.
// Cause: the newest message was taken for the newest news.
func TestDrainingTargetStaysSo(t *testing.T) {
	Convey("a target drains and then an older list arrives", t, func() {
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

// Symptom: most requests fail for seconds after a target has crashed.
// Events: a target cannot be reached; requests go on coming.
// Cause: it looks idle, as all that it gets ends at once.
func TestLostTargetIsLeftOutAndProbedByOne(t *testing.T) {
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

		Convey("and gets all again when the probe succeeds", func() {
			probe.Done(later, pick.Good)
			for range 3 {
				c, _ := p.Pick(later, call(1))
				So(c, ShouldNotBeNil)
			}
		})
		Convey("and is left out for longer when the probe is lost", func() {
			probe.Done(later, pick.Lost)
			none, _ := p.Pick(later.Add(400*time.Millisecond), call(1))
			So(none, ShouldBeNil)
			again, _ := p.Pick(later.Add(700*time.Millisecond), call(1))
			So(again, ShouldNotBeNil)
		})
	})
}

// Symptom: engines read the same long prompt parts again and again.
// Events: requests of many subjects come at several instances; the load is light.
// Cause: each instance sends a subject elsewhere.
func TestSubjectsStayAtOneTargetAtAllInstances(t *testing.T) {
	list, entries := targets(5), []string{"a", "b", "c"}
	home := map[uint64]string{}
	for _, id := range entries {
		p := pick.New(id)
		p.Update(t0, pick.Snapshot{Targets: list, Entries: entries, Rules: engines()})
		for subject := range uint64(50) {
			c, _ := p.Pick(t0, call(subject))
			if home[subject] == "" {
				home[subject] = c.ID
			}
			if c.ID != home[subject] {
				t.Fatalf("subject %d goes to %s and to %s", subject, home[subject], c.ID)
			}
			c.FirstEvent(t0)
			c.Done(t0, pick.Good)
		}
	}
	used := map[string]bool{}
	for _, id := range home {
		used[id] = true
	}
	if len(used) < 4 {
		t.Fatalf("50 subjects use %d of 5 targets", len(used))
	}
}

// Symptom: a hot subject waits at one engine while others are idle.
// Events: many requests of one subject come at once.
// Cause: the kept parts weigh more than any queue.
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

// Symptom: all instances send to the same target, whose queue only the others know.
// Events: the others tell of a long queue at one target.
// Cause: the load of others was not counted.
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

func TestCountsReturnToNothing(t *testing.T) {
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
			t.Fatalf("left: %v", loads)
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

// Symptom: half of the bookings are sent to another region, 160 ms away, while the own
// target is idle.
// Events: some requests fail at each target that runs them; the others succeed.
// Cause: the failures count in the comparison with other regions, whose failures are
// not known.
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
		t.Fatalf("estimate of %v ms, before the failures %v ms", after, before)
	}
}

// Symptom: engines read prompt parts that another engine of the region keeps.
// Events: the load takes requests of a subject from the target that keeps its parts to
// others.
// Cause: nobody told the other target where to fetch them.
func TestOverflowFetchesFromWhereThePartsAreKept(t *testing.T) {
	Convey("thirty requests of one subject at once", t, func() {
		p := pick.New("e")
		p.Update(t0, pick.Snapshot{Targets: targets(5), Entries: []string{"e"}, Rules: engines()})
		first, _ := p.Pick(t0, call(1))
		So(first.Source, ShouldEqual, "")
		keeps := map[string]bool{first.Address: true}
		for range 30 {
			c, _ := p.Pick(t0, call(1))
			// A target that was sent the subject keeps it; each other one fetches it from
			// one that does.
			So(c.Source != "", ShouldEqual, !keeps[c.Address])
			So(c.Source == "" || keeps[c.Source], ShouldBeTrue)
			keeps[c.Address] = true
		}
		So(len(keeps), ShouldBeGreaterThan, 3)
	})
	Convey("another instance fetches from the target that all prefer", t, func() {
		one, other := pick.New("e1"), pick.New("e2")
		s := pick.Snapshot{Targets: targets(5), Entries: []string{"e1", "e2"}, Rules: engines()}
		one.Update(t0, s)
		home, _ := one.Pick(t0, call(1))
		s.Loads = map[string]pick.Load{home.ID: {PendingPrefill: pick.QueueOf(0, 90000)}}
		other.Update(t0, s)
		c, _ := other.Pick(t0, call(1))
		So(c.ID, ShouldNotEqual, home.ID)
		So(c.Source, ShouldEqual, home.Address)
	})
	Convey("short prompts are read", t, func() {
		p := pick.New("e")
		p.Update(t0, pick.Snapshot{Targets: targets(5), Entries: []string{"e"}, Rules: engines()})
		short := pick.Call{Service: "s", PromptTokens: 300, Parts: []pick.Part{{ID: 1, Tokens: 200}, {ID: 2, Tokens: 100}}}
		for range 30 {
			c, _ := p.Pick(t0, short)
			So(c.Source, ShouldEqual, "")
		}
	})
}

// Symptom: long answers miss their deadline at engines that read long prompts all the
// time, while others read none.
// Events: long prompts and long answers come mixed.
// Cause: only the time to the first event was estimated.
func TestLongPromptsAndLongAnswersPart(t *testing.T) {
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
	// The target that reads most gets less than its share of the answers.
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

// Symptom: the memory of an instance grows with each request.
// Events: prompts of ever new parts are sent; none comes again.
// Cause: what was sent where is never forgotten.
func TestKeptPartsAreForgotten(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: engines()})
	for n := range uint64(100) {
		c, _ := p.Pick(t0, call(n))
		c.Done(t0, pick.Good)
	}
	if n := p.PrefixCount(); n < 200 {
		t.Fatalf("%d parts kept", n)
	}
	p.ExpirePrefixes(t0.Add(time.Minute))
	if n := p.PrefixCount(); n != 0 {
		t.Fatalf("%d parts kept after a minute", n)
	}
}
