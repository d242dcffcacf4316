package membership

import (
	"math/bits"
	"slices"
	"time"
)

// spreader holds the updates that are still to be sent.
type spreader struct {
	// queue holds one update per member, or several suspicions by different
	// instances. Updates sent least often come first.
	queue  []queuedUpdate
	nextAt time.Time
}

type queuedUpdate struct {
	update Update
	size   int
	sends  int
}

// enqueue adds an update to the queue and drops older ones of the same member.
func (g *Group) enqueue(u Update) {
	q := slices.DeleteFunc(g.spreader.queue, func(s queuedUpdate) bool {
		o := &s.update
		return o.ID == u.ID && (o.State != Suspect || u.State != Suspect || o.Incarnation != u.Incarnation || o.By == u.By)
	})
	g.spreader.queue = slices.Insert(q, 0, queuedUpdate{update: u, size: updateSize(&u)})
}

// message adds updates to a message: first those given, then as many of the
// queue as fit. Each update is sent a number of times that grows with the
// logarithm of the number of members, which reaches all of them with high
// probability.
func (g *Group) message(to string, m Message, first []Update) Out {
	room := g.cfg.MaxBytes - headerBytes - len(m.Target)
	for i := range first {
		room -= updateSize(&first[i])
	}
	m.Updates = first
	limit := g.cfg.RetransmitMult * bits.Len(uint(len(g.peers)+1))
	q := g.spreader.queue
	taken := 0
	for taken < len(q) && q[taken].size <= room {
		room -= q[taken].size
		m.Updates = append(m.Updates, q[taken].update)
		q[taken].sends++
		taken++
	}
	g.spreader.queue = requeue(q, taken, limit)
	return Out{To: to, Message: m}
}

// requeue moves the first taken entries to the end and drops those that were
// sent limit times.
func requeue(q []queuedUpdate, taken, limit int) []queuedUpdate {
	if taken == 0 {
		return q
	}
	again := slices.Clone(q[:taken])
	q = append(q[:0], q[taken:]...)
	for _, s := range again {
		if s.sends < limit {
			q = append(q, s)
		}
	}
	clear(q[len(q):cap(q)])
	return q
}

// tickGossip sends queued updates to random members, in addition to those
// piggybacked on probes, so that a change spreads faster than one probe takes.
func (g *Group) tickGossip(now time.Time, out []Out) []Out {
	if !g.due(now, &g.spreader.nextAt, g.cfg.GossipInterval) {
		return out
	}
	for _, id := range g.randomPeers(g.cfg.GossipFanout, "") {
		if len(g.spreader.queue) == 0 {
			break
		}
		out = append(out, g.message(id, Message{Kind: Gossip}, nil))
	}
	return out
}
