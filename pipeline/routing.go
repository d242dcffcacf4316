package pipeline

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gullhaven/gullhaven/route"
)

// wakePerEnd is the number of held requests woken when an attempt ends.
const wakePerEnd = 2

// Routing calls a Decider under a lock, for the request path and for the host's
// updates. A decision and the record of its attempt are one step, so that two
// requests can't both be sent to the same idle slot.
type Routing struct {
	mu      sync.Mutex
	d       route.Decider
	now     func() time.Time
	maxHeld int
	held    []chan struct{}

	reserved atomic.Pointer[[]route.TargetID]
	// leaving holds since when targets have been leaving. The map is immutable
	// and replaced at each change.
	leaving atomic.Pointer[leavingTimes]
}

func newRouting(d route.Decider, now func() time.Time, maxHeld int) *Routing {
	return &Routing{d: d, now: now, maxHeld: maxHeld}
}

// Decide returns a decision for q; a Send is recorded as attempt a.
func (r *Routing) Decide(a route.AttemptID, q *route.Request) route.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	d := r.d.Decide(now, q)
	if d.Action == route.Send {
		r.d.Sent(now, a, q, d)
	}
	return d
}

// RecordSent records an attempt that was not decided by Decide.
func (r *Routing) RecordSent(a route.AttemptID, q *route.Request, d route.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.Sent(r.now(), a, q, d)
}

// SetReserved replaces the targets that are reserved for lone runs, of any
// instance of the region. They get no other requests.
func (r *Routing) SetReserved(targets []route.TargetID) {
	list := slices.Clone(targets)
	r.reserved.Store(&list)
}

// Reserved returns a copy of the reserved targets.
func (r *Routing) Reserved() []route.TargetID {
	list := r.reserved.Load()
	if list == nil || len(*list) == 0 {
		return nil
	}
	return slices.Clone(*list)
}

// FirstToken records an attempt's first token.
func (r *Routing) FirstToken(a route.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.FirstToken(r.now(), a)
}

// Ended records an attempt's end and wakes held requests.
func (r *Routing) Ended(e route.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.Ended(r.now(), e)
	n := min(wakePerEnd, len(r.held))
	for _, c := range r.held[:n] {
		close(c)
	}
	r.held = r.held[n:]
}

// Hold waits until the given time, an attempt's end, or ctx's end. It reports
// false at once if too many requests are held.
func (r *Routing) Hold(ctx context.Context, until time.Time) bool {
	c := make(chan struct{})
	r.mu.Lock()
	if len(r.held) >= r.maxHeld {
		r.mu.Unlock()
		return false
	}
	r.held = append(r.held, c)
	r.mu.Unlock()
	t := time.NewTimer(until.Sub(r.now()))
	defer t.Stop()
	select {
	case <-c:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	r.removeHeld(c)
	return true
}

func (r *Routing) removeHeld(c chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.held {
		if r.held[i] == c {
			r.held = append(r.held[:i:i], r.held[i+1:]...)
			return
		}
	}
}

// SetTargets replaces the known targets.
func (r *Routing) SetTargets(specs []route.TargetSpec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.d.SetTargets(now, specs)
	r.leaving.Store(r.leaving.Load().update(now, specs))
}

// SetLinks replaces the links to neighbour regions.
func (r *Routing) SetLinks(links []route.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.SetLinks(r.now(), links)
}

// instanceCounter is a Decider that uses the number of instances that route
// requests in the region.
type instanceCounter interface{ SetInstances(n int) }

// SetInstances sets the number of instances that route requests in the region.
// It does nothing for a Decider that doesn't use it.
func (r *Routing) SetInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.d.(instanceCounter); ok {
		c.SetInstances(n)
	}
}

// Report processes a load report.
func (r *Routing) Report(l route.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.Report(r.now(), l)
}

// CacheEvent processes a prefix cache event.
func (r *Routing) CacheEvent(e route.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.CacheEvent(r.now(), e)
}

// RegionSummary processes a neighbour's summary.
func (r *Routing) RegionSummary(s route.RegionSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.RegionSummary(r.now(), s)
}

// Summarise returns the summaries of this region.
func (r *Routing) Summarise() []route.RegionSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.d.Summarise(r.now())
}
