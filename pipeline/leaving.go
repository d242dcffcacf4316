package pipeline

import (
	"time"

	"github.com/gullhaven/gullhaven/route"
)

// leavingGrace is how long a target may seem to stay and still count as leaving
// without a break. A bundle that comes into force shows its targets by its own
// word for a moment, until the host adds what platform and engines say.
const leavingGrace = 2 * time.Second

// leavingSince tells since when a target has been leaving, if it is.
func (r *Routing) leavingSince(id route.TargetID) (time.Time, bool) {
	t := r.leaving.Load()
	if t == nil {
		return time.Time{}, false
	}
	l, ok := (*t)[id]
	return l.since, ok && l.stayed.IsZero()
}

// leavingTimes are the targets that are leaving, or were a moment ago.
type leavingTimes map[route.TargetID]leavingTime

// leavingTime is since when a target has been leaving; stayed is when it was
// first seen to stay after that, and zero while it is leaving.
type leavingTime struct{ since, stayed time.Time }

// update is t after a change of targets; nil if there is none to note.
func (t *leavingTimes) update(now time.Time, specs []route.TargetSpec) *leavingTimes {
	next := leavingTimes{}
	for i := range specs {
		l, known := t.of(specs[i].ID)
		leaves := specs[i].State == route.Leaving
		over := known && !l.stayed.IsZero() && now.Sub(l.stayed) > leavingGrace
		switch {
		case leaves && (!known || over):
			next[specs[i].ID] = leavingTime{since: now}
		case leaves:
			next[specs[i].ID] = leavingTime{since: l.since}
		case known && l.stayed.IsZero():
			next[specs[i].ID] = leavingTime{since: l.since, stayed: now}
		case known && !over:
			next[specs[i].ID] = l
		}
	}
	if len(next) == 0 {
		return nil
	}
	return &next
}

func (t *leavingTimes) of(id route.TargetID) (leavingTime, bool) {
	if t == nil {
		return leavingTime{}, false
	}
	l, ok := (*t)[id]
	return l, ok
}
