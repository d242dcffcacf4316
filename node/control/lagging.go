package control

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/node/feed"
)

// lagAfter is how long an entry instance may lack what is accepted before it counts as
// behind: within that time a change is to be in force everywhere.
const lagAfter = 4 * time.Second

// lagging knows which entry instances that report here lack the newest accepted state.
type lagging struct {
	mu sync.Mutex
	by map[string]lag
}

type lag struct {
	// since is when a report first told of the lack, heard when the last one did.
	since, heard time.Time
	held         uint64
	told         bool
}

// note takes in a report of what an instance holds, and returns the lag once when it has
// become too long, and once when that is over.
func (l *lagging) note(now time.Time, id string, held, accepted uint64) (late, over *lag) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.by == nil {
		l.by = map[string]lag{}
	}
	known, was := l.by[id]
	if held >= accepted {
		delete(l.by, id)
		if known.told {
			return nil, &known
		}
		return nil, nil
	}
	if !was || now.Sub(known.heard) >= feed.EntryTTL {
		// It may have held all of it meanwhile, or have started anew.
		known = lag{since: now}
	}
	known.heard, known.held = now, held
	if !known.told && now.Sub(known.since) >= lagAfter {
		known.told = true
		late = &known
	}
	l.by[id] = known
	return late, nil
}

// count is how many instances are behind for too long. Those that were not heard lately are
// forgotten.
func (l *lagging) count(now time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, known := range l.by {
		switch {
		case now.Sub(known.heard) >= feed.EntryTTL:
			delete(l.by, id)
		case known.told:
			n++
		}
	}
	return n
}

// noteHeld tells of entry instances that are behind and of those that are not any more.
func (i *Instance) noteHeld(now time.Time, r *feed.Report) {
	accepted := i.accepted()
	late, over := i.lagging.note(now, r.Self.ID, r.DocumentIndex, accepted.Index)
	if late != nil {
		i.log.Warn("an entry instance is behind", zap.String("entry", r.Self.ID), zap.String("zone", r.Self.Zone),
			zap.Uint64("holds", late.held), zap.Uint64("heard", r.Index), zap.Uint64("accepted", accepted.Index),
			zap.Uint64("version", accepted.Version), zap.Duration("since", now.Sub(late.since)))
	}
	if over != nil {
		i.log.Info("an entry instance has caught up", zap.String("entry", r.Self.ID), zap.Duration("after", now.Sub(over.since)))
	}
}
