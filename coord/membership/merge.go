package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// updateSource is how an update was received.
type updateSource uint8

const (
	fromGossip updateSource = iota
	fromSync
)

// compareStates orders two states of one member, by incarnation and then by
// State. Keeping the higher one is a join, so the order in which updates
// arrive, and how often, makes no difference to the result.
func compareStates(inc uint64, s State, inc2 uint64, s2 State) int {
	if c := cmp.Compare(inc, inc2); c != 0 {
		return c
	}
	return cmp.Compare(s, s2)
}

// apply merges an update and reports whether it is older than the recorded
// state, or differs from it at the same incarnation.
func (g *Group) apply(now time.Time, u *Update, source updateSource) (outdated bool) {
	if u.ID == g.self.ID {
		g.refute(now, u)
		return false
	}
	m := g.members[u.ID]
	if m == nil {
		g.addMember(now, u)
		return false
	}
	c := compareStates(u.Incarnation, u.State, m.Incarnation, m.state)
	switch {
	case c < 0:
		return true
	case c == 0:
		g.confirm(m, u)
		// The instance was restarted with the same incarnation.
		return u.State == Alive && !u.Info.equal(infoOf(&m.Member))
	case u.State == Dead && source == fromSync && (m.state == Alive || m.state == Suspect):
		// After a partition each side holds the other for dead. Adopting that
		// would let a comparison of views declare members dead that answer
		// here. A suspicion gives them the time to refute.
		g.suspect(now, m, u.Incarnation, "")
	case u.State == Suspect:
		g.suspect(now, m, u.Incarnation, u.By)
	default:
		g.applyState(now, m, u)
	}
	return false
}

// addMember adds a member that was unknown. A Suspect update is ignored, as it
// lacks the member's Info. Dead and Left are recorded, so that a late Alive
// update of the same incarnation doesn't make the member alive again.
func (g *Group) addMember(now time.Time, u *Update) {
	if u.State == Suspect {
		return
	}
	m := &member{Member: Member{ID: u.ID}, state: Left}
	g.members[u.ID] = m
	g.candidates = slices.DeleteFunc(g.candidates, func(id string) bool { return id == u.ID })
	if u.State == Alive {
		g.syncer.expedite(now)
	}
	g.applyState(now, m, u)
}

// applyState applies an Alive, Dead or Left update.
func (g *Group) applyState(now time.Time, m *member, u *Update) {
	wasDead := m.state == Dead
	m.Incarnation = u.Incarnation
	if u.Info != nil {
		m.Region, m.Zone, m.Address = u.Info.Region, u.Info.Zone, u.Info.Address
		m.Roles, m.Meta = u.Info.Roles, u.Info.Meta
	}
	g.setState(now, m, u.State)
	if wasDead && u.State == Alive {
		// The member may be on the other side of a healed partition.
		g.syncer.nextPeer = m.ID
		g.syncer.expedite(now)
	}
	g.enqueue(g.update(m))
}

// refute answers a wrong state of this instance with a higher incarnation.
func (g *Group) refute(now time.Time, u *Update) {
	c := compareStates(u.Incarnation, u.State, g.self.Incarnation, g.self.state)
	same := c == 0 && (u.State != Alive || u.Info.equal(infoOf(&g.self.Member)))
	// The highest incarnation can't be refuted; no correct instance reaches it.
	if c < 0 || same || u.Incarnation == math.MaxUint64 {
		return
	}
	g.self.Incarnation = u.Incarnation + 1
	g.enqueue(g.update(g.self))
	if u.State == Suspect {
		g.raiseHealthScore()
	}
}

// setState changes the state of a member, records the event and updates the
// lists of ids by state.
func (g *Group) setState(now time.Time, m *member, s State) {
	m.state = s
	m.since = now
	if s != Suspect {
		m.suspicion = nil
	}
	g.events = append(g.events, Event{At: now, State: s, Member: m.Member})
	if len(g.events) > maxEvents {
		g.events = g.events[len(g.events)-maxEvents:]
	}
	if m != g.self {
		g.peers = include(g.peers, m.ID, s == Alive || s == Suspect)
		g.suspected = include(g.suspected, m.ID, s == Suspect)
		g.dead = include(g.dead, m.ID, s == Dead)
	}
}

// include returns the list with the id, or without it if in is false.
func include(list []string, id string, in bool) []string {
	i := slices.Index(list, id)
	switch {
	case in && i < 0:
		return append(list, id)
	case !in && i >= 0:
		return slices.Delete(list, i, i+1)
	}
	return list
}

// update returns the recorded state of a member as an update.
func (g *Group) update(m *member) Update {
	switch m.state {
	case Alive:
		return aliveUpdate(&m.Member)
	case Suspect:
		return Update{State: Suspect, Incarnation: m.Incarnation, ID: m.ID, By: g.self.ID}
	default:
		return Update{State: m.state, Incarnation: m.Incarnation, ID: m.ID}
	}
}

func aliveUpdate(m *Member) Update {
	return Update{State: Alive, Incarnation: m.Incarnation, ID: m.ID, Info: infoOf(m)}
}

func infoOf(m *Member) *Info {
	return &Info{Region: m.Region, Zone: m.Zone, Address: m.Address, Roles: m.Roles, Meta: m.Meta}
}

func (i *Info) equal(o *Info) bool {
	return i.Region == o.Region && i.Zone == o.Zone && i.Address == o.Address &&
		slices.Equal(i.Roles, o.Roles) && slices.Equal(i.Meta, o.Meta)
}
