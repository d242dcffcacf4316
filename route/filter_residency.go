package route

import "slices"

// residencyFilter drops targets outside the request's allowed regions.
type residencyFilter struct{}

func (residencyFilter) Apply(s *Snapshot, in []Candidate) []Candidate {
	q := s.Request
	if len(q.Regions) == 0 {
		return in
	}
	return keep(in, func(c *Candidate) bool { return slices.Contains(q.Regions, c.Spec.Region) })
}
