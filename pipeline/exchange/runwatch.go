package exchange

import (
	"context"
	"io"
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

// runWatch watches a run that may be repeated elsewhere. It looks for another place while the target of a
// resumable stream is silent, or if other requests find the target of any request unreachable, and sends
// the request there as a hedge. The run goes on until the hedge has brought an answer: neither silence nor a
// connection that failed beside it ends a run, as its target may be the only one that can finish it, and a
// place that was found may still reject the request, break off or never answer. All this runs beside the
// reading, so that what arrives is not held back.
type runWatch struct {
	// ctx is that of the request, from the place of the run, and interrupt ends the run.
	ctx       context.Context
	from      *destination
	interrupt context.CancelCauseFunc

	mu sync.Mutex
	// a is the answer of a stream that has begun; nil before.
	a *rawhttp.Answer
	// q is a copy of the request as if this run were lost, with what its hedges have used up. Searches
	// work on copies of it, as they may outlast the run.
	q request
	// runsBefore is q.runs without hedges.
	runsBefore int
	// timer starts a search; nil until it is needed.
	timer *time.Timer
	// waiting says that the next event is being read. waits numbers the times of waiting, so that a
	// search that was overtaken by an event is recognized.
	waiting bool
	waits   uint64
	// broken says that the run was lost: a hedge is the only run then.
	broken bool
	// searching says that a search is running; there is at most one.
	searching bool
	// hedge is under way; nil if none is. sent is the last one that was sent, under way or not. found is the
	// one that goes on with the request; the run is interrupted once it is set.
	hedge, sent *sentHedge
	found       *hedge
}

// sentHedge is a hedge under way.
type sentHedge struct {
	sentAt time.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	// mu guards answered, which says that nothing but its request ends the hedge any more.
	mu       sync.Mutex
	answered bool
	// limit ends it if it has brought no event in time.
	limit *time.Timer
	// ended is closed when it has ended, or goes on with the request.
	ended chan struct{}
	// read is closed when the run beside it has been read on.
	read chan struct{}
}

// end ends the hedge unless it has brought an answer.
func (h *sentHedge) end(cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.answered {
		h.cancel(cause)
	}
}

// keep records that the hedge has brought an answer, and reports whether it was not ended before.
func (h *sentHedge) keep() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered = h.ctx.Err() == nil
	return h.answered
}

// watchRun returns the watch of a run at a place, which interrupt ends; nil if the request may not have
// another one beside it. A forwarded request has one run here, so only the instance that forwarded it can
// have a hedge.
func (q *request) watchRun(from *destination, interrupt context.CancelCauseFunc) *runWatch {
	if !q.route.Repeatable() || q.forwarded != nil {
		return nil
	}
	w := &runWatch{ctx: q.ctx, from: from, interrupt: interrupt, q: q.copy()}
	w.q.watch = nil
	w.q.recordRun(verdict.MayHaveRun)
	w.runsBefore = w.q.runs
	// A choice that the end of the request cancelled would count against the owner of the group.
	w.q.ctx = context.WithoutCancel(q.ctx)
	return w
}

// copy returns a copy that shares nothing that attempts change.
func (q *request) copy() request {
	c := *q
	c.tried, c.returnTo = slices.Clone(q.tried), slices.Clone(q.returnTo)
	return c
}

// awaitAnswer begins the wait for the answer, or for the first event of a stream. w may be nil.
func (w *runWatch) awaitAnswer() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beginWait()
}

// awaitEvent begins the wait for an event of answer a after those that the caller of q has. w may be nil.
func (w *runWatch) awaitEvent(q *request, a *rawhttp.Answer) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.a, w.q.begun, w.q.origin = a, q.begun, q.origin
	w.q.headWritten, w.q.lastEventID, w.q.hasLastEventID = q.headWritten, q.lastEventID, q.hasLastEventID
	w.beginWait()
	w.searchAfter(w.q.g.streamIdle)
}

func (w *runWatch) beginWait() {
	w.waiting = true
	w.waits++
}

func (w *runWatch) searchAfter(d time.Duration) {
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.search)
		return
	}
	w.timer.Reset(d)
}

// targetUnreachable has the watch search for another place: other requests cannot connect to the target.
func (w *runWatch) targetUnreachable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting || w.found != nil {
		return
	}
	if w.a == nil {
		w.searchAfter(0)
		return
	}
	// Its events are not overdue yet.
	w.searchAfter(w.q.g.placeSearch)
}

// endWait ends the wait with the result of reading. If that is an event or the end of the answer, it ends
// the hedge under way. It reports whether a hedge goes on with the request since before: then an event that was
// read must not be passed on, as the hedge brings its own. One that brings the end of the stream instead is
// withdrawn: the stream has not ended before that event. w may be nil.
func (w *runWatch) endWait(err error) (overtaken bool) {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && w.found.ended() {
		w.found.withdraw()
		w.found = nil
		w.q.recordRun(verdict.MayHaveRun)
	}
	overtaken = w.found != nil
	if !w.waiting {
		return overtaken
	}
	w.waiting, w.broken = false, err != nil && err != io.EOF
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.hedge == nil {
		return overtaken
	}
	close(w.hedge.read)
	if !w.broken {
		w.hedge.end(errTargetGoesOn)
		w.hedge = nil
	}
	return overtaken
}

// endWatch ends the watch of a run that has ended. done says that the caller has the whole answer; if not,
// the hedge that goes on with the request is kept in q, with what all have used up. The last one is waited
// for then: nothing else runs now, and what an ended hedge has used up must count.
func (q *request) endWatch(done bool) {
	w := q.watch
	q.watch = nil
	if w == nil {
		return
	}
	if done {
		w.endWait(nil)
		w.mu.Lock()
		h := w.found
		w.found = nil
		w.mu.Unlock()
		h.withdraw()
		return
	}
	w.endWait(errRunLost)
	w.mu.Lock()
	defer w.mu.Unlock()
	if last := w.sent; last != nil {
		last.limit.Stop()
		w.mu.Unlock()
		<-last.ended
		w.mu.Lock()
	}
	q.takeAttempts(&w.q, w.runsBefore)
	q.returnTo = w.q.returnTo
	q.hedge, w.found = w.found, nil
}

// takeAttempts takes over what attempts with a copy of the request have changed, which had runsBefore runs.
func (q *request) takeAttempts(from *request, runsBefore int) {
	q.attemptCount = from.attemptCount
	if from.runs > runsBefore {
		q.runs, q.verdict = q.runs+from.runs-runsBefore, q.verdict.Join(from.verdict)
	}
	q.tried.merge(from.tried)
	q.rejected, q.refusedElsewhere, q.hadPlace = q.rejected || from.rejected, q.refusedElsewhere || from.refusedElsewhere, from.hadPlace
	if from.finalRefusal != nil {
		q.finalRefusal = from.finalRefusal
	}
}

// search looks for a place once, and sends a hedge there. If that comes to nothing, it searches again
// after placeSearchInterval.
func (w *runWatch) search() {
	w.mu.Lock()
	if !w.waiting || w.found != nil {
		w.mu.Unlock()
		return
	}
	if w.searching {
		w.searchAfter(w.q.g.placeSearch)
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
		w.searchAfter(w.q.g.placeSearch)
	}
}

// tryHedge sends the request to a place, unless the silent target has sent something meanwhile or the
// retry budget does not allow it. c is a copy of the request.
func (w *runWatch) tryHedge(c *request, to *destination, waits uint64) {
	ctx, cancel := context.WithCancelCause(w.ctx)
	c.ctx = ctx
	under := w.beginHedge(c, to, cancel, waits)
	if under == nil {
		cancel(nil)
		to.end(time.Now(), pick.Neutral)
		return
	}
	h := c.sendHedge(under, to)
	w.endHedge(c, to, h, under, waits)
	if h == nil {
		cancel(nil)
	}
}

// silentStill reports whether the target has sent nothing since the wait began, also nothing that this
// process was too busy to read. w.mu must be held.
func (w *runWatch) silentStill(waits uint64) bool {
	return w.waiting && w.waits == waits && (w.a == nil || w.a.Silent())
}

// beginHedge returns nil if the hedge must not be sent.
func (w *runWatch) beginHedge(c *request, to *destination, cancel context.CancelCauseFunc, waits uint64) *sentHedge {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.silentStill(waits) || !c.tryRetry(time.Now()) {
		return nil
	}
	c.g.o.Metrics.Retries.Inc(1)
	w.hedge = &sentHedge{sentAt: time.Now(), ctx: c.ctx, cancel: cancel, ended: make(chan struct{}), read: make(chan struct{})}
	under := w.hedge
	under.limit = time.AfterFunc(c.overlap(w.from, to), func() { under.end(errOverlap) })
	w.sent = w.hedge
	return w.hedge
}

// arrivalPollInterval is the time between two looks at what has arrived from the silent target and makes no
// whole event yet.
const arrivalPollInterval = 5 * time.Millisecond

// endHedge records how the hedge at a place has ended; h is nil if it has brought no answer. It goes on with
// the request if the run is still silent, or was lost.
func (w *runWatch) endHedge(c *request, to *destination, h *hedge, under *sentHedge, waits uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(under.ended)
	under.limit.Stop()
	for h != nil && w.waiting && w.waits == waits && w.a != nil && !w.a.Silent() {
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
	cause := context.Cause(c.ctx)
	withdrawn := cause == errTargetGoesOn || cause == errOverlap
	if h != nil && w.waits == waits && (w.waiting || w.broken) {
		if w.waiting {
			w.q.mayReturnTo(w.from)
		}
		w.found = h
		w.interrupt(errSilent)
	} else if h != nil {
		h.withdraw()
		c.recordRun(verdict.MayHaveRun)
		withdrawn = true
	}
	c.logHedge(under.sentAt, h != nil, w.found != nil)
	ran := c.runs > w.q.runs
	if !ran && cause == errTargetGoesOn {
		// It was ended before it was sent, so its place was not tried.
		return
	}
	if ran && withdrawn {
		w.q.mayReturnTo(to)
	}
	w.q.takeAttempts(c, w.q.runs)
}
