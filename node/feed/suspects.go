package feed

import (
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/suspect"
)

const (
	// suspectLife is how long suspects are told again: several reports and gossips, so
	// that a lost message matters to nobody.
	suspectLife = 3 * time.Second
	// maxSuspects bounds them, 60 bytes each.
	maxSuspects = 512
)

// heardSuspect is told again for suspectLife; those that were told by entry instances
// here go to other core instances too.
type heardSuspect struct {
	entry  suspect.Entry
	at     time.Time
	direct bool
}

// Suspected takes in requests that may crash their targets.
func (b *Store) AddSuspects(now time.Time, entries []suspect.Entry, direct bool) {
	if len(entries) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range entries {
		known := slices.ContainsFunc(b.suspects, func(h heardSuspect) bool { return h.entry == e })
		if !known && len(b.suspects) < maxSuspects {
			b.suspects = append(b.suspects, heardSuspect{entry: e, at: now, direct: direct})
		}
	}
	b.wake()
}

// lateSuspects are those that were heard within suspectLife.
func (b *Store) lateSuspects(now time.Time, directOnly bool) []suspect.Entry {
	b.suspects = slices.DeleteFunc(b.suspects, func(h heardSuspect) bool { return now.Sub(h.at) > suspectLife })
	var out []suspect.Entry
	for _, h := range b.suspects {
		if h.direct || !directOnly {
			out = append(out, h.entry)
		}
	}
	return out
}
