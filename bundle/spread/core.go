package spread

import (
	"math/rand/v2"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
)

// Stats count what a Core met.
type Stats struct {
	// Installed versions, and of those the ones taken as whole copies.
	Installed, WholeCopies uint64
	// Refused are messages with content that does not verify: a wrong base, a
	// wrong digest, missing sign-offs.
	Refused uint64
	// Late are messages about versions that were in force here already.
	Late uint64
}

// Core is the state of one instance. It is not safe for several goroutines.
type Core struct {
	self  Peer
	rng   *rand.Rand
	peers []Peer

	current *bundle.Signed
	head    bundle.Identity
	// steps lead up to head without a gap, oldest first.
	steps []Step
	fresh bool
	pull  *pull
	// copy collects a whole copy over pulls, and pace says how much is asked for at once.
	copy *wholeCopy
	pace pace

	appliedAt time.Time
	members   map[string]memberState
	regions   map[string]heardRegion
	stats     Stats
}

// New makes the Core of an instance without a bundle.
func New(self Peer, rng *rand.Rand) *Core {
	return &Core{
		self:    self,
		pace:    newPace(),
		rng:     rng,
		members: map[string]memberState{},
		regions: map[string]heardRegion{},
	}
}

// SetPeers replaces the view of other instances: those of the own region, and
// the relays and voters of others. The entry of the instance itself updates
// whether it is a relay.
func (c *Core) SetPeers(peers []Peer) {
	c.peers = c.peers[:0]
	for _, p := range peers {
		if p.ID == c.self.ID {
			c.self.Relay = p.Relay
			continue
		}
		c.peers = append(c.peers, p)
	}
	c.forgetMembers()
}

// Head is the version in force; zero before the first.
func (c *Core) Head() bundle.Identity { return c.head }

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// Installed returns the bundle in force once after each change; nil otherwise.
func (c *Core) TakeInstalled() *bundle.Signed {
	if !c.fresh {
		return nil
	}
	c.fresh = false
	return c.current
}

// Offer takes in a bundle that this instance knows to be accepted: from its
// own replicated log, or from its disk at the start. An older one is ignored.
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

// stepTo makes the step from the bundle in force; nil where that is not the parent.
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
// hands it on. Without a step the kept ones lead nowhere and are dropped.
func (c *Core) install(now time.Time, id bundle.Identity, s *bundle.Signed, step *Step) []Out {
	c.current, c.head, c.fresh = s, id, true
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
	out := c.toChildren(step)
	return append(out, c.tellApplied(now)...)
}

// Step takes in a message. from is the instance that the link has identified.
func (c *Core) Step(now time.Time, from string, m Message) []Out {
	switch m.Kind {
	case KindAnnounce:
		return c.onHave(now, from, m.Head)
	case KindStepsRequest:
		return c.onAsk(now, from, m)
	case KindSteps:
		return c.onSteps(now, from, m)
	case KindManifest:
		return c.onWhole(now, from, m)
	case KindSectionsRequest:
		return c.onWant(from, m)
	case KindSections:
		return c.onParts(now, from, m)
	case KindApplied:
		return c.onApplied(now, from, m.Head)
	case KindRegion:
		c.onRegion(now, from, m.State)
	}
	return nil
}

// Tick lets time pass; the host calls it every TickInterval.
//
// Comparing with random peers is what repairs a lost message or a dead
// instance in the tree: an instance that is behind finds it out within a few
// intervals, whatever was lost, at a cost that does not grow with the region.
func (c *Core) Tick(now time.Time) []Out {
	var out []Out
	for _, p := range c.comparisons() {
		out = append(out, c.to(p, Message{Kind: KindAnnounce}))
	}
	if c.pull != nil && now.Sub(c.pull.since) > c.pace.patience() {
		c.pull = nil
		c.pace.failed()
	}
	if now.Sub(c.appliedAt) >= appliedEvery {
		out = append(out, c.tellApplied(now)...)
	}
	return out
}

// comparisons draws the peers of one Tick: members of the own region, and for
// relays and voters also one of those elsewhere.
func (c *Core) comparisons() []string {
	near := c.idsOf(func(p Peer) bool { return p.Region == c.self.Region })
	drawn := c.draw(near, comparePeers)
	if c.self.Relay || c.self.Voter {
		far := c.idsOf(func(p Peer) bool { return p.Region != c.self.Region && (p.Voter || p.Relay) })
		drawn = append(drawn, c.draw(far, 1)...)
	}
	return drawn
}

// draw returns up to n of the ids, without repetition.
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

// to addresses a message and stamps it with the version in force.
func (c *Core) to(id string, m Message) Out {
	m.Head = c.head
	return Out{To: id, Message: m}
}
