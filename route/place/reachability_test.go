package place_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/place"
)

// Guards against requests that wait 400 ms each for connections to a region that is cut off: sixty
// instances for five seconds, with a hundred requests a second. This happens if each instance is
// found unreachable by itself.
func TestLostRegionCostsFewAttempts(t *testing.T) {
	const dial, step = 400 * time.Millisecond, 10 * time.Millisecond
	var r place.Reachability
	start := time.Unix(100, 0)
	failing := map[time.Time]int{}
	attempts := 0
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(step) {
		for range failing[now] {
			r.RecordFailure(now, "q")
		}
		if r.Available(now, "q") {
			r.Begin(now, "q")
			attempts++
			failing[now.Add(dial)]++
		}
	}
	// All of the first 400 ms, and one a second after that.
	if most := int(dial/step) + 6; attempts > most {
		t.Errorf("%d attempts, want %d at most", attempts, most)
	}
	if !r.Available(start.Add(7*time.Second), "q") {
		t.Error("not tried again")
	}
	if !r.Available(start, "p") {
		t.Error("another region is unavailable")
	}
	r.RecordAnswer("q")
	if !r.Available(start, "q") {
		t.Error("unavailable though it answers")
	}
}

// Guards against leaving out a healthy region because of one failure, or failures with answers in
// between, as when an instance ends or links lose packets.
func TestRegionIsUnavailableOnlyAfterConsecutiveFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r place.Reachability
		now, inRow := time.Unix(100, 0), 0
		for range rapid.IntRange(1, 60).Draw(t, "attempts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			r.Begin(now, "q")
			if rapid.Bool().Draw(t, "fails") {
				r.RecordFailure(now, "q")
				inRow++
			} else {
				r.RecordAnswer("q")
				inRow = 0
			}
			if available := r.Available(now, "q"); available != (inRow < 2) {
				t.Fatalf("available %v after %d failures in a row", available, inRow)
			}
			if !r.Available(now.Add(time.Second), "q") {
				t.Fatal("unavailable for more than a second")
			}
		}
	})
}
