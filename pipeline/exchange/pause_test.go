package exchange

import (
	"testing"
	"time"
)

// Guards against a short pause that ends the time in which the instance catches up after a long one.
func TestPauseWhileCatchingUpContinuesThePauseBefore(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	p := pauseDetector{maxLag: time.Second, heartbeatAt: start}
	if pause := p.heartbeat(at(8)); pause != 8*time.Second {
		t.Fatalf("a pause of %v", pause)
	}
	if pause := p.heartbeat(at(10)); pause != 2*time.Second {
		t.Fatalf("a pause of %v", pause)
	}
	for seconds, want := range map[float64]bool{0.5: false, 8: true, 9: true, 10: true, 13: true, 15.9: true, 16: false} {
		if got := p.mayHaveWaited(at(seconds)); got != want {
			t.Errorf("read at %v s: may have waited %v", seconds, got)
		}
	}
}

// Guards against pauses that are found without a span of the budget.
func TestNoPauseIsDetectedWithoutALag(t *testing.T) {
	p := pauseDetector{heartbeatAt: time.Unix(1_800_000_000, 0)}
	if pause := p.heartbeat(p.heartbeatAt.Add(time.Hour)); pause != 0 {
		t.Errorf("a pause of %v", pause)
	}
}
