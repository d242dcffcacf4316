package route

// stateFilter drops targets that are not warm: loading, leaving or down.
type stateFilter struct{}

func (stateFilter) Apply(_ *Snapshot, in []Candidate) []Candidate {
	return keep(in, func(c *Candidate) bool { return c.Spec.State == Warm })
}
