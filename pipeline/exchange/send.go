package exchange

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// run sends the request until an attempt ends in a final answer or none may follow.
func (q *request) run() {
	if q.forwarded == nil {
		// A forwarded request counts only at the instance that received it from the caller:
		// all instances share the budget, and each request must earn retries only once.
		q.g.retries.recordRequest(q.acceptedAt, q.service, q.view.EntryInstances)
	}
	q.g.countRoute(q.route.Name)
	defer func() { q.takeHedge().withdraw() }()
	for {
		if q.callerLeft() {
			q.abort()
		}
		if f := q.refuseEnding(); f != nil && q.verdict == verdict.NotRun && q.hedge == nil {
			q.end(f)
			return
		}
		done, code := q.next()
		if code != "" {
			q.giveUp(code)
			return
		}
		if done {
			q.recordAnswer()
			return
		}
		if q.finalRefusal == nil && q.verdict == verdict.NotRun && q.revoked() {
			q.finalRefusal = refuseKey()
		}
		if q.finalRefusal != nil {
			q.end(q.finalRefusal)
			return
		}
		if code, ok := q.mayRetry(); !ok {
			q.giveUp(code)
			return
		}
	}
}

// next goes on with the hedge that has answered, or sends the request once more. It reports whether the
// caller has got the final answer, and returns a refusal code if there is nowhere to send it.
func (q *request) next() (done bool, code verdict.Code) {
	if h := q.takeHedge(); h != nil {
		return q.goOn(h), ""
	}
	now := time.Now()
	to, code := q.choosePlace(now)
	q.g.o.Metrics.ChooseTime.Update(time.Since(now))
	if to == nil && q.headWritten {
		to = q.awaitPlace()
		now = time.Now()
		if end := q.endCode(now); end != "" {
			code = end
		}
	}
	if to == nil {
		return false, code
	}
	return q.attempt(to, now), ""
}

// choosePlace returns where the request goes next, or a refusal code if there is no such place. A place that
// was tried gets it again only if no other may run it: first a target that the stream was taken from, then
// any that has not answered.
func (q *request) choosePlace(now time.Time) (*destination, verdict.Code) {
	code := CodeTargetLost
	if q.runs < q.maxRuns {
		var to *destination
		if to, code = q.choose(now, noAnswer); to != nil {
			return to, ""
		}
	}
	if to := q.chooseAgain(now); to != nil {
		return to, ""
	}
	if q.runs < q.maxRuns && code == CodeNoTarget && q.tried.has(noAnswer) {
		return q.choose(now, rejected)
	}
	return nil, code
}

const (
	// placeWait is how long a stream that has begun waits for a place: longer than the first backoff of a
	// target, and well under the 2 s after which callers leave.
	placeWait = time.Second
	// placeWaitInterval is the time between two choices meanwhile.
	placeWaitInterval = 100 * time.Millisecond
)

// awaitPlace waits for a place that goes on with a stream that has begun, which can get no other answer; nil if
// none becomes free in placeWait. Targets that have rejected the stream may have room by then.
func (q *request) awaitPlace() *destination {
	ctx, cancel := context.WithTimeout(q.ctx, placeWait)
	defer cancel()
	tick := time.NewTicker(placeWaitInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		if _, ok := q.mayRunAgain(now); !ok || q.callerLeft() {
			return nil
		}
		if to := q.chooseAgain(now); to != nil {
			return to
		}
		if q.runs >= q.maxRuns {
			continue
		}
		if to, _ := q.choose(now, answered); to != nil {
			return to
		}
	}
}

// recordAnswer counts and logs an answer.
func (q *request) recordAnswer() {
	m, now := q.g.o.Metrics, time.Now()
	m.Answered.Inc(1)
	m.FirstByteTime.Update(q.firstByteAt.Sub(q.acceptedAt))
	m.RequestTime.Update(now.Sub(q.acceptedAt))
	q.reportFinished()
	// The fields are built only if the log line budget admits the line.
	line := q.g.o.AccessLog.Check(zap.InfoLevel, "served")
	if line == nil {
		return
	}
	line.Write(zap.String("id", q.call.ID), zap.String("place", q.lastTried), zap.String("service", q.service),
		zap.Int("sends", q.attemptCount), zap.Float64("wait_ms", q.expectedWaitMs), zap.Float64("cost_ms", q.costMs), zap.String("decided_by", q.decidedBy),
		zap.Duration("left", q.deadline.Sub(q.acceptedAt)),
		zap.Uint64("version", q.view.Index.Table.Version), zap.Duration("list_age", now.Sub(q.view.TargetsReadAt)),
		zap.Duration("first", q.firstByteAt.Sub(q.acceptedAt)), zap.Duration("after", now.Sub(q.acceptedAt)), zap.Duration("pause", q.longestGap),
		zap.Int("prompt_tokens", q.call.PromptTokens), zap.String("source", q.source), zap.Bool("passed", q.forwarded != nil))
}

// errUnreachable ends a hedge at a target that other requests can no longer reach.
var errUnreachable = errors.New("the target became unreachable")

// attempt sends the request to p and reports whether the caller has got the final answer.
func (q *request) attempt(p *destination, now time.Time) bool {
	ctx, cancel := context.WithCancelCause(q.ctx)
	defer cancel(nil)
	a := q.send(ctx, cancel, p, now)
	if a == nil {
		q.endWatch(false)
		return false
	}
	done, result := q.handleAnswer(ctx, cancel, a, p)
	p.end(time.Now(), result)
	if !done && (p.choice != nil || q.answerErr != nil) {
		q.logAttempt(a, result)
	}
	q.endWatch(done)
	return done
}

// send sends the request to p and returns the answer. If there is none, it records how the attempt ended
// and returns nil. The end of ctx, which cancel ends, also ends the reading of the answer.
func (q *request) send(ctx context.Context, cancel context.CancelCauseFunc, p *destination, now time.Time) *rawhttp.Answer {
	q.attemptCount++
	q.answerErr = nil
	q.g.o.Metrics.Attempts.Inc(1)
	if p.choice == nil {
		return q.sendToPeer(ctx, p, now)
	}
	q.tried.record(p, noAnswer)
	q.lastTried, q.source, q.decidedBy = p.choice.ID, p.choice.Source, p.decision.Owner
	q.sentAt, q.expectedWaitMs, q.costMs, q.rest = now, p.choice.Wait, p.choice.Cost, 0
	if under := q.hedging; under != nil {
		p.choice.OnUnreachable(func() { under.end(errUnreachable) })
	} else if q.watch = q.watchRun(p, cancel); q.watch != nil {
		q.watch.awaitAnswer()
		p.choice.OnUnreachable(q.watch.targetUnreachable)
	}
	a, err := q.g.o.Targets.Do(ctx, p.choice.Address, q.targetRequest(p.choice, now))
	q.g.o.Metrics.SendTime.Update(time.Since(now))
	if err != nil {
		q.reportCrash(p, err)
		q.recordContactLost(p, err)
		p.reportEnd(time.Now(), q.attemptLost(p.choice.ID, err))
		return nil
	}
	return a
}

// logAttempt logs that another attempt is needed after an answer.
func (q *request) logAttempt(a *rawhttp.Answer, result pick.Result) {
	q.g.o.Log.Info("attempt failed", zap.String("id", q.call.ID), zap.String("target", q.lastTried), zap.Int("status", a.StatusCode),
		zap.Error(q.answerErr), zap.Uint8("result", uint8(result)), zap.Stringer("verdict", q.verdict), zap.Duration("rest", q.rest), zap.String("decided_by", q.decidedBy), zap.Duration("after", time.Since(q.acceptedAt)))
}

// attemptLost records an attempt without an answer and returns its result for the target.
func (q *request) attemptLost(target string, err error) pick.Result {
	var f *rawhttp.Failure
	if !errors.As(err, &f) {
		f = &rawhttp.Failure{Verdict: verdict.MayHaveRun, Err: err}
	}
	if f.Verdict != verdict.NotRun {
		q.recordRun(f.Verdict)
	}
	q.g.o.Log.Info("attempt lost", zap.String("id", q.call.ID), zap.String("target", target), zap.Bool("dial", f.DialFailed),
		zap.Bool("reused", f.Reused), zap.Error(f.Err), q.partsField(), zap.Duration("after", time.Since(q.acceptedAt)))
	switch {
	case q.ctx.Err() != nil:
		return pick.Neutral
	case f.DialFailed:
		return pick.Unreachable
	case f.Reused && !rawhttp.Broken(f.Err):
		return pick.Neutral
	}
	if !errors.Is(err, errSilent) {
		q.g.o.Metrics.BrokenAnswers.Inc(1)
	}
	return pick.Lost
}

// recordContactLost records that the connection to a target has ended with err, unless this instance or the
// caller ended it.
func (q *request) recordContactLost(p *destination, err error) {
	if p.choice != nil && q.ctx.Err() == nil && !errors.Is(err, errSilent) {
		p.choice.LostContact(time.Now())
	}
}

// recordRun counts a target that ran the request or may have run it.
func (q *request) recordRun(v verdict.Verdict) {
	q.runs++
	q.verdict = q.verdict.Join(v)
}
