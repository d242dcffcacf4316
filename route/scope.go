package route

import "slices"

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

// secondLook is how many targets a second look takes.
const secondLook = 16

// leastLoaded are the targets with the least estimated wait, in order.
type leastLoaded struct {
	targets [secondLook]*target
	wait    [secondLook]float64
	n       int
}

// offer takes a target in if it is among the least loaded so far.
func (l *leastLoaded) offer(t *target, wait float64) {
	if l.n == secondLook {
		if wait >= l.wait[l.n-1] {
			return
		}
		l.n--
	}
	i := l.n
	for ; i > 0 && l.wait[i-1] > wait; i-- {
		l.targets[i], l.wait[i] = l.targets[i-1], l.wait[i-1]
	}
	l.targets[i], l.wait[i] = t, wait
	l.n++
}

// mayRefuse says whether admission might refuse or spill the request for what is
// in front at the candidates.
func (r *Router) mayRefuse(q *Request, cands []Candidate) bool {
	o := r.snapshot.outlook(cands)
	return o.late > 0 || o.wait > r.cfg.ShedWait.Seconds()*float64(priority(q)+1)/standingPart
}

// leastLoaded is the second look at a large service: a request may not be refused
// for a window without room while a target outside has some. It looks roughly at
// all targets, and decides among the least loaded that may take the request.
func (r *Router) leastLoaded(s *service, at float64, q *Request) []*target {
	r.least.n = 0
	adapter := q.Adapter != "" && r.cfg.AdapterLoad == 0
	p := s.peers(&r.cfg)
	stale := r.cfg.ReportStale.Seconds()
	hold := max(s.hold, s.plain)
	// From a random place on, so that instances prefer no one of equal targets.
	start := r.rng.IntN(len(s.list))
	for i := range s.list {
		t := s.list[(start+i)%len(s.list)]
		if t.spec.State != Warm || t.guard.state(at) != Healthy ||
			adapter && !slices.Contains(t.spec.Adapters, q.Adapter) {
			continue
		}
		wait := max(0, t.load.inFlight(at, stale, p)-t.slots()) * hold / t.slots()
		if t.prefillTime > 0 {
			wait = max(wait, t.load.pending*t.prefillTime-(at-t.load.asOf))
		}
		r.least.offer(t, wait)
	}
	return r.least.targets[:r.least.n]
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
