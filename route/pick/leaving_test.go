package pick_test

import (
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/route/pick"
)

func leavingPool(t *testing.T, listed ...pick.Target) *pick.Pool {
	t.Helper()
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: listed, Entries: []string{"e"}, Rules: engines()})
	c, _ := p.Pick(t0, call(1))
	if !c.Leaving() || c.Leaving() {
		t.Fatal("the first answer is news, the second is not")
	}
	c.Done(t0, pick.Good)
	return p
}

func chosen(p *pick.Pool, now time.Time) bool {
	c, _ := p.Pick(now, call(1))
	if c != nil {
		c.Done(now, pick.Good)
	}
	return c != nil
}

// Guards against requests to a target that has said that it is leaving, while the platform's list
// does not name it as draining yet, and after the list has lacked it for a moment.
func TestTargetThatHasSaidThatItIsLeavingGetsNoRequests(t *testing.T) {
	p := leavingPool(t, targets(1)...)
	for n, listed := range [][]pick.Target{targets(1), nil, targets(1)} {
		now := t0.Add(time.Duration(n+1) * time.Second)
		p.Update(now, pick.Snapshot{Targets: listed, Entries: []string{"e"}, Rules: engines()})
		if chosen(p, now) {
			t.Fatalf("chosen after update %d", n)
		}
	}
}

// Guards against a target that stays excluded after it has started again.
func TestTargetThatHasLeftIsChosenAfterItsNextStart(t *testing.T) {
	left := targets(1)
	left[0].StartMillis = 5
	again := targets(1)
	again[0].StartMillis = 6
	for _, between := range [][]pick.Target{left, nil} {
		p := leavingPool(t, left...)
		p.Update(t0.Add(time.Second), pick.Snapshot{Targets: between, Entries: []string{"e"}, Rules: engines()})
		p.Update(t0.Add(2*time.Second), pick.Snapshot{Targets: again, Entries: []string{"e"}, Rules: engines()})
		if !chosen(p, t0.Add(2*time.Second)) {
			t.Fatal("not chosen after its next start")
		}
	}
}

// Guards against what instances tell each other: a new group owner must know which targets are
// leaving, and must not take that for a later start of one.
func TestLeavingTargetsAreToldToOtherInstances(t *testing.T) {
	left := targets(1)
	left[0].StartMillis = 5
	known := leavingPool(t, left...).KnownLeaving("s")
	if len(known) != 1 {
		t.Fatalf("known: %v", known)
	}
	for start, want := range map[int64]bool{5: false, 6: true} {
		listed := targets(1)
		listed[0].StartMillis = start
		p := pick.New("f")
		p.Update(t0, pick.Snapshot{Targets: listed, Entries: []string{"f"}, Rules: engines()})
		p.LearnLeaving(append(known, pick.KnownLeaving{Target: "unknown"}))
		if chosen(p, t0) != want {
			t.Errorf("a target started at %d: chosen %v, want %v", start, !want, want)
		}
	}
}
