package pick

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a stream that goes on at a target which has started again under its ID with another software
// version, before the list says so.
func TestTargetThatMayHaveStartedAgainGetsNoBegunStream(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	later := now.Add(reorderTime + 1)
	begun := Call{Service: "s", Software: "v1"}
	other := map[string][]string{"s": {"v1", "v2"}}
	for _, c := range []struct {
		name string
		// then is what happens after contact was lost, from now on; before was sent before it, after after it.
		then func(p *Pool, before, after *Choice)
		want bool
	}{
		{"nothing is known", func(*Pool, *Choice, *Choice) {}, false},
		{"the list is too old", func(p *Pool, _, _ *Choice) { p.Listed(now.Add(doubtTime), other) }, false},
		{"a later list shows it as before", func(p *Pool, _, _ *Choice) { p.Listed(now.Add(doubtTime+1), other) }, true},
		{"it goes on with an answer of before", func(_ *Pool, before, _ *Choice) { before.Heard(later) }, true},
		{"what was on its way comes from before", func(_ *Pool, before, _ *Choice) { before.Heard(now.Add(-1)) }, false},
		{"what came late comes from before", func(_ *Pool, before, _ *Choice) { before.Heard(now.Add(reorderTime)) }, false},
		{"it answers what was sent later", func(_ *Pool, _, after *Choice) { after.Heard(later) }, false},
		{"no target has had another version", func(p *Pool, _, _ *Choice) { p.Listed(now, map[string][]string{"s": {"v1"}}) }, true},
	} {
		p := New("self")
		p.Update(now, engines("v1"))
		p.Listed(now, other)
		before := p.PickAt(now.Add(-time.Second), Call{Service: "s"}, "t0")
		p.PickAt(now, begun, "t0").LostContact(now)
		c.then(p, before, p.PickAt(now.Add(time.Second), Call{Service: "s"}, "t0"))
		choice := p.PickAt(now.Add(time.Hour), begun, "t0")
		if (choice != nil) != c.want {
			t.Errorf("%s: chosen %v", c.name, choice != nil)
		}
		if again := p.PickAgain(now.Add(time.Hour), begun, "t0"); (again != nil) != c.want {
			t.Errorf("%s: chosen again %v", c.name, again != nil)
		}
		if p.PickAt(now.Add(time.Hour), Call{Service: "s"}, "t0") == nil {
			t.Errorf("%s: a new stream is not taken", c.name)
		}
	}
}

// read is what a reader takes from a connection: an event, or its end.
type read struct {
	at time.Time
	// quietAt is when nothing was left to be read before it; zero if there was something.
	quietAt time.Time
	c       *Choice
	lost    bool
}

// drawReads returns what is read of a stream at a target that crashes: events that were sent before, and then the end of
// the stream, or of the connection at the crash. The reader lags.
func drawReads(t *rapid.T, c *Choice, sent, crash time.Time) (out []read) {
	millis := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	add := func(sent time.Time, lost bool) {
		arrived, r := sent.Add(millis("delay", int(reorderTime.Milliseconds()))), read{c: c, lost: lost}
		if n := len(out); n > 0 {
			ready := out[n-1].at.Add(millis("lag", 300))
			if r.at = ready; ready.Before(arrived) {
				r.quietAt = ready
			}
		}
		if r.at.Before(arrived) {
			r.at = arrived
		}
		out = append(out, r)
	}
	for ; !sent.After(crash); sent = sent.Add(millis("pause", 60) + time.Millisecond) {
		add(sent, false)
	}
	if rapid.Bool().Draw(t, "ends before the crash") {
		return out
	}
	add(crash, true)
	return out
}

// Guards against streams that go on at a target which has started again, because another one's events, which were sent
// before the crash, are read after the loss of contact was recorded.
func TestEventsOfBeforeACrashEndNoDoubt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		crash := start.Add(300 * time.Millisecond)
		p := New("self")
		p.Update(start, engines("v1"))
		p.Listed(start, map[string][]string{"s": {"v1", "v2"}})
		var reads []read
		for range rapid.IntRange(2, 5).Draw(t, "streams") {
			reads = append(reads, drawReads(t, p.PickAt(start, Call{Service: "s"}, "t0"), start, crash)...)
		}
		slices.SortStableFunc(reads, func(a, b read) int { return a.at.Compare(b.at) })
		lost := false
		for _, r := range reads {
			if r.lost {
				r.c.LostContact(r.at)
				lost = true
			} else {
				r.c.Heard(r.quietAt)
			}
			if lost && p.PickAt(r.at, Call{Service: "s", Software: "v1"}, "t0") != nil {
				t.Fatalf("a stream of v1 goes on %v after the crash", r.at.Sub(crash))
			}
		}
	})
}
