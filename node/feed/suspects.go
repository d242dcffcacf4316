package feed

import (
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/suspect"
)

const (
	// suspectTTL is how long suspects are forwarded: several reports and gossip messages, so that a
	// lost message has no effect.
	suspectTTL = 3 * time.Second
	// maxSuspects bounds their number; each takes 60 bytes.
	maxSuspects = 512
)

// suspectRecord is sent to entry instances for suspectTTL. If an entry instance reported it here
// (direct), it is sent to other core instances too.
type suspectRecord struct {
	entry      suspect.Entry
	receivedAt time.Time
	direct     bool
}

// AddSuspects stores requests that may crash their targets. direct says that an entry instance
// reported them here. Beyond maxSuspects they are dropped.
func (st *Store) AddSuspects(now time.Time, entries []suspect.Entry, direct bool) {
	if len(entries) == 0 {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, e := range entries {
		known := slices.ContainsFunc(st.suspects, func(h suspectRecord) bool { return h.entry == e })
		if !known && len(st.suspects) < maxSuspects {
			st.suspects = append(st.suspects, suspectRecord{entry: e, receivedAt: now, direct: direct})
		}
	}
	st.wake()
}

// recentSuspects returns those received within suspectTTL, with directOnly only direct ones.
func (st *Store) recentSuspects(now time.Time, directOnly bool) []suspect.Entry {
	st.suspects = slices.DeleteFunc(st.suspects, func(h suspectRecord) bool { return now.Sub(h.receivedAt) > suspectTTL })
	var out []suspect.Entry
	for _, h := range st.suspects {
		if h.direct || !directOnly {
			out = append(out, h.entry)
		}
	}
	return out
}
