package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a caller that waits for the reported retry delay and is
// refused again, because the delay is not the time that the queue needs.
func TestRetryAfterIsLongEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRouter(rapid.IntRange(1, 4).Draw(t, "targets"))
		reportQueue(r, epoch, rapid.IntRange(0, 400_000).Draw(t, "queue"))
		q := prompt(rapid.IntRange(1, 4000).Draw(t, "prompt"))
		patience := time.Duration(rapid.IntRange(1, 10).Draw(t, "patience")) * time.Second
		q.Deadline = epoch.Add(patience)
		d := r.Decide(epoch, q)
		if d.Action != Refuse {
			return
		}
		again := epoch.Add(d.RetryAfter)
		q.Deadline = again.Add(patience)
		if e := r.Decide(again, q); d.RetryAfter < maxRetry && e.Action != Send {
			t.Fatalf("refused for %v, then %+v", d.RetryAfter, e)
		}
	})
}

// Guards against starvation: with shedding by priority alone, low priorities
// get nothing for as long as the load lasts.
func TestLowPriorityIsShedFirstButDoesNotStarve(t *testing.T) {
	r := newTestRouter(2)
	reportQueue(r, epoch, 80_000)
	admitted := map[int]int{}
	for _, p := range []int{0, 9} {
		for range 100 {
			q := prompt(100)
			q.Priority = p
			if r.Decide(epoch, q).Action == Send {
				admitted[p]++
			}
		}
	}
	if admitted[9] != 100 || admitted[0] < 5 || admitted[0] > 15 {
		t.Fatalf("admitted %v of 100 each", admitted)
	}
}

// Guards against a single wait bound for persistent and draining queues. With a
// loose bound, low priorities are served shortly before their deadlines for as
// long as half of the region is lost; with a tight one, a burst has requests
// refused that would have been in time.
func TestOnlyPersistentQueueTightensBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s persistentQueue
		const bound = 20.0
		shortAt := 0.0
		at := rapid.Float64Range(0, 1000).Draw(t, "start")
		for i := range 200 {
			at += rapid.Float64Range(0, 2).Draw(t, "pause")
			wait := rapid.SampledFrom([]float64{2.4, 2.6, 4, 8, 19, 40}).Draw(t, "wait")
			if i == 0 || wait < bound/8 {
				shortAt = at
			}
			want := bound
			if at-shortAt > 20 {
				want = bound / 4
			}
			if got := s.waitBound(at, wait, bound); got != want {
				t.Fatalf("bound %v, %v s after the last short wait; want %v", got, at-shortAt, want)
			}
		}
	})
	r := newTestRouter(2)
	refused := func(at, span time.Duration, tokens int) (n int) {
		for end := at + span; at < end; at += 500 * time.Millisecond {
			reportQueue(r, epoch.Add(at), tokens)
			q := prompt(100)
			q.Priority = 0
			if r.Decide(epoch.Add(at), q).Action == Refuse {
				n++
			}
		}
		return n
	}
	if n := refused(0, 15*time.Second, 20_000); n != 0 {
		t.Fatalf("%d refused in a burst of 15 s", n)
	}
	if n := refused(25*time.Second, 10*time.Second, 20_000); n < 15 || n == 20 {
		t.Fatalf("%d of 20 refused while the queue is persistent", n)
	}
	if n := refused(40*time.Second, 15*time.Second, 100) + refused(60*time.Second, 15*time.Second, 20_000); n != 0 {
		t.Fatalf("%d refused after the queue had drained", n)
	}
}
