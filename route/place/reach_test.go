package place_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/place"
)

// Symptom: for as long as a region is cut off, requests wait 400 ms each for connections that
// cannot be made.
// Events: a region of sixty instances is cut off for five seconds; a hundred requests a
// second would cross to it.
// Cause: each of its instances was found to be out of reach by itself.
func TestLostRegionCostsFewAttempts(t *testing.T) {
	const dial, step = 400 * time.Millisecond, 10 * time.Millisecond
	var r place.Reachability
	start := time.Unix(100, 0)
	failing := map[time.Time]int{}
	attempts := 0
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(step) {
		for range failing[now] {
			r.Failed(now, "q")
		}
		if r.Available(now, "q") {
			r.Begin(now, "q")
			attempts++
			failing[now.Add(dial)]++
		}
	}
	// All of the first 400 ms, and one a second later on.
	if most := int(dial/step) + 6; attempts > most {
		t.Errorf("%d attempts, want %d at most", attempts, most)
	}
	if !r.Available(start.Add(7*time.Second), "q") {
		t.Error("not tried again")
	}
	if !r.Available(start, "p") {
		t.Error("another region is left out")
	}
	r.Answered("q")
	if !r.Available(start, "q") {
		t.Error("left out though it answers")
	}
}

// Symptom: a region that is well is left out.
// Events: one of its instances has ended, others answer; or links lose some packets.
// Cause: one failure, or failures between answers, counted as the region's.
func TestRegionIsLeftOutOnlyAfterFailuresInARow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r place.Reachability
		now, inRow := time.Unix(100, 0), 0
		for range rapid.IntRange(1, 60).Draw(t, "attempts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			r.Begin(now, "q")
			if rapid.Bool().Draw(t, "fails") {
				r.Failed(now, "q")
				inRow++
			} else {
				r.Answered("q")
				inRow = 0
			}
			if open := r.Available(now, "q"); open != (inRow < 2) {
				t.Fatalf("open %v after %d failures in a row", open, inRow)
			}
			if !r.Available(now.Add(time.Second), "q") {
				t.Fatal("left out for more than a second")
			}
		}
	})
}
