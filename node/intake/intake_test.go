package intake_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed" // Draws the same cases in every run.
	"github.com/gullhaven/gullhaven/node/intake"
)

// Guards against a line for each refusal, a change that is not logged, and an end that is logged while clients are
// still refused.
func TestChangesAlternate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o intake.Observer
		now, count, pressed, quietSince := time.Unix(1_000_000, 0), int64(0), false, time.Time{}
		for range 60 {
			now = now.Add(time.Second)
			more := rapid.Int64Range(0, 2).Draw(t, "more") * rapid.Int64Range(0, 1).Draw(t, "any")
			if rapid.IntRange(0, 9).Draw(t, "quiet") > 0 {
				more = 0
			}
			count += more
			if more > 0 {
				quietSince = now
			}
			switch o.Observe(now, count) {
			case intake.Pressed:
				if pressed || more == 0 {
					t.Fatal("pressed without a new refusal")
				}
				pressed = true
			case intake.Calmed:
				if !pressed || now.Sub(quietSince) < 10*time.Second {
					t.Fatalf("calm %v after a refusal", now.Sub(quietSince))
				}
				pressed = false
			default:
				if !pressed && more > 0 {
					t.Fatal("a refusal is not logged")
				}
			}
		}
	})
}
