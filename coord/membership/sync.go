package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// buckets is the number of digests of a view; Message.Want has a bit for
	// each.
	buckets = 64
	// maxPages bounds the messages that one comparison sends each way; the
	// remaining entries follow in the next one.
	maxPages = 4
)

// syncer is the state of the periodic comparison of views.
type syncer struct {
	nextAt time.Time
	// nextPeer is the peer of the next comparison; empty for a random one.
	nextPeer string
	// seq is the number of the last Sync sent since a freeze, which its answer
	// repeats; 0 if there was none.
	seq uint64
	// diverged is set while the last comparison found a difference, or a
	// comparison was requested by expedite.
	diverged bool
}

// expedite moves the next comparison to the given time, unless one was already
// expedited.
func (s *syncer) expedite(now time.Time) {
	if !s.diverged {
		s.diverged = true
		s.nextAt = now
	}
}

func (g *Group) tickSync(now time.Time, out []Out) []Out {
	s := &g.syncer
	interval := g.cfg.SyncInterval
	if s.diverged {
		interval = g.cfg.ProbeInterval
	}
	if !g.due(now, &s.nextAt, interval) {
		return out
	}
	g.prune(now)
	to := s.nextPeer
	s.nextPeer = ""
	if to == "" {
		picked := g.randomPeers(1, "")
		if len(picked) == 0 {
			return out
		}
		to = picked[0]
	}
	g.prober.seq++
	s.seq = g.prober.seq
	m := Message{Kind: Sync, Seq: s.seq, Updates: []Update{g.update(g.self)}, Digests: g.digests()}
	return append(out, Out{To: to, Message: m})
}

// digests returns one digest per bucket of the ids and incarnations of Alive
// and Suspect members, without a distinction between the two states, as
// suspicions are short-lived. Dead and left members are excluded, as instances
// remove them at different times.
func (g *Group) digests() []uint32 {
	d := make([]uint32, buckets)
	for id, m := range g.members {
		if m.state == Alive || m.state == Suspect {
			h := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id), m.Incarnation))
			d[bucket(id)] ^= uint32(h)
		}
	}
	return d
}

func bucket(id string) int { return int(xxhash.Sum64String(id) % buckets) }

// stepSync answers a Sync with the entries of the buckets that differ.
func (g *Group) stepSync(from string, m Message, outdated bool) []Out {
	var want uint64
	for i, d := range g.digests() {
		if len(m.Digests) == buckets && m.Digests[i] != d {
			want |= 1 << i
		}
	}
	pages := g.pages(want)
	out := []Out{{To: from, Message: Message{Kind: SyncReply, Seq: m.Seq, Want: want}}}
	if len(pages) > 0 {
		out[0].Message.Updates = pages[0]
		out = append(out, pushes(from, pages[1:])...)
	}
	return append(out, g.promptRefutation(from, outdated)...)
}

// stepSyncReply answers a SyncReply with the entries that it asks for.
func (g *Group) stepSyncReply(now time.Time, from string, m Message) []Out {
	s := &g.syncer
	if s.seq == 0 || m.Seq != s.seq {
		// The answer to a comparison from before a freeze may be outdated.
		return g.promptRefutation(from, false)
	}
	g.freeze.synced = true
	if m.Want == 0 {
		s.diverged = false
		return g.promptRefutation(from, false)
	}
	s.expedite(now.Add(g.cfg.ProbeInterval))
	return pushes(from, g.pages(m.Want))
}

func pushes(to string, pages [][]Update) []Out {
	var out []Out
	for _, p := range pages {
		out = append(out, Out{To: to, Message: Message{Kind: SyncPush, Updates: p}})
	}
	return out
}

// pages returns the entries of the buckets in want, including dead and left
// members, split into up to maxPages messages. It begins at a random bucket, so
// that no bucket is skipped each time.
func (g *Group) pages(want uint64) [][]Update {
	if want == 0 {
		return nil
	}
	start := g.rng.IntN(buckets)
	var ids []string
	for id := range g.members {
		if want&(1<<bucket(id)) != 0 {
			ids = append(ids, id)
		}
	}
	rank := func(id string) int { return (bucket(id) + buckets - start) % buckets }
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return g.fillPages(ids)
}

func (g *Group) fillPages(ids []string) [][]Update {
	var pages [][]Update
	room := 0
	for _, id := range ids {
		u := g.update(g.members[id])
		size := updateSize(&u)
		if size > room {
			if len(pages) == maxPages {
				break
			}
			pages = append(pages, nil)
			room = g.cfg.MaxBytes - headerBytes
		}
		room -= size
		last := len(pages) - 1
		pages[last] = append(pages[last], u)
	}
	return pages
}

// prune removes members that have been dead or left for longer than
// Config.Retain.
func (g *Group) prune(now time.Time) {
	for id, m := range g.members {
		if (m.state == Dead || m.state == Left) && m != g.self && now.Sub(m.since) > g.cfg.Retain {
			delete(g.members, id)
			g.dead = include(g.dead, id, false)
		}
	}
}
