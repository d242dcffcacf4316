package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
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

// mayRetry reports whether another attempt may follow a failed one; if not, it returns the
// refusal code.
func (q *request) mayRetry() (verdict.Code, bool) {
	now := time.Now()
	if q.hedge != nil && q.endCode(now) == "" {
		// It was counted when it was sent.
		return "", true
	}
	if code, ok := q.mayRunAgain(now); !ok {
		return code, false
	}
	if q.reachedTarget() && !q.tryRetry(now) {
		return CodeNoTarget, false
	}
	q.g.o.Metrics.Retries.Inc(1)
	return "", true
}

// endCode returns the code of what has ended the request from outside; empty if nothing has.
func (q *request) endCode(now time.Time) verdict.Code {
	switch {
	case q.g.ended.Err() != nil:
		return CodeLeaving
	case q.r.Context().Err() != nil && q.forwarded != nil:
		return CodeSenderLeft
	case q.r.Context().Err() != nil:
		return CodeCallerLeft
	case q.ctx.Err() != nil || !now.Before(q.deadline):
		return CodeTimeout
	}
	return ""
}

// mayRunAgain is mayRetry without the retry budget.
func (q *request) mayRunAgain(now time.Time) (verdict.Code, bool) {
	if code := q.endCode(now); code != "" {
		return code, false
	}
	switch {
	case q.verdict != verdict.NotRun && (!q.route.Repeatable() || q.runs >= q.maxRuns && len(q.returnTo) == 0):
		return CodeTargetLost, false
	case q.begun && q.origin.Software == "":
		return CodeUnknownStream, false
	case q.attemptCount >= maxAttempts:
		return CodeNoTarget, false
	case q.g.o.PoisonRequests != nil && q.runs > 0 && !q.g.o.PoisonRequests.MayRetry(q.content()):
		return CodePoison, false
	}
	return "", true
}

// tryRetry reports whether the retry budget of the service allows another attempt, and counts it
// if so.
func (q *request) tryRetry(now time.Time) bool {
	d := q.g.retries.tryRetry(now, q.service, q.view.EntryInstances)
	if d.logDue {
		q.g.o.Log.Info("repeats", zap.String("service", q.service), zap.Bool("allowed", d.allowed), zap.Int("firsts", d.use.FirstAttempts),
			zap.Int("extras", d.use.Retries), zap.Float64("left", d.use.Remaining), zap.Int("unearned", d.unearned), zap.Int("entries", q.view.EntryInstances), zap.Duration("age", d.uptime))
	}
	if !d.allowed {
		q.g.o.Metrics.RetriesDenied.Inc(1)
		return false
	}
	q.g.o.Log.Debug("repeat counted", zap.String("id", q.call.ID), zap.String("service", q.service))
	return true
}

// reachedTarget reports whether an attempt has reached a target, even if the target rejected it.
func (q *request) reachedTarget() bool { return q.rejected || q.runs > 0 }

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
	if !done && p.choice != nil {
		q.logAttempt(p.choice.ID, a, result)
	}
	q.endWatch(done)
	return done
}

// send sends the request to p and returns the answer. If there is none, it records how the attempt ended
// and returns nil. The end of ctx, which cancel ends, also ends the reading of the answer.
func (q *request) send(ctx context.Context, cancel context.CancelCauseFunc, p *destination, now time.Time) *rawhttp.Answer {
	q.attemptCount++
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

func (q *request) logAttempt(target string, a *rawhttp.Answer, result pick.Result) {
	q.g.o.Log.Info("attempt failed", zap.String("id", q.call.ID), zap.String("target", target), zap.Int("status", a.StatusCode),
		zap.Uint8("result", uint8(result)), zap.Stringer("verdict", q.verdict), zap.Duration("rest", q.rest), zap.String("decided_by", q.decidedBy), zap.Duration("after", time.Since(q.acceptedAt)))
}

// sendToPeer is send for an instance of another region. It returns nil for a refusal too.
func (q *request) sendToPeer(ctx context.Context, p *destination, now time.Time) *rawhttp.Answer {
	peer := p.peer
	q.tried.record(p, noAnswer)
	q.lastTried, q.source, q.decidedBy = peer.Address, "", ""
	q.sentAt, q.expectedWaitMs, q.costMs = now, p.waitMs, p.waitMs
	q.g.o.Metrics.Spilled.Inc(1)
	q.g.reach.Begin(now, peer.Region)
	a, err := q.g.o.Peers.Do(ctx, peer.Address, q.peerRequest(now))
	if err != nil {
		// A reused connection that closes says nothing about the peer, but one that times
		// out does.
		silent := ctx.Err() == nil && errors.Is(err, syscall.ETIMEDOUT)
		if q.attemptLost(peer.Address, err) != pick.Neutral || silent {
			// Another instance of the region may be reachable.
			q.g.markUnreachable(time.Now(), peer.Address)
			if q.g.reach.RecordFailure(time.Now(), peer.Region) {
				q.g.o.Metrics.RegionsUnreached.Inc(1)
				q.g.o.Log.Warn("region unreachable", zap.String("region", peer.Region), zap.Error(err))
			}
			q.tried.forget(p)
		}
		return nil
	}
	if q.g.reach.RecordAnswer(peer.Region) {
		q.g.o.Log.Info("region reachable again", zap.String("region", peer.Region))
	}
	if a.Header.Get(headerRefused) != "" {
		q.rejected = q.rejected || a.Header.Get(headerReachedTarget) != ""
		q.peerRefused(p, a.StatusCode, verdict.Code(a.Header.Get(headerRefused)), ports.RetryAfter(a.Header))
		discard(a)
		return nil
	}
	q.learnRoundTrip(peer.Region, a)
	return a
}

// learnRoundTrip records the round trip to another region. An answer without headerTook gives
// no measurement. Nor does a new connection: at the beginning of a peak most connections are
// new, and the region would look farther away than it is from then on.
func (q *request) learnRoundTrip(region string, a *rawhttp.Answer) {
	tookMs, err := strconv.ParseInt(a.Header.Get(headerTook), 10, 64)
	a.Header.Del(headerTook)
	if err == nil && a.Reused() {
		q.g.trips.Learn(region, float64(time.Since(q.sentAt).Milliseconds()), float64(tookMs))
	}
}

// peerRefused records that an instance of another region has refused the request. If the
// instance is leaving or lags, that says nothing about its region. If all targets have asked it for rest,
// it is skipped for this service until then. If its newer configuration does not allow the request,
// the refusal is final for all regions.
func (q *request) peerRefused(p *destination, status int, code verdict.Code, retryAfter time.Duration) {
	now, peer := time.Now(), p.peer
	q.tried.record(p, rejected)
	if status != http.StatusServiceUnavailable {
		q.tried.record(p, answered)
		if q.verdict == verdict.NotRun {
			q.finalRefusal = &refusal{status: status, code: code}
		}
		return
	}
	if code == CodePoison {
		// It crashes targets anywhere, and says nothing of the region.
		q.finalRefusal = &refusal{status: status, code: code, retryAfter: retryAfter}
		return
	}
	if code == CodeLeaving {
		q.g.markUnreachable(now, peer.Address)
		q.tried.forget(p)
		return
	}
	if code == CodeBehind || code == CodeNoConfiguration {
		q.refusedElsewhere = true
		q.g.recordRefusal(now, laggingPeer{peer.Address})
		if current, _ := q.peersOf(now, peer.Region); len(current) > 0 {
			q.tried.forget(p)
		}
		return
	}
	if code == CodeResting && retryAfter > 0 {
		q.g.markResting(now, peerService{peer.Address, q.service}, retryAfter)
	} else {
		q.refusedElsewhere = true
	}
	at := RegionService{Region: peer.Region, Service: q.service}
	switch code {
	case CodeOverShare:
		// It may serve other workspaces.
		q.g.recordRefusal(now, workspaceRefusal{at, q.workspaceName()})
	case CodeOutranked:
		// It may serve more urgent requests.
		q.g.recordRefusal(now, rankRefusal{at, clampRank(q.rank())})
	case CodePastDeadline:
		// It may serve requests with more time left.
	default:
		q.g.recordRefusal(now, at)
	}
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
	case f.Reused:
		return pick.Neutral
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

// belongs reports whether an answer is that of the request: a second copy of an earlier answer on the
// connection may come instead, and tells nothing of this one. An answer that names no request is its own only
// if the target has not run any.
func (q *request) belongs(a *rawhttp.Answer, reply *Reply) bool {
	if reply.ID == "" && (reply.NotRun || reply.Replaced) {
		a.Unnamed()
		return true
	}
	return reply.ID == q.call.ID && (reply.Signed || reply.NotRun || reply.Replaced)
}

// handleAnswer relays an answer and reports whether the caller has got it whole; if not,
// another attempt is needed.
func (q *request) handleAnswer(ctx context.Context, cancel context.CancelCauseFunc, a *rawhttp.Answer, p *destination) (done bool, result pick.Result) {
	if result, ok := q.checkHead(a, p); !ok {
		return false, result
	}
	if q.route.Kind == routes.Stream && a.StatusCode == http.StatusOK {
		s := newStream(ctx, cancel, a, p)
		defer s.free()
		return q.relayStream(s)
	}
	return q.relayWhole(a, p)
}

// checkHead reports whether an answer is that of a target which runs the request. If not, it closes it and
// returns the result of the attempt.
func (q *request) checkHead(a *rawhttp.Answer, p *destination) (result pick.Result, ok bool) {
	reply := q.g.o.Dialect.Reply(a.StatusCode, a.Header)
	belongs := q.belongs(a, &reply)
	if p.choice != nil && !reply.Replaced {
		q.recordAnnouncements(p, &reply, belongs)
	}
	switch {
	case !belongs:
		a.Close(false)
		q.recordRun(verdict.MayHaveRun)
		return pick.Failed, false
	case reply.Replaced:
		q.rejected = true
		q.tried.record(p, rejected)
		discard(a)
		return pick.Replaced, false
	case reply.NotRun:
		q.rejected = true
		q.tried.record(p, rejected)
		discard(a)
		if reply.Rest > 0 || reply.BusyFor > 0 {
			return pick.Rested, false
		}
		return pick.Rejected, false
	case a.Header.Get("Content-Encoding") != "":
		// It is not the target's body.
		a.Close(false)
		q.tried.record(p, answered)
		q.recordRun(verdict.MayHaveRun)
		return pick.Failed, false
	}
	q.reportAlive(p)
	return pick.Good, true
}

// reportLimit records the limit that a target reports in its own answer, and passes it to the
// group owner.
func (q *request) reportLimit(p *destination, n pick.TargetLimit) {
	changed := p.choice.LearnLimit(time.Now(), n)
	if p.owner != nil && p.decision.Limit != n {
		p.owner.ReportLimit(p.decision, n)
	}
	if !changed {
		return
	}
	q.g.o.Log.Info("target reports a limit", zap.String("target", p.choice.ID), zap.Bool("limited", n.Limited), zap.Float64("per_second", n.PerSecond),
		zap.String("service", q.service), zap.String("id", q.call.ID), zap.String("decided_by", q.decidedBy))
}

// recordAnnouncements records what a target says of itself, and tells the group owner its limit and
// that it is leaving. A rest holds for this instance only. What an answer to another request says may be
// out of date: it counts only where the target is spared.
func (q *request) recordAnnouncements(p *destination, reply *Reply, belongs bool) {
	if belongs {
		q.reportLimit(p, reply.Limit)
	}
	m, log := q.g.o.Metrics, q.g.o.Log
	if reply.Rest > 0 {
		q.rest = reply.Rest
		p.choice.Rest(time.Now(), reply.Rest)
		m.RestsAsked.Inc(1)
		log.Info("target asks for rest", zap.String("target", p.choice.ID), zap.Duration("rest", reply.Rest),
			zap.String("service", q.service), zap.String("id", q.call.ID), zap.String("decided_by", q.decidedBy))
	}
	if reply.BusyFor > 0 {
		p.choice.Busy(time.Now(), reply.BusyFor)
	}
	if reply.Leaving {
		m.LeavingAnswers.Inc(1)
		if p.choice.Leaving() {
			log.Info("target is leaving", zap.String("target", p.choice.ID), zap.String("service", q.service), zap.String("id", q.call.ID))
		}
		if p.owner != nil {
			p.owner.ReportLeaving(p.decision)
		}
	}
	if len(reply.Malformed) > 0 {
		m.MalformedHeaders.Inc(int64(len(reply.Malformed)))
		q.g.o.AccessLog.Warn("malformed header of a target", zap.String("target", p.choice.ID), zap.Strings("headers", reply.Malformed))
	}
}

// recordRun counts a target that ran the request or may have run it.
func (q *request) recordRun(v verdict.Verdict) {
	q.runs++
	q.verdict = q.verdict.Join(v)
}

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

const (
	// maxAnswerBytes bounds an answer that is buffered whole, and maxAnswersBytes all of them together.
	maxAnswerBytes  = 16 << 20
	maxAnswersBytes = 32 << 20
	// freeAnswerBytes of the answers to each request do not count in that.
	freeAnswerBytes = 64 << 10
)

var (
	// errAnswerTooLong is returned for an answer of over maxAnswerBytes.
	errAnswerTooLong = errors.New("answer is too long to be buffered")
	// errAnswersTooLong is returned for a long answer while others take up the memory for them.
	errAnswersTooLong = errors.New("answers are too long to be buffered together")
	// errNoBody is returned for a success without a length or chunks whose connection is closed right after its
	// head: it cannot be distinguished from one that was broken off.
	errNoBody = fmt.Errorf("connection closed before the body: %w", io.ErrUnexpectedEOF)
)

// readAnswer reads a body, which the request holds to its end. The error says why it is not complete.
func (q *request) readAnswer(a *rawhttp.Answer) ([]byte, error) {
	if a.ContentLength == 0 {
		return nil, nil
	}
	body := make([]byte, 0, initialAnswerBytes)
	if n := a.ContentLength; n > initialAnswerBytes && n <= freeAnswerBytes {
		body = make([]byte, 0, n)
	}
	for {
		if len(body) == cap(body) {
			body = slices.Grow(body, max(1, cap(body)))
		}
		n, err := a.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxAnswerBytes:
			return nil, errAnswerTooLong
		case !q.held.Take(int64(n)):
			return nil, errAnswersTooLong
		case err == io.EOF && len(body) == 0 && rawhttp.MayLackBody(a.Response):
			return nil, errNoBody
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// initialAnswerBytes is the initial buffer size for an answer of unknown length.
const initialAnswerBytes = 1 << 10

const (
	// maxDiscardBytes bounds what is read of the body of a refusal. Those of targets are usually shorter.
	maxDiscardBytes = 64 << 10
	// discardTimeout bounds the wait for it, as the request goes on elsewhere only then.
	discardTimeout = 50 * time.Millisecond
)

// discard reads and drops the body of a refusal, so that its connection can be reused. One that is long or
// does not come at once costs the connection.
func discard(a *rawhttp.Answer) {
	if a.ContentLength == 0 {
		a.Close(true)
		return
	}
	a.SetReadTimeout(discardTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDiscardBytes))
	a.Close(err == nil && n < maxDiscardBytes)
}

// relayWhole relays an answer that is not an event stream. It buffers the whole answer first,
// so that a truncated answer can be retried and never looks complete.
func (q *request) relayWhole(a *rawhttp.Answer, p *destination) (bool, pick.Result) {
	body, err := q.readAnswer(a)
	a.Close(err == nil)
	if err != nil {
		q.recordRun(verdict.MayHaveRun)
		q.reportCrash(p, err)
		q.recordContactLost(p, err)
		if q.ctx.Err() != nil {
			return false, pick.Neutral
		}
		return false, pick.Failed
	}
	q.recordRun(verdict.Ran)
	q.tried.record(p, answered)
	answer := &bufferedAnswer{status: a.StatusCode, header: a.Header, body: body}
	if q.headWritten {
		// A stream that has begun cannot go on with another answer.
		return false, pick.Failed
	}
	if a.StatusCode < http.StatusInternalServerError {
		q.reportAnswerEnd(a, p)
		q.writeAnswer(answer)
		return true, pick.Good
	}
	if q.route.Repeatable() && q.runs < q.maxRuns {
		q.failedAnswer = answer
		return false, pick.Failed
	}
	q.writeAnswer(answer)
	return true, pick.Failed
}

// writeAnswer writes a target's answer to the caller unchanged.
func (q *request) writeAnswer(answer *bufferedAnswer) {
	// A caller that reads slowly needs no hedge.
	q.watch.endWait(nil)
	q.firstByteAt = time.Now()
	h := q.w.Header()
	copyAnswerHeaders(h, answer.header)
	q.setTook(h)
	if q.r.Method == http.MethodHead {
		if v := answer.header.Get("Content-Length"); v != "" {
			h.Set("Content-Length", v)
		}
	} else {
		setLength(h, len(answer.body))
	}
	q.w.WriteHeader(answer.status)
	// The caller may have left; its context says so.
	_, _ = q.w.Write(answer.body)
}
