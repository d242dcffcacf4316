package exchange

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

const (
	// streamIdleTimeout is how long a resumable stream may pause before another place is looked
	// for: well over the pauses of a loaded engine, and under the 2 s after which callers leave.
	streamIdleTimeout = 1500 * time.Millisecond
	// placeSearchInterval is the time between two searches while the stream stays silent. It bounds
	// what a silent stream costs the owner of its group, and is short compared with the time left.
	placeSearchInterval = 500 * time.Millisecond
)

// errSilent ends the reading of a stream that another target goes on with.
var errSilent = errors.New("the target is silent, and another place was found")

// silenceWatch looks for another place while the target of a resumable stream is silent, and ends the
// reading of the stream once it has one. Until then, reading goes on: silence alone ends no answer, as
// the target may be the only one that can finish it. Each search runs beside the reading, so that an
// event that arrives is not held back.
type silenceWatch struct {
	// q is a copy of the request as if this run were lost. A search may outlast the run.
	q request
	a *rawhttp.Answer

	mu    sync.Mutex
	timer *time.Timer
	// waiting says that the next event is being read. waits numbers the times of waiting, so that a
	// search that was overtaken by an event is recognized.
	waiting bool
	waits   uint64
	// searching says that a search is running; there is at most one.
	searching bool
	// found is the place that goes on with the stream; reading has ended once it is set.
	found *destination
}

// watchSilence returns the watch of a stream whose first event was read; nil if it must not be ended for
// silence. A forwarded request has one run here, so only the instance that forwarded it can go on with it.
func (q *request) watchSilence(a *rawhttp.Answer) *silenceWatch {
	if !q.route.Resumable || q.forwarded != nil {
		return nil
	}
	w := &silenceWatch{q: *q, a: a}
	w.q.recordRun(verdict.MayHaveRun)
	w.q.triedRegions = maps.Clone(q.triedRegions)
	// A choice that the end of the request cancelled would count against the owner of the group.
	w.q.ctx = context.WithoutCancel(q.ctx)
	return w
}

// wait begins the wait for an event. w may be nil.
func (w *silenceWatch) wait() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = true
	w.waits++
	if w.timer == nil {
		w.timer = time.AfterFunc(w.q.g.streamIdle, w.search)
		return
	}
	w.timer.Reset(w.q.g.streamIdle)
}

// endWait ends the wait, because an event has come or the stream has ended. w may be nil.
func (w *silenceWatch) endWait() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	w.timer.Stop()
}

// take returns the place found, if any, which is the caller's from then on. It must follow endWait. w may
// be nil.
func (w *silenceWatch) take() *destination {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	to := w.found
	w.found = nil
	return to
}

// search looks for a place once, and again after placeSearchInterval if there is none.
func (w *silenceWatch) search() {
	w.mu.Lock()
	if !w.waiting || w.found != nil {
		w.mu.Unlock()
		return
	}
	if w.searching {
		w.timer.Reset(w.q.g.placeSearch)
		w.mu.Unlock()
		return
	}
	w.searching = true
	waits := w.waits
	w.mu.Unlock()

	to := w.q.chooseForSilent(time.Now())

	w.mu.Lock()
	w.searching = false
	silent := w.waiting && w.waits == waits
	if silent && to != nil && w.secure() {
		w.found, to = to, nil
		w.a.SetReadTimeout(0)
	} else if silent {
		w.timer.Reset(w.q.g.placeSearch)
	}
	w.mu.Unlock()
	to.release(time.Now())
}

// secure reports whether the stream may go on at the place found: its target has sent nothing meanwhile,
// also nothing that this process was too busy to read, and the retry budget allows it.
func (w *silenceWatch) secure() bool { return w.a.Silent() && w.q.tryRetry(time.Now()) }
