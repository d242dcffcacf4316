package ring

import (
	"context"
	"testing"

	"pgregory.net/rapid"
)

// Symptom: memory grows without bound, or an item vanishes without a count.
// Events: producers outrun the consumer.
// Cause: a queue without a bound, or a drop that is not counted.
func TestEveryItemIsHeldOrCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		r := New[int](capacity)
		var want []int
		next := 0
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				next++
				if r.TryPush(next) != (len(want) < capacity) {
					t.Fatalf("push with %d of %d held", len(want), capacity)
				}
				if len(want) < capacity {
					want = append(want, next)
				}
				continue
			}
			if len(want) == 0 {
				continue
			}
			got, err := r.Pop(context.Background())
			if err != nil || got != want[0] {
				t.Fatalf("popped %d, %v; want %d", got, err, want[0])
			}
			want = want[1:]
		}
		s := r.Stats()
		if int(s.Pushed+s.Refused) != next || s.Len != len(want) {
			t.Fatalf("%+v after %d pushes with %d held", s, next, len(want))
		}
	})
}

// Symptom: a goroutine stays behind when its instance is stopped.
// Events: the context ends while a consumer waits for an item, a producer for room.
// Cause: a wait that doesn't look at its context.
func TestWaitingEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := New[int](1)
	if _, err := r.Pop(ctx); err == nil {
		t.Fatal("pop of an empty ring ended without an error")
	}
	r.TryPush(1)
	if err := r.Push(ctx, 2); err == nil {
		t.Fatal("push into a full ring ended without an error")
	}
}
