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
		saved := c.Cached * c.PrefillTime
		c.FirstToken -= saved
		c.Finish -= saved
		c.Score -= saved * s.Config.HitWeight
	}
	if s.NewPrefix != 0 {
		creditNew(s, in)
	}
}

// maxAffinity bounds Config.AffinityTargets.
const maxAffinity = 4

// creditNew credits the first few candidates in rendezvous order.
func creditNew(s *Snapshot, in []Candidate) {
	var best [maxAffinity]int
	var weight [maxAffinity]uint64
	n := min(s.Config.AffinityTargets, maxAffinity, len(in))
	for i := range in {
		w := mix(s.NewPrefix ^ in[i].hash)
		at := i
		for k := range n {
			if w > weight[k] {
				weight[k], w = w, weight[k]
				best[k], at = at, best[k]
			}
		}
	}
	for k := range n {
		c := &in[best[k]]
		c.Score -= s.Config.AffinityGain * s.NewTokens * c.PrefillTime
	}
}

// mix is the finaliser of splitmix64 (Steele, Lea, Flood 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
