package replay

import (
	"cmp"
	"maps"
	"slices"

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
		for _, r := range w.regions {
			if r.Name != f.Region && f.Region != "" {
				continue
			}
			for _, e := range r.engines[:int(f.Share*float64(len(r.engines)))] {
				w.at(begin, func() { w.crash(e) })
				w.at(end, func() { w.restart(e) })
			}
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
}

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
