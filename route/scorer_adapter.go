package route

import "slices"

// adapterScorer adds the time to load the adapter where it is not loaded, in
// seconds; 0 where it is, or where none is asked for.
type adapterScorer struct{}

func (adapterScorer) Score(s *Snapshot, in []Candidate) {
	wait := s.Config.AdapterLoad.Seconds()
	if s.Request.Adapter == "" || wait == 0 {
		return
	}
	for i := range in {
		c := &in[i]
		if slices.Contains(c.Spec.Adapters, s.Request.Adapter) {
			continue
		}
		c.FirstToken += wait
		c.Finish += wait
		c.Score += wait
	}
}
