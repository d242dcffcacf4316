package link

import (
	"testing"
	"time"
)

// Symptom: an instance that starts has no link for a second though its peer is there.
// Events: both lost power; the peer's machine is back 300 ms later than this one.
// Cause: the attempt that began in between waits for the kernel to send its first packet
// again, which takes a second. An attempt that always ended sooner would never reach a peer
// that is slow to answer.
func TestFirstAttemptsToConnectAreShortLaterOnesAreNot(t *testing.T) {
	o := Options{DialTimeout: time.Second, ConnectTimeout: 400 * time.Millisecond}
	for failures, want := range map[int]time.Duration{
		0: 400 * time.Millisecond, quickAttempts - 1: 400 * time.Millisecond, quickAttempts: time.Second, 50: time.Second,
	} {
		if got := o.connectTimeout(failures); got != want {
			t.Errorf("after %d failures %v, want %v", failures, got, want)
		}
	}
	o.ConnectTimeout = 0
	if got := o.connectTimeout(0); got != time.Second {
		t.Errorf("without a bound %v", got)
	}
	o.ConnectTimeout = time.Minute
	if got := o.connectTimeout(0); got != time.Second {
		t.Errorf("with a bound above the whole %v", got)
	}
}
