package route

// kvScorer adds the expected wait for KV cache memory in seconds: missing
// memory is freed at the rate at which memory in use turns over. It adds 0 if
// the request fits below KVHigh, and up to several times MemoryHoldTime
// otherwise.
//
// The wait covers at most the memory in use. The memory size is learned from
// sparse reports at low load, and without this limit idle targets would refuse
// a long prompt that seems larger than all of their memory.
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
