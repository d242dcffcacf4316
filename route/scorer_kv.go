package route

// kvScorer adds the expected wait for KV cache memory: nothing up to KVHigh,
// rising to the mean time of a request in a slot when memory is full. Range 0
// to HoldTime, in seconds; lower is better.
type kvScorer struct{}

func (kvScorer) Name() string { return "kvcache" }

func (kvScorer) Score(s *Snapshot, in []Candidate) {
	if !s.Model {
		return
	}
	high := s.Config.KVHigh
	for i := range in {
		c := &in[i]
		if c.KVUsed <= high {
			continue
		}
		c.Score += s.HoldTime / c.Slots * min(1, (c.KVUsed-high)/(1-high))
	}
}
