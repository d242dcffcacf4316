package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
)

// memberState is what a relay knows about an instance of its region.
type memberState struct {
	head bundle.Identity
	// behindSince is the time at which it was found behind; zero while it is not.
	behindSince time.Time
}

// reportApplied reports the version in force to the relays of the region and, at
// a relay, the state of the region to all voters and relays.
func (c *Core) reportApplied(now time.Time) []Out {
	c.appliedAt = now
	var out []Out
	for _, p := range c.peers {
		if p.Relay && p.Region == c.self.Region {
			out = append(out, c.message(p.ID, Message{Kind: KindApplied}))
		}
	}
	return append(out, c.reportRegion(now)...)
}

// reportRegion sends the state of the own region to every relay and voter, if this
// instance is a relay. As all of them have it, a partitioned region is seen as
// behind on both sides.
func (c *Core) reportRegion(now time.Time) []Out {
	if !c.self.Relay {
		return nil
	}
	state := c.regionState(now)
	var out []Out
	for _, p := range c.peers {
		if p.Voter || p.Relay {
			out = append(out, c.message(p.ID, Message{Kind: KindRegion, State: &state}))
		}
	}
	return out
}

// onApplied records the version of a member. It reports the state of the region
// ahead of the interval only when the last member has reached the newest version,
// which operators wait for.
func (c *Core) onApplied(now time.Time, from string, head bundle.Identity) []Out {
	if !c.inRegion(from) || head.Version < c.members[from].head.Version {
		return nil
	}
	before := c.members[from].head.Version
	c.members[from] = memberState{head: head, behindSince: c.members[from].behindSince}
	out := c.onAnnounce(now, from, head)
	if head.Version > before && len(c.regionState(now).Behind) == 0 {
		out = append(out, c.reportRegion(now)...)
	}
	return out
}

// receivedState is the last state received from a relay, and the local time of receipt.
type receivedState struct {
	state RegionState
	at    time.Time
}

// onRegion keeps the newest state that each relay reported about its region. There
// is one for each relay, as their wall clocks, which State.At comes from, may differ.
func (c *Core) onRegion(now time.Time, from string, state *RegionState) {
	represents := func(p Peer) bool { return p.ID == from && state != nil && p.Region == state.Region }
	if !slices.ContainsFunc(c.peers, represents) {
		c.stats.Refused++
		return
	}
	if state.At.After(c.regions[from].state.At) {
		c.regions[from] = receivedState{state: *state, at: now}
	}
}

// regionState compares the versions of the region's members with the own one and
// updates since when they are behind.
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

// Regions returns the last received state of each region, sorted by id. Relays and
// voters know all regions, other instances none.
func (c *Core) Regions(now time.Time) []RegionState {
	newest := map[string]receivedState{}
	if c.self.Relay {
		newest[c.self.Region] = receivedState{state: c.regionState(now), at: now}
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

// removeStaleMembers removes the states of instances that are no longer members.
func (c *Core) removeStaleMembers() {
	maps.DeleteFunc(c.members, func(id string, _ memberState) bool {
		return id != c.self.ID && !c.inRegion(id)
	})
	maps.DeleteFunc(c.regions, func(id string, _ receivedState) bool {
		return !slices.ContainsFunc(c.peers, func(p Peer) bool { return p.ID == id })
	})
}
