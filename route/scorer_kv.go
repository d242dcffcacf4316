package route

// kvScorer adds the expected wait for KV cache memory: what the request lacks is
// freed at the pace at which memory in use turns over. Nothing where it fits
// under KVHigh; else up to several MemoryHold. In seconds; lower is better.
//
// No more can be waited for than is in use: the size of the memory is learned from
// sparse reports at low load, and a long prompt that seems larger than all of it
// would be refused by idle targets.
type kvScorer struct{}

func (kvScorer) Score(s *Snapshot, in []Candidate) {
	if !s.Model {
		return
	}
	for i := range in {
		c := &in[i]
		lack := min(c.KVUsed, c.KVUsed+s.MemoryShare-s.Config.KVHigh)
		if lack <= 0 {
			continue
		}
		wait := lack * s.MemoryHoldTime * s.WaitFactor
		c.Wait += wait
		c.Score += wait
		c.FirstToken += wait
		c.Finish += wait
	}
}
