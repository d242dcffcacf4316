package spread

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// toChildren hands a new version to the instances that this one serves. Where
// the change is known it is sent at once, which saves the round trip of asking.
func (c *Core) toChildren(step *Step) []Out {
	m := Message{Kind: KindAnnounce}
	if step != nil && len(step.Delta) <= maxStepBytes {
		m = Message{Kind: KindSteps, Steps: []Step{*step}}
	}
	var out []Out
	for _, id := range c.children() {
		out = append(out, c.to(id, m))
	}
	return out
}

// children are the instances that this one serves with the version in force.
func (c *Core) children() []string {
	ids := c.regionChildren()
	if c.self.Voter {
		ids = append(ids, c.servedRelays()...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// servedRelays are the relays of the regions that this voter serves, and those
// of its own region. Each region has one voter by rendezvous hashing; a region
// with a voter of its own is served by that one.
func (c *Core) servedRelays() []string {
	var ids []string
	for _, p := range c.peers {
		if p.Relay && !p.Voter && c.servesRegion(p.Region) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// servesRegion reports whether this voter is the one for a region.
func (c *Core) servesRegion(region string) bool {
	best, local := c.self, c.self.Region == region
	for _, p := range c.peers {
		if !p.Voter {
			continue
		}
		near := p.Region == region
		if near != local {
			if near {
				best, local = p, true
			}
			continue
		}
		if weight(region, p.ID) > weight(region, best.ID) {
			best = p
		}
	}
	return best.ID == c.self.ID
}

// regionChildren is the place of this instance in the tree of its region. The
// relays are its roots. The order of the others changes with each version, so
// that no instance stands below a slow one for long.
func (c *Core) regionChildren() []string {
	order, roots := c.regionOrder()
	self := slices.Index(order, c.self.ID)
	if roots == 0 || self < 0 {
		return nil
	}
	first := roots + self*fanOut
	last := min(first+fanOut, len(order))
	if first >= last {
		return nil
	}
	return slices.Clone(order[first:last])
}

// regionOrder lists the members of the region, relays first.
func (c *Core) regionOrder() (order []string, roots int) {
	members := []Peer{c.self}
	for _, p := range c.peers {
		if p.Region == c.self.Region {
			members = append(members, p)
		}
	}
	version := strconv.FormatUint(c.head.Version, 10)
	slices.SortFunc(members, func(x, y Peer) int {
		if x.Relay != y.Relay {
			return -cmp.Compare(truth(x.Relay), truth(y.Relay))
		}
		return cmp.Or(cmp.Compare(weight(version, x.ID), weight(version, y.ID)), cmp.Compare(x.ID, y.ID))
	})
	for _, m := range members {
		order = append(order, m.ID)
		roots += truth(m.Relay)
	}
	return order, roots
}

// weight is the rendezvous weight of an instance for a key.
func weight(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}
