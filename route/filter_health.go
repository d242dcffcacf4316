package route

// healthFilter drops targets that the breaker or the grey signal bars. If it
// would drop all, it drops none: the signals may be wrong, and a try is better
// than a certain refusal.
type healthFilter struct{}

func (healthFilter) Apply(_ *Snapshot, in []Candidate) []Candidate {
	return keepSome(in, func(c *Candidate) bool { return c.Health == Healthy })
}

// keepSome is keep, but keeps all where none is ok.
func keepSome(in []Candidate, ok func(*Candidate) bool) []Candidate {
	for i := range in {
		if ok(&in[i]) {
			return keep(in, ok)
		}
	}
	return in
}
