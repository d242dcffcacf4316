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

const (
	// leastSettle is the least that settle is taken for.
	leastSettle = 700 * time.Millisecond
	// youngFor is how long an instance has to have been told lately who is there in order to
	// decide: later it keeps its view where it is cut off from all core instances, as all that
	// are cut off with it do.
	youngFor = 10 * time.Second
)

// settle is how long news of an entry instance may take to the others of its region.
func (p *Pool) settle() time.Duration { return max(leastSettle, p.snapshot.PropagationDelay) }

// pastEntries are entry instances as they were known until a time.
type pastEntries struct {
	ids   []string
	until time.Time
}

// noteEntries keeps what was known until now, for as long as it counts.
func (p *Pool) noteEntries(now time.Time, s *Snapshot) {
	settle := max(p.settle(), s.PropagationDelay)
	p.past = slices.DeleteFunc(p.past, func(e pastEntries) bool { return now.Sub(e.until) >= settle })
	if p.begunAt.IsZero() {
		p.begunAt = now
	}
	p.heardAt = now
	switch {
	case s.Joining:
		// As if somebody else had been there.
		p.past = append(p.past, pastEntries{until: now})
	case p.snapshot.Entries != nil && !slices.Equal(p.snapshot.Entries, s.Entries):
		p.past = append(p.past, pastEntries{ids: p.snapshot.Entries, until: now})
	}
}

// settled reports whether this instance decides for a group, and has for as long as news take.
func (p *Pool) settled(now time.Time, service string, group int) bool {
	if p.owner(service, group) != p.self || p.snapshot.Joining {
		return false
	}
	if now.Sub(p.begunAt) < youngFor && now.Sub(p.heardAt) >= p.settle() {
		return false
	}
	for _, e := range p.past {
		if now.Sub(e.until) < p.settle() && ownerAmong(e.ids, service, group) != p.self {
			return false
		}
	}
	return true
}
