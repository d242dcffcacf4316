package membership

import (
	"time"
)

const (
	// maxHealth bounds the local health score; 0 is healthy.
	maxHealth = 8
	// maxRelayed bounds the probes made for others at a time.
	maxRelayed = 64
	// candidateFanout is how many candidates are probed per ProbeInterval.
	candidateFanout = 3
)

// prober is the state of the probes that this instance makes.
type prober struct {
	seq uint64
	// order is a shuffled round of members; next is the place in it.
	order []string
	next  int
	// current is the probe under way; its target is empty when there is none.
	current probe
	relayed map[uint64]relayedProbe

	nextAt, nextCandidateAt, nextDeadAt time.Time
	// heardAt is when any message came in last.
	heardAt time.Time
	// health counts signs that the fault is here: each one makes timeouts
	// longer by once their length.
	health int
}

type probe struct {
	target   string
	seq      uint64
	sentAt   time.Time
	indirect bool
}

// relayedProbe is a probe made for origin.
type relayedProbe struct {
	origin, target string
	seq            uint64
	expires        time.Time
}

func (g *Group) tickProbe(now time.Time, out []Out) []Out {
	p := &g.prober
	for seq, r := range p.relayed {
		if now.After(r.expires) {
			delete(p.relayed, seq)
		}
	}
	if p.current.target != "" {
		out = g.continueProbe(now, out)
	}
	if p.current.target == "" && g.due(now, &p.nextAt, g.cfg.ProbeInterval) {
		out = g.startProbe(now, out)
	}
	return out
}

func (g *Group) startProbe(now time.Time, out []Out) []Out {
	target := g.nextTarget()
	if target == "" {
		return out
	}
	p := &g.prober
	p.seq++
	p.current = probe{target: target, seq: p.seq, sentAt: now}
	return append(out, g.ping(target, p.seq))
}

// ping makes a Ping; a member that is held to be suspect or dead is told so.
func (g *Group) ping(target string, seq uint64) Out {
	var first []Update
	if g.doubts(target) {
		first = g.belief(target)
	}
	return g.message(target, Message{Kind: Ping, Seq: seq}, first)
}

// nextTarget goes round all peers in a random order, so that each one is
// probed within two rounds at most.
func (g *Group) nextTarget() string {
	p := &g.prober
	for range 2 {
		for p.next < len(p.order) {
			id := p.order[p.next]
			p.next++
			if m := g.members[id]; m != nil && (m.state == Alive || m.state == Suspect) {
				return id
			}
		}
		p.order = append(p.order[:0], g.peers...)
		g.rng.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
		p.next = 0
	}
	return ""
}

func (g *Group) continueProbe(now time.Time, out []Out) []Out {
	p := &g.prober
	passed := now.Sub(p.current.sentAt)
	factor := time.Duration(1 + p.health)
	switch {
	case passed >= g.cfg.ProbeInterval*factor:
		g.failProbe(now)
	case passed >= g.cfg.ProbeTimeout*factor && !p.current.indirect:
		p.current.indirect = true
		for _, id := range g.randomPeers(g.cfg.IndirectProbes, p.current.target) {
			out = append(out, g.message(id, Message{Kind: PingReq, Seq: p.current.seq, Target: p.current.target}, nil))
		}
	}
	return out
}

// failProbe suspects the member that did not answer.
func (g *Group) failProbe(now time.Time) {
	p := &g.prober
	if p.heardAt.Before(p.current.sentAt) {
		// Nobody at all was heard: the fault may well be here.
		g.worsen()
	}
	m := g.members[p.current.target]
	p.current = probe{}
	switch m.state {
	case Alive:
		g.suspect(now, m, m.Incarnation, g.self.ID)
	case Suspect:
		u := g.update(m)
		g.confirm(m, &u)
	}
}

func (g *Group) worsen() { g.prober.health = min(g.prober.health+1, maxHealth) }

// ack answers a Ping.
func (g *Group) ack(from string, m Message, outdated bool) Out {
	var first []Update
	if g.tellSelf(from, m.Updates) {
		first = append(first, g.update(g.self))
	}
	if outdated || g.doubts(from) {
		first = append(first, g.belief(from)...)
	}
	return g.message(from, Message{Kind: Ack, Seq: m.Seq}, first)
}

// tellSelf reports whether an answer should carry this instance itself: to one
// that introduced itself or that holds a belief of this instance.
func (g *Group) tellSelf(from string, updates []Update) bool {
	for i := range updates {
		if updates[i].ID == g.self.ID || updates[i].ID == from {
			return true
		}
	}
	return g.members[from] == nil
}

func (g *Group) stepAck(now time.Time, from string, m Message) []Out {
	p := &g.prober
	if r, ok := p.relayed[m.Seq]; ok && r.target == from && m.Target == "" {
		delete(p.relayed, m.Seq)
		return []Out{g.message(r.origin, Message{Kind: Ack, Seq: r.seq, Target: r.target}, g.belief(r.target))}
	}
	target := m.Target
	if target == "" {
		target = from
	}
	if p.current.target == target && p.current.seq == m.Seq {
		p.current = probe{}
		p.health = max(p.health-1, 0)
		g.freeze.heard = true
	}
	if m.Target != "" {
		return nil
	}
	return g.contradict(from, false)
}

// stepPingReq probes a member for another instance.
func (g *Group) stepPingReq(now time.Time, from string, m Message) []Out {
	p := &g.prober
	if m.Target == g.self.ID || len(p.relayed) >= maxRelayed {
		return nil
	}
	p.seq++
	p.relayed[p.seq] = relayedProbe{
		origin:  from,
		target:  m.Target,
		seq:     m.Seq,
		expires: now.Add(2 * g.cfg.ProbeInterval),
	}
	return []Out{g.ping(m.Target, p.seq)}
}

// tickCandidates introduces this instance to some of the platform's list.
func (g *Group) tickCandidates(now time.Time, out []Out) []Out {
	p := &g.prober
	if len(g.candidates) == 0 || !g.due(now, &p.nextCandidateAt, g.cfg.ProbeInterval) {
		return out
	}
	for range min(candidateFanout, len(g.candidates)) {
		id := g.candidates[g.rng.IntN(len(g.candidates))]
		out = append(out, g.introduce(id))
	}
	return out
}

// tickDead probes some dead member. Without this, two sides that hold each
// other for dead would never speak again after a partition.
func (g *Group) tickDead(now time.Time, out []Out) []Out {
	if len(g.dead) == 0 || !g.due(now, &g.prober.nextDeadAt, g.cfg.DeadProbeInterval) {
		return out
	}
	return append(out, g.introduce(g.dead[g.rng.IntN(len(g.dead))]))
}

// introduce pings an instance that may not know this one.
func (g *Group) introduce(id string) Out {
	g.prober.seq++
	first := append([]Update{g.update(g.self)}, g.belief(id)...)
	return g.message(id, Message{Kind: Ping, Seq: g.prober.seq}, first)
}
