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
	// maxEvents bounds the events that wait for the host; the oldest are
	// dropped first.
	maxEvents = 8192
	// maxRefutationPrompts bounds the answers to outdated or suspected members
	// between two ticks. Without a bound, two members that suspect each other
	// and can't refute would answer each other endlessly.
	maxRefutationPrompts = 8
	// leaveFanout is how many members Leave notifies at once.
	leaveFanout = 8
)

// member is this instance's record of a member, itself included.
type member struct {
	Member
	state   State
	since   time.Time
	leaving bool
	// suspicion is set while the state is Suspect.
	suspicion *suspicion
}

// Group is the membership state of one instance. It is not safe for concurrent
// use.
type Group struct {
	cfg  Config
	rng  *rand.Rand
	self *member
	// members holds all known members by id, self included.
	members map[string]*member
	// peers are the ids of the Alive and Suspect members except self;
	// suspected and dead those of the Suspect and Dead ones.
	peers, suspected, dead []string
	// candidates are ids of the platform's list that never answered.
	candidates []string
	// refutationPrompts counts the prompts sent since the last Tick.
	refutationPrompts int
	// left is set once Leave was called.
	left bool

	prober   prober
	spreader spreader
	syncer   syncer
	freeze   freeze
	events   []Event
}

// New returns the Group of an instance that knows only itself. It returns an
// error if cfg or self is not valid or rng is nil.
func New(cfg Config, self Member, rng *rand.Rand) (*Group, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if rng == nil {
		return nil, errors.NotValidf("membership group without rng")
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
			return errors.NotValidf("membership config with a duration of %v (must be above 0)", d)
		}
	}
	switch {
	case c.MaxTickGap <= c.TickInterval:
		return errors.NotValidf("MaxTickGap %v (must be above TickInterval %v)", c.MaxTickGap, c.TickInterval)
	case c.ProbeTimeout >= c.ProbeInterval:
		return errors.NotValidf("ProbeTimeout %v (must be below ProbeInterval %v)", c.ProbeTimeout, c.ProbeInterval)
	case c.SuspicionMin > c.SuspicionMax:
		return errors.NotValidf("SuspicionMin %v (at most SuspicionMax %v)", c.SuspicionMin, c.SuspicionMax)
	case c.MaxBytes < minMaxBytes:
		return errors.NotValidf("MaxBytes %d below %d", c.MaxBytes, minMaxBytes)
	case c.IndirectProbes < 0 || c.SuspicionConfirms < 0 || c.GossipFanout < 1 || c.RetransmitMult < 1:
		return errors.NotValidf("membership config with IndirectProbes or SuspicionConfirms below 0, or GossipFanout or RetransmitMult below 1")
	}
	return nil
}

// Tick advances time and returns the messages to send. The host calls it every
// Config.TickInterval.
func (g *Group) Tick(now time.Time) []Out {
	g.observe(now)
	g.refutationPrompts = 0
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

// Step handles a message and returns the messages to send. from is the id of
// the sender, which the link must have authenticated.
func (g *Group) Step(now time.Time, from string, m Message) []Out {
	if from == g.self.ID || from == "" {
		return nil
	}
	g.observe(now)
	g.prober.lastReceivedAt = now
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
		return g.promptRefutation(from, outdated)
	}
}

// promptRefutation tells a member that this instance considers it suspect or
// dead, or that its own update is outdated, so that it can refute.
func (g *Group) promptRefutation(from string, outdated bool) []Out {
	if !outdated && !g.isSuspectOrDead(from) || g.refutationPrompts == maxRefutationPrompts {
		return nil
	}
	g.refutationPrompts++
	return []Out{g.message(from, Message{Kind: Gossip}, g.knownState(from))}
}

// isSuspectOrDead reports whether a member is known as suspect or dead.
func (g *Group) isSuspectOrDead(id string) bool {
	m := g.members[id]
	return m != nil && (m.state == Suspect || m.state == Dead)
}

// knownState returns the recorded state of a member as an update; nil if the
// member is unknown.
func (g *Group) knownState(id string) []Update {
	m := g.members[id]
	if m == nil {
		return nil
	}
	return []Update{g.update(m)}
}

// Leave marks this instance as left and returns the messages that announce it.
// The instance goes on answering, but starts no more probes or comparisons.
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

// Hint replaces the platform's list by the whole current one. Unknown ids are
// probed until they answer or are no longer listed. The list never makes a
// member dead.
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

// Members returns all known members sorted by id, including this instance and
// dead and left members.
func (g *Group) Members() []View {
	views := make([]View, 0, len(g.members))
	for _, m := range g.members {
		views = append(views, View{Member: m.Member, State: m.state, Since: m.since, Leaving: m.leaving})
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return views
}

// Self returns this instance with its current incarnation.
func (g *Group) Self() Member { return g.self.Member }

// Events returns the changes since the last call, oldest first. Of more than
// maxEvents the oldest are lost.
func (g *Group) Events() []Event {
	e := g.events
	g.events = nil
	return e
}

// randomPeers returns up to n different Alive or Suspect members except but.
func (g *Group) randomPeers(n int, but string) []string {
	var picked []string
	// A few wasted draws cost less than a copy of all peers.
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

// due reports whether a periodic task must run now, and sets its next time. The
// first time is random, so that instances started together do not act at the
// same moment.
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
