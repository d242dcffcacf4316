package control

import (
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/node/feed"
)

// An instance that lacks a change for too long is logged once, and once more when it has caught
// up. A short lag is not logged, and an instance that is gone is removed.
func TestLaggingInstancesAreLoggedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var l lagTable
	logged := 0
	for d := time.Duration(0); d <= 2*lagThreshold; d += 200 * time.Millisecond {
		newLag, ended := l.record(at(d), "slow", 3, 5)
		if ended != nil {
			t.Fatal("it has not caught up")
		}
		if newLag != nil {
			logged++
			if d != lagThreshold || newLag.held != 3 {
				t.Errorf("logged after %v: %+v", d, newLag)
			}
		}
		l.record(at(d), "quick", 5, 5)
	}
	if n := l.count(at(2 * lagThreshold)); logged != 1 || n != 1 {
		t.Errorf("logged %d times, %d behind", logged, n)
	}
	if _, ended := l.record(at(3*lagThreshold), "slow", 5, 5); ended == nil {
		t.Error("the end of the lag is not logged")
	}
	if n := l.count(at(3 * lagThreshold)); n != 0 {
		t.Errorf("%d behind", n)
	}
	l.record(at(0), "gone", 1, 5)
	l.record(at(lagThreshold-time.Second), "gone", 1, 5)
	if newLag, _ := l.record(at(lagThreshold+feed.EntryTTL), "gone", 1, 5); newLag != nil {
		t.Error("the time without reports counts")
	}
	if l.count(at(time.Hour)); len(l.byInstance) != 0 {
		t.Error("an instance that is gone is kept")
	}
}
