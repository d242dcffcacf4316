package spread

import (
	"math/rand/v2"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
)

// Stats are the counters of a Core.
type Stats struct {
	// Installed counts installed versions, WholeCopies those of them that came as
	// whole copies.
	Installed, WholeCopies uint64
	// Refused counts content that fails verification (a wrong base, a wrong digest,
	// missing sign-offs) and reports on a region by an instance outside of it.
	Refused uint64
	// Late counts content for versions that were in force here already.
	Late uint64
}

// Core is the state of one instance. It is not safe for concurrent use.
type Core struct {
	self  Peer
	rng   *rand.Rand
	peers []Peer

	current *bundle.Signed
	head    bundle.Identity
	// steps lead up to head without a gap, oldest first.
	steps   []Step
	changed bool
	pull    *pull
	// copy collects a whole copy over several pulls. pacer bounds what one request
	// asks for.
	copy  *wholeCopy
	pacer pacer

	appliedAt time.Time
	members   map[string]memberState
	regions   map[string]receivedState
	stats     Stats
}

// New makes the Core of an instance without a bundle. rng draws the peers to
// compare versions with.
func New(self Peer, rng *rand.Rand) *Core {
	return &Core{
		self:    self,
		pacer:   newPacer(),
		rng:     rng,
		members: map[string]memberState{},
		regions: map[string]receivedState{},
	}
}

// SetPeers replaces the view of other instances: those of the own region, and
// the relays and voters of other regions. If peers contains the instance itself,
// that entry updates whether it is a relay.
func (c *Core) SetPeers(peers []Peer) {
	c.peers = c.peers[:0]
	for _, p := range peers {
		if p.ID == c.self.ID {
			c.self.Relay = p.Relay
			continue
		}
		c.peers = append(c.peers, p)
	}
	c.removeStaleMembers()
}

// Head returns the identity of the bundle in force; zero before the first.
func (c *Core) Head() bundle.Identity { return c.head }

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// TakeInstalled returns the bundle in force if it has changed since the last
// call, and nil otherwise. The caller must not change it.
func (c *Core) TakeInstalled() *bundle.Signed {
	if !c.changed {
		return nil
	}
	c.changed = false
	return c.current
}

// Offer installs a bundle that this instance knows to be accepted, from its own
// replicated log or from its disk at the start, and returns the messages to send.
// A bundle that isn't newer than the one in force is ignored. The error is that
// of encoding the bundle.
func (c *Core) Offer(now time.Time, s *bundle.Signed) ([]Out, error) {
	id, err := s.Bundle.Identity()
	if err != nil {
		return nil, err
	}
	if id.Version <= c.head.Version {
		c.stats.Late++
		return nil, nil
	}
	step, err := c.stepTo(id, s)
	if err != nil {
		return nil, err
	}
	return c.install(now, id, s, step), nil
}

// stepTo makes the step from the bundle in force to s. It is nil if the bundle in
// force is not the parent.
func (c *Core) stepTo(id bundle.Identity, s *bundle.Signed) (*Step, error) {
	if c.current == nil || id.Parent != c.head.Digest {
		return nil, nil
	}
	delta, err := bundle.DeltaOf(&c.current.Bundle, &s.Bundle)
	if err != nil {
		return nil, err
	}
	data, err := delta.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return &Step{ID: id, Signatures: s.Signatures, Delta: data}, nil
}

// install puts a version in force, which must be above the current one, and
// returns the messages that forward and report it. Without a step from the current
// version the kept steps no longer lead to the head and are removed.
func (c *Core) install(now time.Time, id bundle.Identity, s *bundle.Signed, step *Step) []Out {
	c.current, c.head, c.changed = s, id, true
	c.stats.Installed++
	if step == nil {
		c.steps = nil
	} else {
		c.steps = append(c.steps, *step)
	}
	if len(c.steps) > maxSteps {
		c.steps = append([]Step(nil), c.steps[len(c.steps)-maxSteps:]...)
	}
	if c.pull != nil && c.pull.head.Version <= id.Version {
		c.pull = nil
	}
	if c.copy != nil && c.copy.head.Version <= id.Version {
		c.copy = nil
	}
	out := c.sendToChildren(step)
	return append(out, c.reportApplied(now)...)
}

// Step handles a message and returns the messages to send. from must be the
// instance that the link has authenticated.
func (c *Core) Step(now time.Time, from string, m Message) []Out {
	switch m.Kind {
	case KindAnnounce:
		return c.onAnnounce(now, from, m.Head)
	case KindStepsRequest:
		return c.onStepsRequest(now, from, m)
	case KindSteps:
		return c.onSteps(now, from, m)
	case KindManifest:
		return c.onManifest(now, from, m)
	case KindSectionsRequest:
		return c.onSectionsRequest(from, m)
	case KindSections:
		return c.onSections(now, from, m)
	case KindApplied:
		return c.onApplied(now, from, m.Head)
	case KindRegion:
		c.onRegion(now, from, m.State)
	}
	return nil
}

// Tick runs the periodic work and returns the messages to send. The host calls it
// every TickInterval.
//
// Comparing versions with random peers repairs a lost message or a dead instance
// in the tree: an instance that is behind finds out within a few intervals,
// whatever was lost, at a cost that does not grow with the region.
func (c *Core) Tick(now time.Time) []Out {
	var out []Out
	for _, p := range c.drawPeers() {
		out = append(out, c.message(p, Message{Kind: KindAnnounce}))
	}
	if c.pull != nil && now.Sub(c.pull.since) > c.pacer.timeout() {
		c.pull = nil
		c.pacer.recordFailure()
	}
	if now.Sub(c.appliedAt) >= appliedInterval {
		out = append(out, c.reportApplied(now)...)
	}
	return out
}

// drawPeers draws the peers to compare versions with in one Tick: members of the
// own region, and for relays and voters also a relay or voter of another region.
func (c *Core) drawPeers() []string {
	near := c.idsOf(func(p Peer) bool { return p.Region == c.self.Region })
	drawn := c.draw(near, comparePeers)
	if c.self.Relay || c.self.Voter {
		far := c.idsOf(func(p Peer) bool { return p.Region != c.self.Region && (p.Voter || p.Relay) })
		drawn = append(drawn, c.draw(far, 1)...)
	}
	return drawn
}

// draw returns up to n distinct ids at random. It reorders ids.
func (c *Core) draw(ids []string, n int) []string {
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// idsOf returns the ids of the peers that match.
func (c *Core) idsOf(match func(Peer) bool) []string {
	var ids []string
	for _, p := range c.peers {
		if match(p) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// message addresses a message and sets its Head to the version in force.
func (c *Core) message(id string, m Message) Out {
	m.Head = c.head
	return Out{To: id, Message: m}
}
