package route

// healthFilter drops targets excluded by the circuit breaker or as grey. If
// that leaves none, it keeps all: the signals may be wrong, and an attempt is
// better than a certain refusal.
type healthFilter struct{}

func (healthFilter) Apply(_ *Snapshot, in []Candidate) []Candidate {
	return keepSome(in, func(c *Candidate) bool { return c.Health == Healthy })
}

// keepSome is like keep, but keeps all candidates if ok holds for none.
func keepSome(in []Candidate, ok func(*Candidate) bool) []Candidate {
	for i := range in {
		if ok(&in[i]) {
			return keep(in, ok)
		}
	}
	return in
}
