package control

import (
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/node/feed"
)

// Symptom: calls of the platform's list cost more than the instances that serve.
// Events: the list has fifty pages, a reader and its deputies.
// Cause: it was read as often as one of a page; and deputies, which had never read it, took
// the reader for late.
func TestLongListsAreReadSeldomer(t *testing.T) {
	for _, c := range []struct {
		calls       int
		takes, want time.Duration
	}{
		{1, 4 * time.Millisecond, 700 * time.Millisecond},
		{20, 80 * time.Millisecond, 700 * time.Millisecond},
		{50, 200 * time.Millisecond, 1500 * time.Millisecond},
		{100, 400 * time.Millisecond, 1500 * time.Millisecond},
		{1000, 4 * time.Second, 4 * time.Second},
	} {
		if got := readingInterval(c.calls, c.takes); got != c.want {
			t.Errorf("%d calls that take %v: %v between two readings, want %v", c.calls, c.takes, got, c.want)
		}
	}
	at := time.Unix(1000, 0)
	reader, deputy := feed.NewStore(feed.Core{ID: "1"}, 1), feed.NewStore(feed.Core{ID: "2"}, 1)
	reader.SetList(feed.List{Digest: 7, ReadAt: at}, true)
	reader.SetReadCalls(50)
	deputy.MergeGossip(at, reader.Gossip(at, false, false))
	if got := deputy.ReadCalls(); got != 50 {
		t.Errorf("a deputy knows of %d calls", got)
	}
}
