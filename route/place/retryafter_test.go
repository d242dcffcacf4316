package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/place"
)

// Guards against callers that come back before a rest ends or after their deadline, and against all
// coming back at its end: in no quarter of a second do more than twice as many return as were
// refused in such a time.
func TestCallersReturnSpreadAfterARest(t *testing.T) {
	const every, window = 5 * time.Millisecond, 250 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		asked := time.Duration(rapid.IntRange(50, 400).Draw(t, "asked")) * every
		deadline := 2*asked + time.Duration(rapid.IntRange(400, 1000).Draw(t, "more"))*every
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		returns := map[time.Duration]int{}
		for at := time.Duration(0); at < asked; at += every {
			after := place.RestRetryAfter(asked-at, asked, deadline, rng.Float64())
			if at+after < asked || after >= deadline {
				t.Fatalf("refused %v before the end of the rest, with %v left, a caller returns after %v", asked-at, deadline, after)
			}
			returns[(at+after)/window]++
		}
		for w, n := range returns {
			if n > 2*int(window/every) {
				t.Fatalf("%d callers return within %v, %v after the begin of the rest", n, window, w*window)
			}
		}
	})
}

// Guards against a caller that is told a time at which no target accepts its request, as that is
// after its deadline.
func TestRetryAfterARestBeyondTheDeadlineIsTrue(t *testing.T) {
	got := place.RestRetryAfter(10*time.Second, 20*time.Second, time.Second, 0.5)
	if got < 10*time.Second || got > 12*time.Second {
		t.Fatal(got)
	}
}
