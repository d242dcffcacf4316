package control

import (
	"testing"
	"time"
)

// Guards against a start without a leader for ten seconds: hundreds of entry instances report
// several times a second, and if each report queries the log's goroutine, votes and heartbeats
// wait.
func TestReportsShareOneLogQuery(t *testing.T) {
	var s positionCache
	reads := 0
	read := func() position {
		reads++
		return position{hasLeader: reads > 1}
	}
	now := time.Unix(1000, 0)
	for range 2000 {
		now = now.Add(500 * time.Microsecond)
		s.get(now, read)
	}
	if reads > 51 {
		t.Errorf("the log was queried %d times in a second", reads)
	}
	if p := s.get(now.Add(positionTTL), read); !p.hasLeader {
		t.Error("a position is reused after positionTTL")
	}
}
