package pick_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

// Symptom: two instances decide for one group, and neither knows the other's choices.
// Events: instances hold the same lists.
// Cause: the division depends on the instance, or on the order of its lists.
func TestAllInstancesAgreeOnDeciders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := targets(rapid.IntRange(1, 40).Draw(t, "targets"))
		var entries []string
		for k := range rapid.IntRange(1, 25).Draw(t, "entries") {
			entries = append(entries, fmt.Sprint("e", k))
		}
		subject := rapid.Uint64().Draw(t, "subject")
		want := ""
		for _, id := range entries {
			p := pick.New(id)
			shuffled := rapid.Permutation(list).Draw(t, "order")
			p.Update(t0, pick.Snapshot{Targets: shuffled, Entries: entries, Rules: engines()})
			got := p.Owner(call(subject))
			if want == "" {
				want = got
			}
			if got != want {
				t.Fatalf("%s names %s, the first named %s", id, got, want)
			}
		}
	})
}

// Symptom: a sixth of the arrivals at a plain service are turned away as its targets are full,
// while slots are free at others.
// Events: many instances send to a few targets with a few slots each; what they know of each
// other's requests is 200 ms old.
// Cause: each of them chose by itself.
func TestPlainServicesHaveOneDecider(t *testing.T) {
	const instances, slots = 8, 6
	var entries []string
	for k := range instances {
		entries = append(entries, fmt.Sprint("e", k))
	}
	list := targets(2)
	for k := range list {
		list[k].Slots = slots
	}
	s := pick.Snapshot{Targets: list, Entries: entries, Rules: map[string]pick.ServiceRules{"s": {}}}
	pools := map[string]*pick.Pool{}
	for _, id := range entries {
		pools[id] = pick.New(id)
		pools[id].Update(t0, s)
	}
	running := map[string]int{}
	for k := range 2 * slots {
		asker := pools[entries[k%instances]]
		plain := pick.Call{Service: "s"}
		c, _ := pools[asker.Owner(plain)].Pick(t0, plain)
		running[c.ID]++
	}
	if running["t0"] != slots || running["t1"] != slots {
		t.Fatalf("%v run where each target has %d slots", running, slots)
	}
}

// Symptom: the load of a target is counted twice, so it looks full.
// Events: one instance decides for another one; both tell their loads.
// Cause: both count the request.
func TestDecidedRequestIsListedOnce(t *testing.T) {
	decider, asker := pick.New("e1"), pick.New("e2")
	s := pick.Snapshot{Targets: targets(3), Entries: []string{"e1", "e2"}, Rules: engines()}
	decider.Update(t0, s)
	asker.Update(t0, s)
	c, _ := decider.Pick(t0, call(1))
	at := asker.PickAt(t0, call(1), c.ID)
	if n := len(decider.Loads(t0)) + len(asker.Loads(t0)); n != 1 {
		t.Fatalf("listed %d times", n)
	}
	at.FirstEvent(t0)
	at.Done(t0, pick.Good)
	c.Done(t0, pick.Good)
	if n := len(decider.Loads(t0)) + len(asker.Loads(t0)); n != 0 {
		t.Fatalf("still listed %d times", n)
	}
	own, _ := asker.Pick(t0, call(1))
	if len(asker.Loads(t0)) != 1 {
		t.Fatal("an own choice is not listed")
	}
	own.Done(t0, pick.Good)
}

func TestDecisionForATargetThatMayNotGetItIsNotTaken(t *testing.T) {
	p := pick.New("e")
	list := targets(3)
	list[0].Draining = true
	p.Update(t0, pick.Snapshot{Targets: list, Entries: []string{"e"}, Rules: engines()})
	tried := call(1)
	tried.Tried = []string{"t1"}
	if p.PickAt(t0, call(1), "t0") != nil || p.PickAt(t0, tried, "t1") != nil || p.PickAt(t0, call(1), "gone") != nil {
		t.Fatal("taken")
	}
	c := p.PickAt(t0, call(1), "t2")
	c.Done(t0, pick.Lost)
	if p.PickAt(t0.Add(time.Millisecond), call(1), "t2") != nil {
		t.Fatal("taken while it is left out")
	}
}

// Symptom: choices go on as at the start though some engine takes many times as long.
// Events: one target's first events come late again and again.
// Cause: estimates are never compared with what came.
func TestSlowTargetGetsLess(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(3), Entries: []string{"e"}, Rules: engines()})
	now, counts := t0, map[string]int{}
	for n := range uint64(300) {
		now = now.Add(2 * time.Second)
		c, _ := p.Pick(now, call(n%7))
		late := 150 * time.Millisecond
		if c.ID == "t0" {
			late = 2 * time.Second
		}
		c.FirstEvent(now.Add(late))
		c.Done(now.Add(late), pick.Good)
		if n >= 150 {
			counts[c.ID]++
		}
	}
	if counts["t0"] > 25 {
		t.Fatalf("the slow one got %d of 150", counts["t0"])
	}
	if slow, usual := p.SlownessOf("t0"), p.SlownessOf("t1"); slow <= 1 || slow < 1.5*usual {
		t.Fatalf("slowness %v of the slow one, %v of another", slow, usual)
	}
}
