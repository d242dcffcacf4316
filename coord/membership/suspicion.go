package membership

import (
	"math"
	"slices"
	"time"
)

// suspicion is the time that a member has to refute.
type suspicion struct {
	started time.Time
	// by are the instances that suspect it independently; the first one
	// started it.
	by []string
}

// suspect starts a suspicion, or raises its incarnation.
func (g *Group) suspect(now time.Time, m *member, incarnation uint64, by string) {
	if m.state == Suspect && m.Incarnation == incarnation {
		return
	}
	m.Incarnation = incarnation
	m.suspicion = &suspicion{started: now, by: []string{by}}
	g.setState(now, m, Suspect)
	u := g.update(m)
	u.By = by
	g.enqueue(u)
}

// confirm counts one more instance that suspects. Several that miss the member
// independently make it likely that the fault is not on the way to one of them.
func (g *Group) confirm(m *member, u *Update) {
	s := m.suspicion
	if s == nil || u.State != Suspect || slices.Contains(s.by, u.By) || len(s.by) > g.cfg.SuspicionConfirms {
		return
	}
	s.by = append(s.by, u.By)
	g.enqueue(*u)
}

// timeout is how long the member has: the maximum at first, shrinking with the
// logarithm of the confirmations to the minimum (Lifeguard, section 4.2).
func (g *Group) timeout(s *suspicion) time.Duration {
	// The suspected one and the one that started can't confirm.
	need := min(g.cfg.SuspicionConfirms, len(g.peers)-1)
	if need < 1 {
		return g.cfg.SuspicionMin
	}
	have := min(len(s.by)-1, need)
	share := math.Log(float64(have+1)) / math.Log(float64(need+1))
	span := g.cfg.SuspicionMax - g.cfg.SuspicionMin
	return g.cfg.SuspicionMax - time.Duration(share*float64(span))
}

func (g *Group) expireSuspicions(now time.Time) {
	// setState edits the list.
	for _, id := range slices.Clone(g.suspected) {
		m := g.members[id]
		if now.Sub(m.suspicion.started) < g.timeout(m.suspicion) {
			continue
		}
		g.setState(now, m, Dead)
		g.enqueue(g.update(m))
	}
}
