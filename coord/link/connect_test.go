package link

import (
	"testing"
	"time"
)

// Guards against an instance without a link for a second after a start though its
// peer is up: both lost power, the peer's machine is back 300 ms later, and an
// attempt begun in between waits a second for the kernel to retransmit its first
// packet. If all attempts were short, a peer that is slow to answer would never be
// reached.
func TestFirstConnectAttemptsAreShort(t *testing.T) {
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
