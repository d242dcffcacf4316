package route

import "slices"

// adapterFilter drops targets that do not list the requested adapter, unless
// targets load adapters on demand.
type adapterFilter struct{}

func (adapterFilter) Apply(s *Snapshot, in []Candidate) []Candidate {
	if s.Request.Adapter == "" || s.Config.AdapterLoad > 0 {
		return in
	}
	return keep(in, func(c *Candidate) bool { return slices.Contains(c.Spec.Adapters, s.Request.Adapter) })
}
