package exchange

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

const (
	// streamIdleTimeout is how long a resumable stream may pause before another place is looked
	// for: well over the pauses of a loaded engine, and under the 2 s after which callers leave.
	streamIdleTimeout = 1500 * time.Millisecond
	// placeSearchInterval is the time between two searches while the stream stays silent. It bounds
	// what a silent stream costs the owner of its group, and is short compared with the time left.
	placeSearchInterval = 500 * time.Millisecond
)

// silenceWatch looks for another place while the target of a resumable stream is silent, and sends the
// request there as a hedge. The silent target is read on until the hedge has brought an event: silence
// alone ends no answer, as the target may be the only one that can finish it, and a place that was found
// may still reject the request, break off or never answer. All this runs beside the reading, so that an
// event that arrives is not held back.
type silenceWatch struct {
	// ctx is that of the request, and from the place whose stream is read.
	ctx  context.Context
	from *destination
	a    *rawhttp.Answer

	mu sync.Mutex
	// q is a copy of the request as if this run were lost, with what its hedges have used up. Searches
	// work on copies of it, as they may outlast the run.
	q     request
	timer *time.Timer
	// waiting says that the next event is being read. waits numbers the times of waiting, so that a
	// search that was overtaken by an event is recognized.
	waiting bool
	waits   uint64
	// broken says that the stream was lost: a hedge is its only run then.
	broken bool
	// searching says that a search is running; there is at most one.
	searching bool
	// hedge is under way; nil if none is. found is the one that goes on with the stream; reading has ended
	// once it is set.
	hedge *sentHedge
	found *hedge
}

// sentHedge is a hedge under way.
type sentHedge struct {
	sentAt time.Time
	cancel context.CancelCauseFunc
	// limit ends it if it has brought no event in time.
	limit *time.Timer
	// ended is closed when it has ended, or goes on with the stream.
	ended chan struct{}
	// read is closed when the silent run has been read on.
	read chan struct{}
}

// watchSilence returns the watch of a stream whose first event was read; nil if it must not be ended for
// silence. A forwarded request has one run here, so only the instance that forwarded it can go on with it.
func (q *request) watchSilence(a *rawhttp.Answer, from *destination) *silenceWatch {
	if !q.route.Resumable || q.forwarded != nil {
		return nil
	}
	w := &silenceWatch{ctx: q.ctx, from: from, a: a, q: q.copy()}
	w.q.recordRun(verdict.MayHaveRun)
	// A choice that the end of the request cancelled would count against the owner of the group.
	w.q.ctx = context.WithoutCancel(q.ctx)
	return w
}

// copy returns a copy that shares nothing that attempts change.
func (q *request) copy() request {
	c := *q
	c.triedTargets, c.triedRegions = slices.Clone(q.triedTargets), maps.Clone(q.triedRegions)
	return c
}

// wait begins the wait for an event after those that the caller of q has. w may be nil.
func (w *silenceWatch) wait(q *request) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.q.headWritten, w.q.lastEventID, w.q.hasLastEventID = q.headWritten, q.lastEventID, q.hasLastEventID
	w.waiting = true
	w.waits++
	if w.timer == nil {
		w.timer = time.AfterFunc(w.q.g.streamIdle, w.search)
		return
	}
	w.timer.Reset(w.q.g.streamIdle)
}

// endWait ends the wait with the result of reading. If that is an event or the end of the answer, it ends
// the hedge under way. w may be nil.
func (w *silenceWatch) endWait(err error) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.broken = false, err != nil && err != io.EOF
	w.timer.Stop()
	if w.hedge == nil {
		return
	}
	close(w.hedge.read)
	if !w.broken {
		w.hedge.cancel(errTargetGoesOn)
		w.hedge = nil
	}
}

// stop ends the watch of a stream that needs no hedge any more. It must follow endWait. w may be nil.
func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	h := w.found
	w.found = nil
	w.mu.Unlock()
	h.withdraw()
}

// lost ends the watch of a stream whose reading has ended early, and returns the hedge that goes on with
// it, if any. One under way is waited for: nothing else runs now. q gets what the hedges have used up. It
// must follow endWait. w may be nil.
func (w *silenceWatch) lost(q *request) *hedge {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	if under := w.hedge; under != nil {
		under.limit.Stop()
		w.mu.Unlock()
		<-under.ended
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	q.takeAttempts(&w.q)
	// The copy counts this run already.
	q.runs--
	h := w.found
	w.found = nil
	return h
}

// takeAttempts takes over what attempts with a copy of the request have changed.
func (q *request) takeAttempts(from *request) {
	q.attemptCount, q.runs, q.verdict = from.attemptCount, from.runs, from.verdict
	q.triedTargets, q.triedRegions = from.triedTargets, from.triedRegions
	q.rejected, q.refusedElsewhere, q.hadPlace = from.rejected, from.refusedElsewhere, from.hadPlace
	q.finalRefusal = from.finalRefusal
}

// search looks for a place once, and sends a hedge there. If that comes to nothing, it searches again
// after placeSearchInterval.
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
	waits, c := w.waits, w.q.copy()
	w.mu.Unlock()

	if to := c.chooseForHedge(time.Now(), w.from); to != nil {
		w.tryHedge(&c, to, waits)
	}

	w.mu.Lock()
	defer w.mu.Unlock()
	w.searching = false
	if w.waiting && w.waits == waits && w.found == nil {
		w.timer.Reset(w.q.g.placeSearch)
	}
}

// tryHedge sends the request to a place, unless the silent target has sent something meanwhile or the
// retry budget does not allow it. c is a copy of the request.
func (w *silenceWatch) tryHedge(c *request, to *destination, waits uint64) {
	ctx, cancel := context.WithCancelCause(w.ctx)
	c.ctx = ctx
	under := w.beginHedge(c, to, cancel, waits)
	if under == nil {
		cancel(nil)
		to.end(time.Now(), pick.Neutral)
		return
	}
	h := c.sendHedge(ctx, cancel, to)
	w.endHedge(c, h, under, waits)
	if h == nil {
		cancel(nil)
	}
}

// silentStill reports whether the target has sent nothing since the wait began, also nothing that this
// process was too busy to read. w.mu must be held.
func (w *silenceWatch) silentStill(waits uint64) bool {
	return w.waiting && w.waits == waits && w.a.Silent()
}

// beginHedge returns nil if the hedge must not be sent.
func (w *silenceWatch) beginHedge(c *request, to *destination, cancel context.CancelCauseFunc, waits uint64) *sentHedge {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.silentStill(waits) || !c.tryRetry(time.Now()) {
		return nil
	}
	c.g.o.Metrics.Retries.Inc(1)
	limit := time.AfterFunc(c.overlap(w.from, to), func() { cancel(errOverlap) })
	w.hedge = &sentHedge{sentAt: time.Now(), cancel: cancel, limit: limit, ended: make(chan struct{}), read: make(chan struct{})}
	return w.hedge
}

// arrivalPollInterval is the time between two looks at what has arrived from the silent target and makes no
// whole event yet.
const arrivalPollInterval = 5 * time.Millisecond

// endHedge records how the hedge has ended; h is nil if it has brought no event. It goes on with the stream
// if that is still silent, or was lost.
func (w *silenceWatch) endHedge(c *request, h *hedge, under *sentHedge, waits uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(under.ended)
	under.limit.Stop()
	for h != nil && w.waiting && w.waits == waits && !w.a.Silent() {
		// What has arrived may be an event or the end of the connection.
		w.mu.Unlock()
		select {
		case <-under.read:
		case <-time.After(arrivalPollInterval):
		}
		w.mu.Lock()
	}
	if w.hedge == under {
		w.hedge = nil
	}
	if h != nil && w.waits == waits && (w.waiting || w.broken) {
		w.found = h
		w.a.SetReadTimeout(0)
	} else if h != nil {
		h.withdraw()
		c.recordRun(verdict.MayHaveRun)
	}
	c.logHedge(under.sentAt, h != nil, w.found != nil)
	w.q.takeAttempts(c)
}
