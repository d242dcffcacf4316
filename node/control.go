package node

import (
	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/node/group"
	"github.com/gullhaven/gullhaven/route"
)

// control reads the counters of everything beside the request path.
func (n *Node) control() metrics.Control {
	var c metrics.Control
	n.linkControl(&c)
	n.bundleControl(&c)
	for _, m := range n.localGroups() {
		logControl(&c, m.Node.Status())
	}
	n.memberControl(&c)
	n.targetControl(&c)
	c.Suspects = int64(n.suspects.Len())
	c.LimitBuckets = int64(n.limits.Len())
	if n.claimTable != nil {
		c.ClaimsHeld = int64(n.claimTable.Status().Records)
	}
	if n.placing != nil {
		counts := n.placing.Status().Counts
		c.OrdersSent, c.OrdersFailed = int64(counts.Sent), int64(counts.Refused+counts.Expired)
	}
	return c
}

func (n *Node) linkControl(c *metrics.Control) {
	s := n.hub.Stats()
	c.LinkConnections = int64(s.Connections)
	c.LinkDials, c.LinkDialFailures = int64(s.Dials), int64(s.DialFailures)
	c.LinkAcceptRefusals = int64(s.AcceptRefusals)
	c.LinkPingTimeouts, c.LinkLateAnswers = int64(s.PingTimeouts), int64(s.LateAnswers)
	c.LinkBadBatches = int64(s.BadBatches)
	for _, channel := range s.Channels {
		c.LinkMessagesSent += int64(channel.Sent)
		c.LinkBytesSent += int64(channel.SentBytes)
		c.LinkMessagesReceived += int64(channel.Received)
		c.LinkBytesReceived += int64(channel.ReceivedBytes)
		c.LinkRefused += int64(channel.Refused)
		c.LinkDropped += int64(channel.Dropped)
		c.LinkOverflow += int64(channel.Overflow)
	}
}

func (n *Node) bundleControl(c *metrics.Control) {
	s := n.spreader.Stats()
	head := n.spreader.Head()
	c.BundleVersion = int64(head.Version)
	c.BundleInstalls, c.BundleWholeCopies = int64(s.Installed), int64(s.WholeCopies)
	c.SpreadRefused, c.SpreadLate = int64(s.Refused), int64(s.Late)
	for _, r := range n.regionStatus(head) {
		if r.Behind {
			c.RegionsBehind++
		}
		if !r.Reachable {
			c.RegionsUnreachable++
		}
	}
}

// localGroups are the replicated groups that this instance is a member of.
func (n *Node) localGroups() []*group.Member {
	var local []*group.Member
	if m := n.global.Local(); m != nil {
		local = append(local, m)
	}
	for _, client := range n.claims.groups {
		if m := client.Local(); m != nil {
			local = append(local, m)
		}
	}
	return local
}

func logControl(c *metrics.Control, s replhost.Status) {
	c.LogSyncs += int64(s.Counters.Syncs)
	c.LogSyncedEntries += int64(s.Counters.SyncedEntries)
	c.LogApplied += int64(s.Applied)
	c.LogSnapshots += int64(s.Counters.Snapshots)
	c.LogSnapshotErrors += int64(s.Counters.SnapshotErrors)
	c.LogMalformed += int64(s.Counters.Malformed)
	c.LogDropped += int64(s.Counters.Dropped)
	if leads(s) {
		c.LogLeading++
	}
}

func (n *Node) memberControl(c *metrics.Control) {
	for _, m := range n.view().Members {
		switch {
		case m.State == membership.Dead:
			c.MembersDead++
		case m.State == membership.Left || m.Leaving:
			c.MembersLeaving++
		case m.State == membership.Suspect:
			c.MembersSuspect++
		default:
			c.MembersAlive++
		}
	}
}

func (n *Node) targetControl(c *metrics.Control) {
	for _, t := range n.loads.States() {
		switch t.State {
		case route.Loading:
			c.TargetsLoading++
		case route.Leaving:
			c.TargetsLeaving++
		case route.Down:
			c.TargetsDown++
		default:
			c.TargetsWarm++
		}
	}
}
