package pick

import "time"

// UsableTargets returns the number of targets of a group that do their full share of its work: those
// that are neither draining nor in backoff, at rest or limited to some requests a second.
func (p *Pool) UsableTargets(now time.Time, g Group) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	groups, n := p.groups[g.Service], 0
	if g.Number < 0 || g.Number >= len(groups) {
		return 0
	}
	for _, t := range groups[g.Number] {
		if p.available(now, t, Call{}) && p.allowedPerSecond(now, t) == 0 {
			n++
		}
	}
	return n
}
