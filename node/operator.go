package node

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/api"
	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/node/group"
	"github.com/gullhaven/gullhaven/node/rollout"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/route"
)

// rollAgain is when to send a bundle again after no majority was reached.
const rollAgain = time.Second

// rollTimeout bounds the wait for the answer to a rolled bundle.
const rollTimeout = 10 * time.Second

// operator answers what operators ask of this instance.
type operator struct{ node *Node }

// Roll hands a signed bundle to the leader of the global group.
func (o *operator) Roll(ctx context.Context, signed []byte) (*operators.RollResult, error) {
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	before := o.node.spreader.Head()
	data, err := o.node.Roll(ctx, signed)
	if err != nil {
		return nil, rollError(err)
	}
	var r bundle.Result
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, api.CodeNoQuorum, "the leader's answer is malformed")
	}
	if !r.Accepted() {
		return nil, verdict.New(verdict.NotRun, refusalCode(r.Outcome), r.String())
	}
	again := r.Version <= before.Version
	return &operators.RollResult{Version: r.Version, Digest: string(r.Digest), Accepted: true, Again: again}, nil
}

// refusalCode is the code of an outcome that is no acceptance.
func refusalCode(o bundle.Outcome) verdict.Code {
	switch o {
	case bundle.OutcomeInvalid:
		return api.CodeBundleInvalid
	case bundle.OutcomeUnsigned:
		return api.CodeBundleUnsigned
	default:
		return api.CodeBundleConflict
	}
}

// rollError says what became of a proposal without an answer. The same bytes
// may always be sent again.
func rollError(err error) error {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return err
	}
	c := *e
	if c.Code == rollout.CodeMalformed {
		c.Code = api.CodeBundleMalformed
		return &c
	}
	c.Code, c.RetryAfter = api.CodeNoQuorum, rollAgain
	return &c
}

// Burn reports service-level burn as this instance has seen it.
func (o *operator) Burn(context.Context) (*operators.BurnReport, error) {
	v := o.node.bundleView()
	if v == nil {
		return nil, verdict.New(verdict.NotRun, pipeline.CodeNotInForce, "no bundle is in force yet")
	}
	return api.BurnReport(o.node.s.Instance, v.Bundle.Services, o.node.burn, time.Now()), nil
}

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
	}, nil
}

// roles are what the instance does besides taking requests.
func (n *Node) roles() []string {
	roles := []string{"entry"}
	if local := n.global.Local(); local != nil {
		roles = append(roles, voterRole(local))
	}
	if n.view().IsRelay(n.s.Instance) {
		roles = append(roles, "relay")
	}
	if n.keeper != nil && !n.keeper.local.Node.LeaseUntil().IsZero() {
		roles = append(roles, "region_leader")
	}
	return roles
}

// voterRole tells whether a member of the global group counts in it: one that
// lost its disk does not until the log has readmitted it.
func voterRole(m *group.Member) string {
	if m.Node.Status().Core.Config.IsVoter(m.Node.Member()) {
		return "voter"
	}
	return "readmitting"
}

func (n *Node) globalLeader() string {
	if local := n.global.Local(); local != nil {
		return local.Node.Status().Core.Leader.ID
	}
	return ""
}

// regionStatus lists the regions of the bundle with what is in force there.
// Instances that are no relays know only their own.
func (n *Node) regionStatus(head bundle.Identity) []*operators.RegionStatus {
	known := map[string]*operators.RegionStatus{}
	for _, s := range n.spreader.Regions() {
		known[s.Region] = &operators.RegionStatus{
			Region:    s.Region,
			Version:   s.Newest.Version,
			Digest:    string(s.Newest.Digest),
			Reachable: s.Region == n.s.Region || n.regions.Reachable(s.Region),
			Behind:    s.Newest.Version < head.Version || len(s.Behind) > 0,
			AgeMs:     time.Since(s.At).Milliseconds(),
		}
	}
	list := []*operators.RegionStatus{}
	for _, id := range n.regionIDs() {
		s := known[id]
		if s == nil {
			s = &operators.RegionStatus{Region: id, Behind: true, Reachable: id == n.s.Region || n.regions.Reachable(id)}
		}
		list = append(list, s)
	}
	return list
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

// stateNames are the words of the interface for a target's state.
var stateNames = map[route.State]string{
	route.Warm: "warm", route.Loading: "loading", route.Leaving: "leaving", route.Down: "down",
}

func (n *Node) targetStatus() []*operators.TargetStatus {
	list := []*operators.TargetStatus{}
	for _, spec := range n.loads.States() {
		seen, at := n.loads.Seen(string(spec.ID))
		t := &operators.TargetStatus{
			ID:      string(spec.ID),
			Service: spec.Service,
			State:   stateNames[spec.State],
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
