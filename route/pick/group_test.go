package pick_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

// Guards against two owners of one group, neither of which knows the other's choices. This happens
// if the groups depend on the instance or on the order of its lists.
func TestAllInstancesAgreeOnOwners(t *testing.T) {
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
				t.Fatalf("%s returns %s, the first returned %s", id, got, want)
			}
		}
	})
}

// Guards against requests that a full plain target rejects while slots are free at others: a sixth
// of all arrivals when many instances, which know each other's requests 200 ms late, choose by
// themselves among a few targets with a few slots.
func TestPlainGroupHasOneOwner(t *testing.T) {
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
		requester := pools[entries[k%instances]]
		plain := pick.Call{Service: "s"}
		c, _ := pools[requester.Owner(plain)].Pick(t0, plain)
		running[c.ID]++
	}
	if running["t0"] != slots || running["t1"] != slots {
		t.Fatalf("%v run where each target has %d slots", running, slots)
	}
}

// Guards against a target that looks full because both the group owner and the instance that sends
// the request report it in their loads.
func TestRequestChosenByOwnerIsCountedOnce(t *testing.T) {
	owner, requester := pick.New("e1"), pick.New("e2")
	s := pick.Snapshot{Targets: targets(3), Entries: []string{"e1", "e2"}, Rules: engines()}
	owner.Update(t0, s)
	requester.Update(t0, s)
	c, _ := owner.Pick(t0, call(1))
	at := requester.PickAt(t0, call(1), c.ID)
	if n := len(owner.Loads(t0)) + len(requester.Loads(t0)); n != 1 {
		t.Fatalf("counted %d times", n)
	}
	at.FirstEvent(t0)
	at.Done(t0, pick.Good)
	c.Done(t0, pick.Good)
	if n := len(owner.Loads(t0)) + len(requester.Loads(t0)); n != 0 {
		t.Fatalf("still counted %d times", n)
	}
	own, _ := requester.Pick(t0, call(1))
	if len(requester.Loads(t0)) != 1 {
		t.Fatal("an own choice is not counted")
	}
	own.Done(t0, pick.Good)
}

func TestPickAtRejectsUnavailableTarget(t *testing.T) {
	p := pick.New("e")
	list := targets(3)
	list[0].Draining = true
	p.Update(t0, pick.Snapshot{Targets: list, Entries: []string{"e"}, Rules: engines()})
	tried := call(1)
	tried.Tried = []string{"t1"}
	if p.PickAt(t0, call(1), "t0") != nil || p.PickAt(t0, tried, "t1") != nil || p.PickAt(t0, call(1), "gone") != nil {
		t.Fatal("accepted")
	}
	c := p.PickAt(t0, call(1), "t2")
	c.Done(t0, pick.Lost)
	if p.PickAt(t0.Add(time.Millisecond), call(1), "t2") != nil {
		t.Fatal("accepted during backoff")
	}
}

// Guards against a target that gets its full share although its first events are late again and
// again, because estimates are not compared with measured times.
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
		t.Fatalf("the slow target got %d of 150", counts["t0"])
	}
	if slow, usual := p.SlownessOf("t0"), p.SlownessOf("t1"); slow <= 1 || slow < 1.5*usual {
		t.Fatalf("slowness %v of the slow one, %v of another", slow, usual)
	}
}
