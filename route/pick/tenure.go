package pick

import (
	"slices"
	"time"
)

// The load pattern: the entry instances of a region start together, before targets that have
// just started as well. Each knows few others at first, so several are the first of those that
// they know, and take themselves for the one that decides. Each would give a target that bears a
// few requests a second the whole of that.
//
// So an instance gives such targets nothing until it has been the one that decides, by all that
// it knew, for as long as news of an instance take to reach the others: whoever it has taken over
// from knows by then.

// settleTime is how long news of an entry instance may take to the others of its region: a report
// to a core instance, its news to the other ones, and the answer to the next report.
const settleTime = 700 * time.Millisecond

// pastEntries are entry instances as they were known until a time.
type pastEntries struct {
	ids   []string
	until time.Time
}

// noteEntries keeps what was known until now, for as long as it counts.
func (p *Pool) noteEntries(now time.Time, s *Snapshot) {
	p.past = slices.DeleteFunc(p.past, func(e pastEntries) bool { return now.Sub(e.until) >= settleTime })
	switch {
	case s.Unheard:
		// As if somebody else had been there.
		p.past = append(p.past, pastEntries{until: now})
	case p.snapshot.Entries != nil && !slices.Equal(p.snapshot.Entries, s.Entries):
		p.past = append(p.past, pastEntries{ids: p.snapshot.Entries, until: now})
	}
}

// settled reports whether this instance decides for a group, and has for settleTime.
func (p *Pool) settled(now time.Time, service string, group int) bool {
	if p.owner(service, group) != p.self || p.snapshot.Unheard {
		return false
	}
	for _, e := range p.past {
		if now.Sub(e.until) < settleTime && ownerAmong(e.ids, service, group) != p.self {
			return false
		}
	}
	return true
}
