package route

// zoneScorer adds the round trip to targets in another zone, in seconds.
type zoneScorer struct{}

func (zoneScorer) Score(s *Snapshot, in []Candidate) {
	trip := 2 * s.Config.ZoneDelay.Seconds()
	for i := range in {
		c := &in[i]
		if c.Spec.Zone == s.Config.Zone {
			continue
		}
		c.FirstToken += trip
		c.Finish += trip
		c.Score += trip
	}
}
