package pick_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

// pooled is a pool of n engines for which this instance decides alone.
func pooled(n int, rules pick.ServiceRules) *pick.Pool {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(n), Entries: []string{"e"}, Rules: map[string]pick.ServiceRules{"s": rules}})
	return p
}

// run has a call run at once and whole where the pool sends it.
func run(p *pick.Pool, now time.Time, c pick.Call) *pick.Choice {
	choice, _ := p.Pick(now, c)
	choice.FirstEvent(now.Add(100 * time.Millisecond))
	choice.Done(now.Add(200*time.Millisecond), pick.Good)
	return choice
}

// Symptom: engines read prompt parts again that an engine beside them keeps.
// Events: a subject comes back to an engine that read its parts seconds ago; another
// engine has used them since.
// Cause: parts yield by their last use. The engine was taken to keep them, so it was not
// told where to fetch them.
func TestTargetIsToldWhereToFetchWhatItMayHaveLost(t *testing.T) {
	p := pooled(5, pick.ServiceRules{Engine: true})
	first := run(p, t0, call(1))
	second := run(p, t0.Add(time.Second), without(call(1), first.ID))
	back := run(p, t0.Add(8*time.Second), without(call(1), others(5, first.ID)...))
	if back.ID != first.ID || back.Source != second.Address {
		t.Errorf("%s is told %q, want %s to be told %q", back.ID, back.Source, first.ID, second.Address)
	}
}

// Symptom: as above, with the engine that is to send the parts.
// Events: three engines have read the parts, the last one of them a moment ago.
// Cause: any of them was named, also one that had used them half a minute ago.
func TestPartsAreFetchedFromWhereTheyWereUsedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pooled(6, pick.ServiceRules{Engine: true})
		now, last := t0, ""
		var used []string
		for range rapid.IntRange(1, 5).Draw(t, "engines") {
			c := run(p, now, without(call(1), used...))
			used, last = append(used, c.ID), c.Address
			now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
		}
		if next := run(p, now, without(call(1), used...)); next.Source != last {
			t.Fatalf("fetched from %s, used last at %s", next.Source, last)
		}
	})
}

// Symptom: requests of a hot subject wait at the engine that keeps its parts while others
// are idle.
// Events: one subject comes ten times a second, after its parts have been read once.
// Cause: the parts counted as unread anywhere else, though fetching them takes a hundredth
// of the time.
func TestFetchedPartsCountAsKept(t *testing.T) {
	p := pooled(5, pick.ServiceRules{Engine: true, FetchPerKilo: 0.3})
	run(p, t0, call(1))
	used := map[string]bool{}
	now := t0.Add(time.Second)
	for n := range uint64(5) {
		now = now.Add(100 * time.Millisecond)
		c, _ := p.Pick(now, withOwnPart(call(1), 100+n))
		used[c.ID] = true
		if c.Wait > 200 {
			t.Errorf("%s is expected to begin in %v ms", c.ID, c.Wait)
		}
	}
	if len(used) != 5 {
		t.Errorf("five requests went to %v", used)
	}
}

// Symptom: first events come later than if the parts had been read.
// Events: engines that read faster than their links carry what they keep.
// Cause: fetching was taken to be quick at all engines.
func TestPartsAreReadWhereFetchingTakesLonger(t *testing.T) {
	p := pooled(5, pick.ServiceRules{Engine: true, FetchPerKilo: 1e4})
	first := run(p, t0, call(1))
	if next := run(p, t0.Add(time.Second), without(call(1), first.ID)); next.Source != "" {
		t.Errorf("fetched from %s", next.Source)
	}
}

// withOwnPart is the call with another last part, as each request has.
func withOwnPart(c pick.Call, id uint64) pick.Call {
	c.Parts = append([]pick.Part{}, c.Parts...)
	c.Parts[len(c.Parts)-1].ID = id
	return c
}

// without is the call with targets that it was sent to before.
func without(c pick.Call, ids ...string) pick.Call {
	c.Tried = append([]string{}, ids...)
	return c
}

// others are the ids of n targets but one.
func others(n int, id string) []string {
	var out []string
	for _, t := range targets(n) {
		if t.ID != id {
			out = append(out, t.ID)
		}
	}
	return out
}
