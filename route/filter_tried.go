package route

import "slices"

// triedFilter drops targets that an earlier attempt was sent to.
type triedFilter struct{}

func (triedFilter) Apply(s *Snapshot, in []Candidate) []Candidate {
	tried := s.Request.Tried
	if len(tried) == 0 {
		return in
	}
	return keep(in, func(c *Candidate) bool { return !slices.Contains(tried, c.Spec.ID) })
}
