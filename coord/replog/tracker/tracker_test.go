package tracker

import (
	"testing"
	"time"
)

// Guards against a large snapshot that is sent again while the first copy is still on
// its way, so that a member with an empty disk never catches up. A snapshot gets the
// time that a slow member needs, doubled with each resend.
func TestLargeSnapshotIsGivenItsTime(t *testing.T) {
	const minTimeout, bytes = time.Second, 8 * minBytesPerSecond
	now := time.Unix(1000, 0)
	p := New(1, now)
	for _, want := range []time.Duration{8 * time.Second, 16 * time.Second, 32 * time.Second} {
		p.RecordSnapshot(now, 100, bytes)
		begun := now
		for !p.HandleHeartbeatResp(now, 32, minTimeout) {
			now = now.Add(100 * time.Millisecond)
		}
		if got := now.Sub(begun); got != want {
			t.Errorf("sent again after %v, want %v", got, want)
		}
	}
	p.RecordSnapshot(now, 100, bytes)
	if p.Ack(100); p.State != Replicate || p.Next != 101 {
		t.Fatalf("after the snapshot: %+v", p)
	}
	p.RecordSnapshot(now, 200, 1)
	if p.HandleHeartbeatResp(now.Add(minTimeout), 32, minTimeout) || !p.HandleHeartbeatResp(now.Add(minTimeout+1), 32, minTimeout) {
		t.Error("a small snapshot has another timeout")
	}
}
