package node

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/api"
	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/spread"
	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/node/group"
)

const (
	// channelRegions is the link channel on which relays report what they know of all regions.
	channelRegions = "status-regions"
	// channelVoters is the link channel on which instances report the voters of the global
	// group.
	channelVoters = "status-voters"
	// maxStatusCalls bounds the calls of each channel that are served at once.
	maxStatusCalls = 2
	// relayTimeout bounds the wait for another instance's report.
	relayTimeout = 500 * time.Millisecond
	// voterTimeout is how long a voter may be silent before it counts as unreachable.
	voterTimeout = 3 * time.Second
)

// Status reports what this instance knows.
func (o *operator) Status(context.Context) (*operators.InstanceReport, error) {
	n := o.node
	head := n.spreader.Head()
	return &operators.InstanceReport{
		Instance:  n.s.Instance,
		Region:    n.s.Region,
		Zone:      n.s.Zone,
		Roles:     n.roles(),
		Version:   head.Version,
		Digest:    string(head.Digest),
		Leader:    n.globalLeader(),
		InFlight:  n.pipeline.InFlight(),
		UptimeMs:  time.Since(n.started).Milliseconds(),
		Regions:   n.regionStatus(head),
		Targets:   n.targetStatus(),
		Instances: n.instanceStatus(),
		Lease:     n.globalLease(),
		Voters:    n.voterStatus(),
		Services:  api.ServiceStatuses(n.s.Region, n.served.Figures(time.Now())),
	}, nil
}

// roles returns the roles of this instance; every instance is an entry instance.
func (n *Node) roles() []string {
	roles := []string{"entry"}
	if local := n.global.Local(); local != nil {
		roles = append(roles, voterRole(local))
	}
	if n.view().IsRelay(n.s.Instance) {
		roles = append(roles, "relay")
	}
	if n.claimKeeper == nil {
		return roles
	}
	roles = append(roles, "region_"+voterRole(n.claimKeeper.local))
	if !n.claimKeeper.local.Node.LeaseUntil().IsZero() {
		roles = append(roles, "region_leader")
	}
	return roles
}

// voterRole returns whether a member is a voter of its group: one that lost its disk is none
// until the log has readmitted it.
func voterRole(m *group.Member) string {
	if m.Node.Status().Core.Config.IsVoter(m.Node.Member()) {
		return "voter"
	}
	return "readmitting"
}

// leads reports whether a member leads its group.
func leads(s replhost.Status) bool {
	return s.State == replhost.Running && s.Core.Role == replog.Leader
}

// leaseOf returns the lease of a group that this instance leads; nil otherwise.
func (n *Node) leaseOf(m *group.Member) *operators.LeaseStatus {
	if m == nil || !leads(m.Node.Status()) {
		return nil
	}
	until := m.Node.LeaseUntil()
	return &operators.LeaseStatus{
		Instance: n.s.Instance,
		Term:     m.Node.Status().Core.Term,
		LeftMs:   max(0, time.Until(until).Milliseconds()),
	}
}

func (n *Node) globalLease() *operators.LeaseStatus { return n.leaseOf(n.global.Local()) }

func (n *Node) regionLease() *operators.LeaseStatus {
	if n.claimKeeper == nil {
		return nil
	}
	return n.leaseOf(n.claimKeeper.local)
}

// voterStatus lists the voters of the global group as the leader knows them, or as this
// instance does if the leader is not reached.
func (n *Node) voterStatus() []*operators.VoterStatus {
	local := n.global.Local()
	if local == nil {
		return n.fetchVoters(n.view().Relays[0])
	}
	s := local.Node.Status()
	if !leads(s) && s.Core.Leader.ID != n.s.Instance {
		if list := n.fetchVoters(s.Core.Leader.ID); len(list) > 0 {
			return list
		}
	}
	return n.localVoters(s)
}

// fetchVoters asks another instance for its list; empty if it does not answer.
func (n *Node) fetchVoters(id string) []*operators.VoterStatus {
	list := []*operators.VoterStatus{}
	if id == "" || id == n.s.Instance {
		return list
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	data, err := n.hub.Call(ctx, id, channelVoters, nil)
	if err != nil || cbor.Unmarshal(data, &list) != nil {
		return []*operators.VoterStatus{}
	}
	return list
}

// serveVoters answers with what this instance itself knows, so that two instances that take
// each other for the leader do not ask each other in turn.
func (n *Node) serveVoters(context.Context, string, []byte) ([]byte, error) {
	if local := n.global.Local(); local != nil {
		return cbor.Marshal(n.localVoters(local.Node.Status()))
	}
	return cbor.Marshal([]*operators.VoterStatus{})
}

// localVoters lists the voters as this voter knows them.
func (n *Node) localVoters(s replhost.Status) []*operators.VoterStatus {
	list := []*operators.VoterStatus{}
	for _, peer := range n.s.Voters {
		v := &operators.VoterStatus{Instance: peer.ID, Region: peer.Region, State: "follower", Disk: "unknown"}
		n.describeVoter(v, s)
		list = append(list, v)
	}
	return list
}

// describeVoter fills in what the log says: for this instance everything, and at the leader
// what the others have synced.
func (n *Node) describeVoter(v *operators.VoterStatus, s replhost.Status) {
	if v.Instance == s.Core.Leader.ID {
		v.State = "leader"
	}
	if v.Instance == n.s.Instance {
		v.State, v.Disk, v.Index = s.Core.Role.String(), ownDisk(s), s.Core.Last
		return
	}
	for _, p := range s.Core.Peers {
		if p.Member.ID != v.Instance {
			continue
		}
		v.Index, v.Disk = p.Match, "ok"
		if !p.Voter {
			v.State, v.Disk = "learner", "readmitting"
		}
		if time.Since(p.Active) > voterTimeout {
			v.State, v.Disk = "unreachable", "unknown"
		}
	}
	for _, m := range s.Core.OtherIncarnations {
		if m.ID == v.Instance {
			v.Disk = "empty"
		}
	}
}

func ownDisk(s replhost.Status) string {
	switch {
	case s.State == replhost.Failed:
		return "failed"
	case s.Core.Role == replog.Blank:
		return "empty"
	case !s.Core.Config.IsVoter(s.Core.Self):
		return "readmitting"
	default:
		return "ok"
	}
}

func (n *Node) globalLeader() string {
	if local := n.global.Local(); local != nil {
		return local.Node.Status().Core.Leader.ID
	}
	return ""
}

// regionStatus lists the regions of the bundle with the version in force there. Instances
// other than relays and voters know only their own region, and ask a relay for the others.
func (n *Node) regionStatus(head bundle.Identity) []*operators.RegionStatus {
	known := map[string]*operators.RegionStatus{}
	for _, s := range n.knownRegions() {
		known[s.Region] = n.regionStatusOf(s, head)
	}
	list := []*operators.RegionStatus{}
	for _, id := range n.regionIDs() {
		s := known[id]
		if s == nil {
			s = &operators.RegionStatus{Region: id, Behind: true, Reachable: id == n.s.Region || n.regions.Reachable(id)}
		}
		if id == n.s.Region {
			s.Lease = n.regionLease()
		}
		list = append(list, s)
	}
	return list
}

// regionStatusOf compares what a region's relay reported with the version in force here.
func (n *Node) regionStatusOf(s spread.RegionState, head bundle.Identity) *operators.RegionStatus {
	status := &operators.RegionStatus{
		Region:    s.Region,
		Version:   s.Newest.Version,
		Digest:    string(s.Newest.Digest),
		Reachable: s.Region == n.s.Region || n.regions.Reachable(s.Region),
		Behind:    s.Newest.Version < head.Version || len(s.Behind) > 0,
		AgeMs:     time.Since(s.At).Milliseconds(),
	}
	for _, b := range s.Behind {
		status.Lagging = append(status.Lagging, &operators.LaggingInstance{
			Instance: b.Instance, Version: b.Version, ForMs: time.Since(b.Since).Milliseconds(),
		})
	}
	return status
}

// knownRegions returns the states of all regions. Relays and voters know them; another instance
// asks a relay of its region, and returns none if that does not answer.
func (n *Node) knownRegions() []spread.RegionState {
	if own := n.spreader.Regions(); len(own) > 0 {
		return own
	}
	relay := n.view().Relays[0]
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	data, err := n.hub.Call(ctx, relay, channelRegions, nil)
	var states []spread.RegionState
	if err == nil {
		err = cbor.Unmarshal(data, &states)
	}
	if err != nil {
		return nil
	}
	return states
}

// serveRegions answers instances that know only their own region.
func (n *Node) serveRegions(context.Context, string, []byte) ([]byte, error) {
	return cbor.Marshal(n.spreader.Regions())
}

func (n *Node) regionIDs() []string {
	v := n.pipeline.View()
	if v == nil {
		return []string{n.s.Region}
	}
	var ids []string
	for _, r := range v.Bundle.Regions {
		ids = append(ids, r.ID)
	}
	return ids
}

func (n *Node) targetStatus() []*operators.TargetStatus {
	list := []*operators.TargetStatus{}
	for _, spec := range n.loads.States() {
		seen, at := n.loads.LastObservation(string(spec.ID))
		t := &operators.TargetStatus{
			ID:      string(spec.ID),
			Service: spec.Service,
			State:   spec.State.String(),
			Running: seen.Running,
			Waiting: seen.Waiting,
		}
		if !at.IsZero() {
			t.AgeMs = time.Since(at).Milliseconds()
		}
		list = append(list, t)
	}
	return list
}

func (n *Node) instanceStatus() []*operators.InstanceStatus {
	list := []*operators.InstanceStatus{}
	for _, m := range n.view().Members {
		state := m.State.String()
		if m.Leaving || m.State == membership.Left {
			state = "leaving"
		}
		list = append(list, &operators.InstanceStatus{ID: m.ID, Region: m.Region, Zone: m.Zone, State: strings.ToLower(state)})
	}
	return list
}
