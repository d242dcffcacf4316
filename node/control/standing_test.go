package control

import (
	"testing"
	"time"
)

// Symptom: no leader for ten seconds of a start, and no configuration is accepted.
// Events: hundreds of entry instances report some times a second.
// Cause: each report asked the goroutine of the log, before which votes and heartbeats waited.
func TestReportsShareAnAnswerOfTheLog(t *testing.T) {
	var s standing
	asked := 0
	ask := func() placed {
		asked++
		return placed{led: asked > 1}
	}
	now := time.Unix(1000, 0)
	for range 2000 {
		now = now.Add(500 * time.Microsecond)
		s.of(now, ask)
	}
	if asked > 51 {
		t.Errorf("the log was asked %d times in a second", asked)
	}
	if p := s.of(now.Add(standingLife), ask); !p.led {
		t.Error("an answer is used for longer than its life")
	}
}
