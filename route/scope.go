package route

// scope returns the targets that a decision looks at. Of a service with more
// than MaxScored targets these are a window of so many at a random place, those
// that hold the request's prefix, and those preferred for a new one: the best of
// two hundred is hardly worse than the best of all, and costs a third. lookup
// must have been called for the request's prefix.
func (r *Router) scope(s *service, v *Snapshot) []*target {
	n := len(s.list)
	width := r.cfg.MaxScored
	if n <= width {
		return s.list
	}
	start := r.rng.IntN(n)
	out := r.scoped[:0]
	out = append(out, s.list[start:min(n, start+width)]...)
	if over := start + width - n; over > 0 {
		out = append(out, s.list[:over]...)
	}
	outside := func(t *target) bool { return (t.place-start+n)%n >= width }
	if s.model {
		for _, i := range s.index.found {
			if t := s.bySlot[i]; outside(t) {
				out = append(out, t)
			}
		}
	}
	if v.NewPrefix != 0 {
		out = s.addPreferred(out, v, outside)
	}
	r.scoped = out
	return out
}

// addPreferred adds the first targets by rendezvous hash that are not in out.
func (s *service) addPreferred(out []*target, v *Snapshot, outside func(*target) bool) []*target {
	var best preferred
	for i, t := range s.list {
		best.offer(i, mix(v.NewPrefix^t.hash), v.Config.AffinityTargets)
	}
	for _, i := range best.at[:min(v.Config.AffinityTargets, maxAffinity)] {
		t := s.list[i]
		if outside(t) && s.index.held(t.index) == 0 {
			out = append(out, t)
		}
	}
	return out
}

// maxAffinity bounds Config.AffinityTargets.
const maxAffinity = 4

// preferred are the first few places by rendezvous hash, the greatest first.
type preferred struct {
	at     [maxAffinity]int
	weight [maxAffinity]uint64
}

// offer takes place i with weight w into the first n if it belongs there.
func (p *preferred) offer(i int, w uint64, n int) {
	for k := range min(n, maxAffinity) {
		if w > p.weight[k] {
			p.weight[k], w = w, p.weight[k]
			p.at[k], i = i, p.at[k]
		}
	}
}

// mix is the finaliser of splitmix64 (Steele, Lea, Flood 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
