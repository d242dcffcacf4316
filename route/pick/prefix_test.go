package pick_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

// newPool returns a pool of n engines, with this instance as the only entry instance.
func newPool(n int, rules pick.ServiceRules) *pick.Pool {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(n), Entries: []string{"e"}, Rules: map[string]pick.ServiceRules{"s": rules}})
	return p
}

// run runs a call to its end at the target that the pool chooses.
func run(p *pick.Pool, now time.Time, c pick.Call) *pick.Choice {
	choice, _ := p.Pick(now, c)
	choice.FirstEvent(now.Add(100 * time.Millisecond))
	choice.Done(now.Add(200*time.Millisecond), pick.Good)
	return choice
}

// Guards against engines that prefill prompt parts again that another engine caches. A subject
// returns to an engine that cached its parts seconds ago and has evicted them since, while another
// engine has used them: the choice must name that engine as source although the first one is
// assumed to have the parts.
func TestSourceIsSetForPartsThatMayBeEvicted(t *testing.T) {
	p := newPool(5, pick.ServiceRules{Engine: true})
	first := run(p, t0, call(1))
	second := run(p, t0.Add(time.Second), without(call(1), first.ID))
	again := run(p, t0.Add(8*time.Second), without(call(1), others(5, first.ID)...))
	if again.ID != first.ID || again.Source != second.Address {
		t.Errorf("%s fetches from %q, want %s to fetch from %q", again.ID, again.Source, first.ID, second.Address)
	}
}

// Guards against a source that has evicted the parts: any engine that had prefilled them was named,
// even one that used them half a minute ago.
func TestPartsAreFetchedFromMostRecentUser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(6, pick.ServiceRules{Engine: true})
		now, last := t0, ""
		var used []string
		for range rapid.IntRange(1, 5).Draw(t, "engines") {
			c := run(p, now, without(call(1), used...))
			used, last = append(used, c.ID), c.Address
			now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
		}
		if next := run(p, now, without(call(1), used...)); next.Source != last {
			t.Fatalf("fetched from %s, last used at %s", next.Source, last)
		}
	})
}

// Guards against requests of a hot subject that wait at the engine that cached its parts while
// others are idle, because parts count as uncached everywhere else although fetching them takes a
// hundredth of the prefill time.
func TestFetchedPartsCountAsCached(t *testing.T) {
	p := newPool(5, pick.ServiceRules{Engine: true, FetchPerKilo: 0.3})
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

// Guards against fetching parts at engines that prefill faster than their links transfer cached
// parts: first events would come later than with a prefill.
func TestPartsArePrefilledWhereFetchingTakesLonger(t *testing.T) {
	p := newPool(5, pick.ServiceRules{Engine: true, FetchPerKilo: 1e4})
	first := run(p, t0, call(1))
	if next := run(p, t0.Add(time.Second), without(call(1), first.ID)); next.Source != "" {
		t.Errorf("fetched from %s", next.Source)
	}
}

// withOwnPart returns the call with another last part, as each request has.
func withOwnPart(c pick.Call, id uint64) pick.Call {
	c.Parts = append([]pick.Part{}, c.Parts...)
	c.Parts[len(c.Parts)-1].ID = id
	return c
}

// without returns the call with targets that were tried before.
func without(c pick.Call, ids ...string) pick.Call {
	c.Tried = append([]string{}, ids...)
	return c
}

// others returns the IDs of n targets except one.
func others(n int, id string) []string {
	var out []string
	for _, t := range targets(n) {
		if t.ID != id {
			out = append(out, t.ID)
		}
	}
	return out
}

// Guards against callers whose prompts of many parts, no two alike, use up the memory, and against prompts that are not
// remembered any more once those are over.
func TestPrefixesAreBounded(t *testing.T) {
	const calls, parts, most = 3000, 1000, 1 << 16
	p := newPool(3, pick.ServiceRules{Engine: true})
	remembered := func(now time.Time, first uint64) int {
		before := p.PrefixCount()
		c := pick.Call{Service: "s", PromptTokens: parts}
		for k := range uint64(parts) {
			c.Parts = append(c.Parts, pick.Part{ID: first + k, Tokens: 1})
		}
		run(p, now, c)
		return p.PrefixCount() - before
	}
	for n := range uint64(calls) {
		remembered(t0, n*parts)
	}
	if n := p.PrefixCount(); n > most || n < most/2 {
		t.Errorf("%d prefixes are remembered", n)
	}
	p.ExpirePrefixes(t0.Add(time.Minute))
	if n := remembered(t0.Add(time.Minute), calls*parts); n == 0 {
		t.Error("no prefix is remembered afterwards")
	}
}
