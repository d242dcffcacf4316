package node

import (
	"cmp"
	"context"
	"slices"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/route"
)

// deferredHolder forwards calls to the Routing, which is created after it.
type deferredHolder struct{ routing *pipeline.Routing }

// SetReserved replaces the targets kept free for lone runs.
func (h *deferredHolder) SetReserved(targets []route.TargetID) { h.routing.SetReserved(targets) }

// regionView is the region as lone runs see it.
type regionView struct{ n *Node }

// Others returns the live instances of the region except this one.
func (r regionView) Others() []string {
	var ids []string
	for _, m := range r.n.view().Alive() {
		if m.ID != r.n.s.Instance {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Owner returns the instance that owns the lone runs of the region; empty if there is none.
func (r regionView) Owner() string { return r.n.view().Relays[0] }

// Incarnation returns the number of a target's incarnation.
func (r regionView) Incarnation(target string) uint64 {
	seen, _ := r.n.loads.LastObservation(target)
	return seen.Incarnation
}

// Candidates returns the warm targets of a service, least loaded first.
func (r regionView) Candidates(service string) []string {
	var ids []string
	load := map[string]int{}
	for _, spec := range r.n.loads.States() {
		if spec.Service != service || spec.State != route.Warm {
			continue
		}
		seen, _ := r.n.loads.LastObservation(string(spec.ID))
		ids = append(ids, string(spec.ID))
		load[string(spec.ID)] = seen.Running + seen.Waiting
	}
	slices.SortStableFunc(ids, func(x, y string) int { return cmp.Compare(load[x], load[y]) })
	return ids
}

// Idle asks an engine whether it runs nothing. A plain service can't tell and counts as idle,
// so that a suspect runs there beside earlier requests.
func (r regionView) Idle(ctx context.Context, target string) bool {
	v := r.n.bundleView()
	t := v.Target(route.TargetID(target))
	if t == nil {
		return false
	}
	if s := v.Service(t.Service); s == nil || s.Kind != bundle.KindModel {
		return true
	}
	report, err := r.n.engines.Engine(t.Address).Load(ctx)
	return err == nil && report.Running == 0 && report.Waiting == 0
}
