package control

import (
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/node/feed"
)

// An operator is told once of an instance that lacks a change for longer than a change may
// take, and once when it has it; not of one that takes a moment, and not for ever of one that
// is gone.
func TestInstancesThatStayBehindAreTold(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var l lagging
	told := 0
	for d := time.Duration(0); d <= 2*lagAfter; d += 200 * time.Millisecond {
		late, over := l.note(at(d), "slow", 3, 5)
		if over != nil {
			t.Fatal("it has not caught up")
		}
		if late != nil {
			told++
			if d != lagAfter || late.held != 3 {
				t.Errorf("told after %v: %+v", d, late)
			}
		}
		l.note(at(d), "quick", 5, 5)
	}
	if n := l.count(at(2 * lagAfter)); told != 1 || n != 1 {
		t.Errorf("told %d times, %d behind", told, n)
	}
	if _, over := l.note(at(3*lagAfter), "slow", 5, 5); over == nil {
		t.Error("that it caught up is not told")
	}
	if n := l.count(at(3 * lagAfter)); n != 0 {
		t.Errorf("%d behind", n)
	}
	l.note(at(0), "gone", 1, 5)
	l.note(at(lagAfter-time.Second), "gone", 1, 5)
	if late, _ := l.note(at(lagAfter+feed.EntryTTL), "gone", 1, 5); late != nil {
		t.Error("the time in which it was not heard counts")
	}
	if l.count(at(time.Hour)); len(l.by) != 0 {
		t.Error("an instance that is gone is kept")
	}
}
