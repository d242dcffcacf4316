package replay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gullhaven/gullhaven/route/pick"
)

// plan has a fault begin and end.
func (w *world) plan(f Fault) {
	begin, end := w.second(f.At), w.second(f.At+f.For)
	switch f.Kind {
	case "cut":
		w.at(begin, func() { w.cut = true })
		w.at(end, func() { w.cut = false })
	case "dark":
		w.at(begin, func() { w.goDark() })
		w.at(end, func() { w.dark = false })
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

// crash loses all that an engine has. Streams that had begun are lost, the others' callers
// come again.
func (w *world) crash(e *engine) {
	e.down = true
	e.model.Crash(w.now)
	for _, q := range e.inOrder() {
		q.sent.done(w.now, pick.Lost)
		w.lose(q)
	}
	clear(e.has)
}

func (w *world) restart(e *engine) {
	e.down = false
	e.model.Restart(w.now)
}

func (w *world) lose(q *request) {
	if !q.first.IsZero() {
		w.end(q, unfinished)
		return
	}
	w.at(w.now, func() { w.arrive(q) })
}

// goDark has all instances lose power: what they know, and their callers' connections.
func (w *world) goDark() {
	w.dark = true
	for _, r := range w.regions {
		for _, e := range r.engines {
			for _, q := range e.inOrder() {
				e.model.Cancel(w.now, q.id)
				w.lose(q)
			}
			clear(e.has)
		}
		r.chooser.forget(w.now)
	}
}

// inOrder are the requests of an engine in the order of their ids, as each run of a seed
// must be the same.
func (e *engine) inOrder() []*request {
	return slices.SortedFunc(maps.Values(e.has), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// live are the engines of a region that have not crashed.
func (r *region) live() []*engine {
	var out []*engine
	for _, e := range r.engines {
		if !e.down {
			out = append(out, e)
		}
	}
	return out
}
