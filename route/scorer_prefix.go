package route

// prefixScorer takes off what a prefix hit saves of the prefill, in seconds;
// the better the hit, the lower. As queue and hit are in one unit, a hot prefix
// leaves its target as soon as the queue there costs more than the hit saves.
//
// For the part of the prefix that nobody is known to hold, the few targets that
// come first by rendezvous hash get a credit. All instances compute the same
// ones, so that a new prefix does not go cold to every target in turn.
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

// creditNew credits the first few candidates in rendezvous order.
func creditNew(s *Snapshot, in []Candidate) {
	var best preferred
	n := min(s.Config.AffinityTargets, maxAffinity, len(in))
	for i := range in {
		best.offer(i, mix(s.NewPrefix^in[i].hash), n)
	}
	for _, i := range best.at[:n] {
		in[i].Score -= s.Config.AffinityGain * s.NewTokens * in[i].PrefillTime
	}
}
