package control

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/node/feed"
)

// lagThreshold is how long an entry instance may lack the newest accepted state before it
// counts as behind: a change must be in force everywhere within that time.
const lagThreshold = 4 * time.Second

// lagTable records which of the entry instances that report here lack the newest accepted
// state.
type lagTable struct {
	mu         sync.Mutex
	byInstance map[string]lag
}

type lag struct {
	// since is when a report first showed the lag, reportedAt when the last one did.
	since, reportedAt time.Time
	held              uint64
	logged            bool
}

// record records the state that an instance holds. It returns newLag once when the lag exceeds
// lagThreshold, and ended once when such a lag is over.
func (l *lagTable) record(now time.Time, id string, held, accepted uint64) (newLag, ended *lag) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byInstance == nil {
		l.byInstance = map[string]lag{}
	}
	last, seen := l.byInstance[id]
	if held >= accepted {
		delete(l.byInstance, id)
		if last.logged {
			return nil, &last
		}
		return nil, nil
	}
	if !seen || now.Sub(last.reportedAt) >= feed.EntryTTL {
		// It may have caught up meanwhile, or have restarted.
		last = lag{since: now}
	}
	last.reportedAt, last.held = now, held
	if !last.logged && now.Sub(last.since) >= lagThreshold {
		last.logged = true
		newLag = &last
	}
	l.byInstance[id] = last
	return newLag, nil
}

// count returns how many instances are behind for longer than lagThreshold. It removes those
// that have not reported lately.
func (l *lagTable) count(now time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, known := range l.byInstance {
		switch {
		case now.Sub(known.reportedAt) >= feed.EntryTTL:
			delete(l.byInstance, id)
		case known.logged:
			n++
		}
	}
	return n
}

// recordLag records which state the reporting instance holds and logs when it falls behind or
// has caught up.
func (i *Instance) recordLag(now time.Time, r *feed.Report) {
	accepted := i.accepted()
	newLag, ended := i.lagging.record(now, r.Self.ID, r.DocumentIndex, accepted.Index)
	if newLag != nil {
		i.log.Warn("an entry instance is behind", zap.String("entry", r.Self.ID), zap.String("zone", r.Self.Zone),
			zap.Uint64("holds", newLag.held), zap.Uint64("heard", r.Index), zap.Uint64("accepted", accepted.Index),
			zap.Uint64("version", accepted.Version), zap.Duration("since", now.Sub(newLag.since)))
	}
	if ended != nil {
		i.log.Info("an entry instance has caught up", zap.String("entry", r.Self.ID), zap.Duration("after", now.Sub(ended.since)))
	}
}
