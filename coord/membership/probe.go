package membership

import (
	"time"
)

const (
	// maxHealthScore bounds the local health score; 0 is healthy.
	maxHealthScore = 8
	// maxRelayed bounds the concurrent probes on behalf of others.
	maxRelayed = 64
	// candidateFanout is how many candidates are probed per ProbeInterval.
	candidateFanout = 3
)

// prober is the state of the probes that this instance sends.
type prober struct {
	seq uint64
	// order is a shuffled round of members; next is the index of the next one.
	order []string
	next  int
	// current is the probe in flight; its target is empty if there is none.
	current probe
	// relayed are the probes on behalf of others, by seq.
	relayed map[uint64]relayedProbe

	nextAt, nextCandidateAt, nextDeadAt time.Time
	// lastReceivedAt is when the last message of any kind was received.
	lastReceivedAt time.Time
	// healthScore counts signs that this instance itself is at fault
	// (Lifeguard's local health): probe times are multiplied by 1 + healthScore.
	healthScore int
}

type probe struct {
	target   string
	seq      uint64
	sentAt   time.Time
	indirect bool
}

// relayedProbe is a probe on behalf of origin, whose own number is seq.
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

// ping returns a Ping. To a suspect or dead member it carries that state, so
// that the member can refute.
func (g *Group) ping(target string, seq uint64) Out {
	var first []Update
	if g.isSuspectOrDead(target) {
		first = g.knownState(target)
	}
	return g.message(target, Message{Kind: Ping, Seq: seq}, first)
}

// nextTarget goes round all peers in a random order, so that each one is
// probed again within two rounds.
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
	factor := time.Duration(1 + p.healthScore)
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
	if p.lastReceivedAt.Before(p.current.sentAt) {
		// No message at all was received: this instance may be at fault.
		g.raiseHealthScore()
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

func (g *Group) raiseHealthScore() {
	g.prober.healthScore = min(g.prober.healthScore+1, maxHealthScore)
}

// ack answers a Ping.
func (g *Group) ack(from string, m Message, outdated bool) Out {
	var first []Update
	if g.mustIncludeSelf(from, m.Updates) {
		first = append(first, g.update(g.self))
	}
	if outdated || g.isSuspectOrDead(from) {
		first = append(first, g.knownState(from)...)
	}
	return g.message(from, Message{Kind: Ack, Seq: m.Seq}, first)
}

// mustIncludeSelf reports whether an answer should carry this instance's own
// state: if the sender is unknown, introduced itself or sent a state of this
// instance.
func (g *Group) mustIncludeSelf(from string, updates []Update) bool {
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
		return []Out{g.message(r.origin, Message{Kind: Ack, Seq: r.seq, Target: r.target}, g.knownState(r.target))}
	}
	target := m.Target
	if target == "" {
		target = from
	}
	if p.current.target == target && p.current.seq == m.Seq {
		p.current = probe{}
		p.healthScore = max(p.healthScore-1, 0)
		g.freeze.acked = true
	}
	if m.Target != "" {
		return nil
	}
	return g.promptRefutation(from, false)
}

// stepPingReq probes a member on behalf of another instance.
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

// tickCandidates introduces this instance to random candidates of the
// platform's list.
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

// tickDead probes a random dead member. Without this, two sides that hold each
// other for dead would never communicate again after a partition.
func (g *Group) tickDead(now time.Time, out []Out) []Out {
	if len(g.dead) == 0 || !g.due(now, &g.prober.nextDeadAt, g.cfg.DeadProbeInterval) {
		return out
	}
	return append(out, g.introduce(g.dead[g.rng.IntN(len(g.dead))]))
}

// introduce pings an instance that may not know this one.
func (g *Group) introduce(id string) Out {
	g.prober.seq++
	first := append([]Update{g.update(g.self)}, g.knownState(id)...)
	return g.message(id, Message{Kind: Ping, Seq: g.prober.seq}, first)
}
