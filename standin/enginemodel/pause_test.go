package enginemodel

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The longest pause is the same whether steps are added in groups or one by one.
func TestPausesOfGroupedSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(t, "tokens of an event")
		var grouped pauses
		var steps []time.Duration
		for range rapid.IntRange(1, 20).Draw(t, "groups") {
			n, step := rapid.IntRange(1, 30).Draw(t, "steps"), time.Duration(rapid.IntRange(1, 90).Draw(t, "ms"))*time.Millisecond
			grouped.add(n, step, size)
			for range n {
				steps = append(steps, step)
			}
		}
		longest := time.Duration(0)
		for ; len(steps) >= size; steps = steps[size:] {
			sum := time.Duration(0)
			for _, step := range steps[:size] {
				sum += step
			}
			longest = max(longest, sum)
		}
		if grouped.longest != longest {
			t.Fatalf("longest pause %v, one by one %v", grouped.longest, longest)
		}
	})
}

// An engine that has fetched a prompt's blocks prefills only the rest of it.
func TestFetchedBlocksAreNotPrefilled(t *testing.T) {
	at := time.Unix(0, 0)
	config := Config{Slots: 4, ChunkTokens: 4096, PrefillRate: 1000, StepBase: time.Millisecond, KVTokens: 100000, CacheTokens: 100000, MaxWaiting: 4}
	prefix := []uint64{1, 2, 3}
	first := func(e *Engine, id uint64) time.Duration {
		if err := e.Enqueue(at, Request{ID: id, PromptTokens: 4 * BlockTokens, OutputTokens: 2, Prefix: prefix}); err != nil {
			t.Fatal(err)
		}
		return e.Advance(at.Add(time.Hour))[0].At.Sub(at)
	}
	a, b := New(config), New(config)
	alone := first(a, 1)
	b.Fetch(a, prefix)
	if fetched := first(b, 2); fetched >= alone/2 {
		t.Errorf("first token after %v, of a whole prompt after %v", fetched, alone)
	}
}
