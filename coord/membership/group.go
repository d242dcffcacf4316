package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// maxCandidates bounds how many unknown ids of the platform's list are kept.
	maxCandidates = 1024
	// maxEvents bounds the events that wait for the host; the oldest go first.
	maxEvents = 8192
	// maxContradictions bounds the answers to wrong or outdated news between
	// two ticks. Two members that doubt each other and can't refute would
	// answer each other without end.
	maxContradictions = 8
	// leaveFanout is how many members are told of leaving at once.
	leaveFanout = 8
)

// member is what this instance holds of a member, itself included.
type member struct {
	Member
	state   State
	since   time.Time
	leaving bool
	// suspicion is set while the state is Suspect.
	suspicion *suspicion
}

// Group is the view of one instance. It is not safe for several goroutines.
type Group struct {
	cfg  Config
	rng  *rand.Rand
	self *member
	// members holds all that are known, self too.
	members map[string]*member
	// peers are the Alive and Suspect members but self; suspected and dead
	// those in the state.
	peers, suspected, dead []string
	// candidates are ids of the platform's list that never answered.
	candidates []string
	// contradictions counts those sent since the last Tick.
	contradictions int
	// left is set once this instance has said that it leaves.
	left bool

	prober   prober
	spreader spreader
	syncer   syncer
	freeze   freeze
	events   []Event
}

// New returns the Group of an instance that knows only itself.
func New(cfg Config, self Member, rng *rand.Rand) (*Group, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if rng == nil {
		return nil, errors.NotValidf("membership without a source of randomness")
	}
	self.Roles = slices.Clone(self.Roles)
	self.Meta = slices.Clone(self.Meta)
	if err := checkUpdate(aliveUpdate(&self)); err != nil {
		return nil, errors.Annotatef(err, "member %q", self.ID)
	}
	me := &member{Member: self, state: Alive}
	g := &Group{cfg: cfg, rng: rng, self: me, members: map[string]*member{self.ID: me}}
	g.prober.relayed = map[uint64]relayedProbe{}
	return g, nil
}

func (c *Config) check() error {
	for _, d := range []time.Duration{
		c.TickInterval, c.MaxTickGap, c.ProbeInterval, c.ProbeTimeout, c.SuspicionMin,
		c.SuspicionMax, c.GossipInterval, c.SyncInterval, c.DeadProbeInterval, c.Retain,
	} {
		if d <= 0 {
			return errors.NotValidf("membership config with a time of %v", d)
		}
	}
	switch {
	case c.MaxTickGap <= c.TickInterval:
		return errors.NotValidf("MaxTickGap %v within TickInterval %v", c.MaxTickGap, c.TickInterval)
	case c.ProbeTimeout >= c.ProbeInterval:
		return errors.NotValidf("ProbeTimeout %v beyond ProbeInterval %v", c.ProbeTimeout, c.ProbeInterval)
	case c.SuspicionMin > c.SuspicionMax:
		return errors.NotValidf("SuspicionMin %v over SuspicionMax %v", c.SuspicionMin, c.SuspicionMax)
	case c.MaxBytes < minMaxBytes:
		return errors.NotValidf("MaxBytes %d below %d", c.MaxBytes, minMaxBytes)
	case c.IndirectProbes < 0 || c.SuspicionConfirms < 0 || c.GossipFanout < 1 || c.RetransmitMult < 1:
		return errors.NotValidf("membership config with a count below its least")
	}
	return nil
}

// Tick lets time pass; the host calls it every Config.TickInterval.
func (g *Group) Tick(now time.Time) []Out {
	g.observe(now)
	g.contradictions = 0
	g.expireSuspicions(now)
	var out []Out
	if !g.left {
		out = g.tickProbe(now, out)
		out = g.tickCandidates(now, out)
		out = g.tickDead(now, out)
		out = g.tickSync(now, out)
	}
	return g.tickGossip(now, out)
}

// Step takes in a message from the instance that the link has identified.
func (g *Group) Step(now time.Time, from string, m Message) []Out {
	if from == g.self.ID || from == "" {
		return nil
	}
	g.observe(now)
	g.prober.heardAt = now
	source := fromGossip
	if m.Kind == SyncReply || m.Kind == SyncPush {
		source = fromSync
	}
	outdated := false
	for i := range m.Updates {
		stale := g.apply(now, &m.Updates[i], source)
		outdated = outdated || stale && m.Updates[i].ID == from
	}
	switch m.Kind {
	case Ping:
		return []Out{g.ack(from, m, outdated)}
	case Ack:
		return g.stepAck(now, from, m)
	case PingReq:
		return g.stepPingReq(now, from, m)
	case Sync:
		return g.stepSync(from, m, outdated)
	case SyncReply:
		return g.stepSyncReply(now, from, m)
	default:
		return g.contradict(from, outdated)
	}
}

// contradict tells a member that it is held to be suspect or dead, or that what
// it says of itself is outdated, so that it can refute.
func (g *Group) contradict(from string, outdated bool) []Out {
	if !outdated && !g.doubts(from) || g.contradictions == maxContradictions {
		return nil
	}
	g.contradictions++
	return []Out{g.message(from, Message{Kind: Gossip}, g.belief(from))}
}

// doubts reports whether a member is held to be suspect or dead.
func (g *Group) doubts(id string) bool {
	m := g.members[id]
	return m != nil && (m.state == Suspect || m.state == Dead)
}

// belief is what this instance holds of a member, as an update; nil if nothing.
func (g *Group) belief(id string) []Update {
	m := g.members[id]
	if m == nil {
		return nil
	}
	return []Update{g.update(m)}
}

// Leave says to the others that this instance leaves. It goes on answering.
func (g *Group) Leave(now time.Time) []Out {
	g.observe(now)
	if g.left {
		return nil
	}
	g.left = true
	g.setState(now, g.self, Left)
	g.enqueue(g.update(g.self))
	var out []Out
	for _, id := range g.randomPeers(leaveFanout, "") {
		out = append(out, g.message(id, Message{Kind: Gossip}, nil))
	}
	return out
}

// Hint takes in the platform's whole list. Unknown ids are probed until they
// answer or are no longer listed; nobody is declared dead by it.
func (g *Group) Hint(now time.Time, list []Hint) {
	g.observe(now)
	leaving := map[string]bool{}
	g.candidates = g.candidates[:0]
	for _, h := range list {
		leaving[h.ID] = h.Leaving
		known := g.members[h.ID] != nil
		if !known && !h.Leaving && h.ID != "" && len(g.candidates) < maxCandidates {
			g.candidates = append(g.candidates, h.ID)
		}
	}
	for id, m := range g.members {
		m.leaving = leaving[id]
	}
}

// Members returns all known members with itself, dead and left ones too, by id.
func (g *Group) Members() []View {
	views := make([]View, 0, len(g.members))
	for _, m := range g.members {
		views = append(views, View{Member: m.Member, State: m.state, Since: m.since, Leaving: m.leaving})
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return views
}

// Self returns this instance with its incarnation now.
func (g *Group) Self() Member { return g.self.Member }

// Events returns the changes since the last call, oldest first.
func (g *Group) Events() []Event {
	e := g.events
	g.events = nil
	return e
}

// randomPeers returns up to n different Alive or Suspect members but one.
func (g *Group) randomPeers(n int, but string) []string {
	var picked []string
	// Drawing a few too many times costs less than a copy of all peers.
	for range 4 * n {
		if len(picked) == n || len(g.peers) == 0 {
			break
		}
		id := g.peers[g.rng.IntN(len(g.peers))]
		if id != but && !slices.Contains(picked, id) {
			picked = append(picked, id)
		}
	}
	return picked
}

// due reports whether a periodic duty is to run now, and sets its next time.
// The first time is drawn, so that instances started together do not act
// together.
func (g *Group) due(now time.Time, next *time.Time, interval time.Duration) bool {
	if next.IsZero() {
		*next = now.Add(time.Duration(g.rng.Int64N(int64(interval))))
	}
	if now.Before(*next) {
		return false
	}
	*next = next.Add(interval)
	if next.Before(now) {
		*next = now.Add(interval)
	}
	return true
}
