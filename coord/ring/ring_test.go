package ring

import (
	"context"
	"testing"

	"pgregory.net/rapid"
)

// Guards against unbounded memory and uncounted drops when producers are faster
// than the consumer.
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

// Guards against goroutines that leak when their instance is stopped, if Pop on
// an empty ring or Push on a full one ignores the end of its context.
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
