package route

// slowStartFilter limits a newly warm target to a share of its slots that grows
// with the time since it became warm. The target looks idle to all instances at
// once; without a limit, their whole backlog would reach a cold cache. If the
// filter leaves none, it keeps all.
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
