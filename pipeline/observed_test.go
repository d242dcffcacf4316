package pipeline

import (
	"testing"
	"time"
)

// Guards against a time to the first byte that mixes the clock given with that of the machine.
func TestFirstByteIsMeasuredByTheClockGiven(t *testing.T) {
	clock := time.Now()
	observed := outcomeObserver{outcomes: make(chan Outcome, 1)}
	r := newRig(t, withDeps(func(d *Deps) { d.Observer, d.Now = observed, func() time.Time { return clock } }))
	r.do(call{body: chat("p", false, 2)})
	if o := <-observed.outcomes; o.FirstByte != 0 || o.Code != "" {
		t.Errorf("code %q, first byte after %v on a clock that stands still", o.Code, o.FirstByte)
	}
}
