package spread

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// sendToChildren sends a new version to the instances that this one serves. A
// known change is sent at once, which saves the round trip of a request; step is
// nil if it isn't known.
func (c *Core) sendToChildren(step *Step) []Out {
	m := Message{Kind: KindAnnounce}
	if step != nil && len(step.Delta) <= maxStepBytes {
		m = Message{Kind: KindSteps, Steps: []Step{*step}}
	}
	var out []Out
	for _, id := range c.children() {
		out = append(out, c.message(id, m))
	}
	return out
}

// children returns the ids of the instances that this one sends the version in
// force to.
func (c *Core) children() []string {
	ids := c.regionChildren()
	if c.self.Voter {
		ids = append(ids, c.servedRelays()...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// servedRelays returns the ids of the relays of the regions that this voter
// serves, its own included. Rendezvous hashing assigns each region one voter; a
// region that has voters is served by one of them.
func (c *Core) servedRelays() []string {
	var ids []string
	for _, p := range c.peers {
		if p.Relay && !p.Voter && c.servesRegion(p.Region) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// servesRegion reports whether this voter is the one that serves a region.
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

// regionChildren returns the children of this instance in the tree of its region.
// The relays are the roots. The order of the others changes with each version, so
// that no instance stays below a slow one for long.
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

// regionOrder lists the members of the region, relays first, and the number of
// relays, which are the roots of the tree.
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
			return -cmp.Compare(boolToInt(x.Relay), boolToInt(y.Relay))
		}
		return cmp.Or(cmp.Compare(weight(version, x.ID), weight(version, y.ID)), cmp.Compare(x.ID, y.ID))
	})
	for _, m := range members {
		order = append(order, m.ID)
		roots += boolToInt(m.Relay)
	}
	return order, roots
}

// weight returns the rendezvous weight of an instance for a key.
func weight(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
