package membership

import (
	"math"
	"slices"
	"time"
)

// suspicion is the period in which a suspect member can refute.
type suspicion struct {
	started time.Time
	// by are the ids of the instances that suspect the member independently;
	// the first one started the suspicion.
	by []string
}

// suspect starts a suspicion, or restarts it at a higher incarnation.
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

// confirm records one more instance that suspects the member. If several fail
// to reach it independently, the fault is unlikely to be on the path of one.
func (g *Group) confirm(m *member, u *Update) {
	s := m.suspicion
	if s == nil || u.State != Suspect || slices.Contains(s.by, u.By) || len(s.by) > g.cfg.SuspicionConfirms {
		return
	}
	s.by = append(s.by, u.By)
	g.enqueue(*u)
}

// timeout returns how long the member has to refute: the maximum at first,
// shrinking with the logarithm of the confirmations to the minimum (Lifeguard,
// section 4.2).
func (g *Group) timeout(s *suspicion) time.Duration {
	// The suspect and the instance that started the suspicion can't confirm.
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
	// setState changes g.suspected.
	for _, id := range slices.Clone(g.suspected) {
		m := g.members[id]
		if now.Sub(m.suspicion.started) < g.timeout(m.suspicion) {
			continue
		}
		g.setState(now, m, Dead)
		g.enqueue(g.update(m))
	}
}
