package tracker

import (
	"testing"
	"time"
)

// A member with an empty disk was sent a snapshot of megabytes over a link that takes longer
// for it than a fixed patience. It was taken as lost and sent again, behind the first one,
// and so on: the member never caught up. A snapshot has the time that a slow member needs,
// and twice as long after each one that is sent again.
func TestLargeSnapshotIsGivenItsTime(t *testing.T) {
	const patience, bytes = time.Second, 8 * slowest
	now := time.Unix(1000, 0)
	p := New(1, now)
	for _, want := range []time.Duration{8 * time.Second, 16 * time.Second, 32 * time.Second} {
		p.RecordSnapshot(now, 100, bytes)
		begun := now
		for !p.HandleHeartbeatResp(now, 32, patience) {
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
	if p.HandleHeartbeatResp(now.Add(patience), 32, patience) || !p.HandleHeartbeatResp(now.Add(patience+1), 32, patience) {
		t.Error("a small snapshot has another patience")
	}
}
