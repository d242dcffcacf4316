package node

import (
	"context"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/bundle/spread"
	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/coord/roster"
	"github.com/gullhaven/gullhaven/node/members"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/settings"
)

func (n *Node) openMembers() error {
	meta, err := members.Meta{CallerAddress: n.s.Advertise.Callers, StartMillis: n.incarnation()}.Encode()
	if err != nil {
		return err
	}
	self := membership.Member{
		ID: n.s.Instance, Region: n.s.Region, Zone: n.s.Zone, Address: n.s.Advertise.Instances,
		Incarnation: n.incarnation(), Meta: meta,
	}
	if n.claimKeeper != nil {
		// No event reports this instance itself. Without this, the claims of its earlier
		// incarnation would count as running here for the claims' lifetime, at least in a
		// region with one voter, and each retry would be told to come back later.
		n.claimKeeper.observe(self)
	}
	n.members, err = members.New(members.Options{
		Self:    self,
		Seeds:   n.regionSeeds(),
		Hub:     n.hub,
		Rand:    newRand(),
		Log:     n.log,
		OnEvent: n.onMember,
		OnView:  n.onView,
	})
	return err
}

// regionSeeds returns the ids of the other instances of this region that the settings name.
func (n *Node) regionSeeds() []string {
	var ids []string
	for _, p := range n.peers() {
		if p.Region == n.s.Region {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// peers returns the other instances that the settings name, each once.
func (n *Node) peers() []settings.Peer {
	var peers []settings.Peer
	for _, p := range slices.Concat(n.s.Seeds, n.s.Voters, n.s.RegionVoters) {
		known := func(o settings.Peer) bool { return o.ID == p.ID }
		if p.ID != n.s.Instance && !slices.ContainsFunc(peers, known) {
			peers = append(peers, p)
		}
	}
	return peers
}

func (n *Node) contacts() []roster.Contact {
	var contacts []roster.Contact
	for _, p := range n.peers() {
		contacts = append(contacts, roster.Contact{ID: p.ID, Region: p.Region, Zone: p.Zone, Address: p.Address})
	}
	return contacts
}

// address returns where an instance listens for links: from the region's members, else from
// other regions' rosters, else from the settings. It returns false if none has it.
func (n *Node) address(id string) (string, bool) {
	if n.members != nil {
		if m, ok := n.members.View().Find(id); ok && m.Address != "" {
			return m.Address, true
		}
	}
	if n.regions != nil {
		if a, ok := n.regions.Address(id); ok {
			return a, true
		}
	}
	for _, p := range n.peers() {
		if p.ID == id {
			return p.Address, true
		}
	}
	return "", false
}

func (n *Node) view() *members.View { return n.members.View() }

func (n *Node) onMember(e membership.Event) {
	if n.claimKeeper != nil && e.State == membership.Alive {
		n.claimKeeper.observe(e.Member)
	}
	if e.State == membership.Alive {
		n.suspects.Joined(e.Member.ID)
	}
}

// onView passes a new view of the region to the parts that use it.
func (n *Node) onView(v *members.View) {
	if n.regions == nil || n.loads == nil {
		return
	}
	var own roster.OwnRegion
	var ids []string
	for _, m := range v.Alive() {
		c := contactOf(m)
		own.Members = append(own.Members, c)
		ids = append(ids, m.ID)
	}
	for _, id := range v.Relays {
		if m, ok := v.Find(id); ok {
			own.Relays = append(own.Relays, contactOf(m))
		}
	}
	n.regions.SetOwn(own)
	n.pipeline.Routing().SetInstances(len(ids))
	n.loads.SetMembers(ids)
	n.limits.SetMembers(ids)
}

func contactOf(m membership.View) roster.Contact {
	return roster.Contact{
		ID: m.ID, Region: m.Region, Zone: m.Zone, Address: m.Address, CallerAddress: members.DecodeMeta(m.Member).CallerAddress,
	}
}

// publishPeers passes the peers of all regions to the spreader until ctx ends.
func (n *Node) publishPeers(ctx context.Context) {
	tick := time.NewTicker(peersInterval)
	defer tick.Stop()
	for {
		n.spreader.SetPeers(n.spreadPeers())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// spreadPeers returns the members of the region, and the relays and voters of others.
func (n *Node) spreadPeers() []spread.Peer {
	v := n.view()
	var peers []spread.Peer
	for _, m := range v.Alive() {
		peers = append(peers, spread.Peer{ID: m.ID, Region: m.Region, Relay: v.IsRelay(m.ID), Voter: n.isVoter(m.ID)})
	}
	for _, r := range n.regions.Rosters() {
		for _, c := range r.Relays {
			peers = append(peers, spread.Peer{ID: c.ID, Region: c.Region, Relay: true, Voter: n.isVoter(c.ID)})
		}
	}
	for _, p := range n.s.Voters {
		known := func(o spread.Peer) bool { return o.ID == p.ID }
		if p.Region != n.s.Region && !slices.ContainsFunc(peers, known) {
			peers = append(peers, spread.Peer{ID: p.ID, Region: p.Region, Voter: true})
		}
	}
	return peers
}

// entriesOf returns the other instances of a region to which requests can be forwarded.
func (n *Node) entriesOf(region string) []roster.Contact {
	if region == n.s.Region {
		var contacts []roster.Contact
		for _, m := range n.view().Alive() {
			if m.ID != n.s.Instance {
				contacts = append(contacts, contactOf(m))
			}
		}
		return contacts
	}
	for _, r := range n.regions.Rosters() {
		if r.Region == region {
			return slices.Clone(r.Entries)
		}
	}
	return nil
}

// otherEntries returns the instances of other regions, for the directory.
func (n *Node) otherEntries() []ports.DirectoryEntry {
	var entries []ports.DirectoryEntry
	for _, r := range n.regions.Rosters() {
		for _, c := range r.Entries {
			if c.CallerAddress != "" {
				entries = append(entries, entryOf(c.ID, c.CallerAddress, c.Region, c.Zone))
			}
		}
	}
	return entries
}
