package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
)

// memberState is what a relay knows of an instance of its region.
type memberState struct {
	head bundle.Identity
	// behindSince is when it was found behind; zero while it is not.
	behindSince time.Time
}

// tellApplied reports the version in force to the relays of the region and,
// at a relay, the state of the region to voters and relays elsewhere.
func (c *Core) tellApplied(now time.Time) []Out {
	c.appliedAt = now
	var out []Out
	for _, p := range c.peers {
		if p.Relay && p.Region == c.self.Region {
			out = append(out, c.to(p.ID, Message{Kind: KindApplied}))
		}
	}
	return append(out, c.tellRegion(now)...)
}

// tellRegion sends the state of the own region on, at a relay. Every relay and
// voter learns it, so that a cut-off region is seen as behind on each side.
func (c *Core) tellRegion(now time.Time) []Out {
	if !c.self.Relay {
		return nil
	}
	state := c.regionState(now)
	var out []Out
	for _, p := range c.peers {
		if p.Voter || p.Relay {
			out = append(out, c.to(p.ID, Message{Kind: KindRegion, State: &state}))
		}
	}
	return out
}

// onApplied notes the version of a member. The region's state goes out early
// only when the last member has come up to the newest version, which is the
// moment that operators wait for.
func (c *Core) onApplied(now time.Time, from string, head bundle.Identity) []Out {
	if !c.inRegion(from) || head.Version < c.members[from].head.Version {
		return nil
	}
	before := c.members[from].head.Version
	c.members[from] = memberState{head: head, behindSince: c.members[from].behindSince}
	out := c.onHave(now, from, head)
	if head.Version > before && len(c.regionState(now).Behind) == 0 {
		out = append(out, c.tellRegion(now)...)
	}
	return out
}

// heardRegion is what one relay last told.
type heardRegion struct {
	state RegionState
	at    time.Time
}

// onRegion keeps the newest state that each relay told of its region. Relays
// are kept apart, as their wall clocks, which State.At comes from, may differ.
func (c *Core) onRegion(now time.Time, from string, state *RegionState) {
	speaksFor := func(p Peer) bool { return p.ID == from && state != nil && p.Region == state.Region }
	if !slices.ContainsFunc(c.peers, speaksFor) {
		c.stats.Refused++
		return
	}
	if state.At.After(c.regions[from].state.At) {
		c.regions[from] = heardRegion{state: *state, at: now}
	}
}

// regionState compares the members of the region with the newest version.
func (c *Core) regionState(now time.Time) RegionState {
	state := RegionState{Region: c.self.Region, At: now, Newest: c.head}
	ids := append(c.idsOf(func(p Peer) bool { return p.Region == c.self.Region }), c.self.ID)
	slices.Sort(ids)
	state.Members = len(ids)
	for _, id := range ids {
		m := c.members[id]
		if id == c.self.ID {
			m.head = c.head
		}
		if m.head.Version >= c.head.Version {
			m.behindSince = time.Time{}
			state.InForce++
		} else if m.behindSince.IsZero() {
			m.behindSince = now
		}
		c.members[id] = m
		if !m.behindSince.IsZero() && len(state.Behind) < MaxBehind {
			state.Behind = append(state.Behind, Behind{Instance: id, Version: m.head.Version, Since: m.behindSince})
		}
	}
	return state
}

// Regions returns the last heard state of each region, by id. Relays and voters
// know all regions, other instances none.
func (c *Core) Regions(now time.Time) []RegionState {
	newest := map[string]heardRegion{}
	if c.self.Relay {
		newest[c.self.Region] = heardRegion{state: c.regionState(now), at: now}
	}
	for _, h := range c.regions {
		if h.at.After(newest[h.state.Region].at) {
			newest[h.state.Region] = h
		}
	}
	states := make([]RegionState, 0, len(newest))
	for _, h := range newest {
		states = append(states, h.state)
	}
	slices.SortFunc(states, func(x, y RegionState) int { return cmp.Compare(x.Region, y.Region) })
	return states
}

// inRegion reports whether an instance is a known member of the own region.
func (c *Core) inRegion(id string) bool {
	return slices.ContainsFunc(c.peers, func(p Peer) bool { return p.ID == id && p.Region == c.self.Region })
}

// forgetMembers drops what is known of instances that are no longer members.
func (c *Core) forgetMembers() {
	maps.DeleteFunc(c.members, func(id string, _ memberState) bool {
		return id != c.self.ID && !c.inRegion(id)
	})
	maps.DeleteFunc(c.regions, func(id string, _ heardRegion) bool {
		return !slices.ContainsFunc(c.peers, func(p Peer) bool { return p.ID == id })
	})
}
