package route

// prefixScorer subtracts the prefill time saved by a prefix hit, in seconds.
// Queue and hit have the same unit, so a hot prefix moves away from its target
// as soon as the queue there costs more than the hit saves.
//
// For the part of the prefix that no target is known to hold, the first few
// targets in rendezvous order get a credit. All instances compute the same
// targets, so a new prefix is not prefilled cold at every target in turn.
type prefixScorer struct{}

func (prefixScorer) Score(s *Snapshot, in []Candidate) {
	if !s.Model {
		return
	}
	for i := range in {
		c := &in[i]
		saved := c.CachedTokens * c.PrefillTime
		c.FirstToken -= saved
		c.Finish -= saved
		c.Score -= saved * s.Config.HitWeight
	}
	if s.NewPrefix != 0 {
		creditNew(s, in)
	}
}

// creditNew credits the first candidates in rendezvous order.
func creditNew(s *Snapshot, in []Candidate) {
	var best preferred
	n := min(s.Config.AffinityTargets, maxAffinity, len(in))
	for i := range in {
		best.offer(i, mix(s.NewPrefix^in[i].hash), n)
	}
	for _, i := range best.indexes[:n] {
		in[i].Score -= s.Config.AffinityGain * s.NewTokens * in[i].PrefillTime
	}
}
