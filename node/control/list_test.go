package control

import (
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/node/feed"
)

// Guards against calls to the platform's list that cost more than the serving instances. A list
// of fifty pages was read as often as one of a single page, and backups, which had never read
// it, took the reader for late.
func TestLongListsAreReadLessOften(t *testing.T) {
	for _, c := range []struct {
		calls          int
		duration, want time.Duration
	}{
		{1, 4 * time.Millisecond, 700 * time.Millisecond},
		{20, 80 * time.Millisecond, 700 * time.Millisecond},
		{50, 200 * time.Millisecond, 1500 * time.Millisecond},
		{100, 400 * time.Millisecond, 1500 * time.Millisecond},
		{1000, 4 * time.Second, 4 * time.Second},
	} {
		if got := readIntervalFor(c.calls, c.duration); got != c.want {
			t.Errorf("%d calls that take %v: %v between two reads, want %v", c.calls, c.duration, got, c.want)
		}
	}
	at := time.Unix(1000, 0)
	reader, backup := feed.NewStore(feed.Core{ID: "1"}, 1), feed.NewStore(feed.Core{ID: "2"}, 1)
	reader.SetList(feed.List{Digest: 7, ReadAt: at}, true)
	reader.SetReadCalls(50)
	backup.MergeGossip(at, reader.Gossip(at, false, false))
	if got := backup.ReadCalls(); got != 50 {
		t.Errorf("a backup knows of %d calls", got)
	}
}
