package pipeline

import (
	"time"

	"github.com/gullhaven/gullhaven/route"
)

// leavingGrace is how long a target may appear not to be leaving and still count
// as leaving throughout. When a bundle comes into force, its targets have the
// bundle's state until the host adds what platform and engines report.
const leavingGrace = 2 * time.Second

// leavingSince returns since when a target has been leaving; false if it isn't.
func (r *Routing) leavingSince(id route.TargetID) (time.Time, bool) {
	t := r.leaving.Load()
	if t == nil {
		return time.Time{}, false
	}
	l, ok := (*t)[id]
	return l.since, ok && l.stayingSince.IsZero()
}

// leavingTimes holds the targets that are leaving, or were within leavingGrace.
type leavingTimes map[route.TargetID]leavingTime

// leavingTime says since when a target has been leaving. stayingSince is when it
// was first seen not to be leaving after that; zero while it is leaving.
type leavingTime struct{ since, stayingSince time.Time }

// update returns the times after a change of targets; nil if there are none. It
// leaves t as it is.
func (t *leavingTimes) update(now time.Time, specs []route.TargetSpec) *leavingTimes {
	next := leavingTimes{}
	for i := range specs {
		l, known := t.of(specs[i].ID)
		leaves := specs[i].State == route.Leaving
		expired := known && !l.stayingSince.IsZero() && now.Sub(l.stayingSince) > leavingGrace
		switch {
		case leaves && (!known || expired):
			next[specs[i].ID] = leavingTime{since: now}
		case leaves:
			next[specs[i].ID] = leavingTime{since: l.since}
		case known && l.stayingSince.IsZero():
			next[specs[i].ID] = leavingTime{since: l.since, stayingSince: now}
		case known && !expired:
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
