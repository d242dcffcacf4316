package exchange

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// maxOverlap is how long two targets may run one stream: targets allow 400 ms, and this leaves time for
// the end of a run to reach its target.
const maxOverlap = 250 * time.Millisecond

// maxWay bounds the time to a region by which a hedge there may be without an event for longer than
// maxOverlap. The time is an estimate that grows with load, and a hedge that is withdrawn runs beside the
// silent run for as long as it may be without an event.
const maxWay = 100 * time.Millisecond

var (
	// errSilent ends a run that a hedge goes on with.
	errSilent = errors.New("the target is silent, and another one goes on with the stream")
	// errRunLost ends the watch of a run that has no whole answer.
	errRunLost = errors.New("the run has no whole answer")
	// errTargetGoesOn ends a hedge because the silent target has sent an event, errOverlap because the
	// hedge has brought no event in time.
	errTargetGoesOn = errors.New("the silent target goes on")
	errOverlap      = errors.New("no event in the time that two targets may run a stream")
)

// hedge is an attempt beside a run, with the first event of its stream or its whole answer in hand.
type hedge struct {
	to *destination
	// s is the stream, or nil, and whole and raw the answer then.
	s      *stream
	whole  *bufferedAnswer
	raw    *rawhttp.Answer
	cancel context.CancelCauseFunc
	// The others are as in request.
	lastTried, source, decidedBy string
	sentAt                       time.Time
	expectedWaitMs, costMs       float64
}

// takeHedge returns the hedge that goes on with the request, if any, which is the caller's from then on.
func (q *request) takeHedge() *hedge {
	h := q.hedge
	q.hedge = nil
	return h
}

// ended reports whether the hedge has brought the end of a stream and no event. h may be nil.
func (h *hedge) ended() bool {
	return h != nil && h.s != nil && h.s.ahead != nil && h.s.ahead.err != nil
}

// withdraw ends a hedge that is not needed. h may be nil.
func (h *hedge) withdraw() {
	if h == nil {
		return
	}
	if h.s != nil {
		h.s.a.Close(false)
		h.s.free()
	}
	h.to.end(time.Now(), pick.Neutral)
	h.cancel(nil)
}

// goOn relays the hedge and reports whether the caller has got the whole answer.
func (q *request) goOn(h *hedge) bool {
	defer h.cancel(nil)
	q.lastTried, q.source, q.decidedBy = h.lastTried, h.source, h.decidedBy
	q.sentAt, q.expectedWaitMs, q.costMs = h.sentAt, h.expectedWaitMs, h.costMs
	done, result := true, pick.Good
	if h.s != nil {
		done, result = q.relayStream(h.s)
		h.s.free()
	} else {
		q.recordRun(verdict.Ran)
		q.reportAnswerEnd(h.raw, h.to)
		q.writeAnswer(h.whole)
	}
	h.to.end(time.Now(), result)
	q.endWatch(done)
	return done
}

// chooseAgain returns the last target that the stream was taken from and that may get it again; nil if there is
// none. It needs no try that is left: they bound the targets that run the request, and this one has run it.
func (q *request) chooseAgain(now time.Time) *destination {
	for k, id := range slices.Backward(q.returnTo) {
		if choice := q.g.o.Pool.PickAgain(now, q.pickCall(noAnswer), id); choice != nil {
			q.returnTo = slices.Delete(q.returnTo, k, k+1)
			return &destination{choice: choice}
		}
	}
	return nil
}

// mayReturnTo records that this instance has ended a run at a place, which may be in another region: that
// one would choose another target.
func (q *request) mayReturnTo(p *destination) {
	if id := p.targetID(); id != "" {
		q.returnTo = append(q.returnTo, id)
	}
}

// chooseForHedge returns a place for a hedge, reserved if it is a target of this region; nil if there is
// none. The place must be expected to begin in the time that both may run, and a region that has just refused is
// none: the target of the run is more likely to finish the answer. That other requests cannot connect to it does
// not show that it is lost.
func (q *request) chooseForHedge(now time.Time, from *destination) *destination {
	if _, ok := q.mayRunAgain(now); !ok || q.runs >= q.maxRuns || q.finalRefusal != nil {
		return nil
	}
	to, _ := q.choose(now, noAnswer)
	if to == nil {
		return nil
	}
	waitMs, refused := to.waitMs, false
	if to.choice != nil {
		waitMs = to.choice.Wait
	} else {
		refused = q.g.hasRefused(now, RegionService{Region: to.peer.Region, Service: q.service}, q.workspaceName(), q.rank())
	}
	if refused || waitMs >= float64(q.overlap(from, to).Milliseconds()) {
		to.end(now, pick.Neutral)
		return nil
	}
	return to
}

// overlap returns for how long a hedge at a place may be without an event. It begins there later, and ends
// the silent run later, by the time to their regions.
func (q *request) overlap(from, to *destination) time.Duration {
	return q.g.maxOverlap + min(q.timeTo(to), maxWay) - q.timeTo(from)
}

// timeTo returns how long a message takes to the region of a place.
func (q *request) timeTo(p *destination) time.Duration {
	if p.choice != nil {
		return 0
	}
	const ways = 2 // there and back
	return time.Duration(q.g.trips.To(p.peer.Region) / ways * float64(time.Millisecond))
}

// sendHedge sends the request and returns the hedge once its first event or its whole answer is read; nil
// if there is none. Then the end of the attempt is recorded.
func (q *request) sendHedge(under *sentHedge, to *destination) *hedge {
	q.g.o.Metrics.Hedges.Inc(1)
	q.hedging = under
	a := q.send(under.ctx, under.cancel, to, time.Now())
	if a == nil {
		return nil
	}
	h := &hedge{
		to: to, raw: a, cancel: under.cancel, lastTried: q.lastTried, source: q.source, decidedBy: q.decidedBy,
		sentAt: q.sentAt, expectedWaitMs: q.expectedWaitMs, costMs: q.costMs,
	}
	result, ok := q.checkHead(a, to)
	switch {
	case !ok:
	case q.route.Kind == routes.Stream && a.StatusCode == http.StatusOK:
		h.s = newStream(under.ctx, under.cancel, a, to)
		if err := h.s.readAhead(); err != nil {
			h.s.free()
			result, ok = q.endRun(a, to, err), false
		}
	default:
		result, ok = q.readWhole(h)
	}
	if !ok {
		to.end(time.Now(), result)
		if q.answerErr != nil {
			q.logAttempt(a, result)
		}
		return nil
	}
	if !under.keep() {
		h.withdraw()
		q.recordRun(verdict.MayHaveRun)
		return nil
	}
	return h
}

// readWhole reads the whole answer of a hedge and reports whether it may go on with it; if not, it returns
// the result for the target. A failure, and an answer that is no stream to a stream that has begun, is none.
func (q *request) readWhole(h *hedge) (pick.Result, bool) {
	body, err := q.readAnswer(h.raw)
	if err != nil {
		return q.endRun(h.raw, h.to, err), false
	}
	h.raw.Close(true)
	if q.headWritten || h.raw.StatusCode >= http.StatusInternalServerError {
		q.recordRun(verdict.Ran)
		q.tried.record(h.to, answered)
		return pick.Failed, false
	}
	h.whole = &bufferedAnswer{status: h.raw.StatusCode, header: h.raw.Header, body: body}
	return pick.Good, true
}

// logHedge logs how a hedge has ended. answered says that it has brought an event, goesOn that it goes on
// with the stream.
func (q *request) logHedge(sentAt time.Time, answered, goesOn bool) {
	now := time.Now()
	q.g.o.Log.Info("hedge", zap.String("id", q.call.ID), zap.String("place", q.lastTried), zap.Bool("answered", answered), zap.Bool("goes_on", goesOn),
		zap.NamedError("ended", context.Cause(q.ctx)), zap.Float64("wait_ms", q.expectedWaitMs), zap.Duration("took", now.Sub(sentAt)), zap.Int64("last", q.lastEventID),
		zap.Duration("left", q.deadline.Sub(now)), zap.Duration("after", now.Sub(q.acceptedAt)))
}
