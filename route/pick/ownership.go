package pick

import (
	"slices"
	"time"
)

// When the entry instances of a region start together, each knows few others at first, so several
// take themselves for the owner of a group. Targets that have just started as well can take only a
// few requests a second, and each supposed owner would give them the full rate.
//
// So an instance gives rate-limited targets nothing until it has owned their group, by all that it
// knew, for the propagation delay: by then the previous owner knows of it.

const (
	// minPropagationDelay is the lower bound of the propagation delay.
	minPropagationDelay = 700 * time.Millisecond
	// joinPeriod is how long after its start an instance needs recent updates to count as owner.
	// Later it keeps its view if it is cut off from all core instances, as do all instances that
	// are cut off with it.
	joinPeriod = 10 * time.Second
)

// propagationDelay is how long an update about an entry instance may take to reach the others of
// its region.
func (p *Pool) propagationDelay() time.Duration {
	return max(minPropagationDelay, p.snapshot.PropagationDelay)
}

// pastEntries are entry instances as they were known until a time.
type pastEntries struct {
	ids   []string
	until time.Time
}

// recordEntries keeps the previous entry instances for the propagation delay.
func (p *Pool) recordEntries(now time.Time, s *Snapshot) {
	delay := max(p.propagationDelay(), s.PropagationDelay)
	p.past = slices.DeleteFunc(p.past, func(e pastEntries) bool { return now.Sub(e.until) >= delay })
	if p.firstUpdateAt.IsZero() {
		p.firstUpdateAt = now
	}
	p.lastUpdateAt = now
	switch {
	case s.Joining:
		// As if another instance had been the owner.
		p.past = append(p.past, pastEntries{until: now})
	case p.snapshot.Entries != nil && !slices.Equal(p.snapshot.Entries, s.Entries):
		p.past = append(p.past, pastEntries{ids: p.snapshot.Entries, until: now})
	}
}

// ownsGroupStably reports whether this instance owns a group, and has owned it for the propagation
// delay.
func (p *Pool) ownsGroupStably(now time.Time, service string, group int) bool {
	if p.groupOwner(service, group) != p.self || p.snapshot.Joining {
		return false
	}
	if now.Sub(p.firstUpdateAt) < joinPeriod && now.Sub(p.lastUpdateAt) >= p.propagationDelay() {
		return false
	}
	for _, e := range p.past {
		if now.Sub(e.until) < p.propagationDelay() && ownerAmong(e.ids, service, group) != p.self {
			return false
		}
	}
	return true
}
