package node

import (
	"path/filepath"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/node/group"
	"github.com/gullhaven/gullhaven/node/placing"
	"github.com/gullhaven/gullhaven/node/registered"
	"github.com/gullhaven/gullhaven/node/rollout"
	"github.com/gullhaven/gullhaven/settings"
)

func regionGroup(region string) string { return "region-" + region }

// openGroups opens the groups in which this instance is a voter, and makes clients of all
// groups.
func (n *Node) openGroups() error {
	machine := rollout.NewMachine(n.s.Bootstrap.Trust(), n.spreader.Head, n.spreader.HandleAccepted)
	voters := idsOf(n.s.Voters)
	local, err := n.openGroup(voters, group.Options{
		Name: globalGroup, StateMachine: machine, Prepare: machine.Prepare,
		HeartbeatInterval: globalHeartbeat, ElectionTimeout: globalElection,
		MaxProposalBytes: maxBundleEntry,
	})
	if err != nil {
		return err
	}
	n.global = group.NewClient(globalGroup, voters, n.hub, local)
	n.claims = &claims{groups: map[string]*group.Client{}}
	for _, region := range n.s.VoterRegions() {
		if err := n.openRegionGroup(region); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) openRegionGroup(region string) error {
	voters := idsOf(n.s.VotersOf(region))
	name := regionGroup(region)
	table := registered.NewTable()
	local, err := n.openGroup(voters, group.Options{Name: name, StateMachine: table, Prepare: table.Prepare})
	if err != nil {
		return err
	}
	n.claims.groups[region] = group.NewClient(name, voters, n.hub, local)
	if local != nil {
		registrar := registered.NewRegistrar(registered.Options{
			Name: name, Node: local.Node, Table: table, Global: n.global, Lifetime: n.claimLifetime, Log: n.log,
		})
		n.claimKeeper = newClaimKeeper(local, registrar, n.log)
		n.claimTable = table
	}
	return nil
}

// openPlacing creates the placing service at a voter of the region's group. It acts while that
// voter leads.
func (n *Node) openPlacing() {
	if n.claimKeeper == nil {
		return
	}
	n.placing = placing.New(placing.Options{
		Region:     n.s.Region,
		Engines:    n.engines,
		Leadership: placing.GroupLeadership{Node: n.claimKeeper.local.Node},
		Log:        n.log,
	})
}

// watchGroup logs when a replicated log of this instance fails. The instance keeps serving
// without it, and nothing else shows the failure.
func (n *Node) watchGroup(m *group.Member, name string) {
	<-m.Node.Done()
	if s := m.Node.Status(); s.State == replhost.Failed {
		n.log.Error("replicated log failed", zap.String("group", name), zap.Error(s.Err))
	}
}

// claimLifetime returns the claim lifetime of the bundle in force; 0 before the first.
func (n *Node) claimLifetime() time.Duration {
	v := n.bundleView()
	if v == nil {
		return 0
	}
	return time.Duration(v.Bundle.Rules.ClaimLifetimeSeconds) * time.Second
}

// openGroup opens this instance's member of a group; nil if it is not a voter.
func (n *Node) openGroup(voters []string, o group.Options) (*group.Member, error) {
	if !slices.Contains(voters, n.s.Instance) {
		return nil, nil
	}
	o.Self, o.Members, o.Hub = n.s.Instance, voters, n.hub
	o.Dir = filepath.Join(n.s.DataDir, o.Name)
	m, err := group.Open(o)
	if err == nil {
		go n.watchGroup(m, o.Name)
	}
	return m, err
}

// idsOf returns the ids of peers.
func idsOf(peers []settings.Peer) []string {
	var ids []string
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	return ids
}

func (n *Node) isVoter(id string) bool { return slices.Contains(idsOf(n.s.Voters), id) }

func (n *Node) stopMember(m *group.Member) {
	if err := m.Stop(); err != nil {
		n.log.Error("replicated log ended with an error", zap.Error(err))
	}
}
