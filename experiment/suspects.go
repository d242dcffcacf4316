package experiment

import (
	"encoding/binary"
	"time"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/route"
)

// Timeout and poll interval of a lone run, as in the request path.
const (
	loneRunTimeout   = 2 * time.Minute
	idlePollInterval = 50 * time.Millisecond
)

// digest identifies the content of a request; its resends have the same.
func digest(id uint64) suspect.Digest {
	var d suspect.Digest
	binary.BigEndian.PutUint64(d[:], id)
	return d
}

// poisonKey is a poison request in one region.
type poisonKey struct {
	request suspect.Digest
	region  string
}

// mostPoisonCrashes returns the most targets that one poison request crashed in
// all regions.
func (w *world) mostPoisonCrashes() int {
	sums, most := make(map[suspect.Digest]int), 0
	for k, n := range w.poisonCrashes {
		sums[k.request] += n
		most = max(most, sums[k.request])
	}
	return most
}

// suspicion returns how the request may run here. It is checked before each
// attempt.
func (c *call) suspicion(now time.Time) suspect.Decision {
	if c.in.table == nil {
		return suspect.Run
	}
	return c.in.table.Decide(now, c.digest)
}

// publish merges entries at all instances of a region, and then the entries that
// result, until there are none. Its duration is not modelled.
func (r *region) publish(now time.Time, entries []suspect.Entry) {
	for len(entries) > 0 {
		var updates []suspect.Entry
		for _, in := range r.instances {
			updates = append(updates, in.table.Merge(now, entries)...)
		}
		entries = updates
	}
}

// markSuspects marks the requests in flight at a crashed target as suspects. This
// is published before any of those requests ends or is retried.
func (w *world) markSuspects(t *target) {
	t.incarnation++
	var entries []suspect.Entry
	for _, in := range t.region.instances {
		if in.table != nil {
			entries = append(entries, in.table.Crashed(w.now, suspect.Crash{Target: string(t.spec.ID), Incarnation: t.incarnation})...)
		}
	}
	t.region.publish(w.now, entries)
}

// runAlone reserves a target for a suspect and sends it there once the target is
// idle. If none can be reserved, the call ends unanswered.
func (w *world) runAlone(c *call) {
	owner := c.in.region.instances[0].table
	if !owner.Reserve(w.now, c.digest, w.now.Add(loneRunTimeout)) {
		w.endUnanswered(c)
		return
	}
	t := w.loneTarget(c)
	if t == nil {
		owner.Release(c.digest)
		w.endUnanswered(c)
		return
	}
	w.reserve(t, true)
	until := w.now.Add(loneRunTimeout)
	// Earlier requests to the target may still be on the network.
	w.after(idlePollInterval, func() { w.sendWhenIdle(c, t, until) })
}

// loneTarget returns the least loaded target that may be reserved, nil if there
// is none.
func (w *world) loneTarget(c *call) *target {
	if !c.mayRunIn(c.in.region.name) {
		return nil
	}
	var best *target
	least, held := 0, 0
	for _, t := range c.in.region.targetsOf(c.req.Service) {
		if t.reserved {
			held++
			continue
		}
		l := t.engine.Load(w.now)
		w.scheduleAdvance(t)
		if n := l.Running + l.Waiting; t.acceptsWork() && (best == nil || n < least) {
			best, least = t, n
		}
	}
	if held >= w.trial.Lone {
		return nil
	}
	return best
}

// reserve reserves or releases a target at all instances of its region.
func (w *world) reserve(t *target, held bool) {
	t.reserved = held
	for _, in := range t.region.instances {
		in.decider.SetTargets(w.now, t.region.specs())
	}
}

func (w *world) sendWhenIdle(c *call, t *target, until time.Time) {
	switch {
	case c.outcome != pending || c.in.region != t.region:
		w.endLone(c, t) // expired, or returned over a partitioned link
	case !t.acceptsWork() || !w.now.Before(until):
		w.endLone(c, t)
		w.endUnanswered(c)
	case !t.engine.Idle():
		w.after(idlePollInterval, func() { w.sendWhenIdle(c, t, until) })
	default:
		w.send(c, route.Decision{Action: route.Send, Target: t.spec.ID, Region: t.spec.Region}, true)
	}
}

func (w *world) endLone(c *call, t *target) {
	t.region.instances[0].table.Release(c.digest)
	t.runsAlone = false
	w.reserve(t, false)
}
