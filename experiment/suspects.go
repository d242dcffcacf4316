package experiment

import (
	"encoding/binary"
	"time"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/route"
)

// Bounds of a lone run, as in the request path.
const (
	loneTime = 2 * time.Minute
	idleLook = 50 * time.Millisecond
)

// digest names the content of a request: the same for its resends.
func digest(id uint64) suspect.Digest {
	var d suspect.Digest
	binary.BigEndian.PutUint64(d[:], id)
	return d
}

// killing is what a killer did in one region.
type killing struct {
	killer suspect.Digest
	region string
}

// mostKilled is the most targets that one killer took in all regions.
func (w *world) mostKilled() int {
	sums, most := make(map[suspect.Digest]int), 0
	for k, n := range w.killed {
		sums[k.killer] += n
		most = max(most, sums[k.killer])
	}
	return most
}

// suspicion says how the request may run here. It is asked before each attempt.
func (c *call) suspicion() suspect.Decision {
	if c.in.table == nil {
		return suspect.Run
	}
	return c.in.table.Decide(c.digest)
}

// publish merges entries at all instances of a region, with what follows from
// them. The time that it takes is not modelled.
func (r *region) publish(now time.Time, entries []suspect.Entry) {
	for len(entries) > 0 {
		var news []suspect.Entry
		for _, in := range r.instances {
			news = append(news, in.table.Merge(now, entries)...)
		}
		entries = news
	}
}

// suspectAll makes suspects of what was in flight at a crashed target. It is
// published before any of those requests ends or is sent again.
func (w *world) suspectAll(t *target) {
	t.life++
	var entries []suspect.Entry
	for _, in := range t.region.instances {
		if in.table != nil {
			entries = append(entries, in.table.Crashed(w.now, suspect.Crash{Target: string(t.spec.ID), Incarnation: t.life})...)
		}
	}
	t.region.publish(w.now, entries)
}

// runAlone keeps a target free for a suspect and sends it there once the target
// is idle. Without one to be had it is refused.
func (w *world) runAlone(c *call) {
	owner := c.in.region.instances[0].table
	if !owner.Reserve(w.now, c.digest, w.now.Add(loneTime)) {
		w.giveBack(c)
		return
	}
	t := w.loneTarget(c)
	if t == nil {
		owner.Release(c.digest)
		w.giveBack(c)
		return
	}
	w.keepFree(t, true)
	until := w.now.Add(loneTime)
	// What was sent there before may still be on its way.
	w.after(idleLook, func() { w.sendWhenIdle(c, t, until) })
}

// loneTarget is the least loaded target that may be kept free, nil if there is none.
func (w *world) loneTarget(c *call) *target {
	if !c.mayRunIn(c.in.region.name) {
		return nil
	}
	var best *target
	least, held := 0, 0
	for _, t := range c.in.region.models(c.req.Service) {
		if t.held {
			held++
			continue
		}
		l := t.engine.Load(w.now)
		w.wake(t)
		if n := l.Running + l.Waiting; t.takesWork() && (best == nil || n < least) {
			best, least = t, n
		}
	}
	if held >= w.trial.Lone {
		return nil
	}
	return best
}

// keepFree begins or ends keeping a target free at all instances of its region.
func (w *world) keepFree(t *target, held bool) {
	t.held = held
	for _, in := range t.region.instances {
		in.decider.SetTargets(w.now, t.region.specs())
	}
}

func (w *world) sendWhenIdle(c *call, t *target, until time.Time) {
	switch {
	case c.outcome != pending || c.in.region != t.region:
		w.endLone(c, t) // given up, or sent home over a cut link
	case !t.takesWork() || !w.now.Before(until):
		w.endLone(c, t)
		w.giveBack(c)
	case !t.engine.Idle():
		w.after(idleLook, func() { w.sendWhenIdle(c, t, until) })
	default:
		w.send(c, route.Decision{Action: route.Send, Target: t.spec.ID, Region: t.spec.Region}, true)
	}
}

func (w *world) endLone(c *call, t *target) {
	t.region.instances[0].table.Release(c.digest)
	t.alone = false
	w.keepFree(t, false)
}
