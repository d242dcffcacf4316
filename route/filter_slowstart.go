package route

// slowStartFilter gives a newly warm target a share of its slots that grows
// with the time it has been warm. It looks idle to all instances at once; fed
// without bound, it gets their whole backlog onto a cold cache. If it would
// drop all, it drops none.
type slowStartFilter struct{}

func (slowStartFilter) Apply(s *Snapshot, in []Candidate) []Candidate {
	ramp := s.Config.SlowStart.Seconds()
	return keepSome(in, func(c *Candidate) bool {
		if c.WarmFor >= ramp {
			return true
		}
		return c.InFlight < max(1, c.Slots*c.WarmFor/ramp)
	})
}
