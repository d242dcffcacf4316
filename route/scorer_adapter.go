package route

import "slices"

// adapterScorer adds AdapterLoad, in seconds, to candidates that have not
// loaded the requested adapter.
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
