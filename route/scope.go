package route

import "slices"

// scope returns the targets to score for a decision. For a service with more
// than MaxScored targets, these are a window of that size at a random position,
// the holders of the request's prefix, and the targets preferred for a new
// prefix: the best of two hundred is hardly worse than the best of all, at a
// third of the cost. The prefix must have been looked up in the index before.
func (r *Router) scope(s *service, v *Snapshot) []*target {
	n := len(s.list)
	width := r.cfg.MaxScored
	if n <= width {
		return s.list
	}
	start := r.rng.IntN(n)
	out := r.scopedTargets[:0]
	out = append(out, s.list[start:min(n, start+width)]...)
	if over := start + width - n; over > 0 {
		out = append(out, s.list[:over]...)
	}
	outside := func(t *target) bool { return (t.listIndex-start+n)%n >= width }
	if s.model {
		for _, i := range s.index.found {
			if t := s.byIndex[i]; outside(t) {
				out = append(out, t)
			}
		}
	}
	if v.NewPrefix != 0 {
		out = s.addPreferred(out, v, outside)
	}
	r.scopedTargets = out
	return out
}

// addPreferred appends the first targets in rendezvous order that are not in
// out.
func (s *service) addPreferred(out []*target, v *Snapshot, outside func(*target) bool) []*target {
	var best preferred
	for i, t := range s.list {
		best.offer(i, mix(v.NewPrefix^t.hash), v.Config.AffinityTargets)
	}
	for _, i := range best.indexes[:min(v.Config.AffinityTargets, maxAffinity)] {
		t := s.list[i]
		if outside(t) && s.index.held(t.index) == 0 {
			out = append(out, t)
		}
	}
	return out
}

// maxLeastLoaded is the number of targets that leastLoaded returns.
const maxLeastLoaded = 16

// leastLoaded holds the targets with the least estimated wait, in ascending
// order.
type leastLoaded struct {
	targets [maxLeastLoaded]*target
	wait    [maxLeastLoaded]float64
	n       int
}

// offer inserts a target if it is among the least loaded so far.
func (l *leastLoaded) offer(t *target, wait float64) {
	if l.n == maxLeastLoaded {
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

// mayRefuse reports whether admission might refuse or spill the request because
// of the queues at the candidates.
func (r *Router) mayRefuse(q *Request, cands []Candidate) bool {
	o := r.snapshot.outlook(cands)
	return o.minLateness > 0 || o.minWait > r.cfg.ShedWait.Seconds()*float64(priority(q)+1)/persistentQueueDivisor
}

// leastLoaded returns the least loaded targets of a large service that may take
// the request, by a rough estimate over all targets. Without it, a request
// could be refused because the scoped window is full while a target outside it
// has room.
func (r *Router) leastLoaded(s *service, at float64, q *Request) []*target {
	r.least.n = 0
	adapter := q.Adapter != "" && r.cfg.AdapterLoad == 0
	p := s.peers(&r.cfg)
	stale := r.cfg.ReportStale.Seconds()
	hold := max(s.meanHold, s.meanPlain)
	// Starts at a random position, so that instances do not prefer the same one
	// of equal targets.
	start := r.rng.IntN(len(s.list))
	for i := range s.list {
		t := s.list[(start+i)%len(s.list)]
		if t.spec.State != Warm || t.guard.state(at) != Healthy || t.rest.until > at ||
			adapter && !slices.Contains(t.spec.Adapters, q.Adapter) {
			continue
		}
		wait := max(0, t.load.inFlight(at, stale, p)-t.slots()) * hold / t.slots()
		if t.prefillTime > 0 {
			wait = max(wait, t.load.pendingTokens*t.prefillTime-(at-t.load.asOf))
		}
		r.least.offer(t, wait)
	}
	return r.least.targets[:r.least.n]
}

// maxAffinity bounds Config.AffinityTargets.
const maxAffinity = 4

// preferred holds the indexes with the highest rendezvous hashes, in descending
// order.
type preferred struct {
	indexes [maxAffinity]int
	weight  [maxAffinity]uint64
}

// offer inserts index i with weight w if w is among the n highest.
func (p *preferred) offer(i int, w uint64, n int) {
	for k := range min(n, maxAffinity) {
		if w > p.weight[k] {
			p.weight[k], w = w, p.weight[k]
			p.indexes[k], i = i, p.indexes[k]
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
