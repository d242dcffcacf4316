package node

import (
	"path/filepath"
	"slices"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/node/group"
	"github.com/gullhaven/gullhaven/node/rollout"
)

func regionGroup(region string) string { return "region-" + region }

// openGroups opens the groups that this instance is a voter of and makes
// clients of all.
func (n *Node) openGroups() error {
	machine := rollout.NewMachine(n.s.Bootstrap.Trust(), n.spreader.Accepted)
	voters := n.votersOf("")
	local, err := n.openGroup(voters, group.Options{
		Name: globalGroup, StateMachine: machine, Prepare: machine.Prepare,
		HeartbeatInterval: globalHeartbeat, ElectionTimeout: globalElection,
	})
	if err != nil {
		return err
	}
	n.global = group.NewClient(globalGroup, voters, n.hub, local)
	n.claims = &claims{groups: map[string]*group.Client{}}
	for _, region := range n.votersRegions() {
		if err := n.openRegionGroup(region); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) openRegionGroup(region string) error {
	voters := n.votersOf(region)
	name := regionGroup(region)
	local, err := n.openGroup(voters, group.Options{Name: name, StateMachine: claim.NewTable()})
	if err != nil {
		return err
	}
	n.claims.groups[region] = group.NewClient(name, voters, n.hub, local)
	if local != nil {
		n.keeper = newKeeper(local, n.log)
	}
	return nil
}

// openGroup opens this instance's member of a group; nil if it is none.
func (n *Node) openGroup(voters []string, o group.Options) (*group.Member, error) {
	if !n.s.Voter || !slices.Contains(voters, n.s.Instance) {
		return nil, nil
	}
	o.Self, o.Members, o.Hub = n.s.Instance, voters, n.hub
	o.Dir = filepath.Join(n.s.DataDir, o.Name)
	return group.Open(o)
}

// votersOf are the ids of the voters of a region; of all if it is empty.
func (n *Node) votersOf(region string) []string {
	var ids []string
	for _, v := range n.s.Voters {
		if region == "" || v.Region == region {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

func (n *Node) votersRegions() []string {
	var ids []string
	for _, v := range n.s.Voters {
		if !slices.Contains(ids, v.Region) {
			ids = append(ids, v.Region)
		}
	}
	return ids
}

func (n *Node) isVoter(id string) bool { return slices.Contains(n.votersOf(""), id) }

func (n *Node) stopMember(m *group.Member) {
	if err := m.Stop(); err != nil {
		n.log.Error("replicated log ended with an error", zap.Error(err))
	}
}
