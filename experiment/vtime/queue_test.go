package vtime_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/experiment/vtime"
)

// Guards against equal seeds that give different runs: events of the same time must run in
// the order in which they were scheduled.
func TestEventsRunByTimeThenInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type made struct{ at, n int }
		var q vtime.Queue
		var want, got []made
		start := time.Unix(0, 0)
		for n := range rapid.IntRange(0, 50).Draw(t, "events") {
			m := made{rapid.IntRange(0, 5).Draw(t, "at"), n}
			want = append(want, m)
			q.Schedule(start.Add(time.Duration(m.at)), func() { got = append(got, m) })
		}
		for {
			_, do, ok := q.Next()
			if !ok {
				break
			}
			do()
		}
		slices.SortStableFunc(want, func(a, b made) int { return a.at - b.at })
		if !slices.Equal(got, want) {
			t.Fatalf("%v, want %v", got, want)
		}
	})
}
