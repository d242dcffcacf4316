package pick

import "time"

// absentPeriod is how long a target is remembered while it is not on the list: its entry may be
// unreadable for a moment, and answers may arrive meanwhile.
const absentPeriod = 30 * time.Second

// absentTarget is a target that was on the list until a time.
type absentTarget struct {
	*target
	until time.Time
}

// keepAbsent remembers the targets that are no longer listed.
func (p *Pool) keepAbsent(now time.Time, old map[string]*target) {
	for id, t := range old {
		if p.targets[id] == nil {
			p.absent[id] = absentTarget{t, now}
		}
	}
	for id, t := range p.absent {
		if now.Sub(t.until) >= absentPeriod {
			delete(p.absent, id)
		}
	}
}

// takeAbsent returns a target that is on the list again; nil if it is not remembered. The list
// decides whether it is draining, unless the target itself has said that it is leaving.
func (p *Pool) takeAbsent(id string) *target {
	t := p.absent[id].target
	if t != nil {
		delete(p.absent, id)
		t.Draining = t.leaving
	}
	return t
}
