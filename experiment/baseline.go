package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/route"
)

// ejectTime is how long a baseline ejects a target after a failed attempt, as
// plain balancers with passive health checks do.
const ejectTime = time.Second

// retryAfter is the Retry-After of baselines that refuse.
const retryAfter = 5 * time.Second

// peer is the state of one target at a baseline.
type peer struct {
	route.TargetSpec
	// outstanding is the number of this instance's open attempts; reported is
	// that of running and waiting requests in the last report.
	outstanding, reported int
	ejected               time.Time
}

// rule picks one of the usable targets; there is at least one.
type rule func(b *baseline, usable []*peer) *peer

// baseline is a plain balancer with the interface of route.Router. It never
// refuses for a deadline, and spills only if no local target of the service
// accepts work: to a random reachable neighbour that has targets in its last
// summary.
type baseline struct {
	region   string
	rng      *rand.Rand
	pick     rule
	next     map[string]int
	peers    map[route.TargetID]*peer
	order    []*peer
	links    []route.Link
	summary  map[summaryKey]int
	attempts map[route.AttemptID]route.TargetID
	usable   []*peer
}

type summaryKey struct{ region, service string }

func newBaseline(region string, seed uint64, pick rule) *baseline {
	return &baseline{
		region: region, rng: rand.New(rand.NewPCG(seed, 3)), pick: pick,
		next:     make(map[string]int),
		peers:    make(map[route.TargetID]*peer),
		summary:  make(map[summaryKey]int),
		attempts: make(map[route.AttemptID]route.TargetID),
	}
}

func pickRandom(b *baseline, usable []*peer) *peer { return usable[b.rng.IntN(len(usable))] }

// pickRoundRobin picks the targets in turn; instances start at random ones.
func pickRoundRobin(b *baseline, usable []*peer) *peer {
	service := usable[0].Service
	if _, ok := b.next[service]; !ok {
		b.next[service] = b.rng.IntN(len(usable))
	}
	b.next[service]++
	return usable[b.next[service]%len(usable)]
}

// pickLeast picks the fewest own outstanding attempts; ties are broken at random.
func pickLeast(b *baseline, usable []*peer) *peer {
	return b.least(usable, func(p *peer) int { return p.outstanding })
}

// pickLeastReported picks the fewest requests in the last report, uncorrected.
func pickLeastReported(b *baseline, usable []*peer) *peer {
	return b.least(usable, func(p *peer) int { return p.reported })
}

func pickTwo(b *baseline, usable []*peer) *peer {
	x, y := usable[b.rng.IntN(len(usable))], usable[b.rng.IntN(len(usable))]
	if y.outstanding < x.outstanding {
		return y
	}
	return x
}

func (b *baseline) least(usable []*peer, load func(*peer) int) *peer {
	best, ties := usable[0], 1
	for _, p := range usable[1:] {
		switch l := load(p); {
		case l < load(best):
			best, ties = p, 1
		case l == load(best):
			ties++
			if b.rng.IntN(ties) == 0 {
				best = p
			}
		}
	}
	return best
}

// SetTargets implements route.Decider.
func (b *baseline) SetTargets(_ time.Time, specs []route.TargetSpec) {
	b.order = b.order[:0]
	for _, s := range specs {
		p := b.peers[s.ID]
		if p == nil {
			p = new(peer)
			b.peers[s.ID] = p
		}
		p.TargetSpec = s
		b.order = append(b.order, p)
	}
}

// SetLinks implements route.Decider.
func (b *baseline) SetLinks(_ time.Time, links []route.Link) { b.links = links }

// Report implements route.Decider.
func (b *baseline) Report(_ time.Time, r route.Report) {
	if p := b.peers[r.Target]; p != nil {
		p.reported = r.Running + r.Waiting
	}
}

// CacheEvent implements route.Decider.
func (b *baseline) CacheEvent(time.Time, route.CacheEvent) {}

// RegionSummary implements route.Decider.
func (b *baseline) RegionSummary(_ time.Time, s route.RegionSummary) {
	b.summary[summaryKey{s.Region, s.Service}] = s.Targets
}

// Summarise implements route.Decider.
func (b *baseline) Summarise(now time.Time) []route.RegionSummary {
	var out []route.RegionSummary
	for _, p := range b.order {
		i := slices.IndexFunc(out, func(s route.RegionSummary) bool { return s.Service == p.Service })
		if i < 0 {
			i = len(out)
			out = append(out, route.RegionSummary{Region: b.region, Service: p.Service, At: now})
		}
		if p.State == route.Warm {
			out[i].Targets++
		}
	}
	return out
}

// Decide implements route.Decider.
func (b *baseline) Decide(now time.Time, r *route.Request) route.Decision {
	if p := b.choose(now, r); p != nil {
		return route.Decision{Action: route.Send, Target: p.ID}
	}
	if region := b.neighbour(r); region != "" {
		return route.Decision{Action: route.Spill, Region: region, Reason: route.ReasonNoTarget}
	}
	return route.Decision{Action: route.Refuse, Reason: route.ReasonNoTarget, RetryAfter: retryAfter}
}

// choose filters the targets and picks among the rest. Ejected and already tried
// targets are used only if there is no other.
func (b *baseline) choose(now time.Time, r *route.Request) *peer {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, b.region) {
		return nil
	}
	warm := func(p *peer) bool {
		return p.Service == r.Service && p.Region == b.region && p.State == route.Warm
	}
	fresh := func(p *peer) bool {
		return warm(p) && !p.ejected.After(now) && !slices.Contains(r.Tried, p.ID)
	}
	for _, ok := range []func(*peer) bool{fresh, warm} {
		b.usable = b.usable[:0]
		for _, p := range b.order {
			if ok(p) {
				b.usable = append(b.usable, p)
			}
		}
		if len(b.usable) > 0 {
			return b.pick(b, b.usable)
		}
	}
	return nil
}

func (b *baseline) neighbour(r *route.Request) string {
	if r.Forwarded {
		return ""
	}
	var open []string
	for _, l := range b.links {
		allowed := len(r.Regions) == 0 || slices.Contains(r.Regions, l.Region)
		if l.Reachable && allowed && b.summary[summaryKey{l.Region, r.Service}] > 0 {
			open = append(open, l.Region)
		}
	}
	if len(open) == 0 {
		return ""
	}
	return open[b.rng.IntN(len(open))]
}

// Sent implements route.Decider.
func (b *baseline) Sent(_ time.Time, a route.AttemptID, _ *route.Request, d route.Decision) {
	b.attempts[a] = d.Target
	b.peers[d.Target].outstanding++
}

// FirstToken implements route.Decider.
func (b *baseline) FirstToken(time.Time, route.AttemptID) {}

// Ended implements route.Decider.
func (b *baseline) Ended(now time.Time, e route.End) {
	id, ok := b.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(b.attempts, e.Attempt)
	p := b.peers[id]
	p.outstanding--
	if e.Outcome == route.Failed || e.Outcome == route.Unreached {
		p.ejected = now.Add(ejectTime)
	}
}
