package exchange

import (
	"net/http"
	"strconv"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/route/pick"
	"github.com/gullhaven/gullhaven/route/place"
)

// refusal is a final answer made by this system, not by a target.
type refusal struct {
	status int
	code   verdict.Code
	// retryAfter is when the caller may retry; set only if the request has not run.
	retryAfter time.Duration
	// close closes the connection, because what follows on it cannot be trusted.
	close bool
	// limit is set if the workspace is over its limit.
	limit *limitRefusal
	// admission is set if the request was refused before it was sent because of the load.
	admission *refusedAdmission
}

// end ends a request that has no complete answer, with f if nothing has been written yet. It is the only
// place that ends one: it panics with http.ErrAbortHandler if the caller has left or already has the head
// of an answer.
func (q *request) end(f *refusal) {
	now := time.Now()
	p := progress{
		headWritten: q.headWritten, callerLeft: q.r.Context().Err() != nil && !q.bodyCut, failedAnswer: q.failedAnswer != nil,
		verdict: q.verdict, expired: !now.Before(q.deadline),
	}
	switch p.ending() {
	case endBrokenOff:
		q.g.o.Metrics.CutAnswers.Inc(1)
		q.g.o.Log.Info("broke off", zap.String("id", q.call.ID), zap.String("code", string(f.code)),
			zap.Duration("after", now.Sub(q.acceptedAt)), zap.Int("sends", q.attemptCount))
		panic(http.ErrAbortHandler)
	case endCallerLeft:
		q.abort()
	case endFailedAnswer:
		q.writeAnswer(q.failedAnswer)
	default:
		q.writeRefusal(p.allowed(f))
	}
}

// writeRefusal answers the caller with a refusal. The statuses 429 and 503 guarantee that the request
// has not run and never will.
func (q *request) writeRefusal(f *refusal) {
	h := q.w.Header()
	if q.forwarded != nil && q.verdict == verdict.NotRun {
		h.Set(headerRefused, string(f.code))
		if q.reachedTarget() {
			h.Set(headerReachedTarget, "1")
		}
	}
	if f.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if f.close {
		h.Set("Connection", "close")
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", formatSeconds(f.retryAfter))
	}
	if q.call.ID != "" {
		h.Set("X-Request-Id", q.call.ID)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(f.code) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(f.status)
	// The caller may have left; then there is nothing more to do.
	_, _ = q.w.Write([]byte(body))
	q.countRefusal(f)
	q.logRefusal(f)
}

// formatSeconds formats a delay with two decimals, rounded up, so that nobody returns too early.
func formatSeconds(d time.Duration) string {
	const unit = 10 * time.Millisecond
	return strconv.FormatFloat(((d + unit - 1) / unit * unit).Seconds(), 'f', 2, 64)
}

// logRefusal logs a refusal with what the decision was based on.
func (q *request) logRefusal(f *refusal) {
	more := zap.Skip()
	if f.limit != nil {
		more = zap.Object("limit", f.limit)
	}
	if f.admission != nil {
		more = zap.Object("admission", f.admission)
	}
	route, rank := "", 0
	if q.route != nil {
		route, rank = q.route.Name, q.rank()
	}
	told := zap.Skip()
	if f.admission != nil && f.admission.RetryMillis > 0 {
		told = zap.Duration("retry_after", f.retryAfter)
	}
	q.g.o.Log.Info("refused", zap.String("id", q.call.ID), zap.Int("status", f.status), zap.String("code", string(f.code)),
		zap.Stringer("verdict", q.verdict), zap.Int("sends", q.attemptCount), zap.Duration("after", time.Since(q.acceptedAt)),
		zap.String("service", q.service), zap.String("workspace", q.workspaceName()),
		zap.String("route", route), zap.Int("rank", rank), zap.Bool("passed", q.forwarded != nil), zap.Uint64("version", q.configurationVersion()), more, told)
}

// configurationVersion is 0 before the first configuration.
func (q *request) configurationVersion() uint64 {
	if q.view == nil || q.view.Index == nil {
		return 0
	}
	return q.view.Index.Table.Version
}

// countRefusal counts a refusal by verdict and code.
func (q *request) countRefusal(f *refusal) {
	m := q.g.o.Metrics
	switch {
	case q.verdict == verdict.Ran:
		m.FailedRan.Inc(1)
	case q.verdict == verdict.MayHaveRun:
		m.FailedMayHaveRun.Inc(1)
	default:
		m.Refused.Inc(1)
		q.refusalCounter(f.code).Inc(1)
	}
}

// refusalCounter returns the counter of a refusal code.
func (q *request) refusalCounter(code verdict.Code) gometrics.Counter {
	m := q.g.o.Metrics
	switch code {
	case CodeNoTarget, CodeDraining:
		return m.RefusedNoTarget
	case CodeResting:
		return m.RefusedResting
	case CodeNoConfiguration:
		return m.RefusedNoConfiguration
	case CodeLeaving:
		return m.RefusedLeaving
	case CodePoison:
		return m.RefusedPoison
	case CodeUnknownStream:
		return m.RefusedUnknownStream
	case CodeOverloaded:
		return m.RefusedOverloaded
	case CodeOverShare:
		return m.RefusedOverShare
	case CodeOutranked:
		return m.RefusedOutranked
	case CodePastDeadline:
		return m.RefusedPastDeadline
	case CodeUnknownKey:
		return m.RefusedUnknownKey
	case CodeOverLimit:
		return m.RefusedOverLimit
	case CodeNoHomeRegion:
		return m.RefusedNoHome
	}
	return m.RefusedOther
}

// giveUp ends a request whose attempts gave no final answer.
func (q *request) giveUp(code verdict.Code) { q.end(q.unserved(time.Now(), code)) }

// abort ends a request whose caller has left. It panics with http.ErrAbortHandler.
func (q *request) abort() {
	q.g.o.Metrics.CallersGone.Inc(1)
	q.g.o.Log.Debug("caller left", zap.String("id", q.call.ID), zap.Duration("after", time.Since(q.acceptedAt)))
	panic(http.ErrAbortHandler)
}

// unserved returns the refusal of a request that has not run, with the time after which the caller
// may return: when the first rest ends, if all targets that may serve it rest.
func (q *request) unserved(now time.Time, code verdict.Code) *refusal {
	left := q.deadline.Sub(now)
	f := &refusal{status: http.StatusServiceUnavailable, code: code, retryAfter: place.RetryAfter(place.Busy, left)}
	if a := q.refusedAdmission; a != nil && code == a.Reason {
		f.admission = a
		if after := a.retryAfter(); after > 0 {
			f.retryAfter = after
		}
		return f
	}
	if code != CodeNoTarget || q.refusedElsewhere {
		return f
	}
	rest, resting := q.firstRest(now)
	if resting && q.forwarded != nil {
		// The other instance spreads its own callers.
		f.code, f.retryAfter = CodeResting, rest.Left
	} else if resting {
		f.code, f.retryAfter = CodeResting, place.RestRetryAfter(rest.Left, rest.Asked, left, q.g.fraction())
	} else if q.allows(q.g.o.Region) && q.g.o.Pool.AllDraining(q.service) {
		f.code, f.retryAfter = CodeDraining, place.RetryAfter(place.Draining, left)
	}
	return f
}

// firstRest returns the rest that ends first if all targets that may serve the request rest or are
// draining, here and at the instances of other regions that have refused; otherwise false.
func (q *request) firstRest(now time.Time) (own pick.RestLeft, ok bool) {
	if q.allows(q.g.o.Region) {
		own, ok = q.g.o.Pool.RestLeft(now, q.service)
		if !ok && !q.g.o.Pool.AllDraining(q.service) {
			return pick.RestLeft{}, false
		}
	}
	if peers, others := q.peersRest(now); others && (!ok || peers.Left < own.Left) {
		return peers, true
	}
	return own, ok
}

// peersRest returns the rest left at the first instance of another region that accepts the request
// again, of those whose targets all rest; false if there is none.
func (q *request) peersRest(now time.Time) (least pick.RestLeft, ok bool) {
	if q.forwarded != nil {
		return pick.RestLeft{}, false
	}
	for _, p := range q.view.Peers {
		rest := q.g.restLeft(now, peerService{p.Address, q.service})
		if rest.Left > 0 && q.allows(p.Region) && (!ok || rest.Left < least.Left) {
			least, ok = rest, true
		}
	}
	return least, ok
}
