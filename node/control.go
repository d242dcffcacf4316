package node

import (
	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/node/group"
	"github.com/gullhaven/gullhaven/route"
)

// control returns the counters of everything besides the request path.
func (n *Node) control() metrics.Control {
	var c metrics.Control
	n.linkControl(&c)
	n.bundleControl(&c)
	n.logControl(&c)
	n.ringControl(&c)
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
	c.LinkBadBatches = int64(s.BadBatches)
	l := metrics.SumLinks(s)
	c.LinkPingTimeouts, c.LinkLateAnswers = l.PingTimeouts, l.Late
	c.LinkMessagesSent, c.LinkBytesSent = l.Sent, l.SentBytes
	c.LinkMessagesReceived, c.LinkBytesReceived = l.Received, l.ReceivedBytes
	c.LinkRefused, c.LinkDropped, c.LinkOverflow = l.Refused, l.Dropped, l.Overflow
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

// logControl adds the counters of all groups' clients, and of the members that run here.
func (n *Node) logControl(c *metrics.Control) {
	if m := n.global.Local(); m != nil {
		c.LogApplied = int64(m.Node.Status().Applied)
	}
	groupControl(c, n.global)
	for _, client := range n.claims.groups {
		groupControl(c, client)
	}
}

// groupControl adds the counters of one group.
func groupControl(c *metrics.Control, client *group.Client) {
	counters := client.Counters()
	c.LogProposals += int64(counters.Proposals)
	c.LogProposalFailures += int64(counters.Failures)
	if m := client.Local(); m != nil {
		memberLogControl(c, m.Node.Status())
	}
}

// ringControl adds the items that full rings rejected. Each is sent again in a later round, so
// that nothing else would show the loss.
func (n *Node) ringControl(c *metrics.Control) {
	for _, refused := range []uint64{
		n.members.Refused(), n.spreader.Refused(), n.regions.Refused(), n.loads.Refused(), n.history.refused(),
	} {
		c.RingRefused += int64(refused)
	}
}

func memberLogControl(c *metrics.Control, s replhost.Status) {
	c.LogSyncs += int64(s.Counters.Syncs)
	c.LogSyncedEntries += int64(s.Counters.SyncedEntries)
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
