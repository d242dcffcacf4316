package replay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/route/pick"
)

// scheduleFault schedules the begin and the end of a fault.
func (w *world) scheduleFault(f Fault) {
	begin, end := w.second(f.At), w.second(f.At+f.For)
	switch f.Kind {
	case "cut":
		w.at(begin, func() { w.partitioned = true })
		w.at(end, func() { w.partitioned = false })
	case "dark":
		w.at(begin, func() { w.losePower() })
		w.at(end, func() { w.instancesDown = false })
	case "crash":
		w.schedulePerEngine(f, w.crash, w.restart)
	case "rest":
		asked := time.Duration(f.RestSeconds * float64(time.Second))
		w.schedulePerEngine(f, func(e *engine) { e.restAsked = asked }, func(e *engine) { e.restAsked = 0 })
	case "leave":
		w.schedulePerEngine(f, func(e *engine) { e.leaving = true }, func(e *engine) {
			w.crash(e)
			w.restart(e)
		})
	}
}

// schedulePerEngine schedules the begin and the end of a fault for each engine that it affects.
func (w *world) schedulePerEngine(f Fault, begin, end func(*engine)) {
	for _, r := range w.regions {
		if r.Name != f.Region && f.Region != "" {
			continue
		}
		for _, e := range r.engines[:int(f.Share*float64(len(r.engines)))] {
			w.at(w.second(f.At), func() { begin(e) })
			w.at(w.second(f.At+f.For), func() { end(e) })
		}
	}
}

// crash loses all requests of an engine. Answers that had begun are lost; the callers of
// the other requests retry at once.
func (w *world) crash(e *engine) {
	e.down = true
	e.model.Crash(w.now)
	for _, q := range e.sortedRequests() {
		q.tracker.done(w.now, pick.Lost)
		w.loseRequest(q)
	}
	clear(e.requests)
}

func (w *world) restart(e *engine) {
	e.down = false
	e.model.Restart(w.now)
	e.starts++
	e.restAsked, e.leaving, e.told = 0, false, map[any]told{}
	e.region.chooser.enginesChanged(w.now)
}

// told is what an engine has told a sender of requests.
type told struct {
	restUntil time.Time
	leaving   bool
}

// turnAway has an engine turn a request away and ask for rest. The request is sent to another
// engine, as often as a gateway would.
func (w *world) turnAway(q *request, d decision, r *region, mayForward bool) {
	e := d.engine
	if w.now.Before(e.told[d.sender].restUntil) {
		w.figures.DuringRest++
	}
	e.told[d.sender] = told{restUntil: w.now.Add(e.restAsked), leaving: e.leaving}
	d.tracker.rest(w.now, e.restAsked)
	d.tracker.done(w.now, pick.Rested)
	w.figures.TurnedAway++
	q.call.Tried = append(q.call.Tried, e.id)
	if len(q.call.Tried) < maxSends {
		w.decide(q, r, mayForward)
		return
	}
	w.refuse(q, !mayForward, 0)
}

// maxSends bounds how often a request is sent to an engine.
const maxSends = 4

func (w *world) loseRequest(q *request) {
	if !q.first.IsZero() {
		w.end(q, unfinished)
		return
	}
	w.at(w.now, func() { w.arrive(q) })
}

// losePower takes all instances down. They lose their state and their callers' connections.
func (w *world) losePower() {
	w.instancesDown = true
	for _, r := range w.regions {
		for _, e := range r.engines {
			for _, q := range e.sortedRequests() {
				e.model.Cancel(w.now, q.id)
				w.loseRequest(q)
			}
			clear(e.requests)
		}
		r.chooser.reset(w.now)
	}
}

// sortedRequests returns the requests of an engine in the order of their IDs, as equal seeds
// must give equal runs.
func (e *engine) sortedRequests() []*request {
	return slices.SortedFunc(maps.Values(e.requests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// liveEngines returns the engines of a region that are not down.
func (r *region) liveEngines() []*engine {
	var out []*engine
	for _, e := range r.engines {
		if !e.down {
			out = append(out, e)
		}
	}
	return out
}
